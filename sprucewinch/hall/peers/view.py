"""Snapshots for planning: the load reports of all members, aggregated by region.

`MeasuresView` sums the loads by service and region and records the age of the oldest report of each
region. It takes the reports from `membership`, and drains, distances and links from the topology. A
view is built in each planning round and keeps nothing between rounds.
"""

from collections.abc import Iterable
from typing import Optional

from ...steering.measures import RegionMeasures, Snapshot
from ..planning.topology import Topology
from .membership import Membership
from .peer_pb2 import LEAVING, SERVING, Member, ServiceLoad

_IDLE_WEIGHT_REQUESTS = 1.0
"""Requests added to those in use when latencies are weighted, so that an idle member counts too."""

MAX_REPORT_AGE_S = 60.0
"""Age of a report above which snapshots leave it out, in seconds."""


class _Sum:
    """The sum of the reports of one region's members on one service.

    `latency` is the sum of latencies, in milliseconds, each times its `weight`.
    """

    __slots__ = ("arrivals", "capacity", "demand", "in_use", "latency", "weight")

    def __init__(self) -> None:
        self.capacity = 0.0
        self.in_use = 0.0
        self.arrivals = 0.0
        self.demand = 0.0
        self.latency = 0.0
        self.weight = 0.0

    def add(self, load: ServiceLoad, client_region: str) -> None:
        self.capacity += load.capacity
        self.in_use += load.in_use
        self.arrivals += sum(load.demand.values())
        self.demand += load.demand.get(client_region, 0.0)
        if load.latency_ms >= 0:
            weight = load.in_use + _IDLE_WEIGHT_REQUESTS
            self.latency += weight * load.latency_ms
            self.weight += weight

    def measures(self, age_s: Optional[float], drained: bool) -> RegionMeasures:
        return RegionMeasures(
            capacity=self.capacity,
            in_use=self.in_use,
            latency_ms=self.latency / self.weight if self.weight else None,
            arrivals_per_s=self.arrivals,
            age_s=age_s,
            drained=drained,
        )


_NO_REPORT = _Sum()


class MeasuresView:
    """The reports of all members, aggregated in one pass for the callers of one region.

    Args:
        topology: The configuration in force.
        membership: The members and their reports.
        client_region: Region of the callers.
        now: Monotonic time, in seconds.
    """

    def __init__(
        self, topology: Topology, membership: Membership, client_region: str, now: float
    ) -> None:
        self.topology = topology
        self.client_region = client_region
        self._ages: dict[str, float] = {}
        self._sums: dict[tuple[str, str], _Sum] = {}
        for member, age_s in _recent(membership, now):
            self._ages[member.region] = max(age_s, self._ages.get(member.region, 0.0))
            for load in member.loads:
                total = self._sums.setdefault((load.service, member.region), _Sum())
                total.add(load, client_region)
        order = topology.order
        self._drained = {region: topology.region_drained(region) for region in order}
        self._distances = {r: topology.distance_ms(client_region, r) for r in order}
        self._links = {r: topology.link_per_s(client_region, r) for r in order}

    def snapshot(self, service: str) -> Snapshot:
        """Return the measures of one service."""
        sums = {r: self._sums.get((service, r), _NO_REPORT) for r in self.topology.order}
        return Snapshot(
            service=service,
            client_region=self.client_region,
            regions={
                region: total.measures(self._ages.get(region), self._drained[region])
                for region, total in sums.items()
            },
            distance_ms=self._distances,
            link_per_s=self._links,
            demand_per_s=sum(total.demand for total in sums.values()),
        )


def _recent(membership: Membership, now: float) -> Iterable[tuple[Member, float]]:
    """Yield members with the age of their report, in seconds.

    Live members come first, then the members of regions without a live one whose report is at most
    `MAX_REPORT_AGE_S` old.
    """
    live = [m for m in membership.live(now) if m.state in (SERVING, LEAVING)]
    live_regions = {member.region for member in live}
    for member in live:
        yield member, membership.age_s(member.vm, now) or 0.0
    for record in membership.records.values():
        age_s = now - record.received_at
        if record.member.region not in live_regions and age_s <= MAX_REPORT_AGE_S:
            yield record.member, age_s
