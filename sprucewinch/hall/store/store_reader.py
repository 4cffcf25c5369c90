"""Reading the platform: its documents and its list of VMs."""

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
POLL_S = 30.0
"""How often a VM that does not watch reads the platform by itself, in seconds."""

READ_ALL_S = 60.0
"""How often everything is read again, in seconds."""


class PlatformReader:
    """Learns documents, and which VMs there are, from the platform.

    Args:
        node: This VM's view.
        platform: The platform's service.
        clock: Source of time.
        rng: Source of randomness.
        changed: Called when a newer document was learnt.
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
        """Read the platform: by a watch on one VM of each hall, now and then on the others."""
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
            await asyncio.sleep(POLL_S * self.rng.uniform(0.5, 1.0))

    async def _entries(self, wait_s: float) -> list[Entry]:
        """Return newer entries; now and then all, since a restored platform may count anew."""
        now = self.clock.monotonic()
        if now - self._read_all_at >= READ_ALL_S:
            entries = await self.platform.watch(WATCH_PREFIX, 0, 0.0)
            self._read_all_at = now
            self.seen = 0
            return entries
        return await self.platform.watch(WATCH_PREFIX, self.seen, wait_s)

    def _take_listing(self, listing: list[VmListing]) -> None:
        """Learn entry VMs to ask, and backend servers that the platform says are leaving."""
        own = self.node.settings.peer_address
        self.listed = tuple(r.address for r in listing if r.kind == "entry" and r.address != own)
        leaving = [r.address for r in listing if r.kind == "backend" and r.leaving]
        self.node.hall.mark_leaving(leaving, self.clock.monotonic() + 2 * POLL_S)

    def _watches(self) -> bool:
        """Tell whether this VM watches for its hall: the first by name that is live."""
        now = self.clock.monotonic()
        hall = [m.vm for m in self.node.membership.of_hall(now) if m.state in (SERVING, LEAVING)]
        return self.node.own.vm <= min(hall, default=self.node.own.vm)

    def take(self, entries: list[Entry]) -> None:
        """Take over newer documents, and tell of a platform that shows older ones."""
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
