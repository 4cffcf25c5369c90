"""Client connection over HTTP/1.1 with strict framing.

Owns the connection, the one request in flight on it, and the check that an answer belongs to that
request. A long body is sent in slices as the peer reads them, so that it is not held twice. Never
retries a request: its callers decide that. Relies on `_answer_reader` to parse answers, on
`_progress_timeout` and `_stall_timeout` for timeouts. Used by the routed path, by the store's
client and by VMs that fetch from each other. The HTTP client library (aiohttp) is not used here,
because it reports an answer without a length as complete when the connection is reset
(`tests/test_gateway_connection.py` shows both).
"""

import asyncio
import contextlib
import functools
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Optional, Union

from ._answer_reader import FIRST_FINAL_STATUS, MAX_ANSWER_BYTES, Answer, AnswerReader
from ._progress_timeout import Patience, run_while_progress
from ._stall_timeout import run_with_stall_timeout
from .address import parse_address
from .arriving_answers import UNCOUNTED, ArrivingAnswers

__all__ = [
    "Answer",
    "ConnectFailedError",
    "Connection",
    "ExchangeFailedError",
    "NoAnswer",
    "Patience",
    "connect",
    "get",
    "run_while_progress",
]

_MAX_UNREAD_BODY_BYTES = 65_536
"""Longest request body that may be partly unsent when its answer arrives, for the connection to
stay usable.

A server that answers before it has read a long body may go on reading it, and would take the next
request for the rest of that body.
"""

_SLICE_BYTES = 262_144
"""Bytes of a body that are handed to the transport at a time, which copies what it cannot send at
once. A request whose body is no longer is handed over in one piece."""

_MAX_SLICES_IN_A_ROW = 16
"""Slices that are handed over before other work of the event loop goes on: 4 MB, which take about a
millisecond where the peer reads as fast."""

_TCP_USER_TIMEOUT_MS = 3000
"""Time without an acknowledgement of sent bytes after which the kernel closes a connection."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` with a time of 0 s: closing drops what the kernel holds, and sends a reset."""

_LONG_BODY_USER_TIMEOUT_MS = 60_000
"""The same while a long body is on its way, in milliseconds: longer than any request is held.

The kernel also counts the time for which a peer acknowledges but reads nothing. A server may pause
while it reads a long body, and is at work on the request.
"""


class NoAnswer(NamedTuple):
    """Result of `get` when no whole answer came.

    Args:
        reason: Kind and text of the failure, for a log line.
    """

    reason: str


class ConnectFailedError(Exception):
    """No connection was opened, so no byte was sent; another server or a retry may succeed.

    Args:
        problem: What failed.
        refused: True when the peer refused it: nothing listens there, or too many are connected.
    """

    def __init__(self, problem: str, *, refused: bool = False) -> None:
        super().__init__(problem)
        self.refused = refused


class ExchangeFailedError(Exception):
    """An open connection gave no valid answer; the request may have run if it was sent.

    Args:
        problem: What failed.
        ended: True when the connection ended before the whole answer had arrived.
    """

    def __init__(self, problem: str, *, ended: bool = False) -> None:
        super().__init__(problem)
        self.ended = ended


