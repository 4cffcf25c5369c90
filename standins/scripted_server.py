"""A backend server in memory that answers as a script says.

Owns one incarnation with its runs, and the script of its spoilt answers. Speaks HTTP/1.1 as the
consortium's platform documents its backend servers: slots, ids of
incarnations, answers that say that a request did not run, and every kind of spoilt answer.
"""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple, Optional

import httptools

from .resets import reset

HEALTH_PATH = "/healthz"


class Spoil(enum.Enum):
    """How an answer is spoilt."""

    NONE = "none"
    TWICE = "a second answer right after it"
    TWICE_LATE = "a second answer where the next one is due"
    UNFRAMED = "no length, ended by the connection"
    UNFRAMED_RESET = "no length, reset half-way"
    CUT = "a length, reset half-way"
    NOT_HTTP = "bytes that are no answer"
    UNSIGNED = "no signature"
    OTHER_ID = "the id of another request"
    LOST = "no answer: the connection is reset after the run"
    SILENT = "no answer, no end"
    FAILED = "a failure of its own, signed"


class Run:
    """One request that was run.

    Args:
        request_id: Its id.
        method: HTTP method.
        target: Path and query.
        body: Its body.
        at: Virtual time, in seconds.
    """

    __slots__ = ("at", "body", "headers", "method", "request_id", "target")

    def __init__(
        self, request_id: str, method: str, target: str, body: bytes, headers: dict, at: float
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.body = body
        self.headers = headers
        self.at = at


class Answered(NamedTuple):
    """One answer, and what the server stated of itself in it.

    Args:
        at: When it was written, in seconds.
        request_id: The request.
        status: HTTP status.
        limit_per_s: Requests a second that it takes; None for no limit.
        leaving: True when it leaves.
        rest_s: Rest that it asked for, in seconds; None for none.
    """

    at: float
    request_id: str
    status: int
    limit_per_s: Optional[float] = None
    leaving: bool = False
    rest_s: Optional[float] = None


class ScriptedServer:
    """One incarnation of a backend server.

    Args:
        loop: The loop, virtual or real.
        server_id: Its id.
        work_s: Time of one run, in seconds.
        slots: Requests that it runs at once; beyond, it refuses.

    Attributes:
        arrived: When each request arrived, and its id.
        answered: All its answers.
        says: Headers that it adds to all its answers, those to probes too.
        turns_away: Returns whether it turns the next request away, with `rest` as Retry-After.
        turns_probes_away: True when it does so with probes.
        rest: What it asks for then; empty for none.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        server_id: str,
        *,
        work_s: float = 0.05,
        slots: int = 100,
    ) -> None:
        self.loop = loop
        self.server_id = server_id
        self.work_s = work_s
        self.slots = slots
        self.spoils: list[Spoil] = []
        self.runs: list[Run] = []
        self.refused = 0
        self.arrivals: list[float] = []
        self.arrived: list[tuple[float, str]] = []
        self.answered: list[Answered] = []
        self.running = 0
        self.cancelled = 0
        self.answer_bytes = b"the whole answer"
        self.answer_of: Optional[Callable[[Run], bytes]] = None
        self.on_run: Callable[[Run], None] = _nothing
        self.cold_ms: Optional[int] = None
        self.cold_until = 0.0
        self.cold_factor = 2.0
        self.probes = 0
        self.turns_probes_away = False
        self.misdirected_not_run = False
        self.says: dict[str, str] = {}
        self.turns_away: Callable[[], bool] = _never
        self.rest = ""
        self.open: set[asyncio.Transport] = set()

    def accept(self) -> asyncio.Protocol:
        """Return the protocol of one connection, for a listener of the loop."""
        return _Served(self)

    def answer_to(self, run: Run) -> bytes:
        """Return the body of a run's answer."""
        return self.answer_bytes if self.answer_of is None else self.answer_of(run)

    def note_answer(self, request_id: str, status: int, *, rests: bool) -> None:
        """Keep an answer with what it states."""
        limit = self.says.get("Server-Limit")
        answer = Answered(
            self.loop.time(),
            request_id,
            status,
            _number(limit),
            self.says.get("Server-Leaving") == "1",
            _number(self.rest) if rests else None,
        )
        self.answered.append(answer)

    def next_spoil(self) -> Spoil:
        """Return how the next answer is spoilt."""
        return self.spoils.pop(0) if self.spoils else Spoil.NONE

    def turn_cold(self, seconds: float) -> None:
        """Be slow for some seconds, as after a start, and say so when asked."""
        self.cold_until = self.loop.time() + seconds

    def cold_left_ms(self) -> Optional[int]:
        """Return what it says of its warm-up; None when it says nothing."""
        left = max(0.0, self.cold_until - self.loop.time())
        return int(left * 1000) if left else self.cold_ms

    def work_now_s(self) -> float:
        """Return the time of a run that begins now, in seconds."""
        cold = self.loop.time() < self.cold_until
        return self.work_s * (self.cold_factor if cold else 1.0)

    def reset(self) -> None:
        """Reset all open connections."""
        for transport in list(self.open):
            reset(transport)


def _number(text: Optional[str]) -> Optional[float]:
    """Return a decimal number; None for a text that is none."""
    return float(text) if text and text.replace(".", "", 1).isdigit() else None


def _never() -> bool:
    """Turn no request away."""
    return False


def _nothing(_run: Run) -> None:
    """Do nothing when a run begins."""


class _Served(asyncio.Protocol):
    """One connection at a scripted server."""

    def __init__(self, server: ScriptedServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Optional[asyncio.Transport] = None
        self.task: Optional[asyncio.Task] = None
        self.owed = b""
        self._begin()

    def _begin(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = b""
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.open.add(transport)

    def connection_lost(self, _exc: Optional[Exception]) -> None:
        assert self.transport is not None
        self.server.open.discard(self.transport)
        if self.task is not None and not self.task.done():
            self.server.cancelled += 1
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.target == HEALTH_PATH.encode():
            self._begin()
            self._tell_health()
            return
        self._take_request()

    def _tell_health(self) -> None:
        server = self.server
        server.probes += 1
        extra = f"X-Instance-Id: {server.server_id}\r\n"
        left_ms = server.cold_left_ms()
        if left_ms is not None:
            extra += f"X-Warmup-Remaining-Ms: {left_ms}\r\n"
        if server.turns_probes_away:
            self._write(503, "", b"", extra=f"{extra}Retry-After: {server.rest}\r\n")
            return
        self._write(200, "", b"", extra=extra)

    def _take_request(self) -> None:
        server = self.server
        server.arrivals.append(server.loop.time())
        request_id = self.headers.get("x-request-id", "")
        server.arrived.append((server.loop.time(), request_id))
        expected = self.headers.get("x-expected-instance", server.server_id)
        method = self.parser.get_method().decode()
        run = Run(
            request_id, method, self.target.decode(), self.body, self.headers, server.loop.time()
        )
        self._begin()
        if expected != server.server_id:
            extra = f"X-Instance-Id: {server.server_id}\r\n"
            if server.misdirected_not_run:
                extra += "X-Not-Executed: 1\r\n"
            self._write(421, run.request_id, b"", extra=extra)
        elif not request_id:
            self._write(400, "", b"", extra="X-Not-Executed: 1\r\n")
        elif server.turns_away():
            server.refused += 1
            rest = f"Retry-After: {server.rest}\r\n" if server.rest else ""
            self._write(503, run.request_id, b"", extra=f"X-Not-Executed: 1\r\n{rest}")
        elif server.running >= server.slots:
            server.refused += 1
            self._write(503, run.request_id, b"", extra="X-Not-Executed: 1\r\n")
        else:
            self.task = server.loop.create_task(self._work(run))

    async def _work(self, run: Run) -> None:
        server = self.server
        server.runs.append(run)
        server.on_run(run)
        server.running += 1
        try:
            await asyncio.sleep(server.work_now_s())
        finally:
            server.running -= 1
        self._answer(run, server.next_spoil())

    def _answer(self, run: Run, spoil: Spoil) -> None:
        assert self.transport is not None
        body = self.server.answer_to(run)
        whole = self._encode(200, run.request_id, body)
        owed, self.owed = self.owed, b""
        if spoil is Spoil.NONE:
            self.transport.write(owed + whole)
        elif spoil is Spoil.TWICE:
            self.transport.write(owed + whole + whole)
        elif spoil is Spoil.TWICE_LATE:
            self.transport.write(owed + whole)
            self.owed = whole
        elif spoil is Spoil.FAILED:
            self.transport.write(self._encode(500, run.request_id, b"it failed"))
        elif spoil is Spoil.UNSIGNED:
            self.transport.write(self._encode(200, run.request_id, body, signed=False))
        elif spoil is Spoil.OTHER_ID:
            self.transport.write(self._encode(200, "another", body))
        elif spoil is Spoil.NOT_HTTP:
            self.transport.write(b"\x00\x01 this is no answer\r\n\r\n")
        else:
            self._break_off(run, spoil, whole)

    def _break_off(self, run: Run, spoil: Spoil, whole: bytes) -> None:
        assert self.transport is not None
        body = self.server.answer_to(run)
        unframed = self._encode(200, run.request_id, body, framed=False)
        if spoil is Spoil.UNFRAMED:
            self.transport.write(unframed)
            self.transport.close()
        elif spoil is Spoil.UNFRAMED_RESET:
            self.transport.write(unframed[:-4])
            reset(self.transport)
        elif spoil is Spoil.CUT:
            self.transport.write(whole[:-4])
            reset(self.transport)
        elif spoil is Spoil.LOST:
            reset(self.transport)

    def _write(self, status: int, request_id: str, body: bytes, *, extra: str = "") -> None:
        assert self.transport is not None
        self.transport.write(self._encode(status, request_id, body, signed=False, extra=extra))

    def _encode(
        self,
        status: int,
        request_id: str,
        body: bytes,
        *,
        signed: bool = True,
        framed: bool = True,
        extra: str = "",
    ) -> bytes:
        self.server.note_answer(request_id, status, rests="Retry-After" in extra)
        head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{extra}"
        head += "".join(f"{name}: {value}\r\n" for name, value in self.server.says.items())
        if signed:
            head += f"X-Response-Signature: {self.server.server_id}.{request_id}\r\n"
        if framed:
            head += f"Content-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body
