"""HTTP listeners that refuse connections and requests beyond their limits.

Owns the limits of a listener on headers, connections and requests, the refusals that the listener
itself sends when a limit is exceeded, and how an address is bound. Every other decision about a
request is the ASGI application's. Relies on `_pipelined_protocol` for the requests that a caller
sends together on one connection, and through it on uvicorn for HTTP/1.1, whose attributes
`connections` and `tasks` hold the listener's open connections and its requests in flight.
"""

import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Optional

import msgspec
import uvicorn

from ..errors import SettingsError
from ._pipelined_protocol import PipelinedProtocol
from .address import parse_address
from .answer_memory import AnswerMemory, UncountedAnswers
from .connection_counts import ConnectionCounts, Uncounted
from .listener_limits import ListenerLimits
from .outcome import Outcome, Reason

AsgiApp = Callable[[dict, Callable[[], Awaitable[dict]], Callable[[dict], Awaitable[None]]], Any]

TARGET_KEY = "sprucewinch.target"
"""Key of the ASGI scope that holds a request's target as it was sent, before decoding."""

_BACKLOG = 2048
"""Connections that may wait to be accepted, which is uvicorn's default."""

_RETRY_AFTER_S = 1
"""`Retry-After` of a listener's refusal: the smallest positive value of this header."""

_MS_PER_S = 1000

_REFUSAL_HEAD = (
    b"HTTP/1.1 %s\r\ncontent-type: application/json\r\nretry-after: %d\r\n"
    b"connection: close\r\ncontent-length: %d\r\n\r\n"
)
"""Status line and headers of a listener's refusal: status, `Retry-After` and body length."""


def refusal_body(outcome: Outcome, reason: Reason, retry_after_ms: int) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        {"outcome": outcome.value, "reason": reason.value, "retry_after_ms": retry_after_ms}
    )


class LimitedProtocol(PipelinedProtocol):
    """One connection of a listener; sends a refusal and closes when a limit is exceeded.

    uvicorn creates the protocols itself and passes no further arguments, so that each listener
    needs a subclass, made by `limited_by`, that holds its limits.
    """

    header_bytes = 0
    """Bytes of the current request's target and headers so far."""

    unfinished_bytes = 0
    """Bytes since the parser last reported a part of a request, so those of an unfinished line."""

    @classmethod
    def limited_by(
        cls,
        limits: ListenerLimits,
        *,
        max_at_once: int,
        memory: AnswerMemory,
        counts: ConnectionCounts,
    ) -> type["LimitedProtocol"]:
        """Return a subclass whose connections enforce the given limits."""
        values = {
            "limits": limits,
            "max_at_once": max_at_once,
            "memory": memory,
            "counts": counts,
        }
        return type(cls.__name__, (cls,), values)

    def connection_made(self, transport: Any) -> None:
        """Refuse the connection when too many are open."""
        super().connection_made(transport)
        if len(self.connections) > self.limits.connections:
            self._send_refusal(b"503 Service Unavailable", Reason.OVERLOADED_VM)
            return
        self._watch_time()

    def on_message_begin(self) -> None:
        """Start to count the bytes of a new request's headers."""
        super().on_message_begin()
        self.header_bytes = 0

    def refuse_late(self) -> None:
        """Refuse a request whose headers or body are late."""
        self._send_refusal(b"408 Request Timeout", Reason.MALFORMED)

    def on_url(self, url: bytes) -> None:
        """Count a chunk of the target."""
        super().on_url(url)
        self.unfinished_bytes = 0
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header."""
        super().on_header(name, value)
        self.unfinished_bytes = 0
        self._count_header_bytes(len(name) + len(value))

    def on_body(self, body: bytes) -> None:
        """Take a chunk of a body."""
        self.unfinished_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body of a request."""
        self.unfinished_bytes = 0
        super().on_message_complete()

    def on_headers_complete(self) -> None:
        """Pass the request to the application, unless too many are in flight."""
        if self.ignoring:
            return
        if len(self.tasks) >= self.limits.requests:
            self._send_refusal(b"503 Service Unavailable", Reason.OVERLOADED_VM)
            return
        self.scope[TARGET_KEY] = self.url
        super().on_headers_complete()

    def _feed(self, piece: memoryview) -> None:
        """Parse bytes, and refuse a line that does not end.

        The parser reports a header once it is whole, and empty lines and chunk sizes not at all.
        """
        self.unfinished_bytes += len(piece)
        super()._feed(piece)
        if self.unfinished_bytes > self.limits.header_bytes + len(piece) and not self.ignoring:
            self._send_refusal(b"431 Request Header Fields Too Large", Reason.MALFORMED)

    def _count_header_bytes(self, size: int) -> None:
        before = self.header_bytes
        self.header_bytes += size
        if before <= self.limits.header_bytes < self.header_bytes:
            self._send_refusal(b"431 Request Header Fields Too Large", Reason.MALFORMED)

    def _send_refusal(self, status: bytes, reason: Reason) -> None:
        # The outcome is unknown: the request may carry a ticket that an earlier request has run.
        body = refusal_body(Outcome.UNKNOWN, reason, _RETRY_AFTER_S * _MS_PER_S)
        self.refuse(_REFUSAL_HEAD % (status, _RETRY_AFTER_S, len(body)) + body)


class _Server(uvicorn.Server):
    """A server that installs no signal handlers, because the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bind(key: str, address: str) -> socket.socket:
    """Bind a TCP socket to an address.

    Args:
        key: The settings key that holds the address, for messages.
        address: `IP:PORT`.

    Raises:
        SettingsError: When the address cannot be bound.
    """
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise SettingsError(
            f"{key}: cannot listen on {address}: {error.strerror}",
            "stop the process that uses the address, or configure another one",
        ) from None
    return bound


def make_listener(
    app: AsgiApp,
    limits: ListenerLimits,
    *,
    max_at_once: int = 1,
    memory: Optional[AnswerMemory] = None,
    counts: Optional[ConnectionCounts] = None,
) -> uvicorn.Server:
    """Return a server for an ASGI application, to be given a bound socket.

    Args:
        app: The application.
        limits: Limits of the listener; they may change while it runs.
        max_at_once: Maximum number of one connection's requests that run at once. An application
            that is given more than 1 waits for its turn (`connection_turn`) with each request
            that must not run twice.
        memory: Memory of the answers that callers have not read; None to count none.
        counts: Counts what ends connections; None to count nothing.
    """
    protocol = LimitedProtocol.limited_by(
        limits,
        max_at_once=max_at_once,
        memory=memory or UncountedAnswers(),
        counts=counts or Uncounted(),
    )
    config = uvicorn.Config(
        app,
        loop="none",
        http=protocol,
        ws="none",
        interface="asgi3",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=_BACKLOG,
    )
    return _Server(config)
