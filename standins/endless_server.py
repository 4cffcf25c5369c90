"""Stand-in for a backend server in trouble: it sends bytes without end until its peer closes.

Owns the forms of such answers and a record of each connection on which one was sent: how many bytes
were sent, and when the peer closed. As a process of its own (`python -m standins.endless_server`),
it prints its ports and then these records, one line of JSON each. A form is sent to requests, to
probes, or to both; the rest is answered with a whole, empty answer. Relies on httptools to read
requests. Tests: `tests/test_standins_endless.py`.
"""

import asyncio
import enum
import json
import time
from collections.abc import Callable, Collection
from typing import Any, NamedTuple, Optional

import fire
import httptools

from .scripted_server import HEALTH_PATH

PIECE_BYTES = 65_536
"""Number of bytes that are written at once, about."""

_SLOW_INTERVAL_S = 0.05
"""Time between two bytes of `Form.SLOW_HEADER`, in seconds."""


class Form(enum.Enum):
    """What is sent without end."""

    STATUS_LINE = "a status line that does not end"
    HEADER = "a header that does not end"
    HEADER_LINES = "header lines"
    CONTINUE = "interim answers with status 100"
    EARLY_HINTS = "interim answers with status 103"
    EMPTY_LINES = "empty lines before the status line"
    UNFRAMED_BODY = "a body without a length"
    CHUNKS = "chunks of a body"
    TERABYTE = "a body with a length of a terabyte"
    CHUNK_SIZE = "digits of the size of a chunk"
    CHUNK_EXTENSION = "an extension of a chunk"
    TRAILERS = "header lines behind the last chunk"
    GARBAGE = "bytes that are no answer"
    LETTERS = "letters without the end of a line"
    BEHIND = "bytes behind a whole answer"
    SLOW_HEADER = "one byte of a header each 50 ms"


_CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
_HEAD = "HTTP/1.1 200 OK\r\n{headers}X-Instance-Id: {server}\r\nX-Request-Id: {request}\r\n"
_HEAD += "X-Response-Signature: {server}.{request}\r\n"
_WHOLE = f"{_HEAD}Content-Length: 0\r\n\r\n"

