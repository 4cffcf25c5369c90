"""Rule: which load and latency of each region count, and for how long.

Question: the measures that policies which steer by load or latency get of a region. Owns the newest
report of each region and service, and the messages `RegionReport` and `ServiceReport`. Relies on
`BackendRegistry` for this VM's own region.

Inputs: what this VM sees of the backend servers of its region (load in requests, latency in
seconds, age of the last answer in seconds), reports of other regions, monotonic time in seconds.

Rule: the newest report of a region counts until it is `REPORT_MAX_AGE_S` old, with its age, so that
the guard can treat old figures as missing. One VM of each region reports, the one that follows the
store, so that every VM steers by the same figures and an object has the same region at each of
them. Figures of each VM's own are ruled out for that reason.

Constants: `REPORT_S`, `REPORT_MAX_AGE_S`, `_SEEN_S`. The result shows in `shares` and `limits` on
`/state`; no log event carries it. Tests: `test_gateway_region_reports`.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

import msgspec

from ...steering.measures import RegionMeasures
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer

REPORT_S = 1.0
"""Time between two reports of a region, in seconds."""

REPORT_MAX_AGE_S = 10.0
"""Age up to which a report is held, in seconds.

Twice the age at which the guard treats figures as missing (`GuardLimits.stale_s`), so the guard
decides first.
"""

_SEEN_S = 5.0
"""Age of a backend server's last answer up to which its latency counts, in seconds."""

_MS_PER_S = 1000.0
"""Milliseconds in a second."""

_UNKNOWN_MS = -1.0
"""Latency on the wire when no server of the region has answered lately, in milliseconds."""


class ServiceReport(msgspec.Struct, array_like=True, frozen=True):
    """One service in one region.

    Args:
        service: Its name.
        in_use: Requests that its backend servers hold there.
        latency_ms: Mean time of a request there, in milliseconds; `_UNKNOWN_MS` when unknown.
        demand_per_s: Requests a second of the region's own callers.
    """

    service: str
    in_use: float
    latency_ms: float
    demand_per_s: float


class RegionReport(msgspec.Struct, array_like=True, frozen=True, tag="measured"):
    """What a store follower has seen of its own region; its tag on the wire is `measured`.

    Args:
        sender: Name of the store follower.
        region: Its region.
        services: Its services.
    """

    sender: str
    region: str
    services: tuple[ServiceReport, ...]


class HeldReport(NamedTuple):
    """A report on one service and when it arrived, as monotonic time in seconds."""

    service_report: ServiceReport
    received_at: float


class RegionReports:
    """The newest figures of all regions.

    Args:
        registry: Backend servers, as this VM sees them.
        name: Name of this VM.
        region: Its region.
    """

    def __init__(self, registry: BackendRegistry, name: str, region: str) -> None:
        self.registry = registry
        self.name = name
        self.region = region
        self.held: dict[tuple[str, str], HeldReport] = {}
        self.received = 0

    def measure(self, demand_per_s: Callable[[str], float], now: float) -> RegionReport:
        """Return what this VM has seen of its own region.

        Args:
            demand_per_s: Returns the requests a second of the region's callers for a service.
            now: Monotonic time, in seconds.
        """
        services = tuple(
            _service_report(service, self._in_region(servers), demand_per_s(service), now)
            for service, servers in sorted(self.registry.by_service.items())
        )
        return RegionReport(self.name, self.region, services)

    def on_region_report(self, report: RegionReport, now: float) -> None:
        """Hold a region's newest report.

        Args:
            report: From the region's store follower, or this VM's own.
            now: Monotonic time, in seconds.
        """
        self.received += 1
        for service_report in report.services:
            self.held[report.region, service_report.service] = HeldReport(service_report, now)

    def generation(self, now: float) -> tuple[int, int]:
        """Drop old reports; return a value that differs when policies may see other figures.

        Figures grow old without a report arriving, so while any are held the value differs every
        second.

        Args:
            now: Monotonic time, in seconds.
        """
        self.held = {key: held for key, held in self.held.items() if _counts(held, now)}
        return self.received, int(now) if self.held else 0

    def region_measures(
        self, region: str, service: str, capacity: float, now: float
    ) -> Optional[RegionMeasures]:
        """Return the measures of a region that a policy gets; None without a report that counts.

        Args:
            region: The region.
            service: The service.
            capacity: Slots of the region's usable servers.
            now: Monotonic time, in seconds.
        """
        held = self.held.get((region, service))
        if held is None or not _counts(held, now):
            return None
        latency_ms = held.service_report.latency_ms
        return RegionMeasures(
            capacity,
            in_use=min(held.service_report.in_use, capacity),
            latency_ms=None if latency_ms < 0 else latency_ms,
            age_s=now - held.received_at,
        )

    def demand_per_s(self, service: str, now: float) -> float:
        """Return the requests a second of this region's callers; 0 without a report that counts.

        Args:
            service: The service.
            now: Monotonic time, in seconds.
        """
        held = self.held.get((self.region, service))
        if held is None or not _counts(held, now):
            return 0.0
        return held.service_report.demand_per_s

    def _in_region(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        regions = self.registry.regions
        return [s for s in servers if regions.get(s.backend.hall) == self.region]


def _counts(held: HeldReport, now: float) -> bool:
    return now - held.received_at <= REPORT_MAX_AGE_S


def _service_report(
    service: str, servers: list[BackendServer], demand_per_s: float, now: float
) -> ServiceReport:
    in_use = sum(server.load(now) for server in servers)
    latency_ms = _mean_ms(servers, now)
    return ServiceReport(
        service,
        round(in_use, 1),
        _UNKNOWN_MS if latency_ms is None else latency_ms,
        round(demand_per_s, 1),
    )


def _mean_ms(servers: list[BackendServer], now: float) -> Optional[float]:
    seen = [
        server.latency_s
        for server in servers
        if server.latency_s is not None and now - server.answered_at <= _SEEN_S
    ]
    return round(_MS_PER_S * sum(seen) / len(seen), 1) if seen else None
