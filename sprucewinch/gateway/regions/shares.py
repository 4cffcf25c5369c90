"""Shares of regions in force at this VM: policy, guard, then the shift cap."""

from ...steering.guard import GuardLimits, grant
from ...steering.measures import RegionMeasures, Snapshot
from ...steering.placement import Shares, make_shares
from ...steering.policy import PolicyFault
from ...steering.shift import ShiftCap, ShiftLimiter
from ..servers.backend_registry import BackendRegistry
from .policies import PolicyTable
from .region_reports import RegionReports

SHIFT_WINDOW_S = 2.0
_CAP_SAFETY = 0.8
_HOME_MS = 1.0
_AWAY_MS = 10.0


class RegionShares:
    """Shares of the callers of this VM's region, by service.

    Args:
        registry: Backend servers.
        policies: Policies in force.
        region_reports: Load and latency of the regions, as far as they were told.
        regions: Region of each data hall.
        home: Region of this VM's callers.
        shift_cap: Most callers that may move within a window.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        policies: PolicyTable,
        region_reports: RegionReports,
        *,
        regions: dict[str, str],
        home: str,
        shift_cap: float,
    ) -> None:
        self.registry = registry
        self.policies = policies
        self.region_reports = region_reports
        self.regions = regions
        self.home = home
        self.order = tuple(dict.fromkeys(regions.values()))
        self.cap = ShiftCap(shift_cap * _CAP_SAFETY, SHIFT_WINDOW_S, 0.0)
        self.limits = GuardLimits(planners=max(1, len(self.order)))
        self.limiters: dict[str, ShiftLimiter] = {}
        self.targets: dict[str, Shares] = {}
        self.notes: dict[str, tuple[str, ...]] = {}
        self._planned_for: tuple[int, int, tuple[int, int]] = (-1, -1, (-1, -1))

    def shares(self, service: str, now: float) -> Shares:
        """Return the shares in force of a service."""
        limiter = self.limiters.get(service)
        if limiter is None:
            self._plan(service, now)
            limiter = self.limiters[service]
        return limiter.current

    def tick(self, now: float) -> None:
        """Follow what has changed, then move all shares towards their targets."""
        told = self.region_reports.changes(now)
        facts = (self.registry.store_view.generation, self.registry.generation, told)
        if self._planned_for != facts:
            self._planned_for = facts
            for service in list(self.limiters):
                self._plan(service, now)
        for service, limiter in self.limiters.items():
            limiter.move(self.targets[service], now)

    def _plan(self, service: str, now: float) -> None:
        snapshot = self._snapshot(service, now)
        limiter = self.limiters.get(service)
        current = limiter.current if limiter else self._by_capacity(snapshot)
        wanted = self.policies.policy_for(service).weights(snapshot)
        if isinstance(wanted, PolicyFault):
            self.notes[service] = (f"policy-fault:{wanted.problem}",)
            self.targets.setdefault(service, current)
        else:
            granted = grant(wanted, current, snapshot, self.limits)
            self.targets[service] = granted.shares
            self.notes[service] = granted.notes
        if limiter is None:
            self.limiters[service] = ShiftLimiter(self.targets[service], self.cap)

    def _by_capacity(self, snapshot: Snapshot) -> Shares:
        weights = {region: m.capacity for region, m in snapshot.regions.items()}
        if sum(weights.values()) <= 0:
            weights = {self.home: 1.0}
        return make_shares(self.order, weights)

    def _snapshot(self, service: str, now: float) -> Snapshot:
        capacity = dict.fromkeys(self.order, 0.0)
        for server in self.registry.usable(service):
            region = self.regions.get(server.backend.hall)
            if region is not None:
                capacity[region] += server.backend.capacity
        return Snapshot(
            service=service,
            client_region=self.home,
            regions={r: self._measures(service, r, slots, now) for r, slots in capacity.items()},
            distance_ms={r: _HOME_MS if r == self.home else _AWAY_MS for r in self.order},
            demand_per_s=self.region_reports.demand_per_s(service, now),
        )

    def _measures(self, service: str, region: str, slots: float, now: float) -> RegionMeasures:
        """Return what is known of a region.

        A policy that reads measures gets none where none were told, so that the guard lets the
        region gain nobody; for any other policy the slots are all there is to know.
        """
        told = self.region_reports.region_measures(region, service, slots, now)
        if told is not None:
            return told
        return RegionMeasures(
            slots, age_s=None if self.policies.service_reads_measures(service) else 0.0
        )
