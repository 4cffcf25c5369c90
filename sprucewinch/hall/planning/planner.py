"""The rule of plans: which part of one region's callers each region serves, by service.

Owns the last confirmed plan, one shift limiter and one history of shares for each service. Relies
on the caller for policies, snapshots (slots, milliseconds, requests a second) and time (monotonic
seconds), and does no I/O: `plan_rounds` reads and writes the store.

The rule, for each service: the policy turns the snapshot into weights; a policy that fails keeps
the shares in force and is noted as a fault. The guard grants what free slots, links and drains
allow. A change below `_DEAD_BAND` is dropped, unless it leaves a region. The shift cap bounds the
step, and a step counts as spent once the store has confirmed its write.

Why this way: one planner for each client region costs a write a second at most, while every VM
planning by itself would send callers that ask two VMs back and forth (docs/DESIGN.md, "Who plans").
Constants: `_DEAD_BAND`, `_MEASURE_LAG_S`; the guard's and the cap's come from the configuration.
The result shows in the plan's notes and faults and in `event=policy-fault`. Tests:
`tests.test_guard`, `tests.test_shift`.
"""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple, Optional

from ...steering.guard import GuardLimits, grant
from ...steering.measures import Snapshot
from ...steering.placement import Shares, make_shares, moved_part
from ...steering.policy import Policy, PolicyFault
from ...steering.shift import ShiftLimiter
from ._share_history import ShareHistory
from .steering import Plan
from .topology import Topology

_DEAD_BAND = 0.005
"""Part of the callers, in `[0, 1]`, below which a change is not worth a write and its spread to
every VM. The leaving of a region is exempt."""

_MEASURE_LAG_S = 6.0
"""Time that measures take to be smoothed and to reach the planner, in seconds: twice the time
constant `metrics.SMOOTHING_S`. That some lag has to be counted is shown by
`tests.test_guard.NoDecisionOverloads`."""


class _ServiceDraft(NamedTuple):
    """The next plan's part for one service.

    Args:
        shares: Weights by region.
        notes: Limits that took effect.
        fault: Failure of the policy; None when it worked.
    """

    shares: dict[str, float]
    notes: tuple[str, ...]
    fault: Optional[str]


class Planner:
    """Makes the plans of one client region while this entry VM holds its lease.

    A plan takes effect when the store accepts it by compare-and-swap, so of several planners that
    consider themselves holders of the lease only one succeeds. Each starts with the whole shift cap
    counted as spent.

    Args:
        client_region: Region of the callers.
        me: Name of this incarnation of the VM.

    Attributes:
        faults: Failures of a policy so far, by service.
    """

    def __init__(self, client_region: str, me: str) -> None:
        self.client_region = client_region
        self.me = me
        self.base: Optional[Plan] = None
        self.limiters: dict[str, ShiftLimiter] = {}
        self.histories: dict[str, ShareHistory] = {}
        self.faults: dict[str, int] = {}

    def adopt(self, plan: Optional[Plan], topology: Topology, now: float) -> None:
        """Start from the plan that the store holds; the shift cap counts as spent now.

        Args:
            plan: The stored plan; None when there is none yet.
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
            service: self._draft(service, topology, policies, snapshot, now)
            for service, snapshot in snapshots.items()
        }
        plan = self._next(topology, drafts)
        if self.base is not None and _same(self.base, plan):
            return None
        return plan

    def _draft(
        self,
        service: str,
        topology: Topology,
        policies: Mapping[str, Policy],
        snapshot: Snapshot,
        now: float,
    ) -> _ServiceDraft:
        limiter = self._limiter(service, topology, now)
        current = limiter.current
        wanted = self._wanted(service, topology, policies, snapshot)
        fault = None
        if isinstance(wanted, PolicyFault):
            fault = wanted.problem
            self.faults[service] = self.faults.get(service, 0) + 1
            wanted = current.as_dict()
        measured = self._with_history(service, topology, snapshot, current, now)
        granted = grant(wanted, current, measured, guard_limits(topology))
        target = current if _near(current, granted.shares) else granted.shares
        return _ServiceDraft(limiter.propose(target, now).as_dict(), granted.notes, fault)

    def confirm(self, plan: Plan, topology: Topology, now: float) -> None:
        """Record that the store has accepted a plan.

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
        """Add the shares that the measures may reflect, so that no headroom is used twice."""
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

    def _next(self, topology: Topology, drafts: Mapping[str, _ServiceDraft]) -> Plan:
        return Plan(
            client_region=self.client_region,
            revision=self.base.revision + 1 if self.base else 1,
            planner=self.me,
            configuration_revision=topology.document.revision,
            shares={service: draft.shares for service, draft in drafts.items()},
            notes={service: draft.notes for service, draft in drafts.items()},
            faults={s: draft.fault for s, draft in drafts.items() if draft.fault is not None},
        )


def _near(current: Shares, target: Shares) -> bool:
    """Return whether a change is too small to be made; leaving a region never is."""
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
