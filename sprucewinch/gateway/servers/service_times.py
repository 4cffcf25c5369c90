"""What requests of a service take, what they may take, and how many may wait therefore."""

from typing import Optional

from ..resources import RouteConfiguration

OVERLOAD_QUEUE_RATIO = 0.34
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
        self.typical_s: dict[str, float] = {}
        self.latency_target_s: dict[str, float] = {}

    def set_latency_targets(self, configuration: RouteConfiguration) -> None:
        """Take over the shortest aim of each service's routes."""
        self.latency_target_s = {}
        for route in configuration.routes:
            for part in route.parts:
                if route.latency_target_s is not None:
                    held = self.latency_target_s.get(part.service, route.latency_target_s)
                    self.latency_target_s[part.service] = min(held, route.latency_target_s)

    def answered(self, service: str, seconds: float) -> None:
        """Note an answer and the time it took, waiting included, in seconds."""
        held = self.typical_s.get(service, seconds)
        self.typical_s[service] = held + _WEIGHT * (seconds - held)

    def overload_queue_ratio(self, service: str) -> float:
        """Return how many requests may wait for each slot before a server counts as crowded."""
        typical_s, latency_target_s = (
            self.typical_s.get(service),
            self.latency_target_s.get(service),
        )
        if not typical_s or latency_target_s is None:
            return OVERLOAD_QUEUE_RATIO
        return min(_MOST_CROWDED_PART, max(OVERLOAD_QUEUE_RATIO, latency_target_s / typical_s - 1))

    def queue_turns(
        self, service: str, server_s: Optional[float], timeout_s: Optional[float]
    ) -> float:
        """Return how many requests for each slot a server may hold, running and waiting.

        One may wait for each slot, as far as it will still be answered in the route's time when
        all take as long as those of late.

        Args:
            service: The service.
            server_s: What requests took at this server of late, in seconds; None when not known.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        typical_s = server_s or self.typical_s.get(service)
        queue_turns = 1 + _QUEUE_PER_SLOT
        if timeout_s is None or not typical_s:
            return queue_turns
        return min(queue_turns, max(1.0, _TIMEOUT_PART * timeout_s / typical_s))
