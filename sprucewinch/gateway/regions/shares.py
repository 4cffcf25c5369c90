"""Rule: which part of the callers of this VM's region is served in which region now.

Question: the shares in force of each service. Owns the shares in force, their targets and the
shift limiters. Relies on `share_target` for where they move (policy, then guard), on
`steering.shift.ShiftLimiter` for how fast, on `BackendRegistry` for the slots of each region and on
`RegionReports` for its load and latency.

Inputs: slots of the usable backend servers by region, reports of the regions, the policies in
force, monotonic time in seconds.

Rule: the first request of a service starts with its target, as no caller was steered before.
From then on each tick plans a new target when an input has changed, and moves the shares towards
the target as far as the shift cap allows. Each VM applies the cap to its own shares: when every
VM stays under it, the fleet does, without an exchange. A planner with a lease in the store is
ruled out: the default policy needs nothing but the slots in the store, which all VMs see alike.

Constants: `SHIFT_WINDOW_S`, `_CAP_SAFETY`, `_HOME_MS`, `_AWAY_MS` below; the cap is a setting
(`Bounds.shift_cap`). The result shows as `shares` of a service on `/state`; no log event carries
it. Tests: `test_gateway_policies`, `test_gateway_region_reports`.
"""

from typing import NamedTuple

from ...steering.guard import GuardLimits
from ...steering.measures import RegionMeasures, Snapshot
from ...steering.placement import Shares, make_shares
from ...steering.shift import ShiftLimit, ShiftLimiter
from ..servers.backend_registry import BackendRegistry
from .policies import PolicyTable
from .region_reports import RegionReports
from .share_target import share_target

SHIFT_WINDOW_S = 2.0
"""Window of the shift cap, in seconds: the platform's bound on shifts counts in such windows."""

_CAP_SAFETY = 0.8
"""Safety margin on the shift cap: the part of it that changes of shares may use."""

_HOME_MS = 1.0
"""Distance that policies are given for the callers' own region, in milliseconds one way.

Distances between regions are not measured on the platform.
"""

_AWAY_MS = 10.0
"""Distance that policies are given for every other region, in milliseconds one way.

As `_HOME_MS`; all other regions count as equally far.
"""


class PlanInputs(NamedTuple):
    """Generations of what a target is planned from; a new target is due when one differs.

    Args:
        store: Generation of what is held of the store; policies are a part of it.
        servers: Generation of the backend servers.
        reports: Generation of the region reports, see `RegionReports.generation`.
    """

    store: int
    servers: int
    reports: tuple[int, int]


_NEVER_PLANNED = PlanInputs(-1, -1, (-1, -1))
"""Differs from all inputs: generations start at 0."""


class RegionShares:
    """Shares of the callers of this VM's region, by service.

    Args:
        registry: Backend servers.
        policies: Policies in force.
        region_reports: Load and latency of the regions, as far as reports have arrived.
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
        self.cap = ShiftLimit(shift_cap * _CAP_SAFETY, SHIFT_WINDOW_S, 0.0)
        self.limits = GuardLimits(planners=max(1, len(self.order)))
        self.limiters: dict[str, ShiftLimiter] = {}
        self.targets: dict[str, Shares] = {}
        self.notes: dict[str, tuple[str, ...]] = {}
        self._planned_from = _NEVER_PLANNED

    def shares(self, service: str, now: float) -> Shares:
        """Return the shares in force of a service; they add up to 1.

        Args:
            service: Its name.
            now: Monotonic time, in seconds.
        """
        limiter = self.limiters.get(service)
        if limiter is None:
            self._plan(service, now)
            limiter = self.limiters[service]
        return limiter.current

    def tick(self, now: float) -> None:
        """Plan again when an input has changed, then move all shares towards their targets.

        Args:
            now: Monotonic time, in seconds.
        """
        inputs = PlanInputs(
            self.registry.store_view.generation,
            self.registry.generation,
            self.region_reports.generation(now),
        )
        if self._planned_from != inputs:
            self._planned_from = inputs
            for service in list(self.limiters):
                self._plan(service, now)
        for service, limiter in self.limiters.items():
            limiter.move(self.targets[service], now)

    def _plan(self, service: str, now: float) -> None:
        snapshot = self._snapshot(service, now)
        limiter = self.limiters.get(service)
        current = limiter.current if limiter else self._by_capacity(snapshot)
        policy = self.policies.policy_for(service)
        target = share_target(policy, snapshot, current, self.targets.get(service), self.limits)
        self.targets[service] = target.shares
        self.notes[service] = target.notes
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

        A policy that reads measures gets none where no report has arrived, so that the guard
        gives the region no further callers; any other policy needs nothing but the slots.
        """
        reported = self.region_reports.region_measures(region, service, slots, now)
        if reported is not None:
            return reported
        return RegionMeasures(
            slots, age_s=None if self.policies.service_reads_measures(service) else 0.0
        )