class Connection(asyncio.Protocol):
    """A connection with at most one request in flight.

    Args:
        loop: Event loop.
        id_header: Header in which answers repeat the request's id; an answer with another id is
            discarded. None when answers have no such header.
        answers: Counts the memory of answers while they arrive, and those beyond a bound.
        max_body_bytes: Longest body of an answer, in bytes.

    Attributes:
        usable: False once no further request may be sent.
        idle_since: Monotonic time since which the connection has been idle, in seconds.
        idle_until: Monotonic time until which the connection may stay idle, in seconds.
        last_byte_at: Loop time at which the last byte of the pending answer arrived, in seconds;
            None before its first byte.
        received_bytes: Bytes of the pending answer so far; 0 once it is whole.
        on_bytes: Called whenever bytes arrive.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        id_header: Optional[str] = None,
        answers: ArrivingAnswers = UNCOUNTED,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.loop = loop
        self.id_header = id_header
        self.transport: Optional[asyncio.Transport] = None
        self.usable = True
        self.idle_since = float("-inf")
        self.idle_until = float("inf")
        self.last_byte_at: Optional[float] = None
        self.received_bytes = 0
        self.on_bytes: Callable[[], None] = _ignore
        self._reader = AnswerReader(
            self._handle_answer, self.fail, answers, max_body_bytes=max_body_bytes
        )
        self._pending: Optional[asyncio.Future[Answer]] = None
        self._request_id = ""
        self._body_length = 0
        self._unsent_bytes = 0
        self._write_paused = False
        self._writer: Optional[asyncio.Future[None]] = None
        self._clean_end = False

    async def exchange(
        self, head: bytes, body: Union[bytes, bytearray] = b"", *, request_id: str = ""
    ) -> Answer:
        """Send a request and return its whole answer.

        Args:
            head: Its head, or the whole request.
            body: Its body, which must not change meanwhile.
            request_id: Its id, which an answer with `id_header` must repeat.

        Raises:
            ExchangeFailedError: When no whole answer arrived; the request may have run.
        """
        if not self.alive:
            raise ExchangeFailedError("closed before the request was sent")
        assert self.transport is not None
        self._request_id = request_id
        self._body_length = self._unsent_bytes = len(body)
        self.last_byte_at = None
        self.received_bytes = 0
        self._reader.begin()
        self._pending = self.loop.create_future()
        try:
            await self._send(head, body)
            return await self._pending
        except BaseException:
            self.close()
            raise
        finally:
            self._pending = None
            if len(body) > _MAX_UNREAD_BODY_BYTES and self.alive:
                self._set_user_timeout(_TCP_USER_TIMEOUT_MS)

    async def _send(self, head: bytes, body: Union[bytes, bytearray]) -> None:
        """Send a request, as far as the peer reads it before it answers."""
        assert self.transport is not None
        if len(body) > _MAX_UNREAD_BODY_BYTES:
            self._set_user_timeout(_LONG_BODY_USER_TIMEOUT_MS)
        if len(body) > _SLICE_BYTES:
            await self._send_slices(head, body)
            return
        self.transport.write(head + body if body else head)
        self._unsent_bytes = 0

    async def _send_slices(self, head: bytes, body: Union[bytes, bytearray]) -> None:
        """Send a request with a long body slice by slice; see `_send`."""
        assert self._pending is not None and self.transport is not None
        self.transport.write(head)
        rest = memoryview(body)
        sent_in_a_row = 0
        while rest and not self._pending.done():
            self.transport.write(rest[:_SLICE_BYTES])
            rest = rest[_SLICE_BYTES:]
            self._unsent_bytes = len(rest)
            sent_in_a_row += 1
            if self._write_paused:
                self._writer = self.loop.create_future()
                await self._writer
                sent_in_a_row = 0
            elif sent_in_a_row == _MAX_SLICES_IN_A_ROW:
                await asyncio.sleep(0)
                sent_in_a_row = 0

    def pause_writing(self) -> None:
        """Hand over no further slice, as the transport holds enough."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Hand over the next slice."""
        self._write_paused = False
        self._wake_writer()

    def _wake_writer(self) -> None:
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    @property
    def alive(self) -> bool:
        """True while another request may be sent."""
        return self.usable and self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Close at once; bytes that have not been sent are lost.

        A connection with a request in flight is reset. The kernel would otherwise go on sending
        what it holds of the request, after a partition for instance, and the server would run a
        request that was given up.
        """
        self.usable = False
        self._reader.drop()
        if self.transport is None:
            return
        if self._pending is not None:
            self._set_option(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._set_user_timeout(_TCP_USER_TIMEOUT_MS)

    def _set_user_timeout(self, milliseconds: int) -> None:
        """Let the kernel close the connection when its peer acknowledges nothing for a while."""
        self._set_option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def _set_option(self, level: int, option: int, value: Union[int, bytes]) -> None:
        assert self.transport is not None
        raw = self.transport.get_extra_info("socket")
        if raw is None:
            return
        # The error is ignored: without the options, a server that does not answer costs its caller
        # no more than the caller's own timeout, and a closed socket fails the exchange.
        with contextlib.suppress(OSError):
            raw.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection when no answer is pending."""
        if self._pending is None or self._pending.done():
            self.close()
            return
        self.last_byte_at = self.loop.time()
        self.received_bytes += len(data)
        self.on_bytes()
        self._reader.feed(data)

    def eof_received(self) -> bool:
        """Record that the server closed the connection in order (FIN), not by a reset."""
        self._clean_end = True
        return False

    def connection_lost(self, exc: Optional[Exception]) -> None:
        """Complete an answer that ends with the connection, or fail the pending one."""
        self.usable = False
        self._wake_writer()
        if self._pending is None or self._pending.done():
            return
        if exc is None and self._clean_end and self._reader.ends_with_connection:
            self._reader.on_message_complete()
        if not self._pending.done():
            self._pending.set_exception(ExchangeFailedError("the connection ended", ended=True))

    def _handle_answer(self, answer: Answer) -> None:
        """Deliver an answer, unless it is an interim one (1xx) or belongs to another request."""
        if answer.status < FIRST_FINAL_STATUS or self._pending is None:
            return
        if self._pending.done():
            self.close()
            return
        if self._answers_another_request(answer):
            self.usable = False
            return
        self._complete(answer)

    def _answers_another_request(self, answer: Answer) -> bool:
        if self.id_header is None:
            return False
        answered_id = answer.header(self.id_header)
        return answered_id is not None and answered_id != self._request_id

    def _complete(self, answer: Answer) -> None:
        assert self._pending is not None and self.transport is not None
        long_body = self._body_length > _MAX_UNREAD_BODY_BYTES
        unsent_bytes = self._unsent_bytes + self.transport.get_write_buffer_size()
        answered_early = long_body and unsent_bytes > 0
        if answered_early or not self._reader.keeps_connection:
            self.usable = False
        self.received_bytes = 0
        self._reader.finish()
        self._pending.set_result(answer)
        self._wake_writer()

    def fail(self, problem: str) -> None:
        """Close at once, and fail the pending answer.

        Args:
            problem: Text of the `ExchangeFailedError`.
        """
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(ExchangeFailedError(problem))
        self._wake_writer()
        self.close()


