"""Connections to backend servers that are kept for further requests.

The connection that was idle for the shortest time is used first, so that surplus connections grow
old and are closed. A connection is not used if the server may close it soon, and is closed if its
answer was incomplete. After a time-out all idle connections to that server are closed too:
connections can go silent for good without a sign, and each one would cost a request.

A VM keeps at most its part of the connections that a server accepts: 24 idle connections from each
of 89 VMs would be more than the 1,770 that one server accepts.

Inputs are the server's address, the time for which the server states that it keeps a connection, in
seconds, how many connections it accepts, and the number of VMs. Owns the idle connections; relies
on `net.connection`, whose `ConnectFailedError` it passes on. Opened connections show in the metric
`backend_connections_opened`. Tests: `test_gateway_pool`.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from ...net.arriving_answers import UNCOUNTED, ArrivingAnswers
from ...net.connection import ConnectFailedError, Connection, connect

Connect = Callable[..., Awaitable[Connection]]
"""Opens a connection, as `net.connection.connect` does."""

CONNECT_TIMEOUT_S = 0.35
"""Longest wait for a new connection, in seconds."""

_MAX_IDLE_S = 7.5
"""Longest time for which a connection is kept idle, in seconds."""

_KEEP_ALIVE_USED_FRACTION = 0.75
"""Fraction of the server's stated keep-alive time for which a connection is kept; the remainder is
a margin, so that no request arrives while the server closes the connection."""

_IDLE_CONNECTIONS_FRACTION = 0.5
"""Fraction of a server's connections that may be idle; the others are for requests."""

MAX_IDLE_CONNECTIONS = 24
"""Maximum number of idle connections to one server."""


class ConnectionPool:
    """Idle connections by address; the one that was idle for the shortest time is used first.

    Args:
        id_header: Header that holds the id of the request in answers.
        monotonic: Returns monotonic time, in seconds.
        connect: Opens connections.

    Attributes:
        answers: Counts the memory of answers while they arrive, and those beyond a bound.
        on_connected: Called with the address of each new connection.
        on_unreachable: Called with the address of each connection that could not be opened.
    """

    def __init__(
        self, id_header: str, monotonic: Callable[[], float], *, connect: Connect = connect
    ) -> None:
        self.id_header = id_header
        self.connect = connect
        self.monotonic = monotonic
        self.opened = 0
        self.answers: ArrivingAnswers = UNCOUNTED
        self.max_idle = MAX_IDLE_CONNECTIONS
        self.on_connected: list[Callable[[str], None]] = []
        self.on_unreachable: list[Callable[[str], None]] = []
        self._idle: dict[str, deque[Connection]] = {}

    async def take(self, address: str, *, max_idle_s: float = _MAX_IDLE_S) -> Connection:
        """Return an idle connection, or a new one.

        Args:
            address: `IP:PORT`.
            max_idle_s: Longest idle time of a kept connection that is used, in seconds; 0 always
                opens a new one.

        Raises:
            ConnectFailedError: If no connection could be opened.
        """
        now = self.monotonic()
        idle = self._idle.get(address)
        while idle:
            if now - idle[-1].idle_since >= max_idle_s:
                break
            connection = idle.pop()
            if connection.alive and connection.idle_until > now:
                return connection
            connection.close()
        return await self.open_new(address, CONNECT_TIMEOUT_S)

    async def open_new(self, address: str, timeout_s: float) -> Connection:
        """Return a new connection.

        Args:
            address: `IP:PORT`.
            timeout_s: Longest wait for it, in seconds.

        Raises:
            ConnectFailedError: If no connection could be opened.
        """
        self.opened += 1
        try:
            connection = await self.connect(
                address, timeout_s, id_header=self.id_header, answers=self.answers
            )
        except ConnectFailedError:
            for listener in self.on_unreachable:
                listener(address)
            raise
        for listener in self.on_connected:
            listener(address)
        return connection

    def give_back(self, address: str, connection: Connection, keep_s: float = _MAX_IDLE_S) -> None:
        """Keep a connection whose answer was complete; close it if it is no longer usable.

        Args:
            address: `IP:PORT`.
            connection: The connection.
            keep_s: Time for which the server keeps it open, in seconds.
        """
        if not connection.alive:
            connection.close()
            return
        connection.idle_since = self.monotonic()
        connection.idle_until = connection.idle_since + min(
            _MAX_IDLE_S, keep_s * _KEEP_ALIVE_USED_FRACTION
        )
        idle = self._idle.setdefault(address, deque())
        idle.append(connection)
        while len(idle) > self.max_idle:
            idle.popleft().close()

    def has_open(self, address: str) -> bool:
        """Return whether an idle connection to `IP:PORT` is known to be open."""
        return any(connection.alive for connection in self._idle.get(address, ()))

    def drop(self, address: str) -> None:
        """Close all idle connections to a server: one went silent, or its process has ended.

        Args:
            address: `IP:PORT`.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def share(self, connections: int, vm_count: int) -> None:
        """Limit the idle connections to this VM's part of those that servers accept.

        Args:
            connections: Connections that one server accepts from all VMs together.
            vm_count: How many VMs there are.
        """
        part = int(connections * _IDLE_CONNECTIONS_FRACTION / max(1, vm_count))
        self.max_idle = max(1, min(MAX_IDLE_CONNECTIONS, part))

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
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
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
        await asyncio.sleep(0)
