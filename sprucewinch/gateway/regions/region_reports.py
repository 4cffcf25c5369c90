"""What regions tell each other of their load and latency, for policies that steer by them.

One machine of each region, a watcher, tells all others what it has seen of its region's backend
servers. Everybody steers by the same figures, so that an object has the same region at every
machine of a region. Nothing is told while no policy reads them (`PolicyBook.steers_by_measures`).
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

import msgspec

from ...steering.measures import RegionMeasures
from ..servers.backend_registry import ServerBook
from ..servers.backend_server import Server

MEASURE_S = 1.0
"""How often a region's figures are told, in seconds."""

KEPT_S = 10.0
"""How long figures are kept, in seconds; the guard treats old ones as missing long before."""

_SEEN_S = 5.0
"""Age of a backend server's last answer up to which its latency counts, in seconds."""

_MS = 1000.0


class ServiceMeasure(msgspec.Struct, array_like=True, frozen=True):
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


class Measured(msgspec.Struct, array_like=True, frozen=True, tag="measured"):
    """What a watcher has seen of its own region.

    Args:
        sender: Name of the watcher.
        region: Its region.
        services: Its services.
    """

    sender: str
    region: str
    services: tuple[ServiceMeasure, ...]


class Held(NamedTuple):
    """A measure and when it was heard, as monotonic time in seconds."""

    measure: ServiceMeasure
    at: float


class MeasureBoard:
    """The newest figures of all regions.

    Args:
        book: Backend servers, as this machine sees them.
        name: Name of this machine.
        region: Its region.
    """

    def __init__(self, book: ServerBook, name: str, region: str) -> None:
        self.book = book
        self.name = name
        self.region = region
        self.held: dict[tuple[str, str], Held] = {}
        self.heard = 0

    def measure(self, demand_per_s: Callable[[str], float], now: float) -> Measured:
        """Return what this machine has seen of its own region.

        Args:
            demand_per_s: Returns the requests a second of the region's callers for a service.
            now: Monotonic time, in seconds.
        """
        services = tuple(
            _measure(service, self._near(servers), demand_per_s(service), now)
            for service, servers in sorted(self.book.by_service.items())
        )
        return Measured(self.name, self.region, services)

    def take(self, measured: Measured, now: float) -> None:
        """Take over what a region's watcher says."""
        self.heard += 1
        for measure in measured.services:
            self.held[measured.region, measure.service] = Held(measure, now)

    def changes(self, now: float) -> tuple[int, int]:
        """Return something that differs whenever policies may see other figures than before.

        Figures grow old without anything being heard, so while any are held it differs every
        second.
        """
        self.held = {key: held for key, held in self.held.items() if now - held.at <= KEPT_S}
        return self.heard, int(now) if self.held else 0

    def region_measures(
        self, region: str, service: str, capacity: float, now: float
    ) -> Optional[RegionMeasures]:
        """Return what a policy is told of a region; None where nothing was heard lately."""
        held = self.held.get((region, service))
        if held is None or now - held.at > KEPT_S:
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
        fresh = held is not None and now - held.at <= KEPT_S
        return held.measure.demand_per_s if held is not None and fresh else 0.0

    def _near(self, servers: Iterable[Server]) -> list[Server]:
        regions = self.book.regions
        return [s for s in servers if regions.get(s.backend.zone) == self.region]


def _measure(
    service: str, servers: list[Server], demand_per_s: float, now: float
) -> ServiceMeasure:
    in_use = sum(server.load(now) for server in servers)
    latency_ms = _mean_ms(servers, now)
    return ServiceMeasure(
        service,
        round(in_use, 1),
        -1.0 if latency_ms is None else latency_ms,
        round(demand_per_s, 1),
    )


def _mean_ms(servers: list[Server], now: float) -> Optional[float]:
    seen = [
        server.latency_s
        for server in servers
        if server.latency_s is not None and now - server.answered_at <= _SEEN_S
    ]
    return round(_MS * sum(seen) / len(seen), 1) if seen else None
