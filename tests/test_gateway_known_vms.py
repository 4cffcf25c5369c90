"""The VMs among which limits of the whole fleet are divided."""

import unittest

from sprucewinch.gateway.membership.known_vms import KnownVms
from sprucewinch.gateway.resources import Member

from .gateway_fakes import StoreFixture


class Known(unittest.TestCase):
    def test_a_vm_counts_for_a_while_after_its_registration_is_gone(self) -> None:
        world = StoreFixture(vms=3)
        known = world.registry.known_vms
        world.remove("members/vm1", 100.0)
        world.remove("members/vm2", 130.0)
        self.assertEqual((known.count(), sorted(known.members())), (3, ["vm0", "vm1", "vm2"]))
        known.forget_old(161.0)
        self.assertEqual((known.count(), sorted(known.members())), (2, ["vm0", "vm2"]))
        known.forget_old(191.0)
        self.assertEqual(known.count(), 1)

    def test_a_vm_that_registers_again_counts_once_and_by_its_new_entry(self) -> None:
        world = StoreFixture(vms=2)
        known = world.registry.known_vms
        member = world.store_view.members["vm1"]
        world.remove("members/vm1", 100.0)
        world.put("members/vm1", member._replace(region="west"), 101.0)
        known.forget_old(102.0)
        self.assertEqual((known.count(), known.members()["vm1"].region), (2, "west"))

    def test_this_vm_and_those_that_were_heard_count_unregistered(self) -> None:
        world = StoreFixture(vms=0)
        known = KnownVms("vm7", world.store_view, lambda: ("vm8", "vm9"))
        self.assertEqual((known.count(), known.members()), (3, {}))

    def test_heard_vms_are_unregistered_until_they_are_registered(self) -> None:
        world = StoreFixture(vms=2)
        known = KnownVms("vm0", world.store_view, lambda: ("vm0", "vm1", "vm8"))
        known.refresh()
        self.assertEqual(known.unregistered, frozenset(("vm8",)))


class SinceWhenOthersKnowThisVm(unittest.TestCase):
    def test_a_registration_that_is_there_at_the_start_is_known(self) -> None:
        self.assertEqual(StoreFixture(vms=2).registry.known_vms.known_since, float("-inf"))

    def test_a_new_registration_is_known_after_a_while(self) -> None:
        world = StoreFixture(vms=2, name="vm2")
        known = world.registry.known_vms
        self.assertIsNone(known.own_member())
        own = Member("vm2", "east-a", "east", "127.0.0.1:1", "127.0.0.1:2")
        world.put("members/vm2", own, 20.0)
        self.assertEqual((known.own_member(), known.known_since), (own, 23.0))

    def test_a_registration_that_lapsed_and_is_written_again_stays_known(self) -> None:
        world = StoreFixture(vms=2)
        known = world.registry.known_vms
        own = known.own_member()
        world.remove("members/vm0", 20.0)
        self.assertEqual(known.own_member(), own)
        world.put("members/vm0", own, 21.0)
        self.assertEqual(known.known_since, float("-inf"))
        world.remove("members/vm0", 30.0)
        known.forget_old(91.0)
        self.assertIsNone(known.own_member())
        world.put("members/vm0", own, 92.0)
        self.assertEqual(known.known_since, 95.0)


if __name__ == "__main__":
    unittest.main()
