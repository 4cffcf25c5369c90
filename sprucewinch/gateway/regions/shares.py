"""Distributes the callers of this VM's region over the regions that serve them.

`RegionShares` owns the shares in force of each service, the shares that they move towards (targets)
and the shift limiters. It relies on `share_target` for the targets (policy, then guard), on
`steering.shift.ShiftLimiter` for the speed of the change, on `BackendRegistry` for the slots of
each region and on `RegionReports` for the load and latency of each region. Its inputs are the slots
of the usable backend servers by region, the reports of the regions, the policies in force and
monotonic time in seconds.

The first request of a service starts with the service's target, as no caller was steered before.
After that, each tick computes a new target if an input has changed, and moves the shares towards
the target as far as the shift cap allows. Each VM applies the cap to its own shares: the cap is a
fraction of the callers, so if every VM stays below it, the fleet does too, without any messages
between VMs. A single planner that holds a lease in the store would add a dependency without need:
the default policy uses only the slots in the store, and all VMs read the same values there.

The constants are `SHIFT_WINDOW_S`, `_SHIFT_CAP_SAFETY_FACTOR`, `_HOME_DISTANCE_MS` and
`_OTHER_DISTANCE_MS`; the cap is the setting `Bounds.shift_cap`. `/state` lists the result as
`shares` of each service; no log event contains it. Tests: `test_gateway_policies`,
`test_gateway_region_reports`.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ...steering.guard import GuardLimits
from ...steering.measures import RegionMeasures, Snapshot
from ...steering.placement import Shares, make_shares
from ...steering.shift import ShiftLimit, ShiftLimiter
from ..servers.backend_registry import BackendRegistry
from ..state.named_state import NamedStateOwner, NamedTable, NameKind
from .policies import PolicyTable
from .region_reports import RegionReports
from .share_target import share_target

SHIFT_WINDOW_S = 2.0
"""Window of the shift cap, in seconds; the platform states its bound on shifts for this window."""

_SHIFT_CAP_SAFETY_FACTOR = 0.8
"""Fraction of the shift cap that changes of shares may use; the rest is a safety margin."""

_HOME_DISTANCE_MS = 1.0
"""One-way distance to the callers' own region as policies see it, in milliseconds.

It is a fixed value because distances between regions are not measured on the platform.
"""

_OTHER_DISTANCE_MS = 10.0
"""One-way distance to every other region as policies see it, in milliseconds.

It is a fixed value like `_HOME_DISTANCE_MS`; all other regions are treated as equally distant.
"""


class TargetInputs(NamedTuple):
    """Generation numbers of the inputs of a target; if one differs, a new target is computed.

    Args:
        store: Generation of this VM's copy of the store, which includes the policies.
        servers: Generation of the backend servers.
        reports: Generation of the region reports, see `RegionReports.generation`.
    """

    store: int
    servers: int
    reports: tuple[int, int]


_NO_INPUTS = TargetInputs(-1, -1, (-1, -1))
"""Differs from all inputs, as generations start at 0."""


class RegionShares(NamedStateOwner):
    """Shares of the callers of this VM's region, by service.

    Args:
        registry: Backend servers.
        policies: Policies in force.
        region_reports: Load and latency of the regions from which reports have arrived.
        regions: Region of each data hall.
        home: Region of this VM's callers.
        shift_cap: Largest fraction of the callers that may change region within
            `SHIFT_WINDOW_S`.
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
        self.region_order = tuple(dict.fromkeys(regions.values()))
        self.shift_cap = ShiftLimit(shift_cap * _SHIFT_CAP_SAFETY_FACTOR, SHIFT_WINDOW_S, 0.0)
        self.guard_limits = GuardLimits(planners=max(1, len(self.region_order)))
        self.limiters: dict[str, ShiftLimiter] = {}
        self.targets: dict[str, Shares] = {}
        self.notes: dict[str, tuple[str, ...]] = {}
        self._target_inputs = _NO_INPUTS

    def named_tables(self) -> Iterable[NamedTable]:
        """Return the shares by service; see `NamedStateOwner`."""
        yield NamedTable("share_limiters", NameKind.SERVICE, self.limiters)
        yield NamedTable("share_targets", NameKind.SERVICE, self.targets)
        yield NamedTable("share_notes", NameKind.SERVICE, self.notes)

    def shares(self, service: str, now: float) -> Shares:
        """Return the shares in force of a service; they add up to 1.

        Args:
            service: Name of the service.
            now: Monotonic time, in seconds.
        """
        limiter = self.limiters.get(service)
        if limiter is None:
            self._update_target(service, now)
            limiter = self.limiters[service]
        return limiter.current

    def moved_recently(self, service: str, now: float) -> float:
        """Return the fraction of a service's callers that the shares moved within the last window.

        Args:
            service: Name of the service.
            now: Monotonic time, in seconds.
        """
        limiter = self.limiters.get(service)
        return limiter.limit.cap - limiter.allowance(now) if limiter else 0.0

    def tick(self, now: float) -> None:
        """Recompute the targets if an input has changed, then move all shares towards them.

        Args:
            now: Monotonic time, in seconds.
        """
        inputs = TargetInputs(
            self.registry.store_view.generation,
            self.registry.generation,
            self.region_reports.generation(now),
        )
        if self._target_inputs != inputs:
            self._target_inputs = inputs
            for service in list(self.limiters):
                self._update_target(service, now)
        for service, limiter in self.limiters.items():
            limiter.move(self.targets[service], now)

    def _update_target(self, service: str, now: float) -> None:
        snapshot = self._snapshot(service, now)
        limiter = self.limiters.get(service)
        current = limiter.current if limiter else self._shares_by_capacity(snapshot)
        policy = self.policies.policy_for(service)
        target = share_target(
            policy, snapshot, current, self.targets.get(service), self.guard_limits
        )
        self.targets[service] = target.shares
        self.notes[service] = target.notes
        if limiter is None:
            self.limiters[service] = ShiftLimiter(self.targets[service], self.shift_cap)

    def _shares_by_capacity(self, snapshot: Snapshot) -> Shares:
        weights = {region: m.capacity for region, m in snapshot.regions.items()}
        if sum(weights.values()) <= 0:
            weights = {self.home: 1.0}
        return make_shares(self.region_order, weights)

    def _snapshot(self, service: str, now: float) -> Snapshot:
        capacity = dict.fromkeys(self.region_order, 0.0)
        for server in self.registry.offered(service):
            region = self.regions.get(server.backend.hall)
            if region is not None:
                capacity[region] += server.backend.capacity
        return Snapshot(
            service=service,
            client_region=self.home,
            regions={r: self._measures(service, r, slots, now) for r, slots in capacity.items()},
            distance_ms={
                r: _HOME_DISTANCE_MS if r == self.home else _OTHER_DISTANCE_MS
                for r in self.region_order
            },
            demand_per_s=self.region_reports.demand_per_s(service, now),
        )

    def _measures(self, service: str, region: str, slots: float, now: float) -> RegionMeasures:
        """Return the measurements of a region.

        Without a report, a policy that reads measurements gets them marked as missing, so that the
        guard sends no more callers to the region. Any other policy needs only the slots.
        """
        reported = self.region_reports.region_measures(region, service, slots, now)
        if reported is not None:
            return reported
        return RegionMeasures(
            slots, age_s=None if self.policies.service_reads_measures(service) else 0.0
        )
