"""Fetches the large items that deltas of peers defer, one at a time.

An item is fetched if a peer's last delta named it and it is newer than what is held here; items are
fetched one after another, each from that peer. A running transfer ends before a newer version of
its item is requested: two transfers of the same value would halve each other's share of the link,
and a transfer that restarted with each version might never end. Without this rule a VM with a link
of 10 Mbit/s received up to 980 KB/s for 60 s and applied nothing.

Relies on `deltas` for the call, on `state.store_view`, to which each item is applied, and on
`follow_role`, which does not call the store while a transfer makes progress. Each item is reported
by the event `large-item`, failures as described in `fetch_failures`. It is tested by
`test_gateway_large_items` and `test_gateway_large_items_rule`.
"""

import asyncio
from typing import NamedTuple

from ..events import EventLog
from ..state.replica import DeferredItem
from ..state.store_view import StoreView
from ..timing import Timing
from .deltas import DeltaUnavailableError, ItemNotHeldError, fetch_item
from .fetch_failures import FetchFailures
from .follow_role import FollowRole
from .notices import ProgressNotices

_MS_PER_S = 1000


class PendingItem(NamedTuple):
    """A large item to fetch, and a peer that holds it.

    Args:
        address: `IP:PORT` of the peer.
        deferred: The item, as the peer's delta named it.
    """

    address: str
    deferred: DeferredItem


class LargeItems:
    """Fetches large items in the background.

    Args:
        store_view: This VM's view of the store.
        follow_role: Notified of progress and of peers that fail.
        notices: Woken after each item, so that the peer is asked for further changes at once.
        failures: Records failures.
        events: Receives an event for each item.
        timing: Sources of time and randomness.
    """

    def __init__(
        self,
        store_view: StoreView,
        follow_role: FollowRole,
        notices: ProgressNotices,
        failures: FetchFailures,
        events: EventLog,
        timing: Timing,
    ) -> None:
        self.store_view = store_view
        self.follow_role = follow_role
        self.notices = notices
        self.failures = failures
        self.events = events
        self.timing = timing
        self.fetching = False
        self._pending: dict[str, PendingItem] = {}
        self._has_pending = asyncio.Event()

    def enqueue(self, address: str, deferred: tuple[DeferredItem, ...]) -> None:
        """Enqueue the items that are newer than what is held.

        Args:
            address: `IP:PORT` of the peer whose delta named them.
            deferred: The items.
        """
        for item in deferred:
            if self.store_view.replica.lacks(item):
                self._pending[item.key] = PendingItem(address, item)
                self._has_pending.set()

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            self.fetching = True
            try:
                await self._fetch_pending()
            finally:
                self.fetching = False

    async def _fetch_pending(self) -> None:
        while self._pending:
            _, pending = self._pending.popitem()
            # The same item may have been enqueued again during its transfer.
            if self.store_view.replica.lacks(pending.deferred):
                await self._fetch(pending)

    async def _fetch(self, pending: PendingItem) -> None:
        started = self.timing.monotonic()
        try:
            item = await fetch_item(pending.address, pending.deferred, self._record_progress)
        except ItemNotHeldError:
            # The peer did not fail: its next delta no longer names the item.
            return
        except DeltaUnavailableError as error:
            self.failures.record(pending.address, str(error))
            self.follow_role.record_peer_failure(self.timing.monotonic())
            return
        now = self.timing.monotonic()
        self.store_view.apply_item(item, now)
        self.events.state(
            "large-item",
            key=item.key,
            revision=item.revision,
            bytes=len(item.value),
            ms=round((now - started) * _MS_PER_S, 1),
            peer=pending.address,
        )
        self.notices.wake()

    def _record_progress(self) -> None:
        self.follow_role.record_transfer_progress(self.timing.monotonic())