async def connect(
    address: str,
    timeout_s: float,
    *,
    id_header: Optional[str] = None,
    answers: ArrivingAnswers = UNCOUNTED,
    max_body_bytes: int = MAX_ANSWER_BYTES,
) -> Connection:
    """Open a connection.

    Args:
        address: `IP:PORT`.
        timeout_s: Timeout, in seconds; granted once more when this process stalled meanwhile.
        id_header: See `Connection`.
        answers: See `Connection`.
        max_body_bytes: See `Connection`.

    Raises:
        ConnectFailedError: When no connection was opened in time.
    """
    loop = asyncio.get_running_loop()
    host, port = parse_address(address)

    def make() -> Connection:
        return Connection(loop, id_header=id_header, answers=answers, max_body_bytes=max_body_bytes)

    try:
        opening = loop.create_connection(make, host, port)
        _, connection = await run_with_stall_timeout(opening, timeout_s)
    except (OSError, TimeoutError) as error:
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectFailedError(f"{address}: {type(error).__name__}", refused=refused) from None
    return connection


async def get(
    address: str,
    target: str,
    patience: Patience,
    *,
    on_bytes: Optional[Callable[[], None]] = None,
    answers: ArrivingAnswers = UNCOUNTED,
    max_body_bytes: int = MAX_ANSWER_BYTES,
) -> Union[Answer, NoAnswer]:
    """Make one GET on a connection of its own.

    Args:
        address: `IP:PORT`.
        target: Path and query.
        patience: Timeouts of the answer.
        on_bytes: Called whenever bytes of the answer arrive.
        answers: See `Connection`.
        max_body_bytes: See `Connection`.

    Returns:
        The answer, whatever its status; `NoAnswer` when no whole one arrived in time.
    """
    request = f"GET {target} HTTP/1.1\r\nhost: {address}\r\n\r\n"
    opening = functools.partial(connect, answers=answers, max_body_bytes=max_body_bytes)
    call = _SingleCall(address, request.encode(), on_bytes or _ignore, opening)
    try:
        return await run_while_progress(call.run(patience.first_s), call.last_byte_at, patience)
    except (ConnectFailedError, ExchangeFailedError, TimeoutError) as error:
        return NoAnswer(f"{type(error).__name__}: {error} ({call.received_bytes()} bytes received)")


class _SingleCall:
    """One request on a connection of its own.

    Args:
        address: `IP:PORT`.
        data: The request's bytes.
        on_bytes: Called whenever bytes of the answer arrive.
        opening: Opens the connection, as `connect` does.
    """

    __slots__ = ("address", "connection", "data", "on_bytes", "opening")

    def __init__(
        self,
        address: str,
        data: bytes,
        on_bytes: Callable[[], None],
        opening: Callable[[str, float], Awaitable[Connection]],
    ) -> None:
        self.address = address
        self.data = data
        self.on_bytes = on_bytes
        self.opening = opening
        self.connection: Optional[Connection] = None

    async def run(self, connect_s: float) -> Answer:
        """Connect, send the request, and return the whole answer.

        Args:
            connect_s: Timeout of the connection attempt, in seconds.

        Raises:
            ConnectFailedError: When no connection was opened in time.
            ExchangeFailedError: When no whole answer arrived.
        """
        self.connection = await self.opening(self.address, connect_s)
        self.connection.on_bytes = self.on_bytes
        try:
            return await self.connection.exchange(self.data)
        finally:
            self.connection.close()

    def last_byte_at(self) -> Optional[float]:
        """Return when the last byte of the answer arrived; None before the first."""
        return self.connection.last_byte_at if self.connection else None

    def received_bytes(self) -> int:
        """Return how many bytes of the answer have arrived."""
        return self.connection.received_bytes if self.connection else 0


def _ignore() -> None:
    """Do nothing, as the default of `on_bytes`."""
