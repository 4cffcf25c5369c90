"""What counts of another VM's summary of server loads: of each server the newest statement.

A row counts if its figures are within their ranges, its server's process is known here, its
statement is at most `MAX_ROW_AGE_S` old, the time on the way included, and nothing newer is known,
from this VM's own answers or from another VM. So messages may come late, twice or in any order, and
a VM that starts, was cut off or stood still believes only what is young enough. A row on an earlier
process of a server, or on a server that is unknown here, names no known process.

Two processes whose names collide are both unknown: a row on one must not count for the other.

Owns the table of names, which follows the registry after `_REFRESH_S` at most; relies on the
registry. Shows in `load_rows_used` and `load_rows_dropped`. Times are monotonic, in seconds. Tests:
`test_gateway_load_sharing_rules`, `test_gateway_load_sharing`.
"""

from typing import Optional

from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer
from .load_summary import LoadRow, is_valid, process_key, stated_pace
from .pending_loads import MAX_ROW_AGE_S

_REFRESH_S = 0.5
"""Least time between two computations of the table, in seconds; each costs a hash a server."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class ReceivedLoads:
    """Applies the rows of other VMs to the registry's servers.

    Args:
        registry: Backend servers.
    """

    def __init__(self, registry: BackendRegistry) -> None:
        self.registry = registry
        self.used = 0
        self.dropped = 0
        self._ids: dict[int, Optional[str]] = {}
        self._generation = -1
        self._refreshed_at = float("-inf")

    def apply(self, rows: tuple[LoadRow, ...], sent_at: float, now: float) -> None:
        """Record the rows of a message.

        Args:
            rows: The rows.
            sent_at: Monotonic time at which the message was sent, in seconds.
            now: Monotonic time, in seconds.
        """
        self._refresh(now)
        for row in rows:
            if self._record(row, sent_at, now):
                self.used += 1
            else:
                self.dropped += 1

    def drop(self, rows: tuple[LoadRow, ...]) -> None:
        """Count the rows of a message that cannot be dated."""
        self.dropped += len(rows)

    def _record(self, row: LoadRow, sent_at: float, now: float) -> bool:
        """Record a row; returns whether it counts."""
        if not is_valid(row):
            return False
        stated_at = sent_at - row.age_ms / _MS_PER_S
        server = self._server(row.process)
        if server is None or now - stated_at > MAX_ROW_AGE_S:
            return False
        return self.registry.record_told_load(server, row.held, stated_pace(row), stated_at)

    def _server(self, process: int) -> Optional[BackendServer]:
        server_id = self._ids.get(process)
        server = self.registry.servers.get(server_id) if server_id is not None else None
        # The server may have started anew since the table was computed.
        return server if server and process_key(server.backend) == process else None

    def _refresh(self, now: float) -> None:
        if self._generation == self.registry.generation or now - self._refreshed_at < _REFRESH_S:
            return
        self._generation = self.registry.generation
        self._refreshed_at = now
        self._ids = {}
        for server_id, server in self.registry.servers.items():
            key = process_key(server.backend)
            self._ids[key] = None if key in self._ids else server_id
