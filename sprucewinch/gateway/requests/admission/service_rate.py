"""How much work the servers of a service do, and the part of that for this VM.

Each server contributes its slots divided by its pace: a server at which work takes twice as long
has room half as often. The sum, divided by the usual work of a request, is the rate at which room
comes for requests of its kind. This VM has the part of it that is its part of the callers
(`membership.caller_part`, else an even part); `sent_part.FleetPart` corrects what that misses.

Inputs are the offered servers of a service in the regions that a route allows, their estimates,
this VM's part of the callers, and monotonic times in seconds. The sums over all servers are kept
for `_KEPT_S`. They bound what is sent under overload and space the return times of refused callers
(`gate`). Tests: tests/test_gateway_admission_gate.py.
"""

from collections.abc import Callable
from typing import NamedTuple, Optional

from ...estimates.server_estimate import ServerEstimates
from ...estimates.service_room import sum_room
from ...resources import Route
from ...servers.backend_registry import BackendRegistry

_KEPT_S = 0.25
"""Time for which a sum over all servers is used again, in seconds; paces change that often."""

_RECENT_S = 2.0
"""Age up to which a figure says something of a server's load, in seconds."""

_MIN_PACE = 0.05
"""Smallest pace that counts; a smaller one is a fault of an estimate."""


class ServiceCapacity(NamedTuple):
    """What the servers of a service that a route may use bear together.

    Args:
        slots: Their slots, as many as of usual pace would do the same work.
        utilization: Requests that they hold per slot, running and waiting, by recent figures; 0
            without any.
        until: Monotonic time until which the figures are used, in seconds.
    """

    slots: float
    utilization: float
    until: float


class ServiceRates:
    """The rates at which room comes at services.

    Args:
        registry: Backend servers.
        caller_part: Returns this VM's part of all callers; None for an even part.
    """

    __slots__ = ("_capacities", "caller_part", "registry")

    def __init__(
        self, registry: BackendRegistry, caller_part: Optional[Callable[[], float]] = None
    ) -> None:
        self.registry = registry
        self.caller_part = caller_part or self._even_part
        self._capacities: dict[tuple[str, tuple[str, ...]], ServiceCapacity] = {}

    def capacity(
        self, service: str, route: Route, estimates: ServerEstimates, now: float
    ) -> ServiceCapacity:
        """Return what the servers of a service bear together.

        Args:
            service: Name of the service.
            route: Route whose regions may be used.
            estimates: Estimates of its servers.
            now: Monotonic time, in seconds.
        """
        key = (service, route.regions)
        kept = self._capacities.get(key)
        if kept is None or kept.until <= now:
            kept = self._capacities[key] = self._sum(service, route, estimates, now)
        return kept

    def forget(self) -> None:
        """Drop the sums, as services may be gone."""
        self._capacities.clear()

    def _even_part(self) -> float:
        return 1.0 / max(1, self.registry.vm_count())

    def caller_slots(self, capacity: ServiceCapacity) -> float:
        """Return the part of a service's slots that is for the callers of this VM."""
        return capacity.slots * self.caller_part()

    def _sum(
        self, service: str, route: Route, estimates: ServerEstimates, now: float
    ) -> ServiceCapacity:
        found = [
            estimates.estimate(server.backend, route.name, "", now)
            for server in self.registry.offered(service)
            if not route.regions or self.registry.regions.get(server.backend.hall) in route.regions
        ]
        slots = sum(estimate.slots / max(_MIN_PACE, estimate.pace) for estimate in found)
        recent = sum_room((e for e in found if e.age_s <= _RECENT_S), _RECENT_S)
        utilization = recent.utilization if recent.slots else 0.0
        return ServiceCapacity(slots, utilization, now + _KEPT_S)
