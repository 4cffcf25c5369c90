"""Holds the measured load and latency of each region, for policies that steer by them.

`RegionReports` owns the newest report of each region and service, and this module owns the messages
`RegionReport` and `ServiceReport`. It relies on `BackendRegistry` for this VM's own region. Its
inputs are this VM's view of the backend servers in its region (load in requests, latency in
seconds, age of the last answer in seconds), the reports of other regions, and monotonic time in
seconds.

The newest report of a region is used until it is `MAX_REPORT_AGE_S` old. It is passed on with its
age, so that the guard can treat old measurements as missing. One VM of each region reports, the one
that follows the store, so that every VM steers by the same measurements and an object has the same
region at each of them. For that reason no VM uses measurements of its own.

The constants are `REPORT_INTERVAL_S`, `MAX_REPORT_AGE_S` and `_MAX_ANSWER_AGE_S`. The effect is
visible in `shares` and `limits` in `/state`; no log event contains it. Tests:
`test_gateway_region_reports`.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

import msgspec

from ...steering.measures import RegionMeasures
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer

REPORT_INTERVAL_S = 1.0
"""Time between two reports of a region, in seconds."""

MAX_REPORT_AGE_S = 10.0
"""Age at which a report is dropped, in seconds.

It is twice the age at which the guard treats measurements as missing (`GuardLimits.stale_s`), so
the guard decides first.
"""

_MAX_ANSWER_AGE_S = 5.0
"""Largest age of a backend server's last answer at which its latency is used, in seconds."""

_MS_PER_S = 1000.0
"""Milliseconds in a second."""

_UNKNOWN_MS = -1.0
"""Latency in a message if no server of the region has answered recently, in milliseconds."""


class ServiceReport(msgspec.Struct, array_like=True, frozen=True):
    """Measurements of one service in one region.

    Args:
        service: Name of the service.
        in_use: Requests that its backend servers in the region are working on.
        latency_ms: Mean latency of its requests there, in milliseconds; `_UNKNOWN_MS` if unknown.
        demand_per_s: Requests a second from the region's own callers.
    """

    service: str
    in_use: float
    latency_ms: float
    demand_per_s: float


class RegionReport(msgspec.Struct, array_like=True, frozen=True, tag="measured"):
    """Measurements that a store follower sends of its own region; the message tag is `measured`.

    Args:
        sender: Name of the store follower.
        region: Its region.
        services: Measurements of each service there.
    """

    sender: str
    region: str
    services: tuple[ServiceReport, ...]


class ReceivedReport(NamedTuple):
    """A report on one service with the monotonic time of its arrival, in seconds."""

    service_report: ServiceReport
    received_at: float


class RegionReports:
    """The newest measurements of all regions.

    Args:
        registry: Backend servers, as this VM sees them.
        name: Name of this VM.
        region: Region of this VM.
    """

    def __init__(self, registry: BackendRegistry, name: str, region: str) -> None:
        self.registry = registry
        self.name = name
        self.region = region
        self.newest: dict[tuple[str, str], ReceivedReport] = {}
        self.received_count = 0

    def measure(self, demand_per_s: Callable[[str], float], now: float) -> RegionReport:
        """Return this VM's measurements of its own region.

        Args:
            demand_per_s: Returns the requests a second that the region's callers send to a service.
            now: Monotonic time, in seconds.
        """
        services = tuple(
            _service_report(service, self._in_region(servers), demand_per_s(service), now)
            for service, servers in sorted(self.registry.by_service.items())
        )
        return RegionReport(self.name, self.region, services)

    def on_region_report(self, report: RegionReport, now: float) -> None:
        """Store the newest report of a region.

        Args:
            report: Report of the region's store follower, or of this VM itself.
            now: Monotonic time, in seconds.
        """
        self.received_count += 1
        for service_report in report.services:
            self.newest[report.region, service_report.service] = ReceivedReport(service_report, now)

    def generation(self, now: float) -> tuple[int, int]:
        """Drop old reports; return a value that differs if policies may see other measurements.

        Measurements age even if no report arrives, so the value changes every second while there
        are any.

        Args:
            now: Monotonic time, in seconds.
        """
        self.newest = {key: r for key, r in self.newest.items() if _is_current(r, now)}
        return self.received_count, int(now) if self.newest else 0

    def region_measures(
        self, region: str, service: str, capacity: float, now: float
    ) -> Optional[RegionMeasures]:
        """Return the measurements of a region for a policy; None without a current report.

        Args:
            region: Name of the region.
            service: Name of the service.
            capacity: Slots of the region's usable servers.
            now: Monotonic time, in seconds.
        """
        received = self.newest.get((region, service))
        if received is None or not _is_current(received, now):
            return None
        latency_ms = received.service_report.latency_ms
        return RegionMeasures(
            capacity,
            in_use=min(received.service_report.in_use, capacity),
            latency_ms=None if latency_ms < 0 else latency_ms,
            age_s=now - received.received_at,
            demand_per_s=received.service_report.demand_per_s,
        )

    def demand_per_s(self, service: str, now: float) -> float:
        """Return the requests a second of this region's callers; 0 without a current report.

        Args:
            service: Name of the service.
            now: Monotonic time, in seconds.
        """
        received = self.newest.get((self.region, service))
        if received is None or not _is_current(received, now):
            return 0.0
        return received.service_report.demand_per_s

    def _in_region(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        regions = self.registry.regions
        return [s for s in servers if regions.get(s.backend.hall) == self.region]


def _is_current(received: ReceivedReport, now: float) -> bool:
    return now - received.received_at <= MAX_REPORT_AGE_S


def _service_report(
    service: str, servers: list[BackendServer], demand_per_s: float, now: float
) -> ServiceReport:
    in_use = sum(server.load(now) for server in servers)
    latency_ms = _mean_latency_ms(servers, now)
    return ServiceReport(
        service,
        round(in_use, 1),
        _UNKNOWN_MS if latency_ms is None else latency_ms,
        round(demand_per_s, 1),
    )


def _mean_latency_ms(servers: list[BackendServer], now: float) -> Optional[float]:
    latencies_s = [
        server.latency_s
        for server in servers
        if server.latency_s is not None and now - server.answered_at <= _MAX_ANSWER_AGE_S
    ]
    return round(_MS_PER_S * sum(latencies_s) / len(latencies_s), 1) if latencies_s else None
