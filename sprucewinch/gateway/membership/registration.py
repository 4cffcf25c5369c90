"""Rule: registration of this VM in the store, and removal of VMs that are gone.

Question: which one write to the store, if any, does this VM make now?

Inputs: its own registration, registered VMs (`StoreView`), VMs in touch (`Gossip`), the time
(monotonic, in seconds).

Rule: a VM whose registration in the store is missing or differs writes it. Otherwise, when a
registered VM of its region has been out of touch for `_REMOVE_MEMBER_S`, the region's first VM in
touch by name removes it. Other regions' VMs are left alone: regions lose each other for minutes,
and a region that removed all VMs of another would make each of them write again. So registrations
of a region without any VM stay until one of it is back, or until an operator removes them.

Why: each write wakes every watch on the store, so a VM that stops stays registered and one that
comes back at its address writes nothing; heartbeats announce whether it accepts callers. Writes at
each start and stop were part of 1,302 calls a day at 12 VMs. One VM by name removes, so
that not all others remove the same VM at once. A second removal of the same revision of the key
changes nothing. A VM that has no other VM in touch removes nobody: it is the first in touch of its
own view, and more likely cut off than alone. Without that, one of 6 VMs that was cut off from the
others for 120 s removed 43 registrations, and each VM wrote its own again (a trial, once).

Result: `Register` or `Remove`; it shows as the event `fact` of the member's key at every VM.
Tests: `test_gateway_registration`, `test_platform_store`.
"""

from typing import NamedTuple, Optional, Union

from ..resources import Member
from ..state.own_items import MEMBER_PREFIX
from ..state.replica import Item
from ..state.store_view import StoreView
from .gossip import Gossip

_REMOVE_MEMBER_S = 30.0
"""Time out of touch after which a VM's registration is removed, in seconds."""


class Register(NamedTuple):
    """Write this VM's registration: it is missing or differs.

    Args:
        member: What to write.
    """

    member: Member


class Remove(NamedTuple):
    """Remove the registration of a VM that has been out of touch for long.

    Args:
        item: The registration, at the revision held here.
    """

    item: Item


class RegistrationRule:
    """Decides the next write, and keeps since when each registered VM is out of touch.

    Args:
        own: This VM.
        store_view: Registered VMs.
        gossip: VMs in touch.
    """

    def __init__(self, own: Member, store_view: StoreView, gossip: Gossip) -> None:
        self.own = own
        self.store_view = store_view
        self.gossip = gossip
        self._silent_since: dict[str, float] = {}

    def next_write(self, now: float) -> Optional[Union[Register, Remove]]:
        """Return the write that is due; None when there is none.

        Args:
            now: Monotonic time, in seconds.
        """
        if self.store_view.members.get(self.own.name) != self.own:
            return Register(self.own)
        return self._removal(now)

    def _removal(self, now: float) -> Optional[Remove]:
        region = self.own.region
        members = {n for n, m in self.store_view.members.items() if m.region == region}
        silent = {n for n in members if n != self.own.name and not self.gossip.in_touch(n, now)}
        self._silent_since = {n: self._silent_since.get(n, now) for n in silent}
        gone = [n for n, at in self._silent_since.items() if now - at > _REMOVE_MEMBER_S]
        if not self._has_company(now):
            return None
        first = min((name for name in members if name not in silent), default=self.own.name)
        if not gone or self.own.name != first:
            return None
        item = self.store_view.replica.items.get(MEMBER_PREFIX + gone[0])
        return Remove(item) if item is not None else None

    def _has_company(self, now: float) -> bool:
        """Return whether any other VM, of any region, is in touch."""
        others = (name for name in self.store_view.members if name != self.own.name)
        return any(self.gossip.in_touch(name, now) for name in others)
