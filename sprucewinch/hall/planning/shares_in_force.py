"""Shares in force at one entry VM, moved towards the plans under the shift cap.

Owns the newest plan of each client region and one shift limiter for each client region and service.
Relies on `steering.shift` for the cap and on the caller for plans, configuration and time.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Optional

import msgspec

from ...steering.placement import Shares
from ...steering.shift import ShiftLimiter
from .topology import Topology


class Plan(msgspec.Struct, frozen=True):
    """Planned shares of all services for the callers of one region.

    Args:
        client_region: Region of the callers.
        revision: Number that grows with each plan of this client region.
        planner: Incarnation of the VM that made the plan.
        configuration_revision: Revision of the configuration that the plan was made under.
        shares: Weights by service and region.
        notes: Limits that took effect, by service.
        faults: Failure of the policy, by service.
    """

    client_region: str
    revision: int
    planner: str
    configuration_revision: int
    shares: Mapping[str, Mapping[str, float]]
    notes: Mapping[str, tuple[str, ...]] = {}
    faults: Mapping[str, str] = {}


class SteeringKey(NamedTuple):
    """The client region and the service that a set of shares applies to."""

    client_region: str
    service: str


class SharesInForce:
    """Shares in force at this entry VM.

    Targets are computed when a plan or the configuration changes; a tick moves only the shares that
    have not reached their target.

    Attributes:
        limiters: Shift limiter of each set of shares, which holds the shares in force.
        plans: Newest plan by client region.
        answered_regions: Client regions whose look-ups this VM has answered. Shares of the others
            move to their target at once, since no caller has cached an answer of this VM.
    """

    def __init__(self) -> None:
        self.limiters: dict[SteeringKey, ShiftLimiter] = {}
        self.plans: dict[str, Plan] = {}
        self.answered_regions: set[str] = set()
        self._targets: dict[SteeringKey, Shares] = {}
        self._topology: Optional[Topology] = None
        self._replanned: set[str] = set()

    def set_plan(self, plan: Plan) -> None:
        """Store a newer plan of a client region; the next tick applies it."""
        self.plans[plan.client_region] = plan
        self._replanned.add(plan.client_region)

    def shares(self, client_region: str, service: str) -> Shares:
        """Return the shares in force here.

        Raises:
            KeyError: When the configuration has no such client region or service.
        """
        return self.limiters[SteeringKey(client_region, service)].current

    def tick(self, topology: Topology, now: float) -> None:
        """Apply changes of the configuration and of plans, then move shares to their targets.

        Args:
            topology: The configuration in force.
            now: Monotonic time, in seconds.
        """
        if topology is not self._topology:
            self._update_targets(topology, topology.order, now)
            self._topology = topology
        elif self._replanned:
            self._update_targets(topology, self._replanned & set(topology.order), now)
        self._replanned.clear()
        for key, target in self._targets.items():
            limiter = self.limiters[key]
            if limiter.current is not target:
                limiter.move(target, now)

    def _update_targets(
        self, topology: Topology, client_regions: Iterable[str], now: float
    ) -> None:
        keys = [SteeringKey(r, s) for r in client_regions for s in topology.services]
        for key in keys:
            self._targets[key] = self._target_shares(key, topology)
            self._update_limiter(key, topology, now)
        known = {SteeringKey(r, s) for r in topology.order for s in topology.services}
        for unknown in self.limiters.keys() - known:
            del self.limiters[unknown]
            self._targets.pop(unknown, None)

    def _target_shares(self, key: SteeringKey, topology: Topology) -> Shares:
        """Return the planned shares.

        Without a plan for the service, the shares in force stay if their regions are unchanged;
        otherwise the client region serves all of its callers.
        """
        plan = self.plans.get(key.client_region)
        weights = plan.shares.get(key.service, {}) if plan else {}
        limiter = self.limiters.get(key)
        if not weights and limiter is not None and limiter.current.regions == topology.order:
            return limiter.current
        return topology.shares_of(weights, key.client_region)

    def _update_limiter(self, key: SteeringKey, topology: Topology, now: float) -> None:
        """Apply a changed cap and list of regions to the limiter of a key.

        A new limiter starts at the target; a region that is not in `answered_regions` gets one each
        time.
        """
        limit = topology.shift_limit(key.service)
        limiter = self.limiters.get(key)
        if limiter is None or key.client_region not in self.answered_regions:
            limiter = ShiftLimiter(self._targets[key], limit, spent_at=now)
            self.limiters[key] = limiter
        limiter.set_limit(limit)
        if limiter.current.regions != topology.order:
            limiter.set_regions(topology.order)
