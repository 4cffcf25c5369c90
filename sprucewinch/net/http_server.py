"""HTTP listeners that refuse what goes beyond their limits.

Owns the limits of a listener on headers, connections and requests, the answers that the listener
itself gives when one is reached, and how an address is bound. Decides nothing about a request: the
ASGI application does. Relies on uvicorn for HTTP/1.1 and subclasses its httptools protocol, whose
attributes `connections` and `tasks` count what is open on the listener.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Optional

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..errors import SettingsError
from .address import parse_address
from .outcome import Outcome, Reason

AsgiApp = Callable[[dict, Callable[[], Awaitable[dict]], Callable[[dict], Awaitable[None]]], Any]

TARGET_KEY = "sprucewinch.target"
"""Key of the ASGI scope that holds a request's target as it was sent, not decoded."""

_BACKLOG = 2048
"""Connections that wait to be accepted. The default of uvicorn."""

_KEEPALIVE_S = 30
"""Seconds that a connection may rest between requests."""

_RETRY_AFTER_S = 1
"""Retry-After of a refused connection, in seconds: the least whole number."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_REFUSAL_HEAD = (
    b"HTTP/1.1 %s\r\ncontent-type: application/json\r\nretry-after: %d\r\n"
    b"connection: close\r\ncontent-length: %d\r\n\r\n"
)
"""Status line and headers of a listener's own answer."""


def refusal_body(outcome: Outcome, reason: Reason, retry_after_ms: int) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        {"outcome": outcome.value, "reason": reason.value, "retry_after_ms": retry_after_ms}
    )


class ListenerLimits:
    """Limits of one listener; `change` replaces some of them while it runs.

    Args:
        header_bytes: Most bytes of a request's headers.
        connections: Most open connections.
        requests: Most requests in flight.
        header_s: Longest time for a request's headers to arrive, in seconds; None for any time.
    """

    __slots__ = ("connections", "header_bytes", "header_s", "requests")

    def __init__(
        self, header_bytes: int, connections: int, requests: int, header_s: Optional[float] = None
    ) -> None:
        self.header_bytes = header_bytes
        self.connections = connections
        self.requests = requests
        self.header_s = header_s

    def change(self, *, header_bytes: int, header_s: Optional[float]) -> None:
        """Replace the limits on headers; requests whose headers are being read follow the new size.

        Args:
            header_bytes: Most bytes of a request's headers.
            header_s: Longest time for headers that begin later, in seconds; None for any time.
        """
        self.header_bytes = header_bytes
        self.header_s = header_s


class LimitedProtocol(HttpToolsProtocol):
    """One connection of a listener: refuses what goes beyond the limits, then closes.

    uvicorn creates protocols without arguments of ours, so each listener has a subclass, made by
    `limited_by`, that carries its limits.
    """

    limits: ListenerLimits
    """Limits of the listener, shared by all its connections."""

    header_bytes = 0
    """Bytes of the current request's headers so far."""

    header_timer: Optional[asyncio.TimerHandle] = None
    """Fires when the current request's headers are late; None while none are awaited."""

    @classmethod
    def limited_by(cls, limits: ListenerLimits) -> type["LimitedProtocol"]:
        """Return a subclass whose connections keep to some limits."""
        return type(cls.__name__, (cls,), {"limits": limits})

    def connection_made(self, transport: Any) -> None:
        """Refuse the connection when too many are open; else close it if no request begins."""
        super().connection_made(transport)
        if len(self.connections) > self.limits.connections:
            self._refuse(b"503 Service Unavailable", Reason.OVERLOADED_VM)
            return
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Optional[Exception]) -> None:
        """Stop the timer of headers that were still due."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Count the bytes and the time of a new request's headers from here on."""
        self.header_bytes = 0
        if self.limits.header_s is not None:
            self.header_timer = self.loop.call_later(self.limits.header_s, self._headers_late)
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count a piece of the target."""
        super().on_url(url)
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header."""
        super().on_header(name, value)
        self._count(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Hand the request to the application, unless too many are in flight."""
        self._stop_header_timer()
        if self.header_bytes > self.limits.header_bytes:
            return
        if len(self.tasks) >= self.limits.requests:
            self._refuse(b"503 Service Unavailable", Reason.OVERLOADED_VM)
            return
        self.scope[TARGET_KEY] = self.url
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on, unless the request was refused."""
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request, unless it was refused."""
        if not self.transport.is_closing():
            super().on_message_complete()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that follow a refusal are not read."""
        if self.transport.is_closing():
            return
        super().data_received(data)

    def _headers_late(self) -> None:
        self._refuse(b"408 Request Timeout", Reason.MALFORMED)

    def _stop_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _count(self, size: int) -> None:
        before = self.header_bytes
        self.header_bytes += size
        if before <= self.limits.header_bytes < self.header_bytes:
            self._refuse(b"431 Request Header Fields Too Large", Reason.MALFORMED)

    def _refuse(self, status: bytes, reason: Reason) -> None:
        # The request may carry a ticket that an earlier request ran, so the outcome is unknown.
        body = refusal_body(Outcome.UNKNOWN, reason, _RETRY_AFTER_S * _MS_PER_S)
        self.transport.write(_REFUSAL_HEAD % (status, _RETRY_AFTER_S, len(body)) + body)
        self.transport.close()


class _Server(uvicorn.Server):
    """A server that installs no signal handlers: the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bind(key: str, address: str) -> socket.socket:
    """Return a socket that is bound to an address.

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
            "free the address or write another",
        ) from None
    return bound


def make_listener(
    app: AsgiApp, limits: ListenerLimits, *, keepalive_s: float = _KEEPALIVE_S
) -> uvicorn.Server:
    """Return a server for an ASGI application, to be given a bound socket.

    Args:
        app: The application.
        limits: Limits of the listener; they may change while it runs.
        keepalive_s: How long a connection may rest, in seconds; see `keep_alive`.
    """
    config = uvicorn.Config(
        app,
        loop="none",
        http=LimitedProtocol.limited_by(limits),
        ws="none",
        interface="asgi3",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=_BACKLOG,
        timeout_keep_alive=int(keepalive_s),
    )
    return _Server(config)


def keep_alive(server: uvicorn.Server, seconds: float) -> None:
    """Change how long new connections of a server may rest.

    Args:
        server: The server.
        seconds: Longest rest, in seconds.
    """
    server.config.timeout_keep_alive = int(seconds)
