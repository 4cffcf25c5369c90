"""Writes the quarantine to the platform's store, so that it survives the loss of all VMs.

This module owns which VM writes an item, when, and the calls to the store; `quarantine` owns what
is to be written. A VM that saw one of the crashes writes at once; where that fails, the VMs that
follow the store write after `_FOLLOWER_DELAY_S`. A failed call is retried after a random back-off.
At most `MAX_QUARANTINED` items are written, which is as many as a VM holds.

A trial is taken by a write that succeeds only while nobody else has changed the item, so that one
VM in the whole fleet takes it; without the store there is no trial. Each attempt to take one is
written as the event `quarantine-trial`. `test_gateway_quarantine` tests this module.
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
from .quarantine import MAX_QUARANTINED, Quarantine
from .quarantine_entry import QuarantineEntry

_CHECK_INTERVAL_S = 0.5
"""Longest time between two checks for a write that is due, in seconds."""

_FOLLOWER_DELAY_S = 1.5
"""Time after which store followers write an item that no VM which saw a crash has written, in
seconds: half of the time within which all VMs have to know of the request."""

_ABSENT_REVISION = 0
"""Revision of a key that is not in the store."""

_BACKOFF_BASE_S = 0.3
"""Longest random back-off after the first failed call, in seconds."""

_MAX_BACKOFF_S = 3.0
"""Longest random back-off after any failed call, in seconds."""


class QuarantineStore:
    """Makes the calls to the store that the quarantine needs.

    Args:
        quarantine: What this VM refuses.
        store: The store.
        store_view: What this VM holds of the store.
        follow_role: Whether this VM follows the store.
        timing: Sources of time and randomness.
        events: Takes events.
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
                # Not logged: the call is retried, and `store_follower` writes the event `store`.
                failures += 1
                await asyncio.sleep(
                    backoff_s(
                        failures, self.timing.rng, base_s=_BACKOFF_BASE_S, max_s=_MAX_BACKOFF_S
                    )
                )

    async def take_trial(self, entry: QuarantineEntry) -> bool:
        """Take a trial of a request; return whether this VM may send it.

        The result is False when another VM took the trial, or the store is unavailable.
        """
        item = self._item(entry.request)
        if item is None:
            return False
        taken = entry.request.on_trial()
        self.quarantine.begin_trial(entry)
        try:
            won = await self.store.replace(item, quarantine_item(taken).value)
        except StoreUnavailableError as error:
            self._log_trial(taken, str(error))
            return False
        self._log_trial(taken, "taken" if won else "another VM took it")
        return won

    def _log_trial(self, request: QuarantinedRequest, outcome: str) -> None:
        self.events.state(
            "quarantine-trial",
            fingerprint=request.fingerprint,
            trial=request.trials,
            outcome=outcome,
        )

    async def _wait(self) -> None:
        """Wait for a change, or until a write may be due or evidence is to be assessed."""
        self.quarantine.changed.clear()
        due_in_s = self.quarantine.suspects.next_assessment_in_s()
        try:
            async with asyncio.timeout(
                _CHECK_INTERVAL_S if due_in_s is None else min(_CHECK_INTERVAL_S, due_in_s)
            ):
                await self.quarantine.changed.wait()
        except TimeoutError:
            # Expected: the wait has ended without a change.
            pass

    async def _step(self) -> None:
        """Remove the items of released requests, then write those of refused ones."""
        self.quarantine.assess_due()
        now = self.timing.monotonic()
        pending_removals = self.quarantine.pending_removals
        for fingerprint, until in list(pending_removals.items()):
            item = self.store_view.replica.items.get(quarantine_key(fingerprint.hex()))
            if item is not None:
                await self.store.remove(item)
            if now > until:
                pending_removals.pop(fingerprint, None)
        for entry in list(self.quarantine.entries.values()):
            if self._is_due(entry, now):
                stored = quarantine_item(entry.request)
                # Only if absent: the item that another VM wrote may already count a trial.
                await self.store.replace(Item(stored.key, b"", _ABSENT_REVISION), stored.value)
                self._mark_written(entry)

    def _is_due(self, entry: QuarantineEntry, now: float) -> bool:
        if entry.revision or self._item(entry.request) is not None:
            return False
        if self._stored_count() >= MAX_QUARANTINED:
            return False
        return entry.witnessed or (
            now - entry.since > _FOLLOWER_DELAY_S and self.follow_role.is_elected(now)
        )

    def _mark_written(self, entry: QuarantineEntry) -> None:
        """Keep this VM from writing an item again before the item arrives from the store."""
        current = self.quarantine.entries.get(entry.fingerprint)
        if current is entry:
            renewed = entry._replace(witnessed=False, since=self.timing.monotonic())
            self.quarantine.entries[entry.fingerprint] = renewed

    def _item(self, request: QuarantinedRequest) -> Optional[Item]:
        return self.store_view.replica.items.get(quarantine_key(request.fingerprint))

    def _stored_count(self) -> int:
        return sum(key.startswith(QUARANTINE_PREFIX) for key in self.store_view.replica.items)
