"""Asks backend servers of a data hall that was taken back whether they are cold.

They may have become cold during the evacuation or not; until they say so they count as cold. The
question is asked once for each return, as probes are dear.
"""

import asyncio
from collections.abc import Callable

from .connection import get
from .journal import Journal
from .model import Names
from .servers import COLD_MARGIN_S, Server, ServerBook

_LOOK_S = 0.05
_TIMEOUT_S = 0.5
_OK = 200


class Prober:
    """Asks the servers that the book wants asked.

    Args:
        book: Backend servers.
        names: Names of headers.
        journal: Told of each answer.
        monotonic: Source of time.
    """

    def __init__(
        self, book: ServerBook, names: Names, journal: Journal, monotonic: Callable[[], float]
    ) -> None:
        self.book = book
        self.names = names
        self.journal = journal
        self.monotonic = monotonic

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            asked, self.book.unsure = self.book.unsure, []
            if asked:
                await asyncio.gather(*(self.ask(server) for server in asked))

    async def ask(self, server: Server) -> None:
        """Ask one server how long it stays cold; without a clear answer it counts as cold."""
        path = self.book.health_path(server.backend.service)
        if not path:
            return
        answer = await get(server.backend.address, path, _TIMEOUT_S)
        if answer is None:
            return
        left_ms = answer.header(self.names.cold_ms)
        same = answer.header(self.names.instance) == server.backend.id
        self.journal.counters["probes"] += 1
        if answer.status == _OK and same and left_ms is not None and left_ms.isdigit():
            left_s = int(left_ms) / 1000
            server.cold_until = self.monotonic() + left_s + COLD_MARGIN_S if left_s else 0.0
            self.journal.state("probe", server=server.backend.id, cold_s=left_s)
