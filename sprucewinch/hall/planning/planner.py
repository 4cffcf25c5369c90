"""Planning: policy and guard turn measures into the plan of one client region."""

import dataclasses
from collections.abc import Mapping
from typing import Optional

from ...steering.guard import GuardLimits, grant
from ...steering.measures import Snapshot
from ...steering.placement import Shares, make_shares, moved_part
from ...steering.policy import Policy, PolicyFault
from ...steering.shift import ShiftLimiter
from ._share_history import ShareHistory
from .steering import Plan
from .topology import Topology

_DEAD_BAND = 0.005
"""Changes of shares smaller than this are not worth a write and a relay to every VM."""

_MEASURE_LAG_S = 6.0
"""How long measures take to be smoothed and to reach the planner, in seconds."""


class Planner:
    """Makes the plans of one client region while this entry VM holds its lease.

    A plan takes effect when the platform has taken it by compare-and-swap, so of several planners
    that believe in their lease only one moves a plan on. Each starts with the whole shift cap
    counted as spent and counts a step when its write is confirmed.

    Args:
        client_region: Region of the callers.
        me: This incarnation.
    """

    def __init__(self, client_region: str, me: str) -> None:
        self.client_region = client_region
        self.me = me
        self.base: Optional[Plan] = None
        self.limiters: dict[str, ShiftLimiter] = {}
        self.histories: dict[str, ShareHistory] = {}
        self.faults: dict[str, int] = {}

    def adopt(self, plan: Optional[Plan], topology: Topology, now: float) -> None:
        """Start from what the platform holds; the shift cap counts as spent now.

        Args:
            plan: The plan held; None when there is none yet.
            topology: The configuration in force.
            now: Monotonic time, in seconds.
        """
        self.base = plan
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
        """Work out the next plan.

        Args:
            topology: The configuration in force.
            policies: Loaded policies by name.
            snapshots: Measures by service.
            now: Monotonic time, in seconds.

        Returns:
            The next plan; None when nothing changes.
        """
        shares: dict[str, dict[str, float]] = {}
        notes: dict[str, tuple[str, ...]] = {}
        faults: dict[str, str] = {}
        for service, snapshot in snapshots.items():
            limiter = self._limiter(service, topology, now)
            wanted = self._wanted(service, topology, policies, snapshot)
            if isinstance(wanted, PolicyFault):
                faults[service] = wanted.problem
                self.faults[service] = self.faults.get(service, 0) + 1
                wanted = limiter.current.as_dict()
            measured = self._with_history(service, topology, snapshot, limiter.current, now)
            granted = grant(wanted, limiter.current, measured, guard_limits(topology))
            notes[service] = granted.notes
            target = granted.shares
            if _near(limiter.current, target):
                target = limiter.current
            shares[service] = limiter.propose(target, now).as_dict()
        return self._next(topology, shares, notes, faults)

    def confirm(self, plan: Plan, topology: Topology, now: float) -> None:
        """Note that the platform has taken a plan.

        Args:
            plan: The plan that was proposed.
            topology: The configuration in force.
            now: Monotonic time after the write was confirmed, in seconds.
        """
        self.base = plan
        for service, weights in plan.shares.items():
            limiter = self.limiters.get(service)
            if limiter is None or limiter.current.regions != topology.order:
                continue
            shares = make_shares(topology.order, weights)
            if shares != limiter.current:
                self._history(service, topology).replaced(limiter.current, now)
                limiter.commit(shares, now)

    def _wanted(
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
        """Add which shares the measures may reflect, so that no headroom is used twice."""
        history = self._history(service, topology)
        regions = snapshot.order
        return dataclasses.replace(
            snapshot,
            share_low={region: history.low(region, current, now) for region in regions},
            share_high={region: history.high(region, current, now) for region in regions},
        )

    def _limiter(self, service: str, topology: Topology, now: float) -> ShiftLimiter:
        limit = topology.shift_limit(service)
        limiter = self.limiters.get(service)
        if limiter is None:
            held = self.base.shares.get(service, {}) if self.base else {}
            start = topology.shares_of(held, self.client_region)
            limiter = self.limiters[service] = ShiftLimiter(start, limit, spent_at=now)
        limiter.set_limit(limit)
        if limiter.current.regions != topology.order:
            limiter.reorder(topology.order)
        return limiter

    def _next(
        self,
        topology: Topology,
        shares: dict[str, dict[str, float]],
        notes: dict[str, tuple[str, ...]],
        faults: dict[str, str],
    ) -> Optional[Plan]:
        revision = self.base.revision if self.base else 0
        plan = Plan(
            self.client_region,
            revision + 1,
            self.me,
            topology.document.revision,
            shares,
            notes,
            faults,
        )
        if self.base is not None and _same(self.base, plan):
            return None
        return plan


def _near(current: Shares, target: Shares) -> bool:
    """Tell whether a change is too small to be made; leaving a region never is."""
    left = any(a > 0 and b <= 0 for a, b in zip(current.weights, target.weights, strict=True))
    return not left and moved_part(current, target) < _DEAD_BAND


def _same(old: Plan, new: Plan) -> bool:
    return (
        old.shares == new.shares
        and old.faults == new.faults
        and old.configuration_revision == new.configuration_revision
    )


def guard_limits(topology: Topology) -> GuardLimits:
    """Return the guard's limits under a configuration."""
    guard = topology.configuration.guard
    planners = max(1, len(topology.order))
    return GuardLimits(guard.ceiling, guard.stale_s, guard.warm_step, planners)
