"""How long requests of a service take, and how many may therefore wait at a server.

Questions: when is a server overloaded; up to which load does it take another request? Inputs: the
times of answers by service and by server, the routes' latency targets and timeouts, all in seconds,
and the server's slots.

Rules. A server is overloaded when more requests wait for each of its slots than are still answered
within the shortest latency target of its service, at least `OVERLOAD_QUEUE_RATIO` and at most
`_MOST_OVERLOAD_QUEUE_RATIO`. A server takes requests up to one waiting for each slot, as far as it
still answers them within `_TIMEOUT_PART` of the route's timeout. By time and not by a fixed length:
where work takes half the timeout, the same queue that is harmless for short work ends as 504.

Shows in: `load` under `blocked` of the event `request`. Tests: `test_gateway_service_times`,
`test_gateway_server_selection.QueuesThatFit`. Owns the usual times; relies on the configuration's
routes.
"""

from typing import Optional

from ...resources import BackendEntry, RouteConfiguration

OVERLOAD_QUEUE_RATIO = 0.34
"""Waiting requests for each slot beyond which a server is overloaded, unless all are still answered
within their latency target."""

_MOST_OVERLOAD_QUEUE_RATIO = 1.0
"""The same where work is short: one request for each slot."""

_QUEUE_PER_SLOT = 1.0
"""Requests that may wait at a server for each of its slots."""

_TIMEOUT_PART = 0.8
"""Part of a route's timeout in which a request should be answered, those before it included; the
rest is a margin for work that takes longer than usual."""

_WEIGHT = 0.2
"""Weight of the last answer in a service's usual time."""

_LEAST_SAMPLES = 20
"""Answers of a service before its least time is used."""

_LEAST_FALL = 0.95
"""Factor on a service's least time at an answer that took less: it falls fast, as a least time that
is too long refuses what could be served."""

_LEAST_GROWTH = 1.001
"""Factor on it at any other answer. With `_LEAST_FALL` it settles where one answer in 50 takes
less."""


class ServiceTimes:
    """Times of requests by service."""

    def __init__(self) -> None:
        self.typical_s: dict[str, float] = {}
        self.latency_target_s: dict[str, float] = {}
        self._least_s: dict[str, float] = {}
        self._answers: dict[str, int] = {}

    def set_latency_targets(self, configuration: RouteConfiguration) -> None:
        """Use the shortest latency target of each service's routes."""
        self.latency_target_s = {}
        for route in configuration.routes:
            for part in route.parts:
                if route.latency_target_s is not None:
                    held = self.latency_target_s.get(part.service, route.latency_target_s)
                    self.latency_target_s[part.service] = min(held, route.latency_target_s)

    def record_success(self, service: str, seconds: float) -> None:
        """Note an answer and the time it took, waiting included, in seconds."""
        held = self.typical_s.get(service, seconds)
        self.typical_s[service] = held + _WEIGHT * (seconds - held)
        least = self._least_s.get(service, seconds)
        self._least_s[service] = least * (_LEAST_GROWTH if seconds >= least else _LEAST_FALL)
        self._answers[service] = self._answers.get(service, 0) + 1

    def least_s(self, service: str) -> float:
        """Return what nearly all answers of a service take at least, in seconds; 0 if not known."""
        known = self._answers.get(service, 0) >= _LEAST_SAMPLES
        return self._least_s[service] if known else 0.0

    def overload_queue_ratio(self, service: str) -> float:
        """Return how many requests may wait for each slot before a server is overloaded."""
        typical_s = self.typical_s.get(service)
        latency_target_s = self.latency_target_s.get(service)
        if not typical_s or latency_target_s is None:
            return OVERLOAD_QUEUE_RATIO
        fits = latency_target_s / typical_s - 1
        return min(_MOST_OVERLOAD_QUEUE_RATIO, max(OVERLOAD_QUEUE_RATIO, fits))

    def load_limit(
        self, backend: BackendEntry, server_s: Optional[float], timeout_s: Optional[float]
    ) -> float:
        """Return the load up to which a server takes another request of a route, in requests.

        Args:
            backend: The server's entry.
            server_s: Recent mean time of a request at this server, in seconds; None when not known.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        return backend.capacity * self.queue_turns(backend.service, server_s, timeout_s)

    def queue_turns(
        self, service: str, server_s: Optional[float], timeout_s: Optional[float]
    ) -> float:
        """Return how many requests for each slot a server may hold, running and waiting.

        One may wait for each slot, as far as it will still be answered in the route's time when
        all take as long as recent ones.

        Args:
            service: The service.
            server_s: Recent mean time of a request at this server, in seconds; None when not known.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        typical_s = server_s or self.typical_s.get(service)
        queue_turns = 1 + _QUEUE_PER_SLOT
        if timeout_s is None or not typical_s:
            return queue_turns
        return min(queue_turns, max(1.0, _TIMEOUT_PART * timeout_s / typical_s))


def is_overloaded(waiting: int, slots: int, overload_queue_ratio: float) -> bool:
    """Return whether too many requests wait at a server.

    Args:
        waiting: Requests that wait there.
        slots: Requests that it works on at once.
        overload_queue_ratio: Waiting requests for each slot beyond which it is overloaded.
    """
    return waiting > overload_queue_ratio * slots
