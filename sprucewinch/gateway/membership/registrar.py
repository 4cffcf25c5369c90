"""Registration of entry VMs in the store."""

import asyncio
from typing import Optional

from ...retry import backoff_s
from ..resources import Member
from ..state.own_items import MEMBER_PREFIX, member_item
from ..state.replica import Item
from ..state.store import Store, StoreUnavailableError
from ..state.store_view import StoreView
from ..timing import Timing
from .gossip import Gossip

_REGISTER_S = 2.0
_FORGET_MEMBER_S = 30.0
_MOST_BACKOFF_S = 1.0


class Registrar:
    """Keeps this VM registered and removes VMs that are long gone.

    A VM that stops stays registered: whether it takes callers is told by heartbeats, and one
    that comes back at its address need not write again.

    Args:
        own: This VM.
        store_view: What this VM holds of the store.
        gossip: Who is there.
        store: The store.
        timing: Sources of time and randomness.
    """

    def __init__(
        self,
        own: Member,
        store_view: StoreView,
        gossip: Gossip,
        store: Store,
        timing: Timing,
    ) -> None:
        self.own = own
        self.store_view = store_view
        self.gossip = gossip
        self.store = store
        self.timing = timing
        self._missing_since: dict[str, float] = {}

    async def run(self) -> None:
        """Write until registered, and look again now and then."""
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
                await asyncio.sleep(_REGISTER_S)
            except StoreUnavailableError:
                failures += 1
                wait = backoff_s(failures, self.timing.rng, base_s=0.2, most_s=_MOST_BACKOFF_S)
                await asyncio.sleep(0.1 + wait)

    async def _step(self) -> None:
        if self.store_view.members.get(self.own.name) != self.own:
            await self.store.write(*member_item(self.own))
            return
        gone = self._longest_gone(self.timing.monotonic())
        if gone is not None:
            await self.store.remove(gone)

    def _longest_gone(self, now: float) -> Optional[Item]:
        """Return the registration of a VM not heard of for long, if it falls to this one."""
        silent = {
            name
            for name in self.store_view.members
            if name != self.own.name and not self.gossip.in_touch(name, now)
        }
        self._missing_since = {n: self._missing_since.get(n, now) for n in silent}
        alive = [name for name in self.store_view.members if name not in silent]
        long_gone = [n for n, at in self._missing_since.items() if now - at > _FORGET_MEMBER_S]
        if not long_gone or self.own.name != min(alive, default=self.own.name):
            return None
        return self.store_view.replica.items.get(MEMBER_PREFIX + long_gone[0])
