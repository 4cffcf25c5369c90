"""How long a request will probably take: learnt times of warm and cold work, and of waiting.

A backend server that has lately seen an object works on it several times as fast. Which objects it
has seen is known from this machine's own answers only, so the guess errs towards cold.
"""

from .servers import Server

_STEP = 0.03
_WARM_QUANTILE = 0.4
_COLD_QUANTILE = 0.4
_FIRST_GUESS_S = 0.1
_WARM_PART = 0.35
"""Warm work as a part of cold work, until either is measured."""


class WorkTimes:
    """Learnt times of one service, in seconds."""

    __slots__ = ("cold_s", "warm_s")

    def __init__(self) -> None:
        self.cold_s = 0.0
        self.warm_s = 0.0

    def learn(self, seconds: float, *, seen: bool) -> None:
        """Learn from an answer.

        Args:
            seconds: How long it took.
            seen: True when its server had seen the object.
        """
        if seen:
            self.warm_s = _towards(self.warm_s, seconds, _WARM_QUANTILE)
        else:
            self.cold_s = _towards(self.cold_s, seconds, _COLD_QUANTILE)

    def work_s(self, *, seen: bool) -> float:
        """Return the probable time of work on an object."""
        cold = self.cold_s or (self.warm_s / _WARM_PART) or _FIRST_GUESS_S
        return (self.warm_s or cold * _WARM_PART) if seen else max(cold, self.warm_s)


class Expectation:
    """Learnt times of all services."""

    def __init__(self) -> None:
        self.by_service: dict[str, WorkTimes] = {}

    def times(self, service: str) -> WorkTimes:
        """Return the learnt times of a service."""
        times = self.by_service.get(service)
        if times is None:
            times = self.by_service[service] = WorkTimes()
        return times

    def seconds(self, server: Server, key: str, now: float) -> float:
        """Return how long a request about an object would probably take at a server."""
        times = self.times(server.backend.service)
        capacity = server.backend.capacity
        waiting = max(0.0, server.load(now) + 1 - capacity)
        mean = server.latency_s or times.work_s(seen=True)
        mean = min(mean, times.work_s(seen=False))
        return waiting / capacity * mean + times.work_s(seen=server.has_seen(key))


def _towards(estimate: float, value: float, quantile: float) -> float:
    """Move an estimate of a quantile towards a value."""
    if estimate <= 0:
        return value
    if value > estimate:
        return estimate * (1 + _STEP * quantile)
    return estimate * (1 - _STEP * (1 - quantile))
