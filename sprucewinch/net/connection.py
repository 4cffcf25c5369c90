"""One HTTP/1.1 connection to a server, with strict framing.

Owns the connection, the one request that it carries, and the check that an answer belongs to that
request. Never sends a request again: its callers decide that. Relies on `_answer_reader` for what
arrives, and serves the routed path, the store's client and what VMs fetch from each other. The
HTTP client library is not used here, since it reports an answer without a length as complete when
its connection is reset (`tests/test_gateway_connection.py` shows both).
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import NamedTuple, Optional, Union

from ._answer_reader import FIRST_FINAL_STATUS, Answer, AnswerReader
from ._progress_timeout import Patience, run_while_progress
from ._stall_timeout import run_within
from .address import parse_address

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

_ANSWERED_EARLY_BYTES = 65_536
"""Shortest body, in bytes, whose unsent rest makes an answered connection unusable.

A server that answers before it has read a long body may go on reading it; what is written next
would be taken for the rest of that body.
"""

_SILENT_PEER_MS = 3000
"""Milliseconds for which sent bytes may stay unacknowledged before the system ends a connection."""


class NoAnswer(NamedTuple):
    """Result of `get` when no whole answer came.

    Args:
        reason: Kind of the failure and its text, for a log line.
    """

    reason: str


class ConnectFailedError(Exception):
    """No connection came up, so no byte was sent; another server or a later try may do.

    Args:
        problem: What went wrong.
        refused: True when it was refused: nobody listens there, or too many are connected.
    """

    def __init__(self, problem: str, *, refused: bool = False) -> None:
        super().__init__(problem)
        self.refused = refused


class ExchangeFailedError(Exception):
    """A connection carried no proper answer; the request may have run if it was sent.

    Args:
        problem: What went wrong.
        ended: True when the connection ended before the whole answer had come.
    """

    def __init__(self, problem: str, *, ended: bool = False) -> None:
        super().__init__(problem)
        self.ended = ended


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Args:
        loop: Event loop.
        id_header: Header that names the request in answers; an answer that names another is
            discarded. None when answers name no request.

    Attributes:
        usable: False once the connection must carry no further request.
        idle_since: Monotonic time since which the connection rests, in seconds.
        idle_until: Monotonic time until which the connection may rest, in seconds.
        last_byte_at: Time of the loop at which the last byte of the answer that is awaited
            arrived, in seconds; None before its first byte.
        received_bytes: Bytes of that answer so far; 0 once it is whole.
        on_bytes: Called whenever some arrive.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, *, id_header: Optional[str] = None) -> None:
        self.loop = loop
        self.id_header = id_header
        self.transport: Optional[asyncio.Transport] = None
        self.usable = True
        self.idle_since = float("-inf")
        self.idle_until = float("inf")
        self.last_byte_at: Optional[float] = None
        self.received_bytes = 0
        self.on_bytes: Callable[[], None] = _ignore
        self._reader = AnswerReader(self._received, self.fail)
        self._waiting: Optional[asyncio.Future[Answer]] = None
        self._request_id = ""
        self._body_length = 0
        self._clean_end = False

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
        self.last_byte_at = None
        self.received_bytes = 0
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
        """True while another request may be sent."""
        return self.usable and self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Close at once; bytes that are not yet sent are lost."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that no request waits for end the connection."""
        if self._waiting is None or self._waiting.done():
            self.close()
            return
        self.last_byte_at = self.loop.time()
        self.received_bytes += len(data)
        self.on_bytes()
        self._reader.feed(data)

    def eof_received(self) -> bool:
        """Record that the server ended the connection in order, not by a reset."""
        self._clean_end = True
        return False

    def connection_lost(self, exc: Optional[Exception]) -> None:
        """End an answer that lasts until the connection's end, or fail."""
        self.usable = False
        if self._waiting is None or self._waiting.done():
            return
        if exc is None and self._clean_end and self._reader.ends_with_connection:
            self._reader.on_message_complete()
        if not self._waiting.done():
            self._waiting.set_exception(ExchangeFailedError("the connection ended", ended=True))

    def _received(self, answer: Answer) -> None:
        """Hand over an answer, unless it announces one or belongs to another request."""
        if answer.status < FIRST_FINAL_STATUS or self._waiting is None:
            return
        if self._waiting.done():
            self.close()
            return
        if self._names_another(answer):
            self.usable = False
            return
        self._finish(answer)

    def _names_another(self, answer: Answer) -> bool:
        if self.id_header is None:
            return False
        named = answer.header(self.id_header)
        return named is not None and named != self._request_id

    def _finish(self, answer: Answer) -> None:
        assert self._waiting is not None and self.transport is not None
        long_body = self._body_length > _ANSWERED_EARLY_BYTES
        answered_early = long_body and self.transport.get_write_buffer_size()
        if answered_early or not self._reader.keeps_connection:
            self.usable = False
        self.received_bytes = 0
        self._waiting.set_result(answer)

    def fail(self, problem: str) -> None:
        """Close at once, and let a request that waits for its answer fail.

        Args:
            problem: Text of the `ExchangeFailedError`.
        """
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
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectFailedError(f"{address}: {type(error).__name__}", refused=refused) from None
    _limit_silence(connection)
    return connection


def _limit_silence(connection: Connection) -> None:
    """Let the system end a connection whose server acknowledges nothing."""
    assert connection.transport is not None
    raw = connection.transport.get_extra_info("socket")
    if raw is None:
        return
    # Silence is right: without the option a silent server only costs its caller the caller's own
    # timeout, and a socket that is already closed fails the exchange.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENT_PEER_MS)


async def get(
    address: str,
    target: str,
    patience: Patience,
    *,
    on_bytes: Optional[Callable[[], None]] = None,
) -> Union[Answer, NoAnswer]:
    """Make one GET on a connection of its own.

    Args:
        address: `IP:PORT`.
        target: Path and query.
        patience: How long the answer may take.
        on_bytes: Called whenever bytes of the answer arrive.

    Returns:
        The answer, of any status; `NoAnswer` when no whole one came in time.
    """
    request = f"GET {target} HTTP/1.1\r\nhost: {address}\r\n\r\n"
    call = _SingleCall(address, request.encode(), on_bytes or _ignore)
    try:
        return await run_while_progress(call.run(patience.first_s), call.last_byte_at, patience)
    except (ConnectFailedError, ExchangeFailedError, TimeoutError) as error:
        return NoAnswer(f"{type(error).__name__}: {error} ({call.received_bytes()} bytes came)")


class _SingleCall:
    """One request on a connection of its own.

    Args:
        address: `IP:PORT`.
        data: The request's bytes.
        on_bytes: Called whenever bytes of the answer arrive.
    """

    __slots__ = ("address", "connection", "data", "on_bytes")

    def __init__(self, address: str, data: bytes, on_bytes: Callable[[], None]) -> None:
        self.address = address
        self.data = data
        self.on_bytes = on_bytes
        self.connection: Optional[Connection] = None

    async def run(self, connect_s: float) -> Answer:
        """Connect, send the request, and return the whole answer.

        Args:
            connect_s: Longest time for the connection, in seconds.
        """
        self.connection = await connect(self.address, connect_s)
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
    """Do nothing: nobody follows the bytes of this answer."""
