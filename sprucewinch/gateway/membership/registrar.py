"""Writes this VM's registration to the store and removes those of VMs that are gone.

Owns the loop, its pauses and the calls. Relies on `registration` for which write is due. A failed
call is repeated after a random pause that doubles with each failure up to a bound. Until a
registration succeeds other VMs do not know this one. The store follower reports the outage only
where this VM follows the store; where it follows peers, a failed write shows nowhere here.
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

_REGISTER_S = 2.0
"""Pause between two looks for a write that is due, in seconds."""

_MIN_BACKOFF_S = 0.1
"""Part of the pause after a failed call that is not random, in seconds."""

_BACKOFF_BASE_S = 0.2
"""Longest random pause after the first failed call, in seconds."""

_MAX_BACKOFF_S = 1.0
"""Longest random pause after a failed call, in seconds."""


class Registrar:
    """Makes the writes that the rule of registration asks for.

    Args:
        own: This VM.
        store_view: What this VM holds of the store.
        gossip: VMs in touch.
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
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
                await asyncio.sleep(_REGISTER_S)
            except StoreUnavailableError:
                # Silent: the write is repeated. A VM that follows the store itself writes the event
                # `store` as well; one that follows peers has no line of it.
                failures += 1
                await asyncio.sleep(self._backoff_s(failures))

    async def _step(self) -> None:
        write = self.rule.next_write(self.timing.monotonic())
        if isinstance(write, Register):
            await self.store.write(*member_item(write.member))
        elif isinstance(write, Remove):
            await self.store.remove(write.item)

    def _backoff_s(self, failures: int) -> float:
        """Return the pause after some failures in a row, in seconds."""
        random_s = backoff_s(
            failures, self.timing.rng, base_s=_BACKOFF_BASE_S, max_s=_MAX_BACKOFF_S
        )
        return _MIN_BACKOFF_S + random_s
