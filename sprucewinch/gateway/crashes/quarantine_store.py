"""Writes the quarantine to the platform's store, so that it outlasts all VMs, and takes trials.

Owns which VM writes, when, and the calls. A VM that saw one of the crashes writes at once; where
that fails, the VMs that follow the store do after `_OTHERS_S`. A failed call is repeated after a
random pause. A trial is taken by a write on condition that nobody has changed the item, so that it
is one in the fleet; without the store there is none. At most `MOST_HELD` items are written, as many
as a VM holds. Relies on `quarantine` for what is to be written. Shows in: event `quarantine-trial`.
Tests: `test_gateway_quarantine`.
"""

import asyncio
from typing import Optional

from ...retry import backoff_s
from ..events import EventLog
from ..following.follow_role import FollowRole
from ..resources import QuarantinedRequest
from ..state.own_items import QUARANTINE_PREFIX, quarantine_item, quarantine_key
from ..state.replica import Item
from ..state.store import Store, StoreUnavailableError
from ..state.store_view import StoreView
from ..timing import Timing
from .held import Held
from .quarantine import MOST_HELD, Quarantine

_LOOK_S = 0.5
"""Longest time between two looks for a write that is due, in seconds."""

_OTHERS_S = 1.5
"""Time after which VMs that follow the store write what no witness has written, in seconds: half of
the time in which all VMs have to know."""

_ABSENT = 0
"""Revision of a key that is not in the store."""

_BACKOFF_BASE_S = 0.3
"""Longest random pause after the first failed call, in seconds."""

_MOST_BACKOFF_S = 3.0
"""Longest random pause after a failed call, in seconds."""


class QuarantineStore:
    """Makes the calls that the quarantine asks for.

    Args:
        quarantine: What this VM refuses.
        store: The store.
        store_view: What this VM holds of it.
        follow_role: Whether this VM follows the store.
        timing: Sources of time and randomness.
        events: Lines.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        store: Store,
        store_view: StoreView,
        follow_role: FollowRole,
        timing: Timing,
        events: EventLog,
    ) -> None:
        self.quarantine = quarantine
        self.store = store
        self.store_view = store_view
        self.follow_role = follow_role
        self.timing = timing
        self.events = events

    async def run(self) -> None:
        """Make each call that is due, until cancelled."""
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
                await self._wait()
            except StoreUnavailableError:
                # Silent: the call is repeated; `store_follower` writes the event `store`.
                failures += 1
                await asyncio.sleep(
                    backoff_s(
                        failures, self.timing.rng, base_s=_BACKOFF_BASE_S, max_s=_MOST_BACKOFF_S
                    )
                )

    async def take_trial(self, held: Held) -> bool:
        """Return whether this VM may try a request now; False when another one does."""
        item = self._item(held.request)
        if item is None:
            return False
        taken = held.request.on_trial()
        self.quarantine.trial_begins(held)
        try:
            won = await self.store.replace(item, quarantine_item(taken).value)
        except StoreUnavailableError as error:
            self._tell_trial(taken, str(error))
            return False
        self._tell_trial(taken, "taken" if won else "another VM took it")
        return won

    def _tell_trial(self, request: QuarantinedRequest, outcome: str) -> None:
        self.events.state(
            "quarantine-trial",
            fingerprint=request.fingerprint,
            trial=request.trials,
            outcome=outcome,
        )

    async def _wait(self) -> None:
        """Wait for a change, or until a write may be due or a request is to be judged."""
        self.quarantine.changed.clear()
        settles_s = self.quarantine.suspects.settles_in_s()
        try:
            async with asyncio.timeout(_LOOK_S if settles_s is None else min(_LOOK_S, settles_s)):
                await self.quarantine.changed.wait()
        except TimeoutError:
            # No error: the time has come.
            pass

    async def _step(self) -> None:
        """Remove what has been let go, then write what is refused."""
        self.quarantine.judge_settled()
        now = self.timing.monotonic()
        unwanted = self.quarantine.unwanted
        for name, until in list(unwanted.items()):
            item = self.store_view.replica.items.get(quarantine_key(name.hex()))
            if item is not None:
                await self.store.remove(item)
            if now > until:
                unwanted.pop(name, None)
        for held in list(self.quarantine.held.values()):
            if self._is_due(held, now):
                stored = quarantine_item(held.request)
                # Only where there is none: another witness's may already count a trial.
                await self.store.replace(Item(stored.key, b"", _ABSENT), stored.value)
                self._note_written(held)

    def _is_due(self, held: Held, now: float) -> bool:
        if held.revision or self._item(held.request) is not None:
            return False
        if self._stored() >= MOST_HELD:
            return False
        return held.witnessed or (now - held.since > _OTHERS_S and self.follow_role.is_elected(now))

    def _note_written(self, held: Held) -> None:
        """Let this VM not write an item again before it has come back from the store."""
        current = self.quarantine.held.get(held.fingerprint)
        if current is held:
            renewed = held._replace(witnessed=False, since=self.timing.monotonic())
            self.quarantine.held[held.fingerprint] = renewed

    def _item(self, request: QuarantinedRequest) -> Optional[Item]:
        return self.store_view.replica.items.get(quarantine_key(request.fingerprint))

    def _stored(self) -> int:
        return sum(key.startswith(QUARANTINE_PREFIX) for key in self.store_view.replica.items)
