"""Sends a request to one backend server and returns the attempt.

A `Sender` owns one attempt at a time for each request: its connection, its encoding, its time-out,
and the check whether the server crashed meanwhile. Once a connection is established it checks
whether this process ends too soon, whether the server is still available and accepts requests, and
whether the quarantine still lets the request pass; from there to the first byte it does not wait
for anything. A grant of a server's rate limit that was not used is given back to
`statements.server_quotas`.

The module relies on `verdict` for what an answer proves, on `attempt_feedback` for what the VM
learns from an attempt, and on the connection pool. It does not decide on retries. It logs the
events `server-crashed` and `server-restarted`; `not-offered`, `quarantined`, `stopping` and
`server-crashed` are logged in `sends` of the event `request`. The tests are in
tests/test_gateway_pipeline.py, tests/test_gateway_crash_check.py and
tests/test_formats_gateway.py.
"""

import asyncio
from collections.abc import Callable

from ...net.connection import (
    Answer,
    ConnectFailedError,
    Connection,
    ExchangeFailedError,
)
from ..crashes.crash_check import CrashCheck
from ..header_names import HeaderNames
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer
from ..servers.pool import ConnectionPool
from ..statements.server_quotas import ServerQuotas
from ..statements.statement import keep_alive_s, read_statement
from .attempt_feedback import AttemptFeedback
from .client_request import (
    CRASHED,
    ENDED,
    NOT_OFFERED,
    QUARANTINED,
    RESTARTED,
    STOPPING,
    TIMED_OUT,
    UNREACHABLE,
    Attempt,
    ClientRequest,
    Selection,
    Verdict,
)
from .outcome.hold_time import MS_PER_S
from .outcome.process_end import ProcessEnd
from .verdict import judge_answer

MIN_DEADLINE_MS = 1
"""Smallest deadline that is sent to a server, so that none is 0 or less."""

_BODYLESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
"""Methods for which an empty body is sent without a content-length."""


