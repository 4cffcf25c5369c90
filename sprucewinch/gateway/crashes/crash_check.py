"""Decides whether a connection that ended without an answer ended with its server's process.

The evidence is a new connection to the same address, which is tried at once. Only a refusal proves
that no process listens there any more, and only while no other connection to the address is open: a
server that has too many connections refuses new ones too. A connection that is established proves
that the process lives, so the answer was lost or the connection was reset. No connection within
`CHECK_TIMEOUT_S` proves nothing: the network may be cut, or the queue of new connections full. The
check exists because the end of a connection alone is no evidence; without it, each answer that a
server loses would make suspects of requests that did nothing.

One check serves all requests that lost their connections to a server at the same time, and a
connection that it establishes is kept for the next request, which would otherwise have opened it.
The result appears in the event `server-crashed`. `test_gateway_crash_check` tests this module. It
owns the checks in progress and relies on `servers.pool`.
"""

import asyncio

from ...net.connection import ConnectFailedError
from ..servers.pool import ConnectionPool

CHECK_TIMEOUT_S = 0.2
"""Longest wait for the new connection, in seconds, which also delays a retry: nearly three round
trips of 70 ms."""


class CrashCheck:
    """Checks whether the processes of servers have ended.

    Args:
        pool: Keeps the connections that are established.
    """

    __slots__ = ("_running", "pool")

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self._running: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, address: str) -> bool:
        """Return whether the process at `IP:PORT` has ended for certain."""
        check = self._running.get(address)
        if check is None:
            check = asyncio.create_task(self._run_check(address))
            check.add_done_callback(lambda _done: self._running.pop(address, None))
            self._running[address] = check
        # A caller that is cancelled must not cancel the check that others wait for.
        return await asyncio.shield(check)

    async def _run_check(self, address: str) -> bool:
        try:
            connection = await self.pool.open_new(address, CHECK_TIMEOUT_S)
        except ConnectFailedError as error:
            # A cut or a full queue gives no refusal and says nothing about the process.
            return error.refused and not self.pool.has_open(address)
        self.pool.give_back(address, connection)
        return False
