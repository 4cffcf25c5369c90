"""`RegistrationRule`: which write is due, and which VM removes those long out of touch."""

import random
import unittest
from typing import Optional, Union

from sprucewinch.gateway.membership.gossip import Gossip, Heartbeat, HeartbeatRow
from sprucewinch.gateway.membership.registration import Register, RegistrationRule, Remove
from sprucewinch.gateway.resources import Member
from sprucewinch.gateway.state.own_items import MEMBER_PREFIX
from sprucewinch.gateway.state.replica import Delta, Item
from sprucewinch.gateway.state.store_view import Decoder, StoreView

_NAMES = ("vm1", "vm2", "vm3")
_LONG_S = 31.0


def _member(name: str) -> Member:
    return Member(name, "z", "east", f"{name}:80", f"{name}:70")


class NamesOnly(Decoder):
    """Decodes an item from its key alone, to the registration of the VM that it names."""

    def decode(self, item: Item) -> Optional[Member]:
        return _member(item.key.removeprefix(MEMBER_PREFIX))


class Writes(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.counter = 0
        self.view = StoreView(NamesOnly())

    def _register(self, names: tuple[str, ...]) -> None:
        items = tuple(Item(MEMBER_PREFIX + name, b"", at) for at, name in enumerate(names, 1))
        self.view.apply(Delta(items, (), len(names)), self.now)

    def _rule(self, own: str) -> RegistrationRule:
        self.gossip = Gossip(own, 1, random.Random(1))
        return RegistrationRule(_member(own), self.view, self.gossip)

    def _pass(
        self, rule: RegistrationRule, seconds: float, in_touch: tuple[str, ...]
    ) -> Optional[Union[Register, Remove]]:
        """Let time pass with heartbeats of some VMs, and return the write due at the end."""
        end = self.now + seconds
        write = None
        while self.now < end:
            self.now += 1.0
            self.counter += 1
            rows = tuple(HeartbeatRow(name, 1, self.counter, True) for name in in_touch)
            self.gossip.receive(Heartbeat("vm9", 0, rows), self.now)
            write = rule.next_write(self.now)
        return write

    def test_a_vm_whose_registration_is_missing_registers(self) -> None:
        self._register(("vm2",))
        self.assertEqual(self._rule("vm1").next_write(self.now), Register(_member("vm1")))

    def test_a_vm_whose_address_changed_registers(self) -> None:
        self._register(_NAMES)
        moved = _member("vm1")._replace(caller_address="elsewhere:80")
        gossip = Gossip("vm1", 1, random.Random(1))
        rule = RegistrationRule(moved, self.view, gossip)
        self.assertEqual(rule.next_write(self.now), Register(moved))

    def test_nothing_is_due_while_all_are_in_touch(self) -> None:
        self._register(_NAMES)
        self.assertIsNone(self._pass(self._rule("vm1"), 60.0, ("vm2", "vm3")))

    def test_the_first_in_touch_removes_a_vm_long_out_of_touch(self) -> None:
        self._register(_NAMES)
        rule = self._rule("vm1")
        self.assertIsNone(self._pass(rule, 30.0, ("vm2",)))
        write = self._pass(rule, _LONG_S, ("vm2",))
        self.assertEqual(write, Remove(Item(MEMBER_PREFIX + "vm3", b"", 3)))

    def test_the_second_in_touch_removes_none(self) -> None:
        self._register(_NAMES)
        self.assertIsNone(self._pass(self._rule("vm2"), 3 * _LONG_S, ("vm1",)))

    def test_a_vm_that_is_cut_off_from_all_others_removes_none(self) -> None:
        self._register(_NAMES)
        self.assertIsNone(self._pass(self._rule("vm1"), 3 * _LONG_S, ()))

    def test_vms_of_other_regions_are_not_removed(self) -> None:
        self._register(_NAMES)
        self.view.members["vm3"] = _member("vm3")._replace(region="west")
        self.assertIsNone(self._pass(self._rule("vm1"), 3 * _LONG_S, ("vm2",)))

    def test_a_vm_that_returns_in_time_is_not_removed(self) -> None:
        self._register(_NAMES)
        rule = self._rule("vm1")
        for _ in range(3):
            self.assertIsNone(self._pass(rule, 25.0, ("vm2",)))
            self.assertIsNone(self._pass(rule, 5.0, ("vm2", "vm3")))


if __name__ == "__main__":
    unittest.main()
