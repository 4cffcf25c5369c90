"""HTTP listeners with limits on headers, connections and requests."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Optional

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..config.settings import Limits
from ..errors import SettingsError
from .address import parse_address
from .outcome import Outcome, Reason

AsgiApp = Callable[[dict, Callable[[], Awaitable[dict]], Callable[[dict], Awaitable[None]]], Any]

TARGET_KEY = "sprucewinch.target"
"""Key of the scope that holds a request's target as it was sent."""

_BACKLOG = 2048
_KEEPALIVE_S = 30


def refusal_body(outcome: Outcome, reason: Reason, retry_after_ms: int) -> bytes:
    """Return the JSON body of a refusal."""
    return msgspec.json.encode(
        {"outcome": outcome.value, "reason": reason.value, "retry_after_ms": retry_after_ms}
    )


class ListenerLimits:
    """Limits of one listener; they may be changed while it runs.

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

    @classmethod
    def of(cls, limits: Limits) -> "ListenerLimits":
        """Return the limits that the daemon's settings name."""
        return cls(limits.header_bytes, limits.connections, limits.requests)


def _limited_protocol(  # noqa: C901  counts the branches of all methods of the class made here
    limits: ListenerLimits,
) -> type[HttpToolsProtocol]:
    class LimitedProtocol(HttpToolsProtocol):
        """Refuses connections, requests and headers beyond the limits with a clear answer."""

        header_bytes = 0
        header_timer: Optional[asyncio.TimerHandle] = None

        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if len(self.connections) > limits.connections:
                self._refuse(b"503 Service Unavailable", Reason.OVERLOADED_VM)
                return
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

        def connection_lost(self, exc: Optional[Exception]) -> None:
            self._stop_header_timer()
            super().connection_lost(exc)

        def on_message_begin(self) -> None:
            self.header_bytes = 0
            if limits.header_s is not None:
                self.header_timer = self.loop.call_later(limits.header_s, self._headers_late)
            super().on_message_begin()

        def _headers_late(self) -> None:
            self._refuse(b"408 Request Timeout", Reason.MALFORMED)

        def _stop_header_timer(self) -> None:
            if self.header_timer is not None:
                self.header_timer.cancel()
                self.header_timer = None

        def on_url(self, url: bytes) -> None:
            super().on_url(url)
            self._count(len(url))

        def on_header(self, name: bytes, value: bytes) -> None:
            super().on_header(name, value)
            self._count(len(name) + len(value))

        def on_headers_complete(self) -> None:
            self._stop_header_timer()
            if self.header_bytes > limits.header_bytes:
                return
            if len(self.tasks) >= limits.requests:
                self._refuse(b"503 Service Unavailable", Reason.OVERLOADED_VM)
                return
            self.scope[TARGET_KEY] = self.url
            super().on_headers_complete()

        def on_body(self, body: bytes) -> None:
            if not self.transport.is_closing():
                super().on_body(body)

        def on_message_complete(self) -> None:
            if not self.transport.is_closing():
                super().on_message_complete()

        def data_received(self, data: bytes) -> None:
            if self.transport.is_closing():
                return
            super().data_received(data)

        def _count(self, size: int) -> None:
            before = self.header_bytes
            self.header_bytes += size
            if before <= limits.header_bytes < self.header_bytes:
                self._refuse(b"431 Request Header Fields Too Large", Reason.MALFORMED)

        def _refuse(self, status: bytes, reason: Reason) -> None:
            # Nothing is known of a ticket that the request may carry.
            body = refusal_body(Outcome.UNKNOWN, reason, 1000)
            self.transport.write(
                b"HTTP/1.1 %s\r\ncontent-type: application/json\r\nretry-after: 1\r\n"
                b"connection: close\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)
            )
            self.transport.close()

    return LimitedProtocol


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

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


def make_server(app: AsgiApp, limits: Limits) -> uvicorn.Server:
    """Return a server for an ASGI application, to be given a bound socket.

    Args:
        app: The application.
        limits: Limits of the listener, from the settings.
    """
    return make_listener(app, ListenerLimits.of(limits))


def make_listener(
    app: AsgiApp, limits: ListenerLimits, *, keepalive_s: float = _KEEPALIVE_S
) -> uvicorn.Server:
    """Return a server whose limits may change while it runs.

    Args:
        app: The application.
        limits: Limits of the listener.
        keepalive_s: How long a connection may rest, in seconds; see `keep_alive`.
    """
    config = uvicorn.Config(
        app,
        loop="none",
        http=_limited_protocol(limits),
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
