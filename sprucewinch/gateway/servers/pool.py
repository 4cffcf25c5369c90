"""Kept connections to backend servers: which is used, how many are kept, for how long.

Question: does a request use a kept connection or a new one? Inputs: the server's address, how long
the server says that it keeps a connection (seconds), how many it accepts, the number of VMs.

Rule: the connection that rested least is used first, unless the server may close it soon; a
connection whose answer was not whole is closed. After a time-out all resting ones to that server
are closed too: connections can go silent for good without a sign, and each would cost a request. A
VM keeps at most its part of what a server accepts, as 24 resting connections from each of 89 VMs
are more than the 1,770 that one accepts. Least rested first, so that the surplus grows
old and is closed.

Shows in: the metric `backend_connections_opened`. Tests: `test_gateway_pool`. Owns the resting
connections; relies on `net.connection`, whose `ConnectFailedError` it passes on.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from ...net.connection import Connection, connect

CONNECT_TIMEOUT_S = 0.35
"""Longest wait for a new connection, in seconds."""

_IDLE_S = 7.5
"""Longest rest of a kept connection, in seconds."""

_IDLE_PART = 0.75
"""Part of the time that a server states for which a connection is kept; the rest is a margin for
the delay of a request that meets the server's close."""

_IDLE_SHARE = 0.5
"""Part of a server's connections that may rest; the others are for requests."""

MAX_IDLE = 24
"""Most resting connections to one server."""


class ConnectionPool:
    """Connections by address; the one that rested least is used first.

    Args:
        id_header: Header that names the request in answers.
        monotonic: Source of time, in seconds.
    """

    def __init__(self, id_header: str, monotonic: Callable[[], float]) -> None:
        self.id_header = id_header
        self.monotonic = monotonic
        self.opened = 0
        self.max_idle = MAX_IDLE
        self._idle: dict[str, deque[Connection]] = {}

    async def take(self, address: str, *, most_rest_s: float = _IDLE_S) -> Connection:
        """Return a connection that no request uses.

        Args:
            address: `IP:PORT`.
            most_rest_s: Longest rest of a kept one that is used, in seconds; 0 to open a new one.

        Raises:
            ConnectFailedError: When no connection could be opened.
        """
        now = self.monotonic()
        idle = self._idle.get(address)
        while idle:
            if now - idle[-1].idle_since >= most_rest_s:
                break
            connection = idle.pop()
            if connection.alive and connection.idle_until > now:
                return connection
            connection.close()
        self.opened += 1
        return await connect(address, CONNECT_TIMEOUT_S, id_header=self.id_header)

    def give_back(self, address: str, connection: Connection, keep_s: float = _IDLE_S) -> None:
        """Keep a connection whose answer was whole; close it when in doubt.

        Args:
            address: `IP:PORT`.
            connection: The connection.
            keep_s: How long the server keeps it open, in seconds.
        """
        if not connection.alive:
            connection.close()
            return
        connection.idle_since = self.monotonic()
        connection.idle_until = connection.idle_since + min(_IDLE_S, keep_s * _IDLE_PART)
        idle = self._idle.setdefault(address, deque())
        idle.append(connection)
        while len(idle) > self.max_idle:
            idle.popleft().close()

    def has_open(self, address: str) -> bool:
        """Return whether a resting connection to `IP:PORT` is open, as far as known."""
        return any(connection.alive for connection in self._idle.get(address, ()))

    def drop(self, address: str) -> None:
        """Close all resting connections to a server: one fell silent, or its process has ended.

        Args:
            address: `IP:PORT`.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def share(self, connections: int, vm_count: int) -> None:
        """Divide the connections that servers accept among the VMs.

        Args:
            connections: Connections that one server accepts from all VMs together.
            vm_count: How many VMs there are.
        """
        part = int(connections * _IDLE_SHARE / max(1, vm_count))
        self.max_idle = max(1, min(MAX_IDLE, part))

    def sweep(self) -> None:
        """Close what has rested too long."""
        now = self.monotonic()
        for address in list(self._idle):
            kept = deque(c for c in self._idle[address] if c.alive and c.idle_until > now)
            for connection in self._idle[address]:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def close(self) -> None:
        """Close all resting connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
        await asyncio.sleep(0)
