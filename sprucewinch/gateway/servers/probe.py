"""Probes backend servers for whether they are cold, where the store does not show it.

Servers of a data hall whose evacuation has ended, and servers that appear while the store is
unavailable, count as cold and are probed once with a GET on their service's health path; further
ones are named by `health_asks`. If that very process answers and states the time left until it is
warm, in milliseconds, that time applies, and other VMs are told (`cold_reports`). After any other
answer, an answer of another process, or none, a server that counts as cold stays so for its
service's warm-up. One that is only doubted is doubted no longer when that very process answers and
states no time. A server that is leaving, or that has asked for a pause or a rate limit, is not
probed. Whatever else the probed process states in its answer counts as in an answer to a request.

Probes do not wait for each other: a server that does not answer delays none of the others. Each
costs its server a new connection. Without probes, a data hall whose servers were still warm after
an evacuation got few requests for 3.5 s.

Relies on the registry for the servers to probe, on `statements` for what they state, and on
`net.connection`. Results show in the event `probe`, with status 0 for no answer, and in the metric
`probes`. Tests: `test_gateway_probe`.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, Optional, Union

from ...net.arriving_answers import UNCOUNTED, ArrivingAnswers
from ...net.connection import Answer, NoAnswer, Patience, get
from ..events import EventLog
from ..header_names import HeaderNames
from ..statements.statement import parse_statement
from ..statements.statements import ServerAnswer, Statements
from .backend_registry import BackendRegistry
from .backend_server import BackendServer
from .cold_limit import COLD_MARGIN_S, ColdReason, service_rule

_POLL_PAUSE_S = 0.05
"""Pause between two checks for servers to probe, in seconds."""

_TIMEOUT_S = 0.5
"""Longest wait for an answer, in seconds."""

_MAX_BODY_BYTES = 65_536
"""Longest body of an answer, in bytes."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_PROBE_ID = "probe"
"""Stands for the request id in the events of a server's statement."""

_NO_ANSWER = 0
"""Status of a probe without an answer, as the event `probe` shows it."""


class ProbeResult(NamedTuple):
    """The result of a probe.

    Args:
        status: HTTP status; `_NO_ANSWER` if no complete answer came in time.
        cold_left_s: Time for which the server stays cold, in seconds; None if it states none.
        by_process: True if the very process that was asked has answered that it is well.
    """

    status: int
    cold_left_s: Optional[float] = None
    by_process: bool = False


class Prober:
    """Probes the servers that the registry lists for it.

    Args:
        registry: Backend servers.
        statements: Takes in what the servers state.
        names: Names of headers.
        events: Logs each probe.
        monotonic: Returns monotonic time, in seconds.
        wall: Returns the time of day, in seconds since the epoch.
        incarnation_of: Returns the incarnation that the body of an answer states; None if it states
            none.

    Attributes:
        answers: Counts the memory of answers while they arrive, and those beyond a bound.
        on_health: Called with a server whose answer other VMs may need, and whether it is cold.
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
        self.on_health: list[Callable[[BackendServer, bool], None]] = []
        self.answers: ArrivingAnswers = UNCOUNTED
        self.events = events
        self.monotonic = monotonic
        self.wall = wall

    async def run(self) -> None:
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as probes:
            while True:
                await asyncio.sleep(_POLL_PAUSE_S)
                for server in self.registry.to_probe:
                    probes.create_task(self.probe(server))
                self.registry.to_probe.clear()

    async def probe(self, server: BackendServer) -> None:
        """Probe one server for how long it stays cold; without a clear answer it counts as cold."""
        if self._declines_requests(server):
            return
        rule = service_rule(self.registry.store_view, server.backend.service)
        if rule is None or not rule.health_path:
            return
        self.events.count("probes")
        started = self.monotonic()
        was_limited = server.limited_as_cold(started)
        answer = await get(
            server.backend.address,
            rule.health_path,
            Patience.in_all(_TIMEOUT_S),
            answers=self.answers,
            max_body_bytes=_MAX_BODY_BYTES,
        )
        result = self._read(answer, server, started)
        left_s = result.cold_left_s
        if result.by_process:
            self._record_health(server, left_s or 0.0)
        if left_s is not None:
            self._set_cold(server, left_s)
        if was_limited or left_s or not result.by_process:
            self.events.state(
                "probe", server=server.backend.id, status=result.status, cold_s=left_s
            )

    def _record_health(self, server: BackendServer, left_s: float) -> None:
        """Record that a server has answered, and tell other VMs what they may not know."""
        unproven = server.unproven(self.monotonic())
        server.record_health()
        if left_s or unproven:
            for listener in self.on_health:
                listener(server, left_s > 0)

    def _set_cold(self, server: BackendServer, left_s: float) -> None:
        """Apply the time, in seconds, for which a server states that it stays cold."""
        if not left_s:
            server.cold_until = 0.0
            return
        now = self.monotonic()
        until = now + left_s + COLD_MARGIN_S
        self.registry.count_as_cold(server, until, ColdReason.HEALTH, now)
        server.cold_until = until

    def _declines_requests(self, server: BackendServer) -> bool:
        """Return whether a server itself states that it is leaving, paused or limited."""
        now, stated = self.monotonic(), server.stated
        return server.leaving or stated.pause_until > now or stated.is_limited(now)

    def _read(
        self, answer: Union[Answer, NoAnswer], server: BackendServer, started: float
    ) -> ProbeResult:
        if isinstance(answer, NoAnswer):
            return ProbeResult(_NO_ANSWER)
        if not self._same_process(answer, server):
            return ProbeResult(answer.status)
        self._take_statement(answer, server, started)
        left_ms = answer.header(self.names.cold_ms)
        well = answer.status == HTTPStatus.OK
        if not well or left_ms is None or not left_ms.isdigit():
            return ProbeResult(answer.status, by_process=well)
        return ProbeResult(answer.status, int(left_ms) / _MS_PER_S, by_process=True)

    def _take_statement(self, answer: Answer, server: BackendServer, started: float) -> None:
        """Process what a server states of itself in the answer to a probe."""
        statement = parse_statement(answer, self.names, self.wall())
        stated = ServerAnswer(statement, started, _PROBE_ID)
        self.statements.answered(server.backend, server.stated, stated, self.monotonic())

    def _same_process(self, answer: Answer, server: BackendServer) -> bool:
        """Return whether the process that this VM knows of a server has answered."""
        if answer.header(self.names.instance) != server.backend.id:
            return False
        stated = self.incarnation_of(answer.body)
        return stated is None or server.backend.incarnation in (None, stated)
