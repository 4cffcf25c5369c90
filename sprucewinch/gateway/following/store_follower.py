"""Follows the store: one listing, then one watch after another.

Owns the loop that calls the store, its pauses and the events `follows`, `store` and
`store-history-gone`. Relies on `follow_role` for whether this VM calls the store, and on
`state.outages` and `state.store_view`, to which it passes each result.

A VM without a configuration always calls the store, whatever its role. A VM that relies on peers
after a failed call probes the store every `_PROBE_INTERVAL_S`. Failed calls are repeated with
bounded, random exponential back-off. When the response to a watch was truncated, the next call is a
listing, as its length does not grow with the number of versions missed. It is tested by
`test_platform_store` and `test_gateway_following`.
"""

import asyncio

from ...retry import backoff_s
from ..events import EventLog
from ..state.outages import StoreOutages
from ..state.replica import Delta
from ..state.store import (
    AnswerCutShortError,
    HistoryGoneError,
    Store,
    StoreUnavailableError,
)
from ..state.store_view import StoreView
from ..timing import Timing
from .follow_role import FollowRole
from .notices import ProgressNotices

WATCH_TIMEOUT_S = 2.0
"""Longest wait of a watch, in seconds; a connection that died silently is detected after it.
Longer watches save calls but deliver changes late."""

BATCH_PAUSE_S = 0.3
"""Pause after a change, in seconds, so that the next watch delivers several changes in one call."""

_LISTING_PAUSE_S = 0.5
"""Pause after a listing, in seconds, as all VMs register when a fleet starts."""

_ROLE_POLL_INTERVAL_S = 0.1
"""Pause between two checks of the role while peers keep this VM up to date, in seconds."""

_PROBE_INTERVAL_S = 10.0
"""Time after a failed call until a VM that relies on peers probes the store again, in seconds; the
VM cannot be elected before."""

_FIXED_BACKOFF_S = 0.05
"""Fixed part of the pause after a failed call, in seconds."""

_BASE_RANDOM_BACKOFF_S = 0.1
"""Longest random pause after the first failed call, in seconds."""

_MAX_RANDOM_BACKOFF_S = 1.0
"""Longest random pause of a VM that is a preferred store follower or has to list the store, in
seconds."""

_MAX_RANDOM_BACKOFF_OTHERS_S = 3.0
"""Longest random pause of any other VM, in seconds; it learns of the store's return from the
notices of store followers."""


class StoreFollower:
    """Lists the store once, then watches it while `follow_role` asks for it.

    Args:
        store_view: This VM's view of the store.
        store: The store.
        follow_role: Decides whether this VM follows the store.
        outages: Notified of each failed and each answered call.
        events: Receives events when the role changes and when the store is lost or regained.
        timing: Sources of time and randomness.
        notices: Sends a notice when the store has answered with a change.
    """

    def __init__(
        self,
        store_view: StoreView,
        store: Store,
        follow_role: FollowRole,
        outages: StoreOutages,
        events: EventLog,
        timing: Timing,
        notices: ProgressNotices,
    ) -> None:
        self.store_view = store_view
        self.store = store
        self.follow_role = follow_role
        self.outages = outages
        self.events = events
        self.timing = timing
        self.notices = notices
        self.store_reachable = False
        self.follows = True
        self._relied_on_peers = False
        self._listing_due = True
        self._failures = 0
        self._failed_at = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._update_role():
                await self._try_step()
            else:
                await self._rely_on_peers()

    def _update_role(self) -> bool:
        """Return whether this VM follows the store now, and log a change of role."""
        now = self.timing.monotonic()
        follows = not self.store_view.has_configuration or self.follow_role.follows_store(now)
        if follows != self.follows:
            self.follows = follows
            source = "store" if follows else "neighbours"
            self.events.state(
                "follows", source=source, at=self.store_view.replica.complete_revision
            )
        return follows

    async def _rely_on_peers(self) -> None:
        """Make no calls to the store, except to probe it after a failure."""
        self._relied_on_peers = True
        unreachable = not self.store_reachable
        if unreachable and self.timing.monotonic() - self._failed_at > _PROBE_INTERVAL_S:
            await self._probe_store()
        await asyncio.sleep(_ROLE_POLL_INTERVAL_S)

    async def _probe_store(self) -> None:
        """Watch the store once; a failure is no outage, as peers have answers of the store."""
        try:
            await self._step()
        except HistoryGoneError:
            self._record_history_gone()
        except StoreUnavailableError:
            # The event `store` of the first failure still holds; the next reports an answer.
            self._failed_at = self.timing.monotonic()
        else:
            self._record_answer()

    async def _try_step(self) -> None:
        try:
            await self._step()
            self._record_answer()
        except HistoryGoneError:
            self._record_history_gone()
        except StoreUnavailableError as error:
            self._record_failure(str(error))
            await asyncio.sleep(self._backoff_s())

    async def _step(self) -> None:
        list_all = self._listing_due
        delta = await self._call(list_all)
        now = self.timing.monotonic()
        self.outages.record_answer(now)
        self.store_view.record_store_answer(now)
        self.store_view.apply(delta, now)
        if list_all:
            await asyncio.sleep(_LISTING_PAUSE_S)
        elif delta.items or delta.removals:
            self.notices.send(changed=True)
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _call(self, list_all: bool) -> Delta:
        """List or watch the store; a failed listing stays due."""
        if not list_all:
            return await self._watch()
        delta = await self.store.listing()
        self._listing_due = False
        return delta

    async def _watch(self) -> Delta:
        """Watch the store; a listing is due after a truncated response."""
        try:
            return await self.store.watch(
                self.store_view.replica.complete_revision, WATCH_TIMEOUT_S
            )
        except AnswerCutShortError:
            self._listing_due = True
            raise

    def _record_answer(self) -> None:
        self._failures = 0
        self._relied_on_peers = False
        self._set_reachable(True, "")

    def _record_history_gone(self) -> None:
        self._listing_due = True
        self.events.state("store-history-gone", after=self.store_view.replica.complete_revision)

    def _record_failure(self, problem: str) -> None:
        self._failures += 1
        self._failed_at = self.timing.monotonic()
        self.outages.record_failure(self._failed_at, relied_on_peers=self._relied_on_peers)
        self._relied_on_peers = False
        self._set_reachable(False, problem)

    def _backoff_s(self) -> float:
        """Return the pause before the next call, in seconds."""
        retry_soon = self._listing_due or self.follow_role.is_preferred_follower(
            self.timing.monotonic()
        )
        most_s = _MAX_RANDOM_BACKOFF_S if retry_soon else _MAX_RANDOM_BACKOFF_OTHERS_S
        random_s = backoff_s(
            self._failures, self.timing.rng, base_s=_BASE_RANDOM_BACKOFF_S, max_s=most_s
        )
        return _FIXED_BACKOFF_S + random_s

    def _set_reachable(self, reachable: bool, problem: str) -> None:
        self.follow_role.set_store_reachable(reachable)
        if reachable != self.store_reachable:
            self.store_reachable = reachable
            self.events.state(
                "store", up=reachable, problem=problem, at=self.store_view.replica.complete_revision
            )
