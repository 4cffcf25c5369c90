"""The shipped policy `demand`: regions serve by their slots, whatever their own callers ask for."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.steering.measures import RegionMeasures, Snapshot
from sprucewinch.steering.policy import Policy, PolicyFault, ProgramPolicy, shipped_policies

REGIONS = ("south", "middle", "north")
SLOTS = {"south": 72.0, "middle": 294.0, "north": 354.0}
SWING = 0.55
PERIOD_S = 36.0


def shipped(name: str) -> Policy:
    """Return a shipped policy."""
    return ProgramPolicy(name, shipped_policies()[name])


def weights(policy: Policy, home: str, demand: dict[str, float]) -> dict[str, float]:
    """Return a policy's weights for one region's callers; they add up to 1."""
    measures = {
        region: RegionMeasures(SLOTS[region], age_s=0.5, demand_per_s=demand[region])
        for region in REGIONS
    }
    distance_ms = dict.fromkeys(REGIONS, 10.0)
    found = policy.weights(Snapshot("rates", home, measures, distance_ms))
    assert not isinstance(found, PolicyFault), found
    total = sum(found.values())
    return {region: found.get(region, 0.0) / total for region in REGIONS}


def loads_per_slot(policy: Policy, demand: dict[str, float]) -> dict[str, float]:
    """Return the requests a second that each region serves, for each of its slots."""
    served = dict.fromkeys(REGIONS, 0.0)
    for home in REGIONS:
        for region, weight in weights(policy, home, demand).items():
            served[region] += demand[home] * weight
    return {region: served[region] / SLOTS[region] for region in REGIONS}


def wave(at_s: float) -> dict[str, float]:
    """Return the demand of each region at a moment of a wave that comes later in each region."""
    return {
        region: 300.0 * (1 + SWING * math.sin(2 * math.pi * (at_s / PERIOD_S + number / 3)))
        for number, region in enumerate(REGIONS)
    }


def worst_of_wave(policy: Policy) -> float:
    """Return the greatest load of a region over the wave, in relation to an even load."""
    even = 900.0 / sum(SLOTS.values())
    return max(
        max(loads_per_slot(policy, wave(float(second))).values()) / even
        for second in range(int(PERIOD_S))
    )


class Demand(unittest.TestCase):
    def test_a_wave_that_comes_later_in_each_region_loads_all_alike(self) -> None:
        self.assertGreater(worst_of_wave(shipped("capacity")), 1.3)
        self.assertLess(worst_of_wave(shipped("demand")), 1.1)

    def test_callers_that_move_to_the_smallest_region_are_sent_on(self) -> None:
        demand = {"south": 700.0, "middle": 100.0, "north": 200.0}
        loads = loads_per_slot(shipped("demand"), demand)
        self.assertLess(max(loads.values()) / min(loads.values()), 1.01)

    def test_even_and_unknown_demand_is_steered_as_by_capacity(self) -> None:
        for demand in ((300.0, 300.0, 300.0), (300.0, 330.0, 290.0), (0.0, 0.0, 0.0), (0, 90, 9)):
            by_region = dict(zip(REGIONS, map(float, demand), strict=True))
            for home in REGIONS:
                expected = weights(shipped("capacity"), home, by_region)
                found = weights(shipped("demand"), home, by_region)
                for region in REGIONS:
                    self.assertAlmostEqual(found[region], expected[region])

    @given(st.lists(st.floats(1.0, 5000.0), min_size=3, max_size=3))
    def test_no_region_serves_more_than_its_part_while_another_has_room(
        self, asked: list[float]
    ) -> None:
        demand = dict(zip(REGIONS, asked, strict=True))
        even = sum(asked) / sum(SLOTS.values())
        parts = [each / sum(asked) for each in asked]
        if max(abs(part - 1 / 3) for part in parts) <= 0.051:
            return
        for region, load in loads_per_slot(shipped("demand"), demand).items():
            self.assertLessEqual(load, even * 1.001, region)


if __name__ == "__main__":
    unittest.main()
