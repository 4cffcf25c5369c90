"""Decides which service of a split route handles a request.

A route is split when it has several parts, each with a service and a weight. The hash of the
object's key selects the service, unless that service's running share exceeds its weight by more
than `MAX_SHARE_EXCESS`; then the service that is furthest below its weight is selected.

An object stays with one service as far as the weights allow, so that its backend servers keep it
warm, and a few objects with many requests cannot distort the split. Each VM computes the running
shares from its own requests.

The service is visible in the event `request` by the servers in `sends`. The tests are in
tests/test_gateway_routes.py (`SplitShares`).
"""

from ..._hash import hash64
from ..resources import Route, WeightedService

MAX_SHARE_EXCESS = 0.03
"""Largest excess of a service's running share over its weight, as a fraction of all requests."""

DECAY_REQUESTS = 200.0
"""Number of requests of a route after which an older one has the weight 1/e (a half after 139)."""

_HASH_SPACE = float(1 << 64)
"""Number of values of the 64-bit hash."""


class RunningShares:
    """Running shares of the parts of one route.

    Args:
        parts: The route's parts, with positive weights.
    """

    __slots__ = ("parts", "_counts", "_total", "_weights")

    def __init__(self, parts: tuple[WeightedService, ...]) -> None:
        self.parts = parts
        total = sum(part.weight for part in parts)
        self._weights = {part.service: part.weight / total for part in parts}
        self._counts = dict.fromkeys(self._weights, 0.0)
        self._total = 0.0

    def choose(self, key: str) -> str:
        """Return the service that handles a request for an object, and count the request."""
        wanted = self._by_key(key)
        within_excess = self._excess(wanted) <= MAX_SHARE_EXCESS
        chosen = wanted if within_excess else min(self._weights, key=self._excess)
        self._count(chosen)
        return chosen

    def _by_key(self, key: str) -> str:
        at = hash64(f"split|{key}") / _HASH_SPACE
        for service, weight in self._weights.items():
            at -= weight
            if at < 0:
                return service
        return next(reversed(self._weights))

    def _excess(self, service: str) -> float:
        """Return a service's share minus its weight, as they would be after one more request."""
        return (self._counts[service] + 1) / (self._total + 1) - self._weights[service]

    def _count(self, service: str) -> None:
        keep = 1.0 - 1.0 / DECAY_REQUESTS
        for name in self._counts:
            self._counts[name] *= keep
        self._counts[service] += 1
        self._total = self._total * keep + 1


class Splits:
    """The running shares of all split routes."""

    def __init__(self) -> None:
        self.by_route: dict[str, RunningShares] = {}

    def service(self, route: Route, key: str) -> str:
        """Return the service that handles a request on a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        shares = self.by_route.get(route.name)
        if shares is None or shares.parts != route.parts:
            shares = self.by_route[route.name] = RunningShares(route.parts)
        return shares.choose(key)
