"""How long requests of a service take, and how many may therefore wait at a server.

A server is overloaded when more requests wait for each of its slots than are still answered within
the shortest latency target of its service; the ratio is kept between `OVERLOAD_QUEUE_RATIO` and
`_MAX_OVERLOAD_QUEUE_RATIO`. A server takes requests up to one waiting for each slot, provided that
it still answers them within `_TIMEOUT_FRACTION` of the route's timeout. Both bounds depend on time
and not on a fixed queue length: where work takes half the timeout, a queue that is harmless for
short work ends in 504 responses.

Inputs are the times of answers by service and by server, the latency targets and timeouts of
routes, all in seconds, and the servers' slots. Owns the usual times; relies on the routes of the
configuration. Results show as `load` under `blocked` of the event `request`. Tests:
`test_gateway_service_times`, `test_gateway_server_selection.QueuesThatFit`.
"""

from typing import Optional

from ...resources import BackendEntry, RouteConfiguration

OVERLOAD_QUEUE_RATIO = 0.34
"""Waiting requests for each slot beyond which a server is overloaded, unless all are still answered
within their latency target."""

_MAX_OVERLOAD_QUEUE_RATIO = 1.0
"""The same for work that is short compared with the latency target: one request for each slot."""

_QUEUE_PER_SLOT = 1.0
"""Maximum number of requests that wait at a server for each of its slots."""

_TIMEOUT_FRACTION = 0.8
"""Fraction of a route's timeout within which a request should be answered, the time for those ahead
of it included; the remainder is a margin for work that takes longer than usual."""

_LATENCY_WEIGHT = 0.2
"""Weight of the last answer in the moving average of a service's time."""

_MIN_SAMPLES = 20
"""Answers of a service that are needed before its low quantile is used."""

_LOW_QUANTILE_DECREASE_FACTOR = 0.95
"""Factor on a service's low quantile after an answer that took less: it falls fast, as one that is
too long refuses requests that could be served."""

_LOW_QUANTILE_INCREASE_FACTOR = 1.001
"""Factor on it after any other answer. With `_LOW_QUANTILE_DECREASE_FACTOR` it settles where one
answer in 50 takes less."""


class ServiceTimes:
    """Usual times of requests by service, in seconds."""

    def __init__(self) -> None:
        self.typical_s: dict[str, float] = {}
        self.latency_target_s: dict[str, float] = {}
        self.low_quantiles_s: dict[str, float] = {}
        self.answer_counts: dict[str, int] = {}

    def set_latency_targets(self, configuration: RouteConfiguration) -> None:
        """Take each service's shortest latency target from a configuration's routes."""
        self.latency_target_s = {}
        for route in configuration.routes:
            for part in route.parts:
                if route.latency_target_s is not None:
                    held = self.latency_target_s.get(part.service, route.latency_target_s)
                    self.latency_target_s[part.service] = min(held, route.latency_target_s)

    def record_success(self, service: str, seconds: float) -> None:
        """Record an answer and the time it took, in seconds, waiting included."""
        held = self.typical_s.get(service, seconds)
        self.typical_s[service] = held + _LATENCY_WEIGHT * (seconds - held)
        low_s = self.low_quantiles_s.get(service, seconds)
        self.low_quantiles_s[service] = low_s * (
            _LOW_QUANTILE_INCREASE_FACTOR if seconds >= low_s else _LOW_QUANTILE_DECREASE_FACTOR
        )
        self.answer_counts[service] = self.answer_counts.get(service, 0) + 1

    def low_quantile_s(self, service: str) -> float:
        """Return the time that nearly all answers of a service exceed, in seconds; 0 if unknown."""
        known = self.answer_counts.get(service, 0) >= _MIN_SAMPLES
        return self.low_quantiles_s[service] if known else 0.0

    def overload_queue_ratio(self, service: str) -> float:
        """Return how many requests may wait for each slot before a server is overloaded."""
        typical_s = self.typical_s.get(service)
        latency_target_s = self.latency_target_s.get(service)
        if not typical_s or latency_target_s is None:
            return OVERLOAD_QUEUE_RATIO
        ratio_in_target = latency_target_s / typical_s - 1
        return min(_MAX_OVERLOAD_QUEUE_RATIO, max(OVERLOAD_QUEUE_RATIO, ratio_in_target))

    def load_limit(
        self, backend: BackendEntry, server_s: Optional[float], timeout_s: Optional[float]
    ) -> float:
        """Return the load up to which a server takes another request of a route, in requests.

        Args:
            backend: The server's entry.
            server_s: Recent mean time of a request at this server, in seconds; None if not known.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        return backend.capacity * self.max_load_per_slot(backend.service, server_s, timeout_s)

    def max_load_per_slot(
        self, service: str, server_s: Optional[float], timeout_s: Optional[float]
    ) -> float:
        """Return how many requests for each slot a server may hold, running and waiting.

        One may wait for each slot, provided that it would still be answered within the route's
        timeout if all requests took as long as recent ones.

        Args:
            service: The service.
            server_s: Recent mean time of a request at this server, in seconds; None if not known.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        typical_s = server_s or self.typical_s.get(service)
        max_load_per_slot = 1 + _QUEUE_PER_SLOT
        if timeout_s is None or not typical_s:
            return max_load_per_slot
        return min(max_load_per_slot, max(1.0, _TIMEOUT_FRACTION * timeout_s / typical_s))


def is_overloaded(waiting: int, slots: int, overload_queue_ratio: float) -> bool:
    """Return whether too many requests wait at a server.

    Args:
        waiting: Requests that wait there.
        slots: Requests that it works on at once.
        overload_queue_ratio: Waiting requests for each slot beyond which it is overloaded.
    """
    return waiting > overload_queue_ratio * slots
