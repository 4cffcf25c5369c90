"""Decides on the registration of this VM in the store and the removal of VMs long out of touch.

`RegistrationRule` determines the one write to the store, if any, that this VM makes now. It relies
on this VM's own registration, the registered VMs (`StoreView`), the VMs in touch (`Gossip`) and the
time (monotonic, in seconds).

A VM whose registration in the store is missing or differs writes it, also when the store has lost
it by its return from an older copy, while other VMs still keep it. Otherwise, when a registered
VM of its region has been out of touch for `_REMOVE_AFTER_S`, the region's first VM in touch by name
removes it. VMs of other regions are not removed: regions lose contact for minutes, and a region
that removed all VMs of another would make each of them register again. Registrations of a region
without any running VM therefore stay until one of its VMs returns or an operator removes them.

Each write wakes every watch on the store. A VM that stops therefore stays registered, and a VM that
returns at its address writes nothing; heartbeats announce whether it accepts callers. Writes at
each start and stop were part of 1,302 calls a day at 12 VMs. Only the first VM by name removes, so
that not all VMs remove the same one at once; a second removal of the same revision of the key
changes nothing. A VM with no other VM in touch removes none: it would be the first in touch in its
own view, but is more likely cut off than alone. Without this condition, one of 6 VMs that was cut
off from the others for 120 s removed 43 registrations, and each VM wrote its own again.

The result is a `Register` or `Remove`, shown by the event `fact` of the member's key at every VM.
It is tested by `test_gateway_registration` and `test_platform_store`.
"""

from typing import NamedTuple, Optional, Union

from ..resources import Member
from ..state.own_items import MEMBER_PREFIX
from ..state.replica import Item
from ..state.store_view import StoreView
from .gossip import Gossip

_REMOVE_AFTER_S = 30.0
"""Time out of touch after which a VM's registration is removed, in seconds."""


class Register(NamedTuple):
    """Write this VM's registration, which is missing or differs.

    Args:
        member: The registration to write.
    """

    member: Member


class Remove(NamedTuple):
    """Remove the registration of a VM that has been out of touch for `_REMOVE_AFTER_S`.

    Args:
        item: The registration's item, at the revision held here.
    """

    item: Item


class RegistrationRule:
    """Determines the next write, and tracks since when registered VMs are out of touch.

    Args:
        own: This VM's registration.
        store_view: Registered VMs.
        gossip: Heartbeats of the VMs.
    """

    def __init__(self, own: Member, store_view: StoreView, gossip: Gossip) -> None:
        self.own = own
        self.store_view = store_view
        self.gossip = gossip
        self._out_of_touch_since: dict[str, float] = {}

    def next_write(self, now: float) -> Optional[Union[Register, Remove]]:
        """Return the write that is due, or None.

        Args:
            now: Monotonic time, in seconds.
        """
        lost = self.store_view.is_lost(MEMBER_PREFIX + self.own.name)
        if lost or self.store_view.members.get(self.own.name) != self.own:
            return Register(self.own)
        return self._removal(now)

    def _removal(self, now: float) -> Optional[Remove]:
        region = self.own.region
        members = {n for n, m in self.store_view.members.items() if m.region == region}
        out_of_touch = {
            n for n in members if n != self.own.name and not self.gossip.in_touch(n, now)
        }
        self._out_of_touch_since = {n: self._out_of_touch_since.get(n, now) for n in out_of_touch}
        removable = [n for n, at in self._out_of_touch_since.items() if now - at > _REMOVE_AFTER_S]
        if not self._has_peer_in_touch(now):
            return None
        first = min((name for name in members if name not in out_of_touch), default=self.own.name)
        if not removable or self.own.name != first:
            return None
        item = self.store_view.replica.items.get(MEMBER_PREFIX + removable[0])
        return Remove(item) if item is not None else None

    def _has_peer_in_touch(self, now: float) -> bool:
        """Return whether any other VM, of any region, is in touch."""
        others = (name for name in self.store_view.members if name != self.own.name)
        return any(self.gossip.in_touch(name, now) for name in others)
