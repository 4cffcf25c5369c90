"""Follows the store: one listing, then one watch after the other.

Owns the loop that calls the store, its pauses and the events `follows`, `store` and
`store-history-gone`. Relies on `follow_role` for whether this VM calls the store, and on
`state.outages` and `state.store_view`, to which it passes each result. A VM without a configuration
always calls the store, whatever its role. One that relies on peers after a failed call looks
every `_REJOIN_S` whether the store answers it again. Failed calls are repeated after a random pause
that doubles with each failure up to a bound. After a watch that was cut off within its answer the
next call is a listing, as it does not grow with the versions missed. Tests: `test_platform_store`,
`test_gateway_following`.
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

WATCH_S = 2.0
"""Longest wait of a watch, in seconds; a watch whose connection died silently is noticed then.
Longer watches save calls and bring changes late."""

BATCH_PAUSE_S = 0.3
"""Pause after a change, in seconds, so that the next watch brings several changes in one call."""

_FIRST_BATCH_PAUSE_S = 0.5
"""Pause after the first listing, in seconds, as all VMs register when a fleet starts."""

_ROLE_POLL_S = 0.1
"""Pause between two looks at the role while peers keep this VM up to date, in seconds."""

_REJOIN_S = 10.0
"""Time after a failed call at which a VM that relies on peers looks whether the store answers it
again, in seconds; it cannot be elected before."""

_MIN_BACKOFF_S = 0.05
"""Part of the pause after a failed call that is not random, in seconds."""

_BACKOFF_BASE_S = 0.1
"""Longest random pause after the first failed call, in seconds."""

_MAX_BACKOFF_S = 1.0
"""Longest random pause of a VM that is first in line to follow the store, or has to list it, in
seconds."""

_MAX_BACKOFF_BESIDE_S = 3.0
"""Longest random pause of any other VM, in seconds: notices of store followers bring the store's
return to it."""


class StoreFollower:
    """Lists the store once, then watches it while `follow_role` asks for it.

    Args:
        store_view: What this VM holds of the store.
        store: The store.
        follow_role: Decides whether this VM follows the store.
        outages: Notified of each failed and each answered call.
        events: Takes the lines of changed roles and of a lost or regained store.
        timing: Sources of time and randomness.
        notices: Sent when the store has answered with a change.
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
        self.up = False
        self.follows = True
        self._relied_on_peers = False
        self._list_first = True
        self._failures = 0
        self._failed_at = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._must_follow():
                await self._try_step()
            else:
                await self._rely_on_peers()

    def _must_follow(self) -> bool:
        now = self.timing.monotonic()
        must = not self.store_view.has_configuration or self.follow_role.follows_store(now)
        if must != self.follows:
            self.follows = must
            source = "store" if must else "neighbours"
            self.events.state("follows", source=source, at=self.store_view.replica.at)
        return must

    async def _rely_on_peers(self) -> None:
        """Call the store no more, but to see whether it answers this VM again."""
        self._relied_on_peers = True
        refused = not self.up
        if refused and self.timing.monotonic() - self._failed_at > _REJOIN_S:
            await self._look_again()
        await asyncio.sleep(_ROLE_POLL_S)

    async def _look_again(self) -> None:
        """Watch the store once. A failure is no outage: peers have answers of the store."""
        try:
            await self._step()
        except HistoryGoneError:
            self._note_history_gone()
        except StoreUnavailableError:
            # The line of the first failure still holds; `store` tells when an answer comes.
            self._failed_at = self.timing.monotonic()
        else:
            self._note_answer()

    async def _try_step(self) -> None:
        try:
            await self._step()
            self._note_answer()
        except HistoryGoneError:
            self._note_history_gone()
        except StoreUnavailableError as error:
            self._note_failure(str(error))
            await asyncio.sleep(self._backoff_s())

    async def _step(self) -> None:
        first = self._list_first
        delta = await self._call(first)
        now = self.timing.monotonic()
        self.outages.regained(now)
        self.store_view.store_answered(now)
        self.store_view.apply(delta, now)
        if first:
            await asyncio.sleep(_FIRST_BATCH_PAUSE_S)
        elif delta.items or delta.removals:
            self.notices.send(changed=True)
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _call(self, first: bool) -> Delta:
        """List or watch the store; a listing that fails is due again."""
        if not first:
            return await self._watch()
        delta = await self.store.listing()
        self._list_first = False
        return delta

    async def _watch(self) -> Delta:
        """Watch the store; a listing is due after a watch that was cut off within its answer."""
        try:
            return await self.store.watch(self.store_view.replica.at, WATCH_S)
        except AnswerCutShortError:
            self._list_first = True
            raise

    def _note_answer(self) -> None:
        self._failures = 0
        self._relied_on_peers = False
        self._set_up(True, "")

    def _note_history_gone(self) -> None:
        self._list_first = True
        self.events.state("store-history-gone", after=self.store_view.replica.at)

    def _note_failure(self, problem: str) -> None:
        self._failures += 1
        self._failed_at = self.timing.monotonic()
        self.outages.lost(self._failed_at, relied_on_peers=self._relied_on_peers)
        self._relied_on_peers = False
        self._set_up(False, problem)

    def _backoff_s(self) -> float:
        """Return the pause before the next call, in seconds."""
        soon = self._list_first or self.follow_role.is_first_in_line(self.timing.monotonic())
        most_s = _MAX_BACKOFF_S if soon else _MAX_BACKOFF_BESIDE_S
        random_s = backoff_s(self._failures, self.timing.rng, base_s=_BACKOFF_BASE_S, max_s=most_s)
        return _MIN_BACKOFF_S + random_s

    def _set_up(self, up: bool, problem: str) -> None:
        self.follow_role.set_store_reachable(up)
        if up != self.up:
            self.up = up
            self.events.state("store", up=up, problem=problem, at=self.store_view.replica.at)
