"""The VMs among which limits of the whole fleet are divided."""

import unittest

from sprucewinch.gateway.membership.known_vms import KnownVms

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


if __name__ == "__main__":
    unittest.main()
