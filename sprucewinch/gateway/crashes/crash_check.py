"""Rule: whether a connection that ended without an answer ended with its server's process.

Question: did the process end, or only the connection? Input: a new connection to the same address,
tried at once. Rule: only a refusal proves that nobody listens there any more, and not while another
connection is open: a server that has too many refuses too. A connection that comes up proves that
the process lives (a lost answer, a reset); none within `CHECK_S` proves nothing (a cut, a full
queue of new connections). Reason: the end of a connection alone is no
evidence; with it, each answer that a server loses would make suspects of requests that did nothing.

One check answers all requests that lost their connections together, and a connection that came up
is kept for the next request, which would have opened it. Shows in: event `server-crashed`. Tests:
`test_gateway_crash_check`. Owns the checks that run; relies on `servers.pool`.
"""

import asyncio

from ...net.connection import ConnectFailedError, connect
from ..servers.pool import ConnectionPool

CHECK_S = 0.2
"""Longest wait for the new connection, in seconds, for which a retry waits too: nearly three ways
there and back of 70 ms."""


class CrashCheck:
    """Asks servers whether their process has ended.

    Args:
        pool: Keeps the connections that come up.
    """

    __slots__ = ("_running", "pool")

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self._running: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, address: str) -> bool:
        """Return whether the process at `IP:PORT` has certainly ended."""
        check = self._running.get(address)
        if check is None:
            check = asyncio.create_task(self._ask(address))
            check.add_done_callback(lambda _done: self._running.pop(address, None))
            self._running[address] = check
        # A caller that leaves must not end the check that others wait for.
        return await asyncio.shield(check)

    async def _ask(self, address: str) -> bool:
        try:
            connection = await connect(address, CHECK_S, id_header=self.pool.id_header)
        except ConnectFailedError as error:
            # Not refused: a cut or a full queue, which tells nothing of the process.
            return error.refused and not self.pool.has_open(address)
        self.pool.opened += 1
        self.pool.give_back(address, connection)
        return False
