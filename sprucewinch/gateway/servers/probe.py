"""Asks backend servers whether they are cold, where the store does not show it.

Question: how much longer is this server cold? Inputs: the answer to one GET on the service's health
path: its status, the server's id and the time left in milliseconds.

Rule: servers of a data hall whose evacuation has ended, and servers that appear while the store is
away, count as cold and are asked once. An answer of that very server with a time left ends or sets
the time; with any other answer, one of another process, or none, the server stays cold for its
service's warm-up. One that leaves, rests or limits itself by its own word is not asked, and what
that very process states in its answer counts as in an answer to a request. Once and not in a loop,
as each probe costs the server a new connection. Without probes a data hall that was back from an
evacuation warm got few requests for 3.5 s.

Shows in: the event `probe` (status 0 for no answer), the metric `probes`. Tests:
`test_gateway_probe`. Relies on the registry for the servers to ask, on `statements` for what they
state, and on `net.connection`.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Optional, Union

from ...net.connection import Answer, NoAnswer, Patience, get
from ..events import EventLog
from ..header_names import HeaderNames
from ..statements.statement import statement_of
from ..statements.statements import ServerAnswer, Statements
from .backend_registry import BackendRegistry
from .backend_server import BackendServer
from .cold_limit import COLD_MARGIN_S, service_rule

_LOOK_S = 0.05
"""Pause between two looks for servers to ask, in seconds."""

_TIMEOUT_S = 0.5
"""Longest wait for an answer, in seconds."""

_MS = 1000
"""Milliseconds in a second."""

_PROBE_ID = "probe"
"""What the events of a server's statement name in place of a request."""

_NO_ANSWER = 0
"""Status of a probe without an answer, as the event `probe` shows it."""


class ProbeResult(NamedTuple):
    """What a probe found.

    Args:
        status: HTTP status; `_NO_ANSWER` when no whole answer came in time.
        cold_left_s: How much longer the server is cold, in seconds; None when it states none.
    """

    status: int
    cold_left_s: Optional[float] = None


class Prober:
    """Asks the servers that the registry lists for it.

    Args:
        registry: Backend servers.
        statements: Takes in what the servers state.
        names: Names of headers.
        events: Takes a line for each answer.
        monotonic: Source of time, in seconds.
        wall: Source of the time of day, in seconds since the epoch.
        incarnation_of: Returns which process has answered, from an answer's body; None when it does
            not say so.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        statements: Statements,
        names: HeaderNames,
        events: EventLog,
        *,
        monotonic: Callable[[], float],
        wall: Callable[[], float],
        incarnation_of: Callable[[bytes], Optional[int]] = lambda _body: None,
    ) -> None:
        self.registry = registry
        self.statements = statements
        self.names = names
        self.incarnation_of = incarnation_of
        self.events = events
        self.monotonic = monotonic
        self.wall = wall

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            asked = list(self.registry.to_probe)
            self.registry.to_probe.clear()
            if asked:
                await asyncio.gather(*(self.ask(server) for server in asked))

    async def ask(self, server: BackendServer) -> None:
        """Ask one server how long it stays cold; without a clear answer it counts as cold."""
        if self._wants_nothing(server):
            return
        rule = service_rule(self.registry.store_view, server.backend.service)
        if rule is None or not rule.health_path:
            return
        self.events.count("probes")
        started = self.monotonic()
        answer = await get(server.backend.address, rule.health_path, Patience.in_all(_TIMEOUT_S))
        found = self._read(answer, server, started)
        left_s = found.cold_left_s
        if left_s is not None:
            server.cold_until = self.monotonic() + left_s + COLD_MARGIN_S if left_s else 0.0
        self.events.state("probe", server=server.backend.id, status=found.status, cold_s=left_s)

    def _wants_nothing(self, server: BackendServer) -> bool:
        """Return whether a server leaves, rests or takes only some requests, by its own word."""
        now, stated = self.monotonic(), server.stated
        return server.leaving or stated.rest_until > now or stated.is_limited(now)

    def _read(
        self, answer: Union[Answer, NoAnswer], server: BackendServer, started: float
    ) -> ProbeResult:
        if isinstance(answer, NoAnswer):
            return ProbeResult(_NO_ANSWER)
        if not self._same_process(answer, server):
            return ProbeResult(answer.status)
        self._take_statement(answer, server, started)
        left_ms = answer.header(self.names.cold_ms)
        if answer.status != HTTPStatus.OK or left_ms is None or not left_ms.isdigit():
            return ProbeResult(answer.status)
        return ProbeResult(answer.status, int(left_ms) / _MS)

    def _take_statement(self, answer: Answer, server: BackendServer, started: float) -> None:
        """Take in what a server states of itself in the answer to a probe."""
        statement = statement_of(answer, self.names, self.wall())
        stated = ServerAnswer(statement, started, _PROBE_ID)
        self.statements.answered(server.backend, server.stated, stated, self.monotonic())

    def _same_process(self, answer: Answer, server: BackendServer) -> bool:
        """Return whether the process that this VM holds of a server has answered."""
        if answer.header(self.names.instance) != server.backend.id:
            return False
        stated = self.incarnation_of(answer.body)
        return stated is None or server.backend.incarnation in (None, stated)
