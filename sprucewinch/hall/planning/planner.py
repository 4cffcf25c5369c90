"""Planner of one region's callers: which part of them each region serves, by service.

Owns the last confirmed plan, one shift limiter and one history of shares for each service. Relies
on the caller for policies, snapshots (slots, milliseconds, requests a second) and time (monotonic
seconds), and does no I/O: `plan_rounds` reads and writes the store.

For each service, the policy turns the snapshot into weights; a policy that fails keeps the shares
in force and is noted as a fault. The guard limits the shares to what free slots, links and drains
allow. A change below `_DEAD_BAND` is dropped, unless callers leave a region entirely. The shift cap
bounds the step, and a step counts against the cap once the store has confirmed its write.

One planner for each client region costs at most one write a second. If each VM planned by itself,
callers that ask two VMs would be sent back and forth (docs/DESIGN.md, "Who plans").

The limits of the guard and of the shift cap come from the configuration. The result shows in the
plan's notes and faults and in `event=policy-fault`. The tests are `tests.test_guard` and
`tests.test_shift`.
"""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple, Optional

from ...steering.guard import GuardLimits, limit_shares
from ...steering.measures import Snapshot
from ...steering.placement import Shares, make_shares, moved_part
from ...steering.policy import Policy, PolicyFault
from ...steering.shift import ShiftLimiter
from ._share_history import ShareHistory
from .shares_in_force import Plan
from .topology import Topology

_DEAD_BAND = 0.005
"""Part of the callers, in `[0, 1]`, below which a change is not worth a write to the store and its
transfer to every VM. A change after which a region serves no callers is exempt."""

_MEASURE_LAG_S = 6.0
"""Time for measures to be smoothed and to reach the planner: twice the time constant
`metrics.SMOOTHING_S`. Plans overload a region when the lag is ignored
(`tests.test_guard.NoDecisionOverloads`)."""


class _ServiceDraft(NamedTuple):
    """The part of the next plan that is for one service.

    Args:
        shares: Weights by region.
        notes: Limits that took effect.
        fault: Failure of the policy; None when it succeeded.
    """

    shares: dict[str, float]
    notes: tuple[str, ...]
    fault: Optional[str]


