"""Sends a request to one backend server and says what came of it."""

import asyncio
from collections.abc import Callable

from ...net.connection import Answer, ConnectFailedError, ExchangeFailedError
from ..header_names import Names
from ..servers.backend_registry import ServerBook
from ..servers.backend_server import Server
from ..servers.outliers import Outliers
from ..servers.pool import Pool
from .client_request import Call, Chosen, Send, Verdict
from .verdict import judge, load_of

_SHED_PAUSE_S = 0.05
_MISDIRECTED_PAUSE_S = 60.0
_FAILURE = 500
_KEEP_ALIVE = "timeout="
_LEAST_DEADLINE_MS = 1


class Sender:
    """Sends requests over kept connections.

    Args:
        book: Backend servers.
        outliers: Told of the fate of every request.
        pool: Connections.
        names: Names of headers.
        monotonic: Source of time.
        tell: Told of changes of what is believed of a server.
    """

    def __init__(
        self,
        book: ServerBook,
        outliers: Outliers,
        pool: Pool,
        names: Names,
        monotonic: Callable[[], float],
        tell: Callable[..., None] = lambda _event, **_inputs: None,
    ) -> None:
        self.book = book
        self.outliers = outliers
        self.pool = pool
        self.names = names
        self.monotonic = monotonic
        self.tell = tell

    async def send(self, call: Call, chosen: Chosen, until: float, *, fresh: bool = False) -> Send:
        """Send a request to the chosen server.

        Args:
            call: The request.
            chosen: Where to.
            until: Monotonic time at which it is given up, in seconds.
            fresh: Open a new connection for it.
        """
        server = chosen.server
        started = self.monotonic()
        self.book.take(server, started)
        try:
            async with asyncio.timeout(until - started):
                send = await self._exchange(call, server, until, fresh)
        except TimeoutError:
            send = Send(server.backend.id, Verdict.UNKNOWN, True, "timeout")
        finally:
            self.book.release(server, started)
        call.at_server = False
        now = self.monotonic()
        send = send._replace(seconds=now - started)
        self._learn(server, send, started, now, call.id)
        if server.cold(started):
            self._note_cold(server, send)
        else:
            self._sample(server, send, call.key, now)
        return send

    async def _exchange(self, call: Call, server: Server, until: float, fresh: bool) -> Send:
        backend = server.backend
        try:
            connection = await self.pool.take(backend.address, fresh=fresh)
        except ConnectFailedError:
            return Send(backend.id, Verdict.NOT_RUN, False, "unreachable")
        left_ms = max(_LEAST_DEADLINE_MS, int((until - self.monotonic()) * 1000))
        data = self._encode(call, backend.id, backend.address, left_ms)
        call.at_server = True
        try:
            answer = await connection.exchange(data, request_id=call.id, body_length=len(call.body))
        except ExchangeFailedError as error:
            return Send(backend.id, Verdict.UNKNOWN, True, str(error))
        self.pool.give_back(backend.address, connection, _keep_alive_s(answer))
        judged = judge(answer, self.names, call.id)
        return Send(backend.id, judged.verdict, True, judged.why, answer)

    def _encode(self, call: Call, server_id: str, address: str, left_ms: int) -> bytes:
        lines = [f"{call.method} {call.target} HTTP/1.1", f"host: {call.host or address}"]
        lines += [f"{name}: {value}" for name, value in call.headers]
        lines.append(f"{self.names.expected}: {server_id}")
        lines.append(f"{self.names.deadline_ms}: {left_ms}")
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(f"content-length: {len(call.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + call.body

    def _note_cold(self, server: Server, send: Send) -> None:
        """Note what became of a send to a cold server; it says nothing of the server itself."""
        if send.verdict is Verdict.ANSWERED or send.why == "timeout":
            self.book.tried_cold(server, send.verdict is Verdict.ANSWERED)

    def _sample(self, server: Server, send: Send, key: str, now: float) -> None:
        """Note what a send says of its server beside the others of its service."""
        if send.verdict is Verdict.UNKNOWN:
            self.outliers.failed(server, now, late=send.why == "timeout")
        elif send.verdict is Verdict.ANSWERED and send.answer is not None:
            if send.answer.status >= _FAILURE:
                self.outliers.failed(server, now)
                return
            load = load_of(send.answer, self.names)
            held = load.running + load.waiting if load else 0
            self.outliers.answered(server, key, send.seconds, held, now)

    def _learn(
        self, server: Server, send: Send, started: float, now: float, request_id: str
    ) -> None:
        if send.answer is not None:
            load = load_of(send.answer, self.names)
            if load is not None:
                self.book.told_load(server, load.running, load.waiting, now)
        if send.verdict is Verdict.ANSWERED:
            self.book.answered(server, send.seconds, now)
        elif send.why == "misdirected":
            server.pause(now + _MISDIRECTED_PAUSE_S)
        elif send.why.startswith("shed"):
            server.pause(now + _SHED_PAUSE_S)
            server.crowded(now)
        elif send.why != "timeout" or server.answered_at < started:
            server.failed(now)
            self.tell("server-rests", server=server.backend.id, why=send.why, id=request_id)


def _keep_alive_s(answer: Answer) -> float:
    """Return how long a server keeps a connection open; unbounded when it does not say."""
    text = answer.header("keep-alive") or ""
    for word in text.replace(" ", "").split(","):
        if word.startswith(_KEEP_ALIVE) and word.removeprefix(_KEEP_ALIVE).isdigit():
            return float(word.removeprefix(_KEEP_ALIVE))
    return float("inf")
