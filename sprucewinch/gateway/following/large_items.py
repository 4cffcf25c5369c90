"""Fetches the large items that deltas of peers leave out, one at a time.

Question: which large item is fetched now, and from whom? Rule: those that the last delta of a peer
named and that are newer than what is held, from that peer, one after the other; a transfer that
runs ends before a newer version of its item is asked for. Reason: two transfers of the same value
halve each other's share of the link, and one that begins anew with each version may never end. A VM
with a link of 10 Mbit/s received up to 980 KB a second for 60 s so and applied nothing.

Owns the items that are wanted and their transfers. Relies on `deltas` for the call, on
`state.store_view`, to which each item is applied, and on `follow_role`, which leaves the store
alone while a transfer makes progress. Result: event `large-item`; failures as in `fetch_failures`.
Tests: `test_gateway_large_items`.
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
"""Milliseconds in a second."""


class WantedItem(NamedTuple):
    """A large item, and a peer that holds it.

    Args:
        address: `IP:PORT` of the peer.
        deferred: The item, as the peer's delta named it.
    """

    address: str
    deferred: DeferredItem


class LargeItems:
    """Fetches large items in the background.

    Args:
        store_view: What this VM holds of the store.
        follow_role: Told of progress and of peers that fail.
        notices: Woken after an item, so that the peer is asked at once what this VM still lacks.
        failures: Takes failures.
        events: Takes a line for each item.
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
        self._wanted: dict[str, WantedItem] = {}
        self._asked = asyncio.Event()

    def want(self, address: str, deferred: tuple[DeferredItem, ...]) -> None:
        """Fetch the items that are newer than what is held.

        Args:
            address: `IP:PORT` of the peer whose delta named them.
            deferred: The items.
        """
        for item in deferred:
            if self.store_view.replica.lacks(item):
                self._wanted[item.key] = WantedItem(address, item)
                self._asked.set()

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await self._asked.wait()
            self._asked.clear()
            self.fetching = True
            try:
                await self._fetch_all()
            finally:
                self.fetching = False

    async def _fetch_all(self) -> None:
        while self._wanted:
            _, wanted = self._wanted.popitem()
            # The same item may have been asked for again while its transfer ran.
            if self.store_view.replica.lacks(wanted.deferred):
                await self._fetch(wanted)

    async def _fetch(self, wanted: WantedItem) -> None:
        started = self.timing.monotonic()
        try:
            item = await fetch_item(wanted.address, wanted.deferred, self._note_progress)
        except ItemNotHeldError:
            # No failure of the peer: its next delta no longer names the item.
            return
        except DeltaUnavailableError as error:
            self.failures.record(wanted.address, str(error))
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
            peer=wanted.address,
        )
        self.notices.wake()

    def _note_progress(self) -> None:
        self.follow_role.record_transfer_progress(self.timing.monotonic())
