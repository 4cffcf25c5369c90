"""Sends a request to one backend server and says what came of it."""

import asyncio
from collections.abc import Callable
from typing import Optional

from ...net.connection import Answer, ConnectFailedError, ExchangeFailedError
from ..events import EventLog, NoEvents
from ..header_names import HeaderNames
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer
from ..servers.outliers import OutlierDetector
from ..servers.pool import ConnectionPool
from .client_request import Attempt, ClientRequest, Selection, Verdict
from .verdict import judge_answer, load_report

_SHED_PAUSE_S = 0.05
_MISDIRECTED_PAUSE_S = 60.0
_FAILURE = 500
_KEEP_ALIVE = "timeout="
_LEAST_DEADLINE_MS = 1


class Sender:
    """Sends requests over kept connections.

    Args:
        registry: Backend servers.
        outliers: Told of the fate of every request.
        pool: Connections.
        names: Names of headers.
        monotonic: Source of time.
        events: Takes a line when a server is left alone for a while; None for none.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        outliers: OutlierDetector,
        pool: ConnectionPool,
        names: HeaderNames,
        monotonic: Callable[[], float],
        events: Optional[EventLog] = None,
    ) -> None:
        self.registry = registry
        self.outliers = outliers
        self.pool = pool
        self.names = names
        self.monotonic = monotonic
        self.events = events or NoEvents()

    async def send(
        self, request: ClientRequest, selection: Selection, until: float, *, fresh: bool = False
    ) -> Attempt:
        """Send a request to the chosen server.

        Args:
            request: The request.
            selection: Where to.
            until: Monotonic time at which it is given up, in seconds.
            fresh: Open a new connection for it.
        """
        server = selection.server
        started = self.monotonic()
        self.registry.take(server, started)
        try:
            async with asyncio.timeout(until - started):
                send = await self._exchange(request, server, until, fresh)
        except TimeoutError:
            send = Attempt(server.backend.id, Verdict.UNKNOWN, True, "timeout")
        finally:
            self.registry.release(server, started)
        request.at_server = False
        now = self.monotonic()
        send = send._replace(seconds=now - started)
        self._learn(server, send, started, now, request.id)
        if server.cold(started):
            self._note_cold(server, send)
        else:
            self._sample(server, send, request.key, now)
        return send

    async def _exchange(
        self, request: ClientRequest, server: BackendServer, until: float, fresh: bool
    ) -> Attempt:
        backend = server.backend
        try:
            connection = await self.pool.take(backend.address, fresh=fresh)
        except ConnectFailedError:
            return Attempt(backend.id, Verdict.NOT_RUN, False, "unreachable")
        left_ms = max(_LEAST_DEADLINE_MS, int((until - self.monotonic()) * 1000))
        data = self._encode(request, backend.id, backend.address, left_ms)
        request.at_server = True
        try:
            answer = await connection.exchange(
                data, request_id=request.id, body_length=len(request.body)
            )
        except ExchangeFailedError as error:
            return Attempt(backend.id, Verdict.UNKNOWN, True, str(error))
        self.pool.give_back(backend.address, connection, _keep_alive_s(answer))
        judged = judge_answer(answer, self.names, request.id)
        return Attempt(backend.id, judged.verdict, True, judged.why, answer)

    def _encode(self, request: ClientRequest, server_id: str, address: str, left_ms: int) -> bytes:
        lines = [f"{request.method} {request.target} HTTP/1.1", f"host: {request.host or address}"]
        lines += [f"{name}: {value}" for name, value in request.headers]
        lines.append(f"{self.names.expected}: {server_id}")
        lines.append(f"{self.names.deadline_ms}: {left_ms}")
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(f"content-length: {len(request.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + request.body

    def _note_cold(self, server: BackendServer, send: Attempt) -> None:
        """Note what became of a send to a cold server; it says nothing of the server itself."""
        if send.verdict is Verdict.ANSWERED or send.why == "timeout":
            self.registry.cold_limit.record_attempt(
                server.backend.service, send.verdict is Verdict.ANSWERED
            )

    def _sample(self, server: BackendServer, send: Attempt, key: str, now: float) -> None:
        """Note what a send says of its server beside the others of its service."""
        if send.verdict is Verdict.UNKNOWN:
            self.outliers.record_failure(server, now, late=send.why == "timeout")
        elif send.verdict is Verdict.ANSWERED and send.answer is not None:
            if send.answer.status >= _FAILURE:
                self.outliers.record_failure(server, now)
                return
            load = load_report(send.answer, self.names)
            held = load.running + load.waiting if load else 0
            self.outliers.record_success(server, key, send.seconds, held, now)

    def _learn(
        self, server: BackendServer, send: Attempt, started: float, now: float, request_id: str
    ) -> None:
        if send.answer is not None:
            load = load_report(send.answer, self.names)
            if load is not None:
                self.registry.record_load(server, load.running, load.waiting, now)
        if send.verdict is Verdict.ANSWERED:
            self.registry.record_success(server, send.seconds, now)
        elif send.why == "misdirected":
            server.pause(now + _MISDIRECTED_PAUSE_S)
        elif send.why.startswith("shed"):
            server.pause(now + _SHED_PAUSE_S)
            server.limit.decrease(now)
        elif send.why != "timeout" or server.answered_at < started:
            server.record_failure(now)
            self.events.state("server-rests", server=server.backend.id, why=send.why, id=request_id)


def _keep_alive_s(answer: Answer) -> float:
    """Return how long a server keeps a connection open; unbounded when it does not say."""
    text = answer.header("keep-alive") or ""
    for word in text.replace(" ", "").split(","):
        if word.startswith(_KEEP_ALIVE) and word.removeprefix(_KEEP_ALIVE).isdigit():
            return float(word.removeprefix(_KEEP_ALIVE))
    return float("inf")
