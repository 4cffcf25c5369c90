"""Division of a route's requests among services, by weight.

An object stays with one service as far as the weights allow, so that it finds its backend servers
warm; the running shares are kept close to the weights by moving some objects' requests.
"""

from ..._hash import hash64
from ..resources import Part, Route

_MOST_OFF = 0.03
"""How far a running share may lie off its weight."""

_SPACE = float(1 << 64)
_HALF_LIFE = 200.0
"""Requests after which an older one counts half."""


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
        """Return the service of a request about an object."""
        wanted = self._by_key(key)
        chosen = wanted if self._off(wanted) <= _MOST_OFF else min(self._weights, key=self._off)
        self._count(chosen)
        return chosen

    def _by_key(self, key: str) -> str:
        at = hash64(f"split|{key}") / _SPACE
        for service, weight in self._weights.items():
            at -= weight
            if at < 0:
                return service
        return next(reversed(self._weights))

    def _off(self, service: str) -> float:
        """Return how far a service's share would lie above its weight after one more request."""
        return (self._counts[service] + 1) / (self._total + 1) - self._weights[service]

    def _count(self, service: str) -> None:
        keep = 1.0 - 1.0 / _HALF_LIFE
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
