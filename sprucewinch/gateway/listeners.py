"""HTTP listeners of one VM, with limits that follow the configuration.

Owns the listeners and the limits that they share. Relies on `net.http_server` for what a listener
refuses, and on `StoreView` for changes of the limits on callers.
"""

import asyncio
from collections.abc import Iterator
from typing import Optional

import uvicorn

from ..net.answer_memory import AnswerMemory
from ..net.connection_counts import ConnectionCounts, ListenerConnection
from ..net.http_server import AsgiApp, bind, make_listener
from ..net.listener_limits import ListenerLimits
from .resources import RouteConfiguration
from .state.store_view import Change

MAX_REQUESTS_AT_ONCE = 16
"""Requests of one connection that run at once; clients that send ahead seldom send more."""

_CALLER_CONNECTIONS_FRACTION = 0.5
"""Fraction of the file descriptors that connections of callers may use.

The rest is for connections to backend servers, the store and other VMs.
"""

_INITIAL_MAX_HEADER_BYTES = 65_536
"""Limit on the headers of a request before a configuration is known, in bytes."""

_HEADER_MARGIN_BYTES = 1024
"""Safety margin on the header limit stated to callers, in bytes."""

_HEADER_MARGIN_S = 1.0
"""Safety margin on the header timeout stated to callers, in seconds."""

_IDLE_MARGIN_S = 0.5
"""Safety margin on the idle timeout stated to callers, in seconds."""

_START_POLL_INTERVAL_S = 0.005
"""Time between two checks whether a listener has started, in seconds."""


class Listeners:
    """Starts listeners and updates their limits.

    Args:
        max_files: File descriptors that the process may open.
        counts: Counts what ends connections.
    """

    def __init__(self, max_files: int, counts: ConnectionCounts) -> None:
        self.counts = counts
        connections = int(max_files * _CALLER_CONNECTIONS_FRACTION)
        self.limits = ListenerLimits(_INITIAL_MAX_HEADER_BYTES, connections, connections)
        self.servers: list[uvicorn.Server] = []
        self.tasks: list[asyncio.Task] = []

    async def serve(
        self, address: str, app: AsgiApp, memory: Optional[AnswerMemory] = None
    ) -> None:
        """Listen on an address, and return once callers can connect.

        Args:
            address: `IP:PORT`.
            app: Application that answers the requests.
            memory: Memory of the answers that callers have not read; None to count none.

        Raises:
            SettingsError: If the address cannot be bound.
        """
        server = self.make(app, memory)
        bound = bind("listen address", address)
        self.servers.append(server)
        self.tasks.append(asyncio.ensure_future(server.serve(sockets=[bound])))
        while not server.started:
            await asyncio.sleep(_START_POLL_INTERVAL_S)

    def make(self, app: AsgiApp, memory: Optional[AnswerMemory]) -> uvicorn.Server:
        """Return a server for an application, with the limits on callers; see `serve`."""
        return make_listener(
            app,
            self.limits,
            max_at_once=MAX_REQUESTS_AT_ONCE,
            memory=memory,
            counts=self.counts,
        )

    def connections(self) -> Iterator[ListenerConnection]:
        """Yield the open connections of all listeners."""
        for server in self.servers:
            for connection in server.server_state.connections:
                assert isinstance(connection, ListenerConnection)
                yield connection

    def stop_accepting(self) -> None:
        """Refuse new connections and close idle ones; requests in flight continue."""
        for server in self.servers:
            server.should_exit = True

    @property
    def closed(self) -> bool:
        """Return whether every connection has ended and all data written to it has been read."""
        return all(task.done() for task in self.tasks)

    def on_change(self, change: Change) -> None:
        """Apply changed limits on callers, each with a margin beyond what callers are told.

        Args:
            change: Any change of this VM's copy of the store.
        """
        if not isinstance(change.after, RouteConfiguration):
            return
        limits = change.after.limits
        self.limits.change(
            header_bytes=limits.header_bytes + _HEADER_MARGIN_BYTES,
            header_s=limits.header_s + _HEADER_MARGIN_S,
            idle_s=limits.idle_s + _IDLE_MARGIN_S,
            body_bytes=limits.body_bytes,
        )
