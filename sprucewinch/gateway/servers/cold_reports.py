"""Tells other VMs what backend servers state in health answers: that they are cold, or not.

A VM that asks a server tells all others, so that one VM's question is enough (`health_asks`). What
they tell counts like an answer to this VM's own question, for the same process of the server only.
A cold server is told `_SENDS` times, as datagrams may be lost; one that is not cold once, and only
where this VM had it unproven, as the others may have it so too.

Owns the message, which has at most `MAX_ROWS` rows, and the rows that are still to be sent. Relies
on `follow_role` for the recipients and on the registry for the servers. Results show in the event
`server-cold` with `why` `told`. Times are monotonic, in seconds. Tests:
`test_gateway_cold_reports`.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from ..datagrams import Datagrams
from ..following.follow_role import FollowRole
from .backend_registry import BackendRegistry
from .backend_server import BackendServer
from .cold_limit import ColdReason

MAX_ROWS = 24
"""Largest number of rows in a message, so that it fits into one packet of common networks."""

_SEND_INTERVAL_S = 0.1
"""Time between two messages, in seconds."""

_SENDS = 2
"""Number of messages in which a row is sent."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class ColdRow(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that has answered a health check.

    Args:
        server: Id of the server.
        incarnation: Incarnation of its process; 0 if unknown.
        left_ms: Time for which it stays cold, in milliseconds; 0 if it is not cold.
    """

    server: str
    incarnation: int
    left_ms: int


class ColdReport(msgspec.Struct, array_like=True, frozen=True, tag="cold"):
    """Backend servers that have answered health checks; its tag on the wire is `cold`.

    Args:
        rows: One row a server.
    """

    rows: tuple[ColdRow, ...]


class ColdReports:
    """Sends reports, and applies those of other VMs.

    Args:
        registry: Backend servers.
        datagrams: The endpoint between VMs.
        follow_role: Chooses the recipients.
    """

    def __init__(
        self, registry: BackendRegistry, datagrams: Datagrams, follow_role: FollowRole
    ) -> None:
        self.registry = registry
        self.datagrams = datagrams
        self.follow_role = follow_role
        self._sends_left: dict[BackendServer, int] = {}
        datagrams.register(ColdReport, self._on_report)

    def tell(self, server: BackendServer, *, cold: bool) -> None:
        """Tell all VMs with the next messages that a server is cold, or not."""
        self._sends_left[server] = _SENDS if cold else 1

    async def run(self) -> None:
        """Send what is to be told, until cancelled."""
        while True:
            self._send()
            await asyncio.sleep(_SEND_INTERVAL_S)

    def cold_rows(self, now: float) -> list[ColdRow]:
        """Return the rows of all servers that count as cold at a monotonic time, in seconds."""
        servers = self.registry.servers.values()
        return [_row(server, now) for server in servers if server.cold(now)]

    def apply(self, rows: Iterable[ColdRow], now: float) -> None:
        """Apply what other VMs were answered.

        Args:
            rows: The rows.
            now: Monotonic time at which they arrived, in seconds.
        """
        for row in rows:
            server = self.registry.servers.get(row.server)
            if server is None or row.incarnation != (server.backend.incarnation or 0):
                continue
            server.unproven_until = float("-inf")
            until = now + row.left_ms / _MS_PER_S
            self.registry.count_as_cold(server, until, ColdReason.TOLD, now)

    def _send(self) -> None:
        if not self._sends_left:
            return
        now = self.datagrams.monotonic()
        rows = [_row(server, now) for server in self._sends_left]
        self._sends_left = {s: left - 1 for s, left in self._sends_left.items() if left > 1}
        addresses = [member.peer_address for member in self.follow_role.recipients(changed=True)]
        for first in range(0, len(rows), MAX_ROWS):
            self.datagrams.send(ColdReport(tuple(rows[first : first + MAX_ROWS])), addresses)

    def _on_report(self, report: ColdReport, now: float) -> None:
        self.apply(report.rows, now)


def _row(server: BackendServer, now: float) -> ColdRow:
    left_ms = max(0, int((server.cold_until - now) * _MS_PER_S)) if server.cold(now) else 0
    return ColdRow(server.backend.id, server.backend.incarnation or 0, left_ms)
