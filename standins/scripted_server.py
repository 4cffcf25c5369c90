"""A scripted backend server in memory.

Owns one incarnation with the requests that it ran, and the script of its defective answers. Speaks
HTTP/1.1 as the consortium's platform documents its backend servers: slots, incarnation ids, answers
that say that a request was not run, and every kind of defective answer.
"""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple, Optional, Union

import httptools

from .resets import reset

HEALTH_PATH = "/healthz"


class Spoil(enum.Enum):
    """Defect of an answer."""

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
    """One request that the server ran.

    Args:
        request_id: Id of the request.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        headers: Headers of the request, by lower-case name.
        at: Time of the loop when the run began, in seconds.
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
    """One answer, and what the server stated about itself in it.

    Args:
        at: Time of the loop when the answer was written, in seconds.
        request_id: Id of the request.
        status: HTTP status.
        limit_per_s: Stated limit in requests a second; None for no limit.
        leaving: True when the server stated that it is leaving.
        rest_s: Stated `Retry-After`, in seconds; None if the answer had none.
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
        loop: Event loop, virtual or real.
        server_id: Id of the incarnation.
        work_s: Time of one run, in seconds.
        slots: Number of requests that run at once; further ones are refused as not run.

    Attributes:
        arrived: Arrival time and id of each request.
        answered: All answers that the server wrote.
        says: Headers added to every answer, those to probes included.
        states_load: Returns the value of `X-Server-Load`, read at each answer; None for no header.
        pace_percent: How long its work takes now, in per cent of its usual time.
        spoil_of: Returns the defect of a run's answer while the script has none.
        cold_spans: Beginning and end of each time for which the server is cold.
        spoilt: Defect of the last spoilt answer to each request, by the request's id.
        more_work_s: Returns the time that a run takes beside `work_s`, in seconds.
        reset_at: Times of the loop at which it reset its connections, in seconds.
        turns_away: Returns True to refuse the next request with status 503 and `rest` as
            `Retry-After`.
        turns_probes_away: True to refuse probes in the same way.
        probe_wait_s: Time for which a probe waits for its answer, in seconds.
        probe_body: Body of the answers to probes.
        rest: Value of `Retry-After` in those refusals; empty for none.
        status_of: Returns the status of a run's answer as it stands in the status line, which may
            be none of HTTP.
        signs: False to leave the signature out of the answers to runs.
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
        self.on_run: Callable[[Run], None] = _ignore_run
        self.cold_ms: Optional[int] = None
        self.cold_until = 0.0
        self.cold_spans: list[tuple[float, float]] = []
        self.cold_factor = 2.0
        self.probes = 0
        self.turns_probes_away = False
        self.probe_wait_s = 0.0
        self.probe_body = b""
        self.misdirected_not_run = False
        self.says: dict[str, str] = {}
        self.states_load: Optional[Callable[[], str]] = None
        self.pace_percent = 100.0
        self.spoil_of: Callable[[Run], Spoil] = _spoil_none
        self.spoilt: dict[str, Spoil] = {}
        self.more_work_s: Callable[[Run], float] = _work_no_longer
        self.reset_at: list[float] = []
        self.turns_away: Callable[[], bool] = _refuse_none
        self.rest = ""
        self.status_of: Callable[[Run], str] = _status_ok
        self.signs = True
        self.open: set[asyncio.Transport] = set()

    def accept(self) -> asyncio.Protocol:
        """Return the protocol of one connection, for a listener of the loop."""
        return _ServerConnection(self)

    def answer_to(self, run: Run) -> bytes:
        """Return the body of a run's answer."""
        return self.answer_bytes if self.answer_of is None else self.answer_of(run)

    def note_answer(self, request_id: str, status: int, *, rests: bool) -> None:
        """Record an answer together with what it states."""
        limit = self.says.get("Server-Limit")
        answer = Answered(
            self.loop.time(),
            request_id,
            status,
            _parse_number(limit),
            self.says.get("Server-Leaving") == "1",
            _parse_number(self.rest) if rests else None,
        )
        self.answered.append(answer)

    def next_spoil(self, run: Run) -> Spoil:
        """Return the defect of a run's answer: the script's next one, else that of `spoil_of`."""
        spoil = self.spoils.pop(0) if self.spoils else self.spoil_of(run)
        if spoil is not Spoil.NONE:
            self.spoilt[run.request_id] = spoil
        return spoil

    def turn_cold(self, seconds: float) -> None:
        """Be slow for some seconds, as after a start, and report the time left to probes."""
        now = self.loop.time()
        if self.cold_until > now and self.cold_spans:
            self.cold_spans[-1] = (self.cold_spans[-1][0], now)
        self.cold_until = now + seconds
        if seconds > 0:
            self.cold_spans.append((now, self.cold_until))

    def warmup_left_ms(self) -> Optional[int]:
        """Return the warm-up time reported to probes, in milliseconds; None to report nothing."""
        left = max(0.0, self.cold_until - self.loop.time())
        return int(left * 1000) if left else self.cold_ms

    def work_now_s(self) -> float:
        """Return the duration of a run that begins now, in seconds."""
        cold = self.loop.time() < self.cold_until
        return self.work_s * (self.cold_factor if cold else 1.0) * self.pace_percent / 100

    def reset(self) -> None:
        """Reset all open connections."""
        self.reset_at.append(self.loop.time())
        for transport in list(self.open):
            reset(transport)


