"""One HTTP/1.1 connection to a server, with strict framing.

Kept instead of the HTTP client library, which reports an answer without a length as complete when
its connection is reset (`tests/test_gateway_connection.py` shows both).
"""

import asyncio
import contextlib
import socket
from typing import NamedTuple, Optional

import httptools

from ._patience import run_within
from .address import parse_address

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Largest answer that is taken."""

_FIRST_FINAL = 200
"""Lowest status of a final answer: HTTP announces that one follows with 100 to 199."""

_NO_BODY = (204, 304)
_TAKEN_EARLY_BYTES = 65_536


class Answer(NamedTuple):
    """A whole answer.

    Args:
        status: HTTP status.
        headers: Names in lower case, and values.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> Optional[str]:
        """Return the first value of a header; None when it is absent."""
        return next((value for key, value in self.headers if key == name), None)


class ConnectFailedError(Exception):
    """No connection came up: not a byte was sent."""


class ExchangeFailedError(Exception):
    """A connection broke, or carried no proper answer, after a request was sent on it."""


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Args:
        loop: Event loop.
        id_header: Header that names the request in answers; answers naming another are dropped.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, *, id_header: Optional[str] = None) -> None:
        self.loop = loop
        self.id_header = id_header
        self.transport: Optional[asyncio.Transport] = None
        self.usable = True
        self.idle_until = float("inf")
        self._parser = httptools.HttpResponseParser(self)
        self._waiting: Optional[asyncio.Future[Answer]] = None
        self._request_id = ""
        self._body_length = 0
        self._clean_end = False
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._head_done = False

    async def exchange(self, data: bytes, *, request_id: str = "", body_length: int = 0) -> Answer:
        """Send a request and return its whole answer.

        Args:
            data: The request's bytes.
            request_id: Its id.
            body_length: Length of its body, in bytes.

        Raises:
            ExchangeFailedError: When no whole answer came; the request may have run.
        """
        if not self.alive:
            raise ExchangeFailedError("closed before the request was sent")
        assert self.transport is not None
        self._request_id = request_id
        self._body_length = body_length
        self._waiting = self.loop.create_future()
        try:
            self.transport.write(data)
            return await self._waiting
        except BaseException:
            self.close()
            raise
        finally:
            self._waiting = None

    @property
    def alive(self) -> bool:
        """Tell whether another request may be sent."""
        return self.usable and self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Close at once; whatever is still due on it is dropped."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that no request waits for end the connection."""
        if self._waiting is None or self._waiting.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"no proper answer: {error}")
        except httptools.HttpParserUpgrade:
            self._fail("an upgrade that nobody asked for")

    def eof_received(self) -> bool:
        """Note an orderly end."""
        self._clean_end = True
        return False

    def connection_lost(self, exc: Optional[Exception]) -> None:
        """End an answer that lasts until the connection's end, or fail."""
        self.usable = False
        if self._waiting is None or self._waiting.done():
            return
        if exc is None and self._clean_end and self._head_done and self._until_end():
            self.on_message_complete()
        if not self._waiting.done():
            self._waiting.set_exception(ExchangeFailedError("the connection ended"))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Note that the head is whole."""
        self._head_done = True
        if "content-length" in self._names() and "transfer-encoding" in self._names():
            self._fail("an answer with two lengths")

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self._fail("the answer is too large")
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand over a whole answer, unless it belongs to another request."""
        answer = Answer(
            self._parser.get_status_code(), tuple(self._headers), b"".join(self._chunks)
        )
        self._reset_message()
        if answer.status < _FIRST_FINAL or self._waiting is None:
            return
        if self._waiting.done():
            self.close()
            return
        if self._names_another(answer):
            self.usable = False
            return
        self._finish(answer)

    def _names(self) -> set[str]:
        return {name for name, _ in self._headers}

    def _until_end(self) -> bool:
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL or status in _NO_BODY:
            return False
        return not self._names() & {"content-length", "transfer-encoding"}

    def _names_another(self, answer: Answer) -> bool:
        if self.id_header is None:
            return False
        named = answer.header(self.id_header)
        return named is not None and named != self._request_id

    def _finish(self, answer: Answer) -> None:
        assert self._waiting is not None and self.transport is not None
        early = self._body_length > _TAKEN_EARLY_BYTES and self.transport.get_write_buffer_size()
        if early or not self._parser.should_keep_alive():
            self.usable = False
        self._waiting.set_result(answer)

    def _fail(self, problem: str) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(ExchangeFailedError(problem))
        self.close()


async def connect(address: str, timeout_s: float, *, id_header: Optional[str] = None) -> Connection:
    """Open a connection.

    Args:
        address: `IP:PORT`.
        timeout_s: Longest wait, in seconds; time in which this process stood still does not count.
        id_header: See `Connection`.

    Raises:
        ConnectFailedError: When none came up in time.
    """
    loop = asyncio.get_running_loop()
    host, port = parse_address(address)
    try:
        opening = loop.create_connection(lambda: Connection(loop, id_header=id_header), host, port)
        _, connection = await run_within(opening, timeout_s)
    except (OSError, TimeoutError) as error:
        raise ConnectFailedError(f"{address}: {type(error).__name__}") from None
    _give_up_early(connection)
    return connection


def _give_up_early(connection: Connection) -> None:
    """Let the system end a connection whose peer is silent."""
    assert connection.transport is not None
    raw = connection.transport.get_extra_info("socket")
    if raw is None:
        return
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000)


async def get(address: str, target: str, timeout_s: float) -> Optional[Answer]:
    """Make one GET on a connection of its own; None when no whole answer comes in time.

    Args:
        address: `IP:PORT`.
        target: Path and query.
        timeout_s: Longest time for all of it, in seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            connection = await connect(address, timeout_s)
            try:
                request = f"GET {target} HTTP/1.1\r\nhost: {address}\r\n\r\n"
                return await connection.exchange(request.encode())
            finally:
                connection.close()
    except (ConnectFailedError, ExchangeFailedError, TimeoutError):
        return None