class Planner:
    """Makes the plans of one client region while this entry VM holds its lease.

    A plan takes effect when the store accepts it by compare-and-swap, so when several planners
    believe that they hold the lease, only one succeeds. Each starts with the whole shift cap
    counted as spent.

    Args:
        client_region: Region of the callers.
        incarnation: Name of this incarnation of the VM.

    Attributes:
        confirmed: Newest plan that the store is known to hold; None when there is none yet.
        fault_counts: Number of failures of a policy, by service.
    """

    def __init__(self, client_region: str, incarnation: str) -> None:
        self.client_region = client_region
        self.incarnation = incarnation
        self.confirmed: Optional[Plan] = None
        self.limiters: dict[str, ShiftLimiter] = {}
        self.histories: dict[str, ShareHistory] = {}
        self.fault_counts: dict[str, int] = {}

    def start_from(self, plan: Optional[Plan], topology: Topology, now: float) -> None:
        """Start from the plan that the store holds; the shift cap counts as spent now.

        Args:
            plan: The stored plan; None when there is none yet.
            topology: The configuration in force.
            now: Monotonic time, in seconds.
        """
        self.confirmed = plan
        self.limiters = {}
        self.histories = {}
        for service in topology.services:
            self._limiter(service, topology, now)

    def propose(
        self,
        topology: Topology,
        policies: Mapping[str, Policy],
        snapshots: Mapping[str, Snapshot],
        now: float,
    ) -> Optional[Plan]:
        """Compute the next plan.

        Args:
            topology: The configuration in force.
            policies: Loaded policies by name.
            snapshots: Measures by service.
            now: Monotonic time, in seconds.

        Returns:
            The next plan; None when nothing changes.
        """
        drafts = {
            service: self._draft_service(service, topology, policies, snapshot, now)
            for service, snapshot in snapshots.items()
        }
        plan = self._next_plan(topology, drafts)
        if self.confirmed is not None and _same_decisions(self.confirmed, plan):
            return None
        return plan

    def _draft_service(
        self,
        service: str,
        topology: Topology,
        policies: Mapping[str, Policy],
        snapshot: Snapshot,
        now: float,
    ) -> _ServiceDraft:
        limiter = self._limiter(service, topology, now)
        current = limiter.current
        wanted = self._wanted_weights(service, topology, policies, snapshot)
        fault = None
        if isinstance(wanted, PolicyFault):
            fault = wanted.problem
            self.fault_counts[service] = self.fault_counts.get(service, 0) + 1
            wanted = current.as_dict()
        measured = self._with_history(service, topology, snapshot, current, now)
        limited = limit_shares(wanted, current, measured, guard_limits(topology))
        target = current if _within_dead_band(current, limited.shares) else limited.shares
        return _ServiceDraft(limiter.propose(target, now).as_dict(), limited.notes, fault)

    def confirm(self, plan: Plan, topology: Topology, now: float) -> None:
        """Record that the store has accepted a plan.

        Args:
            plan: The plan that was proposed.
            topology: The configuration in force.
            now: Monotonic time after the write was confirmed, in seconds.
        """
        self.confirmed = plan
        for service, weights in plan.shares.items():
            limiter = self.limiters.get(service)
            if limiter is None or limiter.current.regions != topology.order:
                continue
            shares = make_shares(topology.order, weights)
            if shares != limiter.current:
                self._history(service, topology).record_replaced(limiter.current, now)
                limiter.commit(shares, now)

    def _wanted_weights(
        self,
        service: str,
        topology: Topology,
        policies: Mapping[str, Policy],
        snapshot: Snapshot,
    ) -> dict[str, float] | PolicyFault:
        policy = policies.get(topology.services[service].policy)
        if policy is None:
            return PolicyFault(f"no policy {topology.services[service].policy!r} is loaded")
        return policy.weights(snapshot)

    def _history(self, service: str, topology: Topology) -> ShareHistory:
        limit = topology.shift_limit(service)
        settle_s = limit.window_s + limit.ttl_s + _MEASURE_LAG_S
        return self.histories.setdefault(service, ShareHistory(settle_s))

    def _with_history(
        self, service: str, topology: Topology, snapshot: Snapshot, current: Shares, now: float
    ) -> Snapshot:
        """Add the range of shares that the measures may reflect, so no headroom is used twice."""
        history = self._history(service, topology)
        regions = snapshot.order
        return dataclasses.replace(
            snapshot,
            share_low={region: history.lowest_share(region, current, now) for region in regions},
            share_high={region: history.highest_share(region, current, now) for region in regions},
        )

    def _limiter(self, service: str, topology: Topology, now: float) -> ShiftLimiter:
        limit = topology.shift_limit(service)
        limiter = self.limiters.get(service)
        if limiter is None:
            weights = self.confirmed.shares.get(service, {}) if self.confirmed else {}
            start = topology.shares_of(weights, self.client_region)
            limiter = self.limiters[service] = ShiftLimiter(start, limit, spent_at=now)
        limiter.set_limit(limit)
        if limiter.current.regions != topology.order:
            limiter.set_regions(topology.order)
        return limiter

    def _next_plan(self, topology: Topology, drafts: Mapping[str, _ServiceDraft]) -> Plan:
        return Plan(
            client_region=self.client_region,
            revision=self.confirmed.revision + 1 if self.confirmed else 1,
            planner=self.incarnation,
            configuration_revision=topology.document.revision,
            shares={service: draft.shares for service, draft in drafts.items()},
            notes={service: draft.notes for service, draft in drafts.items()},
            faults={s: draft.fault for s, draft in drafts.items() if draft.fault is not None},
        )


def _within_dead_band(current: Shares, target: Shares) -> bool:
    """Return whether a change is too small to be made.

    A change after which a region serves no callers is never too small.
    """
    empties_region = any(
        a > 0 and b <= 0 for a, b in zip(current.weights, target.weights, strict=True)
    )
    return not empties_region and moved_part(current, target) < _DEAD_BAND


def _same_decisions(old: Plan, new: Plan) -> bool:
    return (
        old.shares == new.shares
        and old.faults == new.faults
        and old.configuration_revision == new.configuration_revision
    )


def guard_limits(topology: Topology) -> GuardLimits:
    """Return the limits of the guard that a configuration sets."""
    guard = topology.configuration.guard
    planners = max(1, len(topology.order))
    return GuardLimits(guard.ceiling, guard.stale_s, guard.warm_step, planners)