class Sender:
    """Sends requests over pooled connections.

    Args:
        registry: Backend servers.
        pool: Connections to backend servers.
        names: Names of headers.
        feedback: Records what attempts show about servers and requests; its clock is used.
        server_quotas: Rate limits that servers state.
        process_end: Decides what may be sent while this process stops.
        wall: Source of wall-clock time, in seconds since the epoch.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        pool: ConnectionPool,
        names: HeaderNames,
        feedback: AttemptFeedback,
        server_quotas: ServerQuotas,
        *,
        process_end: ProcessEnd,
        wall: Callable[[], float],
    ) -> None:
        self.registry = registry
        self.pool = pool
        self.names = names
        self.feedback = feedback
        self.quarantine = feedback.quarantine
        self.links = feedback.links
        self.events = feedback.events
        self.server_quotas = server_quotas
        self.process_end = process_end
        self.monotonic = feedback.monotonic
        self.wall = wall
        self.crash_check = CrashCheck(pool)
        self._connections_in_use: dict[BackendServer, set[Connection]] = {}
        registry.on_restart.append(self._end_attempts)

    async def send(
        self,
        request: ClientRequest,
        selection: Selection,
        until: float,
        *,
        max_idle_s: float = float("inf"),
    ) -> Attempt:
        """Send a request to the selected server, unless that leaves before the first byte is sent.

        Args:
            request: The request.
            selection: The selected server.
            until: Monotonic time at which the attempt times out, in seconds.
            max_idle_s: Longest idle time of a pooled connection that may carry it, in seconds.
        """
        server = selection.server
        started = self.monotonic()
        attempt = await self._attempt(request, selection, started, until, max_idle_s)
        request.at_server = attempt.verdict is not Verdict.NOT_RUN
        attempt = attempt._replace(seconds=self.monotonic() - started)
        if not attempt.may_have_arrived:
            self.server_quotas.give_back(selection.grant)
        self.feedback.record(request, server, attempt, started)
        return await self._detect_crash(request, selection, attempt, started, until)

    async def _attempt(
        self,
        request: ClientRequest,
        selection: Selection,
        started: float,
        until: float,
        max_idle_s: float,
    ) -> Attempt:
        """Make one attempt with a time-out, counted as in flight at the server meanwhile."""
        server = selection.server
        self.registry.take(server, started)
        try:
            async with asyncio.timeout(until - started):
                return await self._exchange(request, selection, started, until, max_idle_s)
        except TimeoutError:
            if not request.at_server:
                # No connection was established in time, so no byte was sent.
                return Attempt(server.backend.id, Verdict.NOT_RUN, False, TIMED_OUT)
            self.pool.drop(server.backend.address)
            return Attempt(server.backend.id, Verdict.UNKNOWN, True, TIMED_OUT)
        finally:
            self.registry.release(server, started)

    async def _exchange(
        self,
        request: ClientRequest,
        selection: Selection,
        started: float,
        until: float,
        max_idle_s: float,
    ) -> Attempt:
        backend = selection.server.backend
        try:
            connection = await self.pool.take(backend.address, max_idle_s=max_idle_s)
        except ConnectFailedError:
            return Attempt(backend.id, Verdict.NOT_RUN, False, UNREACHABLE)
        if not self._ends_in_time(request, selection, until):
            self.pool.give_back(backend.address, connection)
            return Attempt(backend.id, Verdict.NOT_RUN, False, STOPPING)
        # While the connection was established, the server may have left, its data hall may have
        # been evacuated, the server may have turned cold or stated a rate limit or a pause.
        if not self._may_send(request, selection, started):
            connection.close()
            return Attempt(backend.id, Verdict.NOT_RUN, False, NOT_OFFERED)
        if self.quarantine.refusal(request) is not None:
            self.pool.give_back(backend.address, connection)
            return Attempt(backend.id, Verdict.NOT_RUN, False, QUARANTINED)
        left_ms = max(MIN_DEADLINE_MS, int((until - self.monotonic()) * MS_PER_S))
        head = self._encode_head(request, backend.id, backend.address, left_ms)
        request.begin_sending(backend.id, self.monotonic())
        try:
            answer = await self._answer(selection.server, connection, request, head)
        except ExchangeFailedError as error:
            cause = ENDED if error.ended else str(error)
            return Attempt(backend.id, Verdict.UNKNOWN, True, cause)
        self.pool.give_back(backend.address, connection, keep_alive_s(answer))
        judged = judge_answer(answer, self.names, request.id)
        statement = read_statement(answer, self.names, request.id, self.wall())
        return Attempt(backend.id, judged.verdict, True, judged.cause, answer, statement=statement)

    def _ends_in_time(self, request: ClientRequest, selection: Selection, until: float) -> bool:
        """Return whether a stop of this process leaves the request enough time."""
        shortest_s = self.registry.times.low_quantile_s(selection.service)
        return self.process_end.may_send(request, until, self.monotonic(), shortest_s)

    def _may_send(self, request: ClientRequest, selection: Selection, started: float) -> bool:
        """Return whether the server still accepts the request, right before the first byte."""
        stated, now = selection.server.stated, self.monotonic()
        if (
            not self.registry.offers(selection.server, selection.service)
            or stated.pause_until > now
        ):
            return False
        if selection.grant.quota is None and stated.is_limited(now):
            return False
        return self.registry.start_sending(selection.server, started, now, request.id)

    async def _detect_crash(
        self,
        request: ClientRequest,
        selection: Selection,
        attempt: Attempt,
        started: float,
        until: float,
    ) -> Attempt:
        """Return an attempt, with the cause `CRASHED` if its server's process has crashed.

        The end of a server that is no longer available is planned and not a crash. A check that
        is not over when the attempt times out proves nothing.
        """
        server = selection.server
        if attempt.cause == RESTARTED and not server.leaving:
            self._record_crash(request, server, attempt, started)
        if attempt.cause != ENDED or not self.registry.offers(server, selection.service):
            return attempt
        try:
            async with asyncio.timeout(max(0.0, until - self.monotonic())):
                ended = await self.crash_check.has_ended(server.backend.address)
                # A VM that lost its links is refused by servers that run.
                ended = ended and await self.links.confirmed(started + attempt.seconds)
        except TimeoutError:
            return attempt
        if not ended or any(
            connection.alive for connection in self._connections_in_use.get(server, ())
        ):
            return attempt
        self._record_crash(request, server, attempt, started)
        return attempt._replace(cause=CRASHED)

    def _record_crash(
        self, request: ClientRequest, server: BackendServer, attempt: Attempt, started: float
    ) -> None:
        """Record a crash as evidence against the request that the server was running."""
        self.events.count("attempts_ended_by_crashes")
        self.events.state(
            "server-crashed",
            server=server.backend.id,
            id=request.id,
            fingerprint=self.quarantine.fingerprinter.fingerprint_of(request).hex(),
            ms=round(attempt.seconds * MS_PER_S, 1),
        )
        self.quarantine.record_crash(request, server, started, started + attempt.seconds)

    async def _answer(
        self, server: BackendServer, connection: Connection, request: ClientRequest, head: bytes
    ) -> Answer:
        """Return the server's answer, unless `_end_attempts` fails the connection first."""
        connections = self._connections_in_use.setdefault(server, set())
        connections.add(connection)
        try:
            return await connection.exchange(head, request.body, request_id=request.id)
        finally:
            connections.discard(connection)
            if not connections:
                self._connections_in_use.pop(server, None)

    def _end_attempts(self, server: BackendServer) -> None:
        """Fail the attempts at a server process that has ended, as no answer can arrive any more.

        Their requests may have run. If the process ended during a network partition, its
        connections are not reset. Without this the attempts would wait for their time-out, and a
        repeatable request would not be retried in time.
        """
        self.pool.drop(server.backend.address)
        connections = self._connections_in_use.pop(server, set())
        self.events.count("server_restarts")
        self.events.state("server-restarted", server=server.backend.id, in_flight=len(connections))
        for connection in connections:
            connection.fail(RESTARTED)

    def _encode_head(
        self, request: ClientRequest, server_id: str, address: str, left_ms: int
    ) -> bytes:
        lines = [f"{request.method} {request.target} HTTP/1.1", f"host: {request.host or address}"]
        lines += [f"{name}: {value}" for name, value in request.headers]
        lines.append(f"{self.names.expected}: {server_id}")
        lines.append(f"{self.names.deadline_ms}: {left_ms}")
        if request.body or request.method not in _BODYLESS_METHODS:
            lines.append(f"content-length: {len(request.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")
