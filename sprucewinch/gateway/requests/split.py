"""Rule: which service of a split route gets a request.

Question: which part of the route gets this request? Inputs: the route's parts with their weights,
the object's key. Rule: the object's hash gives its service, unless that service's running share
lies too far above its weight; then the service that lies furthest below its weight gets it.

Why so: an object stays with one service as far as the weights allow, so that it finds its backend
servers warm, and few objects with many requests cannot bend the split. Shares are each VM's own.
Constants: `MAX_SHARE_EXCESS`, `DECAY_REQUESTS`. Shows in: event `request`, by the servers in
`sends`. Tests: tests/test_gateway_routes.py (`SplitShares`).
"""

from ..._hash import hash64
from ..resources import Part, Route

MAX_SHARE_EXCESS = 0.03
"""How far a service's running share may lie above its weight, as a part of all requests."""

DECAY_REQUESTS = 200.0
"""Requests of a route after which an older one counts 1/e (a half after 139)."""

_HASH_SPACE = float(1 << 64)
"""Number of values of the hash, which has 64 bits."""


class SplitBalance:
    """Running shares of one route's parts.

    Args:
        parts: The parts, with positive weights.
    """

    __slots__ = ("parts", "_counts", "_total", "_weights")

    def __init__(self, parts: tuple[Part, ...]) -> None:
        self.parts = parts
        total = sum(part.weight for part in parts)
        self._weights = {part.service: part.weight / total for part in parts}
        self._counts = dict.fromkeys(self._weights, 0.0)
        self._total = 0.0

    def choose(self, key: str) -> str:
        """Return the service of a request for an object, and count the request."""
        wanted = self._by_key(key)
        near_weight = self._excess(wanted) <= MAX_SHARE_EXCESS
        chosen = wanted if near_weight else min(self._weights, key=self._excess)
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
        """Return how far a service's share would lie above its weight after one more request."""
        return (self._counts[service] + 1) / (self._total + 1) - self._weights[service]

    def _count(self, service: str) -> None:
        keep = 1.0 - 1.0 / DECAY_REQUESTS
        for name in self._counts:
            self._counts[name] *= keep
        self._counts[service] += 1
        self._total = self._total * keep + 1


class Splits:
    """The balances of all split routes."""

    def __init__(self) -> None:
        self._balances: dict[str, SplitBalance] = {}

    def service(self, route: Route, key: str) -> str:
        """Return the service that a request on a route goes to."""
        if len(route.parts) == 1:
            return route.parts[0].service
        balance = self._balances.get(route.name)
        if balance is None or balance.parts != route.parts:
            balance = self._balances[route.name] = SplitBalance(route.parts)
        return balance.choose(key)
