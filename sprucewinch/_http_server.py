"""HTTP listeners with limits on headers, connections and requests."""

import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ._address import parse_address
from .errors import SettingsError
from .outcome import Outcome, Reason
from .settings import Limits

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


def _limited_protocol(limits: Limits) -> type[HttpToolsProtocol]:
    class LimitedProtocol(HttpToolsProtocol):
        """Refuses connections, requests and headers beyond the limits with a clear answer."""

        header_bytes = 0

        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if len(self.connections) > limits.connections:
                self._refuse(b"503 Service Unavailable", Reason.OVERLOADED_VM)

        def on_message_begin(self) -> None:
            self.header_bytes = 0
            super().on_message_begin()

        def on_url(self, url: bytes) -> None:
            super().on_url(url)
            self._count(len(url))

        def on_header(self, name: bytes, value: bytes) -> None:
            super().on_header(name, value)
            self._count(len(name) + len(value))

        def on_headers_complete(self) -> None:
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


def make_server(
    app: AsgiApp, limits: Limits, *, keepalive_s: float = _KEEPALIVE_S
) -> uvicorn.Server:
    """Return a server for an ASGI application, to be given a bound socket.

    Args:
        app: The application.
        limits: Limits of the listener.
        keepalive_s: How long a connection may rest between two requests, in seconds.
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
