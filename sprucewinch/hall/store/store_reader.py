"""Reads the store: its documents and its list of VMs. The rule on which VM watches it stands here.

Owns the versions read so far, the listed VMs and whether the store is reachable. Relies on the
store's client for calls and on the node for the documents in force and the members of the hall.

The rule: does this VM watch the store, or poll it rarely? The first live VM of each hall by name
watches, since changes spread from it to its hall by exchange; the others poll every `POLL_S`.
Fewer watches mean fewer calls to the store for each change (docs/CAPACITY.md, "Platform use"). The
log does not show which VM watches; it shows an outage as `event=platform`. Tests:
`tests.test_formats_own_lines`, `tests.test_process_configuration`.
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
from .documents import WATCH_PREFIX, revisioned
from .store import Entry, Platform, VmListing

WATCH_S = 20.0
"""Longest wait of one watch, in seconds."""

POLL_S = 30.0
"""Longest time between two reads of a VM that does not watch, in seconds. docs/CAPACITY.md computes
the calls at 2,800 VMs from it."""

_POLL_LEAST = 0.5
"""Shortest time between two such reads, as a part of `POLL_S`: spreads the VMs' reads."""

_LISTING_HOLD = 2
"""Polls for which the list's mark of a leaving server counts, so that one lost poll does not undo
it."""

READ_ALL_S = 60.0
"""Time between two reads of everything, in seconds. For a restored store that counts versions
anew."""


class PlatformReader:
    """Takes documents and the list of VMs from the store into the node.

    Args:
        node: This VM's state.
        platform: Client of the store.
        clock: Source of time.
        rng: Source of randomness.
        changed: Called after a newer document was accepted.

    Attributes:
        seen: Highest version read since everything was read last.
        up: Whether the store answered last; None before the first call.
        versions: Version of each key that was read.
        listed: Peer addresses of the other entry VMs in the store's list.
    """

    def __init__(
        self,
        node: Node,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        self.node = node
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.changed = changed
        self.seen = 0
        self.up: Optional[bool] = None
        self.versions: dict[str, int] = {}
        self.listed: tuple[str, ...] = ()
        self._read_all_at = float("-inf")

    async def run(self) -> None:
        """Read the store until cancelled: one VM of each hall watches, the others poll."""
        failures = 0
        while True:
            try:
                await self._read()
                failures = 0
            except PlatformError as error:
                failures += 1
                self._is_up(False, str(error))
                wait = max(error.retry_after_s, backoff_s(failures, self.rng))
                await asyncio.sleep(wait)

    async def _read(self) -> None:
        self._take_listing(await self.platform.members())
        watching = self._watches()
        entries = await self._entries(WATCH_S if watching else 0.0)
        self._is_up(True)
        self.take(entries)
        if not watching:
            await asyncio.sleep(POLL_S * self.rng.uniform(_POLL_LEAST, 1.0))

    async def _entries(self, wait_s: float) -> list[Entry]:
        """Return newer entries, or all every `READ_ALL_S`: a restored store may count anew."""
        now = self.clock.monotonic()
        if now - self._read_all_at >= READ_ALL_S:
            entries = await self.platform.watch(WATCH_PREFIX, 0, 0.0)
            self._read_all_at = now
            self.seen = 0
            return entries
        return await self.platform.watch(WATCH_PREFIX, self.seen, wait_s)

    def _take_listing(self, listing: list[VmListing]) -> None:
        """Store the entry VMs to exchange with, and mark the listed leaving backend servers."""
        own = self.node.settings.peer_address
        self.listed = tuple(r.address for r in listing if r.kind == "entry" and r.address != own)
        leaving = [r.address for r in listing if r.kind == "backend" and r.leaving]
        until = self.clock.monotonic() + _LISTING_HOLD * POLL_S
        self.node.hall.mark_leaving(leaving, until)

    def _watches(self) -> bool:
        """Return whether this VM watches for its hall: it is the first live one by name."""
        now = self.clock.monotonic()
        hall = [m.vm for m in self.node.membership.of_hall(now) if m.state in (SERVING, LEAVING)]
        return self.node.own.vm <= min(hall, default=self.node.own.vm)

    def take(self, entries: list[Entry]) -> None:
        """Offer entries to the node, and log unreadable ones and a store that shows older ones."""
        for entry in entries:
            self.seen = max(self.seen, entry.version)
            self.versions[entry.key] = entry.version
            document = revisioned(entry.key, entry.value)
            if document is None:
                log.trouble(f"event=unreadable key={entry.key}")
                continue
            if document.revision < self.node.shelf.revision(entry.key):
                held = self.node.shelf.revision(entry.key)
                log.trouble(
                    f"event=platform-behind key={entry.key} shows={document.revision} "
                    f"in_force={held}"
                )
            if self.node.shelf.offer(document):
                self.changed()

    def _is_up(self, up: bool, problem: str = "") -> None:
        if up != self.up:
            self.up = up
            word = "up" if up else "down"
            log.state(f"event=platform state={word} problem={problem!r}")
