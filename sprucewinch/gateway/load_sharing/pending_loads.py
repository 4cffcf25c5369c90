"""What this VM has heard from backend servers since it last told other VMs, most useful first.

Each answer with a load and a pace replaces what was heard from its server before. The next message
takes the statements that differ most from what the others believe: what this VM last told them of
the server or, when that is older than `MAX_ROW_AGE_S`, that it works as usual. The difference is
that of the requests for each slot plus that of the paces, as ratios: a server that has become twice
as slow is as useful to know of as one with another queue of one request for each slot. Statements
that do not fit wait for the next message and are dropped once they are too old to be of use.

Statements without a pace are never recorded (`servers.load_reports`), so a VM whose servers state
none sends nothing. Times are monotonic, in seconds. Owns what is pending and what was told; relies
on the registry's servers. Tests: `test_gateway_load_sharing_rules`.
"""

import math
from typing import NamedTuple

from ..servers.backend_server import BackendServer
from ..servers.capacity.live_estimates import MAX_REPORT_AGE_S
from ..servers.capacity.pace import USUAL_PACE
from .load_summary import LoadRow, load_row

MAX_ROW_AGE_S = MAX_REPORT_AGE_S
"""Age beyond which a statement is of no use to others, in seconds: the estimates have forgotten
it."""


class Heard(NamedTuple):
    """A statement of a server.

    Args:
        server: The server, which is one process.
        held: Requests that it held.
        pace: Its pace, as a factor on the usual time of work.
        at: Monotonic time of the statement, in seconds.
    """

    server: BackendServer
    held: int
    pace: float
    at: float


class PendingLoads:
    """The newest statement of each server that was not told yet."""

    def __init__(self) -> None:
        self.pending: dict[str, Heard] = {}
        self.told: dict[str, Heard] = {}

    def record(self, server: BackendServer, held: int, pace: float, now: float) -> None:
        """Record what a server stated to this VM.

        Args:
            server: The server.
            held: Requests that it holds.
            pace: Its pace.
            now: Monotonic time, in seconds.
        """
        self.pending[server.backend.id] = Heard(server, held, pace, now)

    def take(self, max_rows: int, now: float) -> tuple[LoadRow, ...]:
        """Return the rows of the next message and count them as told.

        Args:
            max_rows: Largest number of rows.
            now: Monotonic time, in seconds.
        """
        self.forget_old(now)
        if len(self.pending) > max_rows:
            useful = sorted(self.pending.values(), key=lambda heard: self._difference(heard, now))
            chosen = useful[-max_rows:]
        else:
            chosen = list(self.pending.values())
        for heard in chosen:
            server_id = heard.server.backend.id
            self.told[server_id] = self.pending.pop(server_id)
        return tuple(load_row(h.server.backend, h.held, h.pace, now - h.at) for h in chosen)

    def forget_old(self, now: float) -> None:
        """Drop the statements that are too old to be of use."""
        for table in (self.pending, self.told):
            old = [name for name, heard in table.items() if now - heard.at > MAX_ROW_AGE_S]
            for name in old:
                del table[name]

    def _difference(self, heard: Heard, now: float) -> float:
        """Return how much a statement differs from what the others believe."""
        server = heard.server
        slots = max(1, server.backend.capacity)
        told = self.told.get(server.backend.id)
        if told is not None and told.server is server:
            per_slot, pace = told.held / slots, told.pace
        else:
            per_slot, pace = server.usual_load.per_slot(now), USUAL_PACE
        return abs(heard.held / slots - per_slot) + abs(math.log2(heard.pace / pace))
