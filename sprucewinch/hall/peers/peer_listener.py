"""The listener for other entry VMs, with a limit on connections.

`PeerListener` counts the open connections and logs `event=peer-connections` when the limit is
reached and when it no longer is. It relies on grpclib's server, whose protocol factory it replaces
while the limit is reached.
"""

import asyncio
from typing import Any

from grpclib.config import Configuration
from grpclib.server import Server

from ... import log
from .peer_client import FLOW_CONTROL_WINDOW_BYTES
from .peer_grpc import PeerBase


class _RefusingProtocol(asyncio.Protocol):
    """Closes a connection as soon as it opens, before any request can be sent on it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


class PeerListener(Server):
    """A listener that closes connections beyond a limit.

    The HTTP/2 library limits header lists, and `PeerServer` limits requests.

    Args:
        service: Handles the calls of peers.
        connections: Most open connections.
    """

    def __init__(self, service: PeerBase, *, connections: int) -> None:
        window = Configuration(
            http2_connection_window_size=FLOW_CONTROL_WINDOW_BYTES,
            http2_stream_window_size=FLOW_CONTROL_WINDOW_BYTES,
        )
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
