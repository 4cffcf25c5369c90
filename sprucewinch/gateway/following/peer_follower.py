"""Follows peers: fetches deltas from VMs that hold a newer revision than this one.

Owns which peer is asked, and when. Relies on `follow_role` and `gossip` for the revisions of other
VMs, on `deltas` for the call, on `state.store_view`, to which each delta is applied, and on
`large_items` for what a delta leaves out.

Rule: a VM that announced a newer revision in a notice is asked at once. A newer revision in a
heartbeat alone is followed at the second look, as a notice is probably on its way; then a random VM
among those that hold more is asked. A VM without a configuration asks the sender of the last
datagram once the store has had `_STORE_FIRST_S` to answer: a killed VM stays registered and gets
heartbeats, so it starts during an outage of the store. A peer that fails makes this VM
follow the store for a while.

Result: metric `neighbour_deltas`; failures as in `fetch_failures`. Tests: `test_gateway_following`,
`test_gateway_peer_follower`.
"""

import asyncio
from typing import Optional

from ..datagrams import Datagrams
from ..state.replica import Delta
from ..state.store_view import StoreView
from ..timing import Timing
from .deltas import DeltaUnavailableError, fetch_delta
from .fetch_failures import FetchFailures
from .follow_role import FollowRole
from .large_items import LargeItems
from .notices import ProgressNotices

_PEER_POLL_S = 0.3
"""Longest pause between two looks for a peer that holds more, in seconds: one notice interval."""

_STORE_FIRST_S = 0.5
"""Time that the store has to answer a VM that starts before a peer is asked, in seconds. With a
peer asked after it, a VM that starts in an outage holds a configuration within 2 s
(`test_gateway_following.Outages`)."""

_BATCH_PAUSE_S = 0.1
"""Pause after a delta, in seconds, so that the next one brings several changes."""


class PeerFollower:
    """Applies deltas of peers that hold a newer revision.

    Args:
        store_view: What this VM holds of the store.
        follow_role: This VM's part in following the store, with the heartbeats of others.
        notices: Wake this VM when a store follower has a newer revision.
        datagrams: Names the sender of the last datagram.
        timing: Sources of time and randomness.
        large_items: Fetches what a delta leaves out.
        failures: Takes failures to fetch a delta.
    """

    def __init__(
        self,
        store_view: StoreView,
        follow_role: FollowRole,
        notices: ProgressNotices,
        datagrams: Datagrams,
        timing: Timing,
        large_items: LargeItems,
        failures: FetchFailures,
    ) -> None:
        self.store_view = store_view
        self.follow_role = follow_role
        self.notices = notices
        self.datagrams = datagrams
        self.timing = timing
        self.large_items = large_items
        self.failures = failures
        self.deltas_applied = 0
        self._seen_behind = False
        self._started_at = timing.monotonic()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.notices.wait_until_behind(_PEER_POLL_S)
            await self.step()

    async def step(self) -> None:
        """Ask one peer that holds more than this VM, if there is one."""
        if not self.store_view.has_configuration:
            await self._start_from_peer()
            return
        announced_by = self.follow_role.announcing_peer
        ahead = self._registered_ahead()
        if announced_by in self.store_view.members:
            await self._ask(announced_by)
        elif not ahead:
            self._seen_behind = False
        elif not self._seen_behind:
            self._seen_behind = True
        else:
            await self._ask(self.timing.rng.choice(ahead))

    def _registered_ahead(self) -> list[str]:
        """Return the registered VMs whose heartbeats show a newer revision."""
        ahead = self.follow_role.gossip.ahead(self.store_view.replica.at, self.timing.monotonic())
        return [name for name in ahead if name in self.store_view.members]

    async def _start_from_peer(self) -> None:
        """Fetch everything from the sender of the last datagram when the store is late."""
        address = self.datagrams.last_sender
        if address is None or self.large_items.fetching or not self._store_is_late():
            return
        delta = await self._fetch(address, 0)
        if delta is not None and not self.store_view.has_configuration:
            self._apply(address, delta)

    def _store_is_late(self) -> bool:
        return self.timing.monotonic() - self._started_at >= _STORE_FIRST_S

    async def _ask(self, name: str) -> None:
        address = self.store_view.members[name].peer_address
        delta = await self._fetch(address, self.store_view.replica.at)
        if delta is None:
            self.follow_role.record_peer_failure(self.timing.monotonic())
            return
        self._apply(address, delta)
        self.follow_role.check_caught_up()
        await asyncio.sleep(_BATCH_PAUSE_S)

    async def _fetch(self, address: str, after: int) -> Optional[Delta]:
        """Return a peer's delta; None after a failure, which is counted and logged here."""
        try:
            return await fetch_delta(address, after)
        except DeltaUnavailableError as error:
            self.failures.record(address, str(error))
            return None

    def _apply(self, address: str, delta: Delta) -> None:
        self.deltas_applied += 1
        self.store_view.apply(delta, self.timing.monotonic())
        self.large_items.enqueue(address, delta.deferred)
