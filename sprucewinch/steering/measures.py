"""Snapshots of measures that policies and the guard decide on.

Owns the two types that carry measures into a decision, with their units. The values are collected
elsewhere: `hall` and `gateway` build a `Snapshot` each time they plan. Relies on no other module.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Optional


@dataclass(frozen=True, slots=True)
class RegionMeasures:
    """Measures of one region for one service.

    Args:
        capacity: Slots of backend servers that are not draining.
        in_use: Slots in use.
        latency_ms: Mean time of a request there, in milliseconds; None when not measured.
        arrivals_per_s: Requests a second of all callers.
        demand_per_s: Requests a second of the region's own callers, wherever they are served; 0
            when not known.
        age_s: Age of the oldest of these measures, in seconds; None when there are none.
        drained: True when operators are draining the region.
    """

    capacity: float
    in_use: float = 0.0
    latency_ms: Optional[float] = None
    arrivals_per_s: float = 0.0
    age_s: Optional[float] = None
    drained: bool = False
    demand_per_s: float = 0.0

    @property
    def headroom(self) -> float:
        """Free part of the slots, in `[0, 1]`; 0 where there are no slots."""
        if self.capacity <= 0:
            return 0.0
        return max(0.0, 1.0 - self.in_use / self.capacity)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The input of one planning round, for one service and one client region.

    Args:
        service: Name of the service.
        client_region: Region of the callers.
        regions: Measures by region, in the configuration's order.
        distance_ms: One-way time from the client region to each region, in milliseconds.
        link_per_s: Most requests a second from the client region to each other region.
        demand_per_s: Requests a second of the client region's callers.
        share_low: Smallest share that the measures of a region may still reflect.
        share_high: Largest share that the measures of a region may still reflect.
    """

    service: str
    client_region: str
    regions: Mapping[str, RegionMeasures]
    distance_ms: Mapping[str, float]
    link_per_s: Mapping[str, float] = field(default_factory=dict)
    demand_per_s: float = 0.0
    share_low: Mapping[str, float] = field(default_factory=dict)
    share_high: Mapping[str, float] = field(default_factory=dict)

    @property
    def order(self) -> tuple[str, ...]:
        """Regions in the configuration's order."""
        return tuple(self.regions)
