"""Policies in the store: loading, replacing and faults, and the shares that result."""

import unittest

from sprucewinch.gateway.regions.policies import DEFAULT_POLICY, PolicyTable
from sprucewinch.gateway.regions.region_reports import RegionReports
from sprucewinch.gateway.regions.shares import RegionShares
from sprucewinch.gateway.resources import BackendEntry, PolicyChoice, PolicyProgram
from sprucewinch.steering.placement import moved_part

from .gateway_fakes import BOUNDS, REGIONS, StoreFixture, route

_WEST = "def shares(snapshot):\n    return {'west': 1}\n"


class Steered:
    """Region shares with two servers in the east and six in the west."""

    def __init__(self, home: str = "east") -> None:
        self.world = StoreFixture()
        self.unreadable_keys: list[str] = []
        self.world.configure(route())
        for number, hall in enumerate(("east-a", "east-b", *["west-a"] * 6)):
            backend = BackendEntry(f"s{number}", "rates", f"10.0.0.{number}:80", hall, 6)
            self.world.put(f"servers/s{number}", backend)
        self.policies = PolicyTable(
            self.world.store_view, lambda key, cause: self.unreadable_keys.append(key)
        )
        self.region_reports = RegionReports(self.world.registry, "vm0", home)
        self.shares = RegionShares(
            self.world.registry,
            self.policies,
            self.region_reports,
            regions=REGIONS,
            home=home,
            shift_cap=BOUNDS.shift_cap,
        )
        self.now = 0.0

    def share(self, region: str) -> float:
        return self.shares.shares("rates", self.now).share(region)

    def run(self, seconds: float) -> list:
        """Tick five times a second; returns the shares after each tick."""
        history = []
        for _ in range(int(seconds * 5)):
            self.now += 0.2
            self.shares.tick(self.now)
            history.append(self.shares.shares("rates", self.now))
        return history


class Policies(unittest.TestCase):
    def test_the_default_keeps_callers_at_home_up_to_its_capacity(self) -> None:
        small_home, large_home = Steered("east"), Steered("west")
        self.assertTrue(0.4 < small_home.share("east") < 0.8)
        self.assertGreater(large_home.share("west"), 0.99)

    def test_a_loaded_policy_takes_effect_and_moves_under_the_cap(self) -> None:
        steered = Steered()
        before = steered.shares.shares("rates", 0.0)
        steered.world.put("policies/all-west", PolicyProgram("all-west", _WEST))
        steered.world.put("policy-of/rates", PolicyChoice("rates", "all-west"))
        history = [before, *steered.run(60.0)]
        self.assertGreater(history[-1].share("west"), 0.99)
        ticks_per_window = 10
        for index in range(len(history) - ticks_per_window):
            moved = moved_part(history[index], history[index + ticks_per_window])
            self.assertLessEqual(moved, BOUNDS.shift_cap)

    def test_the_shares_tell_what_they_moved_within_the_last_window(self) -> None:
        steered = Steered()
        self.assertEqual(steered.shares.moved_recently("rates", 0.0), 0.0)
        before = steered.shares.shares("rates", 0.0)
        steered.world.put("policies/all-west", PolicyProgram("all-west", _WEST))
        steered.world.put("policy-of/rates", PolicyChoice("rates", "all-west"))
        after = steered.run(1.0)[-1]
        moved = steered.shares.moved_recently("rates", steered.now)
        self.assertAlmostEqual(moved, moved_part(before, after))
        self.assertGreater(moved, 0.02)
        history = [after, *steered.run(9.0)]
        moved = steered.shares.moved_recently("rates", steered.now)
        self.assertAlmostEqual(moved, moved_part(history[-11], history[-1]), delta=0.02)
        self.assertEqual(steered.shares.moved_recently("quotes", steered.now), 0.0)

    def test_a_choice_that_is_withdrawn_or_unknown_falls_back(self) -> None:
        steered = Steered()
        steered.world.put("policy-of/rates", PolicyChoice("rates", "nobody-wrote-it"))
        self.assertEqual(steered.policies.name_for("rates"), DEFAULT_POLICY)
        steered.world.put("policy-of/*", PolicyChoice("*", "nearest"))
        steered.world.remove("policy-of/rates")
        self.assertEqual(steered.policies.name_for("rates"), "nearest")

    def test_a_program_that_cannot_be_compiled_leaves_the_last_good_one(self) -> None:
        steered = Steered()
        steered.world.put("policies/mine", PolicyProgram("mine", _WEST))
        good = steered.policies.programs["mine"]
        steered.world.put("policies/mine", PolicyProgram("mine", "import os"))
        self.assertIs(steered.policies.programs["mine"], good)
        self.assertEqual(steered.unreadable_keys, ["policies/mine"])

    def test_a_program_that_fails_leaves_the_shares_as_they_are(self) -> None:
        steered = Steered()
        before = steered.share("east")
        faulty = "def shares(snapshot):\n    return {'nowhere': 1}\n"
        steered.world.put("policies/faulty", PolicyProgram("faulty", faulty))
        steered.world.put("policy-of/rates", PolicyChoice("rates", "faulty"))
        steered.run(5.0)
        self.assertEqual(steered.share("east"), before)
        self.assertTrue(steered.shares.notes["rates"][0].startswith("policy-fault"))
