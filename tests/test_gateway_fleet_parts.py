"""The division of requests to a server among VMs whose lists of VMs differ."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.membership.fleet_parts import FleetParts
from sprucewinch.gateway.membership.known_vms import KnownVms
from sprucewinch.gateway.resources import Member

from .gateway_fakes import StoreFixture

_REGIONS = ("east", "west", "north")


def _member(number: int, region: str) -> Member:
    return Member(f"vm{number}", f"{region}-a", region, f"10.0.0.{number}:1", f"10.0.0.{number}:2")


def _parts(own: int, known: dict[int, str], heard: set[int]) -> FleetParts:
    """Return what a VM divides by.

    Args:
        own: Its number.
        known: Regions of the VMs that it knows, by number.
        heard: Numbers of the VMs that it has only heard of.
    """
    world = StoreFixture(vms=0, name=f"vm{own}")
    for number, region in known.items():
        world.put(f"members/vm{number}", _member(number, region))
    vms = KnownVms(f"vm{own}", world.store_view, lambda: [f"vm{number}" for number in heard])
    for number, region in known.items():
        vms._removed[f"vm{number}"] = (_member(number, region), 0.0)
    vms.refresh()
    return FleetParts(vms)


class PartsOfListsThatDiffer(unittest.TestCase):
    """VMs with different lists took the same place, and each had one request at least."""

    @given(st.data())
    def test_parts_add_up_to_no_more_than_is_divided(self, data: st.DataObject) -> None:
        regions = data.draw(st.lists(st.sampled_from(_REGIONS), min_size=1, max_size=24))
        numbers = range(len(regions))
        senders = data.draw(st.sets(st.sampled_from(numbers), min_size=1))
        requests = data.draw(st.integers(0, 30))
        total = 0
        for own in senders:
            # A sender knows itself; it knows or has heard of all other senders, and of any others.
            heard = data.draw(st.sets(st.sampled_from(numbers))) - {own}
            others = data.draw(st.sets(st.sampled_from(numbers)))
            known = (senders - heard) | others | {own}
            parts = _parts(own, {n: regions[n] for n in known}, (senders | heard) - known)
            total += parts.part("i-1", "east", requests)
        self.assertLessEqual(total, requests)

    @given(st.lists(st.sampled_from(_REGIONS), min_size=1, max_size=40), st.integers(0, 60))
    def test_equal_lists_leave_nothing_undivided(self, regions: list[str], requests: int) -> None:
        known = dict(enumerate(regions))
        total = sum(_parts(n, known, set()).part("i-1", "east", requests) for n in known)
        self.assertEqual(total, requests)

    def test_a_vm_without_registration_has_no_part(self) -> None:
        parts = _parts(9, {1: "east", 2: "west"}, {3})
        self.assertEqual(parts.part("i-1", "east", 30), 0)


class FirstVm(unittest.TestCase):
    @given(
        st.lists(st.sampled_from(_REGIONS), min_size=1, max_size=24), st.sets(st.integers(0, 30))
    )
    def test_one_registered_vm_is_first_whoever_else_was_heard(self, regions, heard) -> None:
        known = dict(enumerate(regions))
        first = [n for n in known if _parts(n, known, heard - set(known)).is_first("i-1", "east")]
        self.assertEqual(len(first), 1)
        if "east" in regions:
            self.assertEqual(regions[first[0]], "east")


class ChangedVms(unittest.TestCase):
    def test_parts_follow_registrations_removals_and_heartbeats(self) -> None:
        world = StoreFixture(vms=0)
        known, heard = world.registry.known_vms, set()
        known.heard = lambda: heard
        parts = FleetParts(known)
        world.put("members/vm0", _member(0, "east"))
        self.assertEqual(parts.part("i-1", "east", 8), 8)
        world.put("members/vm1", _member(1, "east"))
        self.assertEqual(parts.part("i-1", "east", 8), 4)
        world.remove("members/vm1", 10.0)
        self.assertEqual(parts.part("i-1", "east", 8), 4)
        known.forget_old(90.0)
        self.assertEqual(parts.part("i-1", "east", 8), 8)
        heard.add("vm2")
        known.refresh()
        self.assertEqual(parts.part("i-1", "east", 8), 3)


if __name__ == "__main__":
    unittest.main()
