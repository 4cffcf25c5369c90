"""The peers' listener, with a limit on connections.

Owns the count of open connections and the line that reports a full listener. Relies on grpclib's
server, whose protocol factory it replaces while the limit is reached.
"""

import asyncio
from typing import Any

from grpclib.config import Configuration
from grpclib.server import Server

from ... import log
from .peer_client import WINDOW
from .peer_grpc import PeerBase


class _RefusingProtocol(asyncio.Protocol):
    """Closes a connection at once; the peer sees that nothing was sent on it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


class PeerListener(Server):
    """A listener that closes connections beyond a limit.

    Header lists are bounded by the HTTP/2 library, requests by `PeerServer`.

    Args:
        service: What is served.
        connections: Most open connections.
    """

    def __init__(self, service: PeerBase, *, connections: int) -> None:
        window = Configuration(http2_connection_window_size=WINDOW, http2_stream_window_size=WINDOW)
        super().__init__([service], config=window)
        self.connections = connections
        self.full = False

    def _protocol_factory(self) -> Any:
        open_now = sum(not handler.closing for handler in self._handlers)
        full = open_now >= self.connections
        if full != self.full:
            self.full = full
            log.trouble(f"event=peer-connections full={full} open={open_now}")
        return _RefusingProtocol() if full else super()._protocol_factory()
