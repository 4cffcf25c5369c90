"""Membership: who is named to callers after kills, cuts, pauses and restarts."""

import random
import unittest

from sprucewinch.gateway.membership.directory import LOOKUP_TTL_S, MAX_ADDRESSES, Directory
from sprucewinch.gateway.membership.gossip import HEARTBEAT_S, SILENCE_S, Gossip
from sprucewinch.gateway.resources import Member
from sprucewinch.gateway.state.store_view import StoreView


class Fleet:
    """VMs that gossip on a clock of their own."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = 0.0
        self.vms = {f"vm{n}": Gossip(f"vm{n}", 1, random.Random(seed + n)) for n in range(count)}
        self.dead: set[str] = set()
        self.cut: set[str] = set()
        for vm in self.vms.values():
            vm.accepting = True

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += HEARTBEAT_S
            for name, vm in self.vms.items():
                if name not in self.dead:
                    self._beat(name, vm)

    def _beat(self, name: str, vm: Gossip) -> None:
        beat = vm.tick(self.now, 0)
        for partner in vm.partners(self.vms):
            if partner not in self.dead and (partner in self.cut) == (name in self.cut):
                self.vms[partner].receive(beat, self.now)

    def named(self, asked: str) -> set[str]:
        vm = self.vms[asked]
        return {name for name in self.vms if vm.accepts_callers(name, self.now)}


class Membership(unittest.TestCase):
    def test_all_know_all_soon_after_the_start(self) -> None:
        for count in (12, 90):
            with self.subTest(count=count):
                fleet = Fleet(count)
                fleet.run(4.0)
                least = min(len(fleet.named(name)) for name in fleet.vms)
                self.assertEqual(least, count)

    def test_nobody_alive_is_dropped_in_calm_times(self) -> None:
        for count in (12, 90):
            fleet = Fleet(count)
            fleet.run(5.0)
            for _ in range(60):
                fleet.run(HEARTBEAT_S)
                for name in ("vm0", "vm5"):
                    self.assertEqual(len(fleet.named(name)), count)

    def test_a_killed_vm_is_named_no_more(self) -> None:
        fleet = Fleet(12)
        fleet.run(5.0)
        fleet.dead.add("vm3")
        fleet.run(SILENCE_S + 2.0)
        for name in fleet.vms.keys() - fleet.dead:
            self.assertNotIn("vm3", fleet.named(name))

    def test_a_leaving_vm_is_named_no_more_at_once(self) -> None:
        fleet = Fleet(12)
        fleet.run(5.0)
        leaving = fleet.vms["vm3"]
        leaving.accepting = False
        beat = leaving.tick(fleet.now, 0)
        for vm in fleet.vms.values():
            vm.receive(beat, fleet.now)
        self.assertFalse(any("vm3" in fleet.named(name) for name in fleet.vms))

    def test_a_vm_that_stood_still_does_not_take_others_for_dead(self) -> None:
        fleet = Fleet(12)
        fleet.run(5.0)
        fleet.dead.add("vm0")
        fleet.run(8.0)
        fleet.dead.clear()
        fleet.vms["vm0"].tick(fleet.now, 0)
        self.assertEqual(len(fleet.named("vm0")), 12)

    def test_a_restarted_vm_is_named_again(self) -> None:
        fleet = Fleet(12)
        fleet.run(5.0)
        fleet.vms["vm3"] = Gossip("vm3", 2, random.Random(9))
        fleet.vms["vm3"].accepting = True
        fleet.run(3.0)
        self.assertIn("vm3", fleet.named("vm0"))

    def test_a_vm_that_restarts_with_its_clock_set_back_is_named_again(self) -> None:
        fleet = Fleet(12)
        fleet.vms["vm3"].incarnation = 9_000
        fleet.run(5.0)
        fleet.vms["vm3"] = Gossip("vm3", 2, random.Random(9))
        fleet.vms["vm3"].accepting = True
        fleet.run(SILENCE_S + 1.0)
        self.assertTrue(all("vm3" in fleet.named(name) for name in fleet.vms))

    def test_halves_that_are_cut_apart_name_their_own(self) -> None:
        fleet = Fleet(12)
        fleet.run(5.0)
        fleet.cut = {f"vm{n}" for n in range(6)}
        fleet.run(SILENCE_S + 1.5)
        self.assertEqual(fleet.named("vm0"), fleet.cut)
        fleet.cut = set()
        fleet.run(3.0)
        self.assertEqual(len(fleet.named("vm0")), 12)


class Answers(unittest.TestCase):
    """Look-ups at one VM of a fleet whose VMs take turns in two regions."""

    def setUp(self) -> None:
        self.fleet = Fleet(12)
        self.fleet.run(5.0)
        view = StoreView(decoder=None)  # type: ignore[arg-type]
        for number, name in enumerate(self.fleet.vms):
            region = ("east", "west")[number % 2]
            view.members[name] = Member(name, "z", region, self._address(name), "")
        self.view = view
        self.directory = Directory(view, self.fleet.vms["vm0"], 30.0)

    def _address(self, name: str) -> str:
        return f"10.0.0.{int(name[2:]) + 1}:80"

    def _found(self, region: str) -> set[str]:
        return set(self.directory.find(region, self.fleet.now).addresses)

    def _addresses(self, numbers: range) -> set[str]:
        return {self._address(f"vm{number}") for number in numbers}

    def test_callers_get_the_vms_of_their_region(self) -> None:
        self.assertEqual(self._found("east"), self._addresses(range(0, 12, 2)))
        self.assertEqual(self._found("west"), self._addresses(range(1, 12, 2)))

    def test_a_region_without_vms_gets_all(self) -> None:
        self.assertEqual(self._found("north"), self._addresses(range(12)))

    def test_a_region_whose_vms_are_out_of_touch_gets_the_others(self) -> None:
        self.fleet.dead = {f"vm{number}" for number in range(1, 12, 2)}
        self.fleet.run(SILENCE_S + 2.0)
        self.assertEqual(self._found("west"), self._addresses(range(0, 12, 2)))

    def test_vms_that_are_not_registered_are_not_named(self) -> None:
        del self.view.members["vm2"]
        self.assertNotIn(self._address("vm2"), self._found("east"))

    def test_the_number_of_addresses_is_bounded(self) -> None:
        for number in range(200):
            self.view.members[f"x{number}"] = Member("vm0", "z", "east", f"10.1.0.{number}:80", "")
        found = self.directory.find("east", self.fleet.now).addresses
        self.assertEqual(len(found), MAX_ADDRESSES)

    def test_answers_are_kept_for_the_shorter_time(self) -> None:
        self.assertEqual(self.directory.find("east", self.fleet.now).ttl_s, LOOKUP_TTL_S)
        self.directory.limit(0.5)
        self.assertEqual(self.directory.find("east", self.fleet.now).ttl_s, 0.5)
