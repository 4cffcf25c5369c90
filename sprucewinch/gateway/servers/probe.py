"""Asks backend servers whether they are cold, where the store does not tell.

Servers of a data hall that was taken back may have become cold during the evacuation or not, and
servers that appeared while the store was away may have started long ago. Until they say so they
count as cold. The question is asked once, as probes are dear.
"""

import asyncio
from collections.abc import Callable
from typing import Optional

from ...net.connection import Answer, NoAnswer, get
from ..events import EventLog
from ..header_names import HeaderNames
from .backend_registry import COLD_MARGIN_S, BackendRegistry
from .backend_server import BackendServer

_LOOK_S = 0.05
_TIMEOUT_S = 0.5
_OK = 200


class Prober:
    """Asks the servers that the book wants asked.

    Args:
        registry: Backend servers.
        names: Names of headers.
        events: Told of each answer.
        monotonic: Source of time.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        names: HeaderNames,
        events: EventLog,
        monotonic: Callable[[], float],
    ) -> None:
        self.registry = registry
        self.names = names
        self.events = events
        self.monotonic = monotonic

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            asked, self.registry.to_probe = self.registry.to_probe, []
            if asked:
                await asyncio.gather(*(self.ask(server) for server in asked))

    async def ask(self, server: BackendServer) -> None:
        """Ask one server how long it stays cold; without a clear answer it counts as cold."""
        path = self.registry.health_path(server.backend.service)
        if not path:
            return
        self.events.count("probes")
        answer = await get(server.backend.address, path, _TIMEOUT_S)
        left_s = None if isinstance(answer, NoAnswer) else self._cold_left_s(answer, server)
        if left_s is not None:
            server.cold_until = self.monotonic() + left_s + COLD_MARGIN_S if left_s else 0.0
        status = 0 if isinstance(answer, NoAnswer) else answer.status
        self.events.state("probe", server=server.backend.id, status=status, cold_s=left_s)

    def _cold_left_s(self, answer: Answer, server: BackendServer) -> Optional[float]:
        """Return how long a server says that it stays cold; None when it does not say."""
        left_ms = answer.header(self.names.cold_ms)
        same = answer.header(self.names.instance) == server.backend.id
        if answer.status != _OK or not same or left_ms is None or not left_ms.isdigit():
            return None
        return int(left_ms) / 1000
