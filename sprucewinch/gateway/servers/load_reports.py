"""Applies the loads that backend servers state, and passes overloads on to other VMs.

A server states its running and waiting requests with each answer. Each figure updates the server's
load estimate. One that shows an overload (see `service_times`) is also sent to other VMs, at most
once in `_REPORT_PAUSE_S` for a server. A report from another VM updates only the estimate and not
the concurrency limit, as that limit counts this VM's own sends. Reports are needed because a VM of
a large fleet sends a server one request in tens of seconds and would not learn of its queue.

A load that is stated with a pace also counts towards the usual load of the service (`usual_load`),
and `on_paced_load` is called with it. A load without a pace does neither, so that a deployment
whose servers state no pace is served as before.

Owns the pause between reports, in monotonic seconds; relies on `peer_reports` for sending and on
`service_times`. Results show as `load` and `told_s` under `blocked` of the event `request`. Tests:
`test_gateway_server_selection.OverloadedServers`.
"""

from collections.abc import Callable
from typing import Optional

from .backend_server import BackendServer
from .capacity.service_times import ServiceTimes
from .peer_reports import OverloadReport, ReportSender, names_process, overload_report

_REPORT_PAUSE_S = 0.2
"""Shortest time between two reports on the same server, in seconds."""


PacedLoadListener = Callable[[BackendServer, int, float, float], None]
"""Is called with a server, the requests that it holds, its pace, and the monotonic time of the
statement, in seconds."""


class LoadReports:
    """Applies stated loads and reports overloads.

    Args:
        servers: Servers by id; the table of the registry.
        times: Usual times of requests by service.
        reports: Sends overload reports to other VMs.
    """

    def __init__(
        self, servers: dict[str, BackendServer], times: ServiceTimes, reports: ReportSender
    ) -> None:
        self.servers = servers
        self.times = times
        self.reports = reports
        self.on_paced_load: list[PacedLoadListener] = []

    def record_load(
        self,
        server: BackendServer,
        running: int,
        waiting: int,
        now: float,
        pace: Optional[float] = None,
    ) -> None:
        """Record the load that a server states; report it to other VMs if it is overloaded.

        Args:
            server: The server.
            running: Requests that it runs.
            waiting: Requests that wait there.
            now: Monotonic time, in seconds.
            pace: Its pace; None if it states none.
        """
        if pace is not None:
            held = running + waiting
            server.pace.record(pace, now)
            server.usual_load.record(held, server.backend.capacity, now)
            for listener in self.on_paced_load:
                listener(server, held, pace, now)
        ratio = self.times.overload_queue_ratio(server.backend.service)
        overloaded = server.record_load(running, waiting, now, ratio)
        if overloaded and now - server.overload_reported_at >= _REPORT_PAUSE_S:
            server.overload_reported_at = now
            self.reports.send_overload(overload_report(server.backend, running, waiting))

    def record_told_load(
        self, server: BackendServer, held: int, pace: Optional[float], at: float
    ) -> bool:
        """Record the load that a server stated to another VM, unless a newer one is known.

        Args:
            server: The server.
            held: Requests that ran or waited there.
            pace: Its pace; None if it stated none.
            at: Monotonic time of the statement, in seconds.

        Returns:
            True if the load counts.
        """
        if not server.record_told_load(held, pace, at):
            return False
        if pace is not None:
            server.usual_load.record(held, server.backend.capacity, at)
        return True

    def on_overload_report(self, report: OverloadReport, now: float) -> None:
        """Record a server's load that another VM reports.

        Args:
            report: The other VM's report.
            now: Monotonic time, in seconds.
        """
        server = self.servers.get(report.server)
        if server is not None and names_process(report, server.backend):
            held = report.running + report.waiting
            server.estimate.record(held, server.in_flight, now)
