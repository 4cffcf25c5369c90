"""Steering at one entry VM: shares in force here, moved under the shift cap."""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from .placement import Shares
from .shift import ShiftLimiter
from .topology import Topology


class Plan(msgspec.Struct, frozen=True):
    """Granted shares of all services for the callers of one region.

    Args:
        client_region: Region of the callers.
        revision: Grows with every plan of this client region.
        planner: Incarnation that made it.
        configuration_revision: Configuration it was made under.
        shares: Weights by service and region.
        notes: Limits that took effect, by service.
        faults: What went wrong with the policy, by service.
    """

    client_region: str
    revision: int
    planner: str
    configuration_revision: int
    shares: Mapping[str, Mapping[str, float]]
    notes: Mapping[str, tuple[str, ...]] = {}
    faults: Mapping[str, str] = {}


class SteeringKey(NamedTuple):
    """What shares are kept for."""

    client_region: str
    service: str


class Steering:
    """Shares in force at this entry VM."""

    def __init__(self) -> None:
        self.limiters: dict[SteeringKey, ShiftLimiter] = {}
        self.plans: dict[str, Plan] = {}
        self.answered: set[str] = set()

    def offer(self, plan: Plan) -> None:
        """Take over a newer plan of a client region."""
        self.plans[plan.client_region] = plan

    def shares(self, client_region: str, service: str) -> Shares:
        """Return the shares in force here.

        Raises:
            KeyError: When the configuration has no such client region or service.
        """
        return self.limiters[SteeringKey(client_region, service)].current

    def tick(self, topology: Topology, now: float) -> None:
        """Follow the configuration, then move all shares towards their plans.

        Args:
            topology: The configuration in force.
            now: Monotonic time, in seconds.
        """
        keys = {SteeringKey(r, s) for r in topology.order for s in topology.services}
        for gone in self.limiters.keys() - keys:
            del self.limiters[gone]
        for key in keys:
            target = self._target(key, topology)
            limiter = self._limiter(key, topology, target, now)
            limiter.move(target, now)

    def _target(self, key: SteeringKey, topology: Topology) -> Shares:
        plan = self.plans.get(key.client_region)
        weights = plan.shares.get(key.service, {}) if plan else {}
        held = self.limiters.get(key)
        if not weights and held is not None and held.current.regions == topology.order:
            return held.current
        return topology.shares_of(weights, key.client_region)

    def _limiter(
        self, key: SteeringKey, topology: Topology, target: Shares, now: float
    ) -> ShiftLimiter:
        limit = topology.shift_limit(key.service)
        limiter = self.limiters.get(key)
        if limiter is None or key.client_region not in self.answered:
            limiter = ShiftLimiter(target, limit, spent_at=now)
            self.limiters[key] = limiter
        limiter.set_limit(limit)
        if limiter.current.regions != topology.order:
            limiter.reorder(topology.order)
        return limiter
