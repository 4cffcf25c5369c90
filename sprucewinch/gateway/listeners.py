"""The HTTP listeners of one VM, with limits that follow the configuration.

Owns the listeners and the limits that they share. Relies on `net.http_server` for what a listener
refuses, and on `StoreView` for changes of the limits on callers.
"""

import asyncio

import uvicorn

from ..net.http_server import AsgiApp, ListenerLimits, bind, keep_alive, make_listener
from .resources import RouteConfiguration
from .state.store_view import Change

_CONNECTIONS_PART = 0.5
"""Part of the descriptors that callers' connections may take.

The rest is for connections to backend servers, the store and other VMs.
"""

_FIRST_HEADER_BYTES = 65_536
"""Most bytes of headers before a configuration is known."""

_HEADER_SLACK_BYTES = 1024
"""Safety margin on the header limit that callers are told, in bytes."""

_HEADER_SLACK_S = 1.0
"""Safety margin on the header time that callers are told, in seconds."""

_IDLE_SLACK_S = 5.0
"""Safety margin on the idle time of a kept connection that callers are told, in seconds."""

_LOOK_S = 0.005
"""Time between two looks at whether a listener has started, in seconds."""


class Listeners:
    """Starts listeners and keeps their limits.

    Args:
        max_files: Descriptors that the process may open.
    """

    def __init__(self, max_files: int) -> None:
        connections = int(max_files * _CONNECTIONS_PART)
        self.limits = ListenerLimits(_FIRST_HEADER_BYTES, connections, connections)
        self.servers: list[uvicorn.Server] = []
        self.tasks: list[asyncio.Task] = []

    async def serve(self, address: str, app: AsgiApp) -> None:
        """Listen at an address, and return once callers can connect.

        Args:
            address: `IP:PORT`.
            app: Answers.

        Raises:
            SettingsError: When the address cannot be listened on.
        """
        server = make_listener(app, self.limits)
        bound = bind("listen address", address)
        self.servers.append(server)
        self.tasks.append(asyncio.ensure_future(server.serve(sockets=[bound])))
        while not server.started:
            await asyncio.sleep(_LOOK_S)

    def stop_accepting(self) -> None:
        """Refuse new connections and end those that rest; requests in flight go on."""
        for server in self.servers:
            server.should_exit = True

    @property
    def closed(self) -> bool:
        """Return whether every connection has ended, with all that was written to it read."""
        return all(task.done() for task in self.tasks)

    def on_change(self, change: Change) -> None:
        """Follow the limits on callers; a connection may be idle a little longer than stated.

        Args:
            change: Any change of what is held of the store.
        """
        if not isinstance(change.after, RouteConfiguration):
            return
        limits = change.after.limits
        self.limits.change(
            header_bytes=limits.header_bytes + _HEADER_SLACK_BYTES,
            header_s=limits.header_s + _HEADER_SLACK_S,
        )
        for server in self.servers:
            keep_alive(server, limits.idle_s + _IDLE_SLACK_S)
