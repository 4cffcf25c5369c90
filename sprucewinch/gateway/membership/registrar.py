"""Writes this VM's registration to the store and removes those of VMs long out of touch.

Owns the loop, its pauses and the calls. Relies on `registration` for the write that is due, and
waits until the store's items are held: the registration that a predecessor left is not written
again. A failed call is repeated with bounded, random exponential back-off. Until a registration
succeeds, other VMs do not know this VM. The store follower reports the outage only while this VM
follows the store; while it follows peers, a failed write is not reported.
"""

import asyncio

from ...retry import backoff_s
from ..resources import Member
from ..state.own_items import member_item
from ..state.store import Store, StoreUnavailableError
from ..state.store_view import StoreView
from ..timing import Timing
from .gossip import Gossip
from .registration import Register, RegistrationRule, Remove

_POLL_INTERVAL_S = 2.0
"""Pause between two checks for a write that is due, in seconds."""

_LOAD_POLL_INTERVAL_S = 0.02
"""Pause between two checks whether the store's items are held, in seconds."""

_FIXED_BACKOFF_S = 0.1
"""Fixed part of the pause after a failed call, in seconds."""

_BASE_RANDOM_BACKOFF_S = 0.2
"""Longest random pause after the first failed call, in seconds."""

_MAX_RANDOM_BACKOFF_S = 1.0
"""Longest random pause after a failed call, in seconds."""


class Registrar:
    """Makes the writes that `RegistrationRule` determines.

    Args:
        own: This VM's registration.
        store_view: This VM's view of the store.
        gossip: Heartbeats of the VMs.
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
        self.rule = RegistrationRule(own, store_view, gossip)
        self.store = store
        self.timing = timing

    async def run(self) -> None:
        """Make each write that is due, until cancelled."""
        while not self.rule.store_view.is_loaded:
            await asyncio.sleep(_LOAD_POLL_INTERVAL_S)
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
                await asyncio.sleep(_POLL_INTERVAL_S)
            except StoreUnavailableError:
                # The failure is not logged, as the write is repeated. If this VM follows the store
                # itself, the store follower logs the event `store`.
                failures += 1
                await asyncio.sleep(self._backoff_s(failures))

    async def _step(self) -> None:
        write = self.rule.next_write(self.timing.monotonic())
        if isinstance(write, Register):
            await self.store.write(*member_item(write.member))
        elif isinstance(write, Remove):
            await self.store.remove(write.item)

    def _backoff_s(self, failures: int) -> float:
        """Return the pause after a number of consecutive failures, in seconds."""
        random_s = backoff_s(
            failures, self.timing.rng, base_s=_BASE_RANDOM_BACKOFF_S, max_s=_MAX_RANDOM_BACKOFF_S
        )
        return _FIXED_BACKOFF_S + random_s