def _parse_number(text: Optional[str]) -> Optional[float]:
    """Return the decimal number in a text, or None if it is none."""
    return float(text) if text and text.replace(".", "", 1).isdigit() else None


def _refuse_none() -> bool:
    """Refuse no request."""
    return False


def _status_ok(_run: Run) -> str:
    """Answer with success."""
    return "200"


def _spoil_none(_run: Run) -> Spoil:
    """Spoil no answer."""
    return Spoil.NONE


def _work_no_longer(_run: Run) -> float:
    """Take no longer than other runs."""
    return 0.0


def _ignore_run(_run: Run) -> None:
    """Do nothing when a run begins."""


class _ServerConnection(asyncio.Protocol):
    """Server side of one HTTP connection to a scripted server."""

    def __init__(self, server: ScriptedServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Optional[asyncio.Transport] = None
        self.task: Optional[asyncio.Task] = None
        self.delayed_answer = b""
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
            self.server.probes += 1
            if self.server.probe_wait_s:
                self.server.loop.call_later(self.server.probe_wait_s, self._answer_probe)
            else:
                self._answer_probe()
            return
        self._handle_request()

    def _answer_probe(self) -> None:
        server = self.server
        extra = f"X-Instance-Id: {server.server_id}\r\n"
        left_ms = server.warmup_left_ms()
        if left_ms is not None:
            extra += f"X-Warmup-Remaining-Ms: {left_ms}\r\n"
        if server.turns_probes_away:
            self._write(503, "", b"", extra=f"{extra}Retry-After: {server.rest}\r\n")
            return
        self._write(200, "", server.probe_body, extra=extra)

    def _handle_request(self) -> None:
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
            await asyncio.sleep(server.work_now_s() + server.more_work_s(run))
        finally:
            server.running -= 1
        self._answer(run, server.next_spoil(run))

    def _answer(self, run: Run, spoil: Spoil) -> None:
        assert self.transport is not None
        body = self.server.answer_to(run)
        status = self.server.status_of(run)
        whole = self._encode(status, run.request_id, body, signed=self.server.signs)
        delayed_answer, self.delayed_answer = self.delayed_answer, b""
        if spoil is Spoil.NONE:
            self.transport.write(delayed_answer + whole)
        elif spoil is Spoil.TWICE:
            self.transport.write(delayed_answer + whole + whole)
        elif spoil is Spoil.TWICE_LATE:
            self.transport.write(delayed_answer + whole)
            self.delayed_answer = whole
        elif spoil is Spoil.FAILED:
            self.transport.write(self._encode(500, run.request_id, b"it failed"))
        elif spoil is Spoil.UNSIGNED:
            self.transport.write(self._encode(200, run.request_id, body, signed=False))
        elif spoil is Spoil.OTHER_ID:
            self.transport.write(self._encode(200, "another", body))
        elif spoil is Spoil.NOT_HTTP:
            self.transport.write(b"\x00\x01 this is no answer\r\n\r\n")
        else:
            self._answer_and_disconnect(run, spoil, whole)

    def _answer_and_disconnect(self, run: Run, spoil: Spoil, whole: bytes) -> None:
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
        status: Union[int, str],
        request_id: str,
        body: bytes,
        *,
        signed: bool = True,
        framed: bool = True,
        extra: str = "",
    ) -> bytes:
        number = int(status) if str(status).isdecimal() else 0
        self.server.note_answer(request_id, number, rests="Retry-After" in extra)
        head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{extra}"
        head += "".join(f"{name}: {value}\r\n" for name, value in self.server.says.items())
        if self.server.states_load is not None:
            head += f"X-Server-Load: {self.server.states_load()}\r\n"
        if signed:
            head += f"X-Response-Signature: {self.server.server_id}.{request_id}\r\n"
        if framed:
            head += f"Content-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body
