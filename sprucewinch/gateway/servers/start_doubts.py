"""Decides what a process that has just started takes for known about backend servers.

A process knows the servers that are listed at its start by their entries alone. It does not know
what others learnt otherwise: that an evacuation has just ended, what a health answer said, or that
an entry comes from an older copy of the store. So these servers are unproven for `UNPROVEN_S`, in
which they get no more than cold ones, unless another VM tells what it knows, or they answer a
health check (`health_asks`). The answer to an ask after a start (`statements.start_asks`) therefore
brings the servers that the other VM counts as cold; a VM that has just started itself says so, and
proves nothing. Neither does one for which entries say nothing of now (`health_asks`): what it has
not been told yet may be cold. The process that starts then asks servers too, as it cannot see that
by itself.

A process that is younger than `_SETTLING_S` may not have heard what others know, so its answer
proves nothing. What it may send to servers that are cold or unproven is decided by `cold_limit`.

Owns the message. Relies on `cold_reports` for the rows and on the registry for the servers. Results
show in the metric `servers_doubted`. Times are monotonic, in seconds. Tests:
`test_gateway_start_doubts`, `test_gateway_fleet_limits`.
"""

import msgspec

from ..datagrams import Datagrams
from .backend_registry import BackendRegistry
from .cold_reports import MAX_ROWS, ColdReport, ColdReports, ColdRow
from .health_asks import HealthAsks

_SETTLING_S = 3.0
"""Age of a process from which it knows what other VMs do, in seconds: within it, their answers,
registrations and heartbeats have arrived."""


class ColdKnown(msgspec.Struct, array_like=True, frozen=True, tag="cold-known"):
    """What a VM knows of cold servers, for one that has started; its tag is `cold-known`.

    Args:
        settled: False if the sender has itself just started.
        rows: Servers that it counts as cold.
        entries_old: True if the sender has settled, and the store's entries say nothing of now.
    """

    settled: bool
    rows: tuple[ColdRow, ...] = ()
    entries_old: bool = False


class StartDoubts:
    """Ends the doubts of this process's start, and answers VMs that have just started.

    Args:
        registry: Backend servers.
        cold_reports: Makes and applies rows.
        health_asks: Knows whether entries say which servers are cold now.
        datagrams: The endpoint between VMs.
        started_at: Monotonic time at which this process started, in seconds.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        cold_reports: ColdReports,
        health_asks: HealthAsks,
        datagrams: Datagrams,
        *,
        started_at: float,
    ) -> None:
        self.registry = registry
        self.cold_reports = cold_reports
        self.health_asks = health_asks
        self.datagrams = datagrams
        self.settled_from = started_at + _SETTLING_S
        registry.doubts_listed = True
        datagrams.register(ColdKnown, self._on_known)

    def answer(self, address: str, now: float) -> None:
        """Tell a VM that has started which servers this one counts as cold.

        Args:
            address: `IP:PORT` of that VM.
            now: Monotonic time, in seconds.
        """
        rows = self.cold_reports.cold_rows(now)
        while len(rows) > MAX_ROWS:
            self.datagrams.send(ColdReport(tuple(rows[:MAX_ROWS])), (address,))
            del rows[:MAX_ROWS]
        settled = now >= self.settled_from
        entries_old = settled and not self.health_asks.entries_tell(now)
        known = ColdKnown(settled, tuple(rows), entries_old)
        self.datagrams.send(known, (address,))

    def _on_known(self, known: ColdKnown, now: float) -> None:
        self.cold_reports.apply(known.rows, now)
        if known.entries_old:
            self.health_asks.distrust_entries()
        elif known.settled:
            self.registry.prove_listed()
