"""Keeps beliefs in step with the store, directly or through peers that follow it."""

import asyncio

from ...retry import backoff_s
from ..datagrams import Datagrams
from ..events import EventLog
from ..membership.gossip import Gossip
from ..state.outages import StoreOutages
from ..state.store import HistoryGoneError, Store, StoreUnavailableError
from ..state.store_view import StoreView
from ..timing import Timing
from .deltas import fetch_delta
from .follow_role import FollowRole
from .notices import ProgressNotices

WATCH_S = 2.0
"""How long a watch waits, in seconds; one that died silently is noticed then."""

BATCH_PAUSE_S = 0.3
"""Pause after a change, in seconds, so that the next watch brings what follows in one call."""

_FIRST_GATHER_S = 0.5
"""Pause after the listing at the start, when all VMs register."""

_LOOK_S = 0.1
_ASK_S = 0.3
"""How often it is looked whether a peer knows more, in seconds."""

_STORE_FIRST_S = 0.5
"""How long a VM that starts waits for the store before it starts from a peer, in
seconds."""

_SPACING_S = 0.1
"""Pause after a delta, in seconds, so that the next one brings what follows."""

_FORGIVE_S = 10.0
"""How long a VM that lost the store is no store follower, in seconds, unless the store answers."""

_MOST_BACKOFF_S = 1.0
_MOST_BACKOFF_BESIDE_S = 3.0
"""Longest pause between calls of a VM that store followers will tell of the store's return."""


class StoreFollower:
    """Lists the store once, then follows its changes while nobody else does it for this VM.

    Args:
        store_view: What this VM holds of the store.
        store: The store.
        follow_role: Tells whether to follow the store.
        outages: Told when the store is out of reach and when it is back.
        events: Told of lost and regained touch.
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
        self._list_first = True
        self._failures = 0
        self._failed_at = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._is_needed():
                await self._try_step()
            else:
                self._rest()
                await asyncio.sleep(_LOOK_S)

    def _is_needed(self) -> bool:
        now = self.timing.monotonic()
        needed = not self.store_view.has_configuration or self.follow_role.follows_store(now)
        if needed != self.follows:
            self.follows = needed
            source = "store" if needed else "neighbours"
            self.events.state("follows", source=source, at=self.store_view.replica.at)
        return needed

    def _rest(self) -> None:
        """Let store followers follow the store; their news proves that it is there."""
        now = self.timing.monotonic()
        self.outages.regained(now)
        if now - self._failed_at > _FORGIVE_S:
            self.follow_role.gossip.set_store_reachable(True)

    async def _try_step(self) -> None:
        try:
            await self._step()
            self._failures = 0
            self._is_up(True, "")
        except HistoryGoneError:
            self._list_first = True
            self.events.state("store-history-gone", after=self.store_view.replica.at)
        except StoreUnavailableError as error:
            self._failed(str(error))
            soon = self._list_first or self.follow_role.is_first_in_line(self.timing.monotonic())
            most_s = _MOST_BACKOFF_S if soon else _MOST_BACKOFF_BESIDE_S
            wait_s = backoff_s(self._failures, self.timing.rng, base_s=0.1, most_s=most_s)
            await asyncio.sleep(0.05 + wait_s)

    def _failed(self, problem: str) -> None:
        self._failures += 1
        self._failed_at = self.timing.monotonic()
        self.outages.lost(self._failed_at)
        self._is_up(False, problem)

    async def _step(self) -> None:
        first, self._list_first = self._list_first, False
        try:
            if first:
                delta = await self.store.listing()
            else:
                delta = await self.store.watch(self.store_view.replica.at, WATCH_S)
        except StoreUnavailableError:
            self._list_first = first
            raise
        now = self.timing.monotonic()
        self.outages.regained(now)
        self.store_view.store_answered(now)
        self.store_view.apply(delta, now)
        if first:
            await asyncio.sleep(_FIRST_GATHER_S)
        elif delta.items or delta.removals:
            self.notices.send(changed=True)
            await asyncio.sleep(BATCH_PAUSE_S)

    def _is_up(self, up: bool, problem: str) -> None:
        self.follow_role.gossip.set_store_reachable(up)
        if up != self.up:
            self.up = up
            self.events.state("store", up=up, problem=problem, at=self.store_view.replica.at)


class PeerFollower:
    """Takes over from peers what the store has not told here.

    Args:
        store_view: What this VM holds of the store.
        gossip: Who is there and knows how much.
        follow_role: Told of what became of it.
        notices: Wake this VM when a store follower has a newer revision.
        datagrams: Names the VM that was heard last.
        timing: Sources of time and randomness.
    """

    def __init__(
        self,
        store_view: StoreView,
        gossip: Gossip,
        follow_role: FollowRole,
        notices: ProgressNotices,
        datagrams: Datagrams,
        timing: Timing,
    ) -> None:
        self.store_view = store_view
        self.gossip = gossip
        self.follow_role = follow_role
        self.notices = notices
        self.datagrams = datagrams
        self.timing = timing
        self.taken = 0
        self._behind = False
        self._started_at = timing.monotonic()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_ASK_S):
                    await self.notices.behind.wait()
            except TimeoutError:
                pass
            self.notices.behind.clear()
            await self.step()

    async def step(self) -> None:
        """Ask a peer that knows more than is known here.

        A progress notice is followed at once. A newer revision in a heartbeat is followed at the
        second look, as a notice is probably on its way.
        """
        if not self.store_view.has_configuration:
            await self._begin()
            return
        now = self.timing.monotonic()
        told_by = self.follow_role.peer_ahead
        known = self.gossip.ahead(self.store_view.replica.at, now)
        known = [name for name in known if name in self.store_view.members]
        if told_by in self.store_view.members:
            await self._ask(told_by)
        elif not known:
            self._behind = False
        elif not self._behind:
            self._behind = True
        else:
            await self._ask(self.timing.rng.choice(known))

    async def _begin(self) -> None:
        """Start from a peer when the store has not answered yet.

        A VM that comes back is still registered, so that others send it heartbeats.
        """
        address = self.datagrams.last_sender
        if address is None or not self._begins_late():
            return
        delta = await fetch_delta(address, 0)
        if delta is not None and not self.store_view.has_configuration:
            self.taken += 1
            self.store_view.apply(delta, self.timing.monotonic())

    def _begins_late(self) -> bool:
        """Tell whether the store has had its time to answer."""
        return self.timing.monotonic() - self._started_at >= _STORE_FIRST_S

    async def _ask(self, name: str) -> None:
        member = self.store_view.members[name]
        delta = await fetch_delta(member.peer_address, self.store_view.replica.at)
        now = self.timing.monotonic()
        if delta is None:
            self.follow_role.distrust_peers(now)
            return
        self.taken += 1
        self.store_view.apply(delta, now)
        self.follow_role.check_caught_up()
        await asyncio.sleep(_SPACING_S)
