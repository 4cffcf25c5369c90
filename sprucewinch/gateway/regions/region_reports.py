"""What regions tell each other of their load and latency, for policies that steer by them.

One VM of each region, a store follower, tells all others what it has seen of its region's backend
servers. Everybody steers by the same figures, so that an object has the same region at every
VM of a region. Nothing is told while no policy reads them (`PolicyTable.steers_by_measures`).
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

import msgspec

from ...steering.measures import RegionMeasures
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer

REPORT_S = 1.0
"""How often a region's figures are told, in seconds."""

REPORT_MAX_AGE_S = 10.0
"""How long figures are kept, in seconds; the guard treats old ones as missing long before."""

_SEEN_S = 5.0
"""Age of a backend server's last answer up to which its latency counts, in seconds."""

_MS = 1000.0


class ServiceReport(msgspec.Struct, array_like=True, frozen=True):
    """One service in one region.

    Args:
        service: Its name.
        in_use: Requests that its backend servers hold there.
        latency_ms: Mean time of a request there, in milliseconds; -1 when unknown.
        demand_per_s: Requests a second of the region's own callers.
    """

    service: str
    in_use: float
    latency_ms: float
    demand_per_s: float


class RegionReport(msgspec.Struct, array_like=True, frozen=True, tag="measured"):
    """What a store follower has seen of its own region.

    Args:
        sender: Name of the store follower.
        region: Its region.
        services: Its services.
    """

    sender: str
    region: str
    services: tuple[ServiceReport, ...]


class HeldReport(NamedTuple):
    """A measure and when it was heard, as monotonic time in seconds."""

    measure: ServiceReport
    at: float


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
        self.heard = 0

    def measure(self, demand_per_s: Callable[[str], float], now: float) -> RegionReport:
        """Return what this VM has seen of its own region.

        Args:
            demand_per_s: Returns the requests a second of the region's callers for a service.
            now: Monotonic time, in seconds.
        """
        services = tuple(
            _measure(service, self._near(servers), demand_per_s(service), now)
            for service, servers in sorted(self.registry.by_service.items())
        )
        return RegionReport(self.name, self.region, services)

    def take(self, report: RegionReport, now: float) -> None:
        """Take over what a region's store follower says."""
        self.heard += 1
        for measure in report.services:
            self.held[report.region, measure.service] = HeldReport(measure, now)

    def changes(self, now: float) -> tuple[int, int]:
        """Return something that differs whenever policies may see other figures than before.

        Figures grow old without anything being heard, so while any are held it differs every
        second.
        """
        self.held = {
            key: held for key, held in self.held.items() if now - held.at <= REPORT_MAX_AGE_S
        }
        return self.heard, int(now) if self.held else 0

    def region_measures(
        self, region: str, service: str, capacity: float, now: float
    ) -> Optional[RegionMeasures]:
        """Return what a policy is told of a region; None where nothing was heard lately."""
        held = self.held.get((region, service))
        if held is None or now - held.at > REPORT_MAX_AGE_S:
            return None
        latency_ms = held.measure.latency_ms
        return RegionMeasures(
            capacity,
            in_use=min(held.measure.in_use, capacity),
            latency_ms=None if latency_ms < 0 else latency_ms,
            age_s=now - held.at,
        )

    def demand_per_s(self, service: str, now: float) -> float:
        """Return the requests a second of this region's callers; 0 where nothing was heard."""
        held = self.held.get((self.region, service))
        fresh = held is not None and now - held.at <= REPORT_MAX_AGE_S
        return held.measure.demand_per_s if held is not None and fresh else 0.0

    def _near(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        regions = self.registry.regions
        return [s for s in servers if regions.get(s.backend.hall) == self.region]


def _measure(
    service: str, servers: list[BackendServer], demand_per_s: float, now: float
) -> ServiceReport:
    in_use = sum(server.load(now) for server in servers)
    latency_ms = _mean_ms(servers, now)
    return ServiceReport(
        service,
        round(in_use, 1),
        -1.0 if latency_ms is None else latency_ms,
        round(demand_per_s, 1),
    )


def _mean_ms(servers: list[BackendServer], now: float) -> Optional[float]:
    seen = [
        server.latency_s
        for server in servers
        if server.latency_s is not None and now - server.answered_at <= _SEEN_S
    ]
    return round(_MS * sum(seen) / len(seen), 1) if seen else None
