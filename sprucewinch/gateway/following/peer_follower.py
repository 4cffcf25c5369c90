"""Fetches deltas from peers that hold a newer revision than this VM.

Owns the choice of the peer and the time of each call. Relies on `follow_role` and `gossip` for the
revisions of other VMs, on `deltas` for the call, on `state.store_view`, to which each delta is
applied, and on `large_items` for items that a delta defers.

A VM that announced a newer revision in a notice is asked at once. When only heartbeats show a newer
revision, this VM waits for one more check, as a notice is probably on its way; then it asks a
random VM among those ahead of it. A VM without a configuration asks the sender of the last datagram
once the store has had `_STORE_START_TIMEOUT_S` to answer. A killed VM can thus start again during
an outage of the store, as it is still registered and receives heartbeats. After a peer failed, this
VM follows the store for a while.

The metric `neighbour_deltas` counts applied deltas; failures are reported as described in
`fetch_failures`. It is tested by `test_gateway_following` and `test_gateway_peer_follower`.
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

_PEER_POLL_INTERVAL_S = 0.3
"""Longest pause between two checks for a peer that is ahead, in seconds: one notice interval."""

_STORE_START_TIMEOUT_S = 0.5
"""Time that a starting VM waits for the store before it asks a peer, in seconds. With it, a VM that
starts during an outage holds a configuration within 2 s (`test_gateway_following.Outages`)."""

_BATCH_PAUSE_S = 0.1
"""Pause after a delta, in seconds, so that the next one combines several changes."""


class PeerFollower:
    """Fetches and applies deltas of peers that hold a newer revision.

    Args:
        store_view: This VM's view of the store.
        follow_role: Decides how this VM follows the store; holds the heartbeats of other VMs.
        notices: Wakes this VM when a store follower holds a newer revision.
        datagrams: Provides the sender of the last datagram.
        timing: Sources of time and randomness.
        large_items: Fetches the items that a delta defers.
        failures: Records failures to fetch a delta.
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
        self._behind_at_last_check = False
        self._started_at = timing.monotonic()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.notices.wait_until_behind(_PEER_POLL_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Fetch and apply the delta of one peer that is ahead of this VM, if there is one."""
        if not self.store_view.has_configuration:
            await self._start_from_peer()
            return
        announcing_peer = self.follow_role.announcing_peer
        peers_ahead = self._registered_peers_ahead()
        if announcing_peer in self.store_view.members:
            await self._catch_up_from(announcing_peer)
        elif not peers_ahead:
            self._behind_at_last_check = False
        elif not self._behind_at_last_check:
            self._behind_at_last_check = True
        else:
            await self._catch_up_from(self.timing.rng.choice(peers_ahead))

    def _registered_peers_ahead(self) -> list[str]:
        """Return the registered VMs whose heartbeats show a newer revision."""
        peers_ahead = self.follow_role.gossip.peers_ahead(
            self.store_view.replica.complete_revision, self.timing.monotonic()
        )
        return [name for name in peers_ahead if name in self.store_view.members]

    async def _start_from_peer(self) -> None:
        """Fetch everything from the sender of the last datagram if the store is late."""
        address = self.datagrams.last_sender
        if address is None or self.large_items.fetching or not self._store_is_late():
            return
        delta = await self._fetch(address, 0)
        if delta is not None and not self.store_view.has_configuration:
            self._apply(address, delta)

    def _store_is_late(self) -> bool:
        return self.timing.monotonic() - self._started_at >= _STORE_START_TIMEOUT_S

    async def _catch_up_from(self, name: str) -> None:
        address = self.store_view.members[name].peer_address
        delta = await self._fetch(address, self.store_view.replica.complete_revision)
        if delta is None:
            self.follow_role.record_peer_failure(self.timing.monotonic())
            return
        self._apply(address, delta)
        self.follow_role.check_caught_up()
        await asyncio.sleep(_BATCH_PAUSE_S)

    async def _fetch(self, address: str, after: int) -> Optional[Delta]:
        """Return a peer's delta, or None after a failure, which is counted and logged here."""
        try:
            return await fetch_delta(address, after)
        except DeltaUnavailableError as error:
            self.failures.record(address, str(error))
            return None

    def _apply(self, address: str, delta: Delta) -> None:
        self.deltas_applied += 1
        self.store_view.apply(delta, self.timing.monotonic())
        self.large_items.enqueue(address, delta.deferred)
