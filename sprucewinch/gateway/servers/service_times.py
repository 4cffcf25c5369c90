"""What requests of a service take, what they may take, and how many may wait therefore."""

from typing import Optional

from ..resources import RouteConfiguration

CROWDED_PART = 0.34
"""Waiting requests for each slot beyond which a server is crowded, unless all are still answered
within their aim."""

_MOST_CROWDED_PART = 1.0
_QUEUE_PER_SLOT = 1.0
"""Requests that may wait at a server for each of its slots."""

_TIMEOUT_PART = 0.8
"""Part of a route's time in which a request should be answered, those before it included."""

_WEIGHT = 0.2


class ServiceTimes:
    """Times of requests by service."""

    def __init__(self) -> None:
        self.usual_s: dict[str, float] = {}
        self.aim_s: dict[str, float] = {}

    def learn_aims(self, configuration: RouteConfiguration) -> None:
        """Take over the shortest aim of each service's routes."""
        self.aim_s = {}
        for route in configuration.routes:
            for part in route.parts:
                if route.aim_s is not None:
                    held = self.aim_s.get(part.service, route.aim_s)
                    self.aim_s[part.service] = min(held, route.aim_s)

    def answered(self, service: str, seconds: float) -> None:
        """Note an answer and the time it took, waiting included, in seconds."""
        held = self.usual_s.get(service, seconds)
        self.usual_s[service] = held + _WEIGHT * (seconds - held)

    def crowded_part(self, service: str) -> float:
        """Return how many requests may wait for each slot before a server counts as crowded."""
        usual_s, aim_s = self.usual_s.get(service), self.aim_s.get(service)
        if not usual_s or aim_s is None:
            return CROWDED_PART
        return min(_MOST_CROWDED_PART, max(CROWDED_PART, aim_s / usual_s - 1))

    def turns(self, service: str, server_s: Optional[float], timeout_s: Optional[float]) -> float:
        """Return how many requests for each slot a server may hold, running and waiting.

        One may wait for each slot, as far as it will still be answered in the route's time when
        all take as long as those of late.

        Args:
            service: The service.
            server_s: What requests took at this server of late, in seconds; None when not known.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        usual_s = server_s or self.usual_s.get(service)
        turns = 1 + _QUEUE_PER_SLOT
        if timeout_s is None or not usual_s:
            return turns
        return min(turns, max(1.0, _TIMEOUT_PART * timeout_s / usual_s))
