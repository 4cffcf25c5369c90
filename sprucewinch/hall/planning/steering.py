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
    """Granted shares of all services for the callers of one region.

    Args:
        client_region: Region of the callers.
        revision: Grows with every plan of this client region.
        planner: Incarnation of the VM that made it.
        configuration_revision: Configuration it was made under.
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
    """The callers and the service that a set of shares is for."""

    client_region: str
    service: str


class Steering:
    """Shares in force at this entry VM.

    Targets are computed when a plan or the configuration changes; a round moves only the shares
    that have not reached their target.

    Attributes:
        limiters: Shift limiter of each set of shares.
        plans: Newest plan by client region.
        answered: Client regions whose look-ups this VM has answered; shares of the others move to
            their target at once, since no caller holds an answer from here.
    """

    def __init__(self) -> None:
        self.limiters: dict[SteeringKey, ShiftLimiter] = {}
        self.plans: dict[str, Plan] = {}
        self.answered: set[str] = set()
        self._targets: dict[SteeringKey, Shares] = {}
        self._topology: Optional[Topology] = None
        self._changed: set[str] = set()

    def offer(self, plan: Plan) -> None:
        """Store a newer plan of a client region; the next tick follows it."""
        self.plans[plan.client_region] = plan
        self._changed.add(plan.client_region)

    def shares(self, client_region: str, service: str) -> Shares:
        """Return the shares in force here.

        Raises:
            KeyError: When the configuration has no such client region or service.
        """
        return self.limiters[SteeringKey(client_region, service)].current

    def tick(self, topology: Topology, now: float) -> None:
        """Follow the configuration and plans, then move all shares towards their targets.

        Args:
            topology: The configuration in force.
            now: Monotonic time, in seconds.
        """
        if topology is not self._topology:
            self._follow(topology, topology.order, now)
            self._topology = topology
        elif self._changed:
            self._follow(topology, self._changed & set(topology.order), now)
        self._changed.clear()
        for key, target in self._targets.items():
            limiter = self.limiters[key]
            if limiter.current is not target:
                limiter.move(target, now)

    def _follow(self, topology: Topology, client_regions: Iterable[str], now: float) -> None:
        keys = [SteeringKey(r, s) for r in client_regions for s in topology.services]
        for key in keys:
            self._targets[key] = self._target(key, topology)
            self._limit(key, topology, now)
        known = {SteeringKey(r, s) for r in topology.order for s in topology.services}
        for gone in self.limiters.keys() - known:
            del self.limiters[gone]
            self._targets.pop(gone, None)

    def _target(self, key: SteeringKey, topology: Topology) -> Shares:
        plan = self.plans.get(key.client_region)
        weights = plan.shares.get(key.service, {}) if plan else {}
        held = self.limiters.get(key)
        if not weights and held is not None and held.current.regions == topology.order:
            return held.current
        return topology.shares_of(weights, key.client_region)

    def _limit(self, key: SteeringKey, topology: Topology, now: float) -> None:
        limit = topology.shift_limit(key.service)
        limiter = self.limiters.get(key)
        if limiter is None or key.client_region not in self.answered:
            limiter = ShiftLimiter(self._targets[key], limit, spent_at=now)
            self.limiters[key] = limiter
        limiter.set_limit(limit)
        if limiter.current.regions != topology.order:
            limiter.reorder(topology.order)
