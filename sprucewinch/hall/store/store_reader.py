"""Reads the store's documents and its list of VMs, and decides which VM of a hall watches it.

`StoreReader` owns the versions read so far, the listed VMs and whether the store is reachable.
It relies on the store's client for calls and on the node for the documents in force and the members
of the hall.

The live VM of each hall that is first by name watches the store, since changes reach the rest of
its hall by exchange; the others poll every `POLL_INTERVAL_S`. Fewer watches mean fewer calls to the
store for each change (docs/CAPACITY.md, "Platform use"). The log does not show which VM watches; it
shows an outage as `event=platform`. Tested by `tests.test_formats_own_lines` and
`tests.test_process_configuration`.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Optional

from ... import log
from ...clock import Clock
from ...errors import PlatformError
from ...retry import backoff_s
from ..node import Node
from ..peers.peer_pb2 import LEAVING, SERVING
from .documents import WATCH_PREFIX, decode_revisioned
from .store import Entry, Store, VmListing

WATCH_TIMEOUT_S = 20.0
"""Longest wait of one watch, in seconds."""

POLL_INTERVAL_S = 30.0
"""Longest time between two reads by a VM that does not watch, in seconds. docs/CAPACITY.md computes
the number of calls at 2,800 VMs from it."""

_MIN_POLL_FRACTION = 0.5
"""Shortest time between two such reads, as a fraction of `POLL_INTERVAL_S`. The time is drawn at
random, so that the VMs' reads do not coincide."""

_LISTING_TTL_POLLS = 2
"""Time for which the list's mark of a leaving server is valid, in polls of `POLL_INTERVAL_S`, so
that one failed poll does not clear it."""

FULL_READ_INTERVAL_S = 60.0
"""Time between two reads of all entries, in seconds. A store that was restored may restart its
versions, so reading only newer ones would miss entries."""


class StoreReader:
    """Reads documents and the list of VMs from the store into the node.

    Args:
        node: This VM's state.
        store: Client of the store.
        clock: Source of time.
        rng: Source of randomness.
        changed: Called after a newer document was accepted.

    Attributes:
        last_version: Highest version read since all entries were last read.
        reachable: Whether the last call succeeded; None before the first one.
        versions: Version of each key that was read.
        listed_peers: Peer addresses of the other entry VMs in the store's list.
    """

    def __init__(
        self,
        node: Node,
        store: Store,
        clock: Clock,
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        self.node = node
        self.store = store
        self.clock = clock
        self.rng = rng
        self.changed = changed
        self.last_version = 0
        self.reachable: Optional[bool] = None
        self.versions: dict[str, int] = {}
        self.listed_peers: tuple[str, ...] = ()
        self._full_read_at = float("-inf")

    async def run(self) -> None:
        """Read the store until cancelled, with back-off after failures."""
        failures = 0
        while True:
            try:
                await self._read()
                failures = 0
            except PlatformError as error:
                failures += 1
                self._log_reachability(False, str(error))
                wait_s = max(error.retry_after_s, backoff_s(failures, self.rng))
                await asyncio.sleep(wait_s)

    async def _read(self) -> None:
        self._apply_listing(await self.store.members())
        watching = self._is_watcher()
        entries = await self._entries(WATCH_TIMEOUT_S if watching else 0.0)
        self._log_reachability(True)
        self.apply(entries)
        if not watching:
            await asyncio.sleep(POLL_INTERVAL_S * self.rng.uniform(_MIN_POLL_FRACTION, 1.0))

    async def _entries(self, wait_s: float) -> list[Entry]:
        """Return newer entries, or all entries once every `FULL_READ_INTERVAL_S`."""
        now = self.clock.monotonic()
        if now - self._full_read_at >= FULL_READ_INTERVAL_S:
            entries = await self.store.watch(WATCH_PREFIX, 0, 0.0)
            self._full_read_at = now
            self.last_version = 0
            return entries
        return await self.store.watch(WATCH_PREFIX, self.last_version, wait_s)

    def _apply_listing(self, listing: list[VmListing]) -> None:
        """Record the listed entry VMs, and mark backend servers that are listed as leaving."""
        own = self.node.settings.peer_address
        self.listed_peers = tuple(
            r.address for r in listing if r.kind == "entry" and r.address != own
        )
        leaving = [r.address for r in listing if r.kind == "backend" and r.leaving]
        until = self.clock.monotonic() + _LISTING_TTL_POLLS * POLL_INTERVAL_S
        self.node.admissions.mark_leaving(leaving, until)

    def _is_watcher(self) -> bool:
        """Return whether this VM watches for its hall: it is the first live VM by name."""
        now = self.clock.monotonic()
        hall = [m.vm for m in self.node.membership.of_hall(now) if m.state in (SERVING, LEAVING)]
        return self.node.own.vm <= min(hall, default=self.node.own.vm)

    def apply(self, entries: list[Entry]) -> None:
        """Offer entries to the node; log unreadable ones and those older than the ones in force."""
        for entry in entries:
            self.last_version = max(self.last_version, entry.version)
            self.versions[entry.key] = entry.version
            document = decode_revisioned(entry.key, entry.value)
            if document is None:
                log.trouble(f"event=unreadable key={entry.key}")
                continue
            if document.revision < self.node.documents.revision(entry.key):
                held = self.node.documents.revision(entry.key)
                log.trouble(
                    f"event=platform-behind key={entry.key} shows={document.revision} "
                    f"in_force={held}"
                )
            if self.node.documents.offer(document):
                self.changed()

    def _log_reachability(self, up: bool, problem: str = "") -> None:
        if up != self.reachable:
            self.reachable = up
            state = "up" if up else "down"
            log.state(f"event=platform state={state} problem={problem!r}")