_BYTES: dict[Form, tuple[str, bytes]] = {
    Form.STATUS_LINE: ("HTTP/1.1 200 ", b"O"),
    Form.HEADER: (f"{_HEAD}X-Pad: ", b"x"),
    Form.HEADER_LINES: (_HEAD, b"X-Pad: x\r\n"),
    Form.CONTINUE: ("", b"HTTP/1.1 100 Continue\r\n\r\n"),
    Form.EARLY_HINTS: ("", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    Form.EMPTY_LINES: ("", b"\r\n"),
    Form.UNFRAMED_BODY: (f"{_HEAD}\r\n", b"x"),
    Form.CHUNKS: (_HEAD + _CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    Form.TERABYTE: (f"{_HEAD}Content-Length: 1000000000000\r\n\r\n", b"x"),
    Form.CHUNK_SIZE: (_HEAD + _CHUNKED, b"0"),
    Form.CHUNK_EXTENSION: (f"{_HEAD}{_CHUNKED}5;", b"x"),
    Form.TRAILERS: (f"{_HEAD}{_CHUNKED}5\r\nhello\r\n0\r\n", b"X-Pad: x\r\n"),
    Form.GARBAGE: ("", b"\x00\x01\r\n"),
    Form.LETTERS: ("", b"x"),
    Form.BEHIND: (_WHOLE, b"x"),
    Form.SLOW_HEADER: (f"{_HEAD}X-Pad: ", b"x"),
}
"""How each form begins, and what it then repeats."""


class EndlessAnswer(NamedTuple):
    """An answer without end, when it has begun or its connection has ended.

    Args:
        form: Name of its `Form`.
        request_id: Id of the request; empty for a probe.
        began: Monotonic time of its first byte, in seconds.
        passed: Monotonic time when more than `mark_bytes` had been sent, in seconds; None if the
            connection ended before.
        ended: Monotonic time when the connection ended, in seconds; None while it is open.
        sent_bytes: Number of bytes that were sent or still buffered.
    """

    form: str
    request_id: str
    began: float
    passed: Optional[float]
    ended: Optional[float]
    sent_bytes: int


class EndlessServer:
    """A backend server whose answers do not end.

    Args:
        server_id: Id of the incarnation.
        form: What it sends.
        to_requests: Whether it sends this to requests.
        to_probes: Whether it sends this to probes.
        mark_bytes: Number of bytes at whose passing each record states the time.
        headers: Further header lines of its answers.
        on_answer: Called with the record of each such answer when it begins and when it has ended.
    """

    def __init__(
        self,
        server_id: str,
        form: Form,
        *,
        to_requests: bool = True,
        to_probes: bool = False,
        mark_bytes: int = 0,
        headers: str = "",
        on_answer: Callable[[EndlessAnswer], None],
    ) -> None:
        self.server_id = server_id
        self.form = form
        self.to_requests = to_requests
        self.to_probes = to_probes
        self.mark_bytes = mark_bytes
        self.headers = headers
        self.on_answer = on_answer

    def accept(self) -> asyncio.Protocol:
        """Return the protocol of one connection, for a listener of the loop."""
        return _EndlessConnection(self)

    def begin(self, request_id: str) -> bytes:
        """Return the beginning of an endless answer."""
        return self._fill(_BYTES[self.form][0], request_id)

    def piece(self) -> bytes:
        """Return what follows again and again."""
        repeated = _BYTES[self.form][1]
        return repeated * (PIECE_BYTES // len(repeated))

    def whole(self, request_id: str) -> bytes:
        """Return an answer that ends."""
        return self._fill(_WHOLE, request_id)

    def _fill(self, text: str, request_id: str) -> bytes:
        filled = text.format(server=self.server_id, request=request_id, headers=self.headers)
        return filled.encode()


class _EndlessConnection(asyncio.Protocol):
    """Server side of one connection to an endless server."""

    def __init__(self, server: EndlessServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Optional[asyncio.Transport] = None
        self.piece = b""
        self.paused = False
        self.ended = False
        self.began = 0.0
        self.passed: Optional[float] = None
        self.sent_bytes = 0
        self._begin_request()

    def _begin_request(self) -> None:
        self.target = b""
        self.request_id = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, _exc: Optional[Exception]) -> None:
        self.ended = True
        if self.piece:
            self._report(time.monotonic())

    def _report(self, ended: Optional[float]) -> None:
        answer = EndlessAnswer(
            self.server.form.name,
            self.request_id,
            self.began,
            self.passed,
            ended,
            self.sent_bytes,
        )
        self.server.on_answer(answer)

    def data_received(self, data: bytes) -> None:
        if not self.piece:
            self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self.request_id = value.decode()

    def on_message_complete(self) -> None:
        server = self.server
        is_probe = self.target == HEALTH_PATH.encode()
        if server.to_probes if is_probe else server.to_requests:
            self.began = time.monotonic()
            self.piece = server.piece()
            self._report(None)
            self._write(server.begin(self.request_id))
            self._go_on()
            return
        self._write(server.whole(self.request_id))
        self._begin_request()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self._go_on()

    def _go_on(self) -> None:
        """Write one piece and then the next one, as the peer reads; other connections go on too."""
        if self.paused or self.ended:
            return
        loop = asyncio.get_running_loop()
        if self.server.form is Form.SLOW_HEADER:
            self._write(self.piece[:1])
            loop.call_later(_SLOW_INTERVAL_S, self._go_on)
        else:
            self._write(self.piece)
            loop.call_soon(self._go_on)

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)
        if not self.piece:
            return
        self.sent_bytes += len(data)
        if self.passed is None and self.sent_bytes > self.server.mark_bytes:
            self.passed = time.monotonic()


def _print(row: dict[str, Any]) -> None:
    print(json.dumps(row), flush=True)


async def _serve(servers: Collection[EndlessServer]) -> None:
    loop = asyncio.get_running_loop()
    for server in servers:
        listener = await loop.create_server(server.accept, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        _print({"server": server.server_id, "port": port})
    await asyncio.Event().wait()


def serve(
    forms: str,
    *,
    requests: bool = True,
    probes: bool = False,
    mark_bytes: int = 0,
    header: str = "",
) -> None:
    """Serve one endless server for each form until the process ends.

    Args:
        forms: Names of forms, separated by commas; server n has the id `endless-n`.
        requests: Whether they are sent to requests.
        probes: Whether they are sent to probes.
        mark_bytes: See `EndlessServer`.
        header: Name of a further header of all answers, with the value 1; empty for none.
    """
    names = forms.split(",") if isinstance(forms, str) else forms
    servers = [
        EndlessServer(
            f"endless-{number}",
            Form[name],
            to_requests=requests,
            to_probes=probes,
            mark_bytes=mark_bytes,
            headers=f"{header}: 1\r\n" if header else "",
            on_answer=lambda answer: _print(answer._asdict()),
        )
        for number, name in enumerate(names)
    ]
    asyncio.run(_serve(servers))


if __name__ == "__main__":
    fire.Fire(serve)
