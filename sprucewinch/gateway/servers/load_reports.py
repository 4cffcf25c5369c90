"""Loads that backend servers report: applied here and passed on to other VMs.

Question: which load figures reach which VM? Inputs: counts of running and waiting requests, from a
server's answer or from another VM's report, and monotonic time in seconds.

Rule: each figure goes into the server's load estimate. One that shows an overload (see
`service_times`) is also sent to other VMs, at most once in `_REPORT_PAUSE_S` for a server; another
VM's report moves the estimate only, not the concurrency limit, as that counts this VM's own sends.
Reports exist as a VM of a large fleet sends a server a request in tens of seconds and would not
learn of its queue.

Shows in: `load` and `told_s` under `blocked` of the event `request`. Tests:
`test_gateway_server_selection.OverloadedServers`. Owns the pause between reports; relies on
`peer_reports` for sending and on `service_times`.
"""

from .backend_server import BackendServer
from .capacity.service_times import ServiceTimes
from .peer_reports import OverloadReport, ReportSender, names_process, overload_report

_REPORT_PAUSE_S = 0.2
"""Least time between two reports on the same server, in seconds."""


class LoadReports:
    """Takes in load figures and reports overload.

    Args:
        servers: Servers by id; the registry's own table.
        times: What requests of each service take.
        reports: Sends overload reports to other VMs.
    """

    def __init__(
        self, servers: dict[str, BackendServer], times: ServiceTimes, reports: ReportSender
    ) -> None:
        self.servers = servers
        self.times = times
        self.reports = reports

    def record_load(self, server: BackendServer, running: int, waiting: int, now: float) -> None:
        """Keep the load that a server states; report it to other VMs when it is overloaded."""
        ratio = self.times.overload_queue_ratio(server.backend.service)
        overloaded = server.record_load(running, waiting, now, ratio)
        if overloaded and now - server.overload_reported_at >= _REPORT_PAUSE_S:
            server.overload_reported_at = now
            self.reports.send_overload(overload_report(server.backend, running, waiting))

    def on_overload_report(self, report: OverloadReport, now: float) -> None:
        """Use a server's load figure that another VM passes on.

        Args:
            report: The other VM's report.
            now: Monotonic time, in seconds.
        """
        server = self.servers.get(report.server)
        if server is not None and names_process(report, server.backend):
            held = report.running + report.waiting
            server.estimate.record(held, server.in_flight, now)
