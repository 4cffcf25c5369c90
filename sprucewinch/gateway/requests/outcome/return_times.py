"""Rule: when a caller that met no room may return.

Question: what does the Retry-After of a refused request say? Inputs: the server that had no room,
this VM's concurrency limit there, the recent mean time of a request there in seconds, the refusals
before this one. Rule: limit divided by time is the rate at which the server frees room for this VM;
each refused caller gets the next moment at that rate, in the order of the refusals, at least
`LEAST_RETURN_S` and at most `MOST_RETURN_S` from now. Nothing is said of a server whose times are
not known; then the range of `final_answer` holds.

Why so: one time for all brings them back together, and a random one is later than needed for most
and too soon for the last. The own interface has the same schedule (`sprucewinch.retry`).

Constants: `LEAST_RETURN_S`, `MOST_RETURN_S`. Shows in: the header; no line. Tests:
tests/test_gateway_return_times.py.
"""

import random
from typing import Optional

from ....retry import RetryAfterSchedule
from ...servers.backend_registry import BackendRegistry
from .hold_time import MS_PER_S

LEAST_RETURN_S = 0.1
"""Shortest time until a refused caller returns, in seconds, and the spread of each return. That of
the own interface."""

MOST_RETURN_S = 1.0
"""Longest time until a refused caller returns, in seconds: callers wait a third of their time at
most, so a later moment would be lost on them."""

UNKNOWN_RATE_PER_S = 20.0
"""Rate at which callers return after all servers took nothing, in requests a second: one after the
other, and soon enough that what the servers take then is used."""


class RetryAfterTimes:
    """Gives callers refused for one server the moments at which it frees room.

    Args:
        registry: Backend servers.
        rng: Spreads the returns.
    """

    def __init__(self, registry: BackendRegistry, rng: random.Random) -> None:
        self.registry = registry
        self.rng = rng
        self.schedules: dict[str, RetryAfterSchedule] = {}
        self._routes: dict[str, RetryAfterSchedule] = {}
        self._generation = -1

    def retry_after_s(self, server_id: str, now: float) -> Optional[float]:
        """Return when the next caller refused for a server may return; None when not known.

        Args:
            server_id: The server that had no room.
            now: Monotonic time, in seconds.

        Returns:
            Time from now, in seconds.
        """
        self._drop_gone()
        server = self.registry.servers.get(server_id)
        if server is None or not server.latency_s:
            return None
        rate_per_s = max(1, int(server.concurrency_limit)) / server.latency_s
        return self._schedule(server_id).retry_after_ms(now, rate_per_s) / MS_PER_S

    def after_s(self, route: str, until: float, now: float) -> float:
        """Return when the next caller may return that was refused as no server takes requests.

        Args:
            route: Name of its route.
            until: Monotonic time at which the first server takes one again, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            Time from now, in seconds.
        """
        schedule = self._routes.get(route)
        if schedule is None:
            schedule = self._routes[route] = self._new_schedule()
        wait_s = schedule.retry_after_ms(now, UNKNOWN_RATE_PER_S) / MS_PER_S
        return max(until - now, 0.0) + wait_s

    def _schedule(self, server_id: str) -> RetryAfterSchedule:
        schedule = self.schedules.get(server_id)
        if schedule is None:
            schedule = self.schedules[server_id] = self._new_schedule()
        return schedule

    def _new_schedule(self) -> RetryAfterSchedule:
        return RetryAfterSchedule(
            self.rng, min_ms=LEAST_RETURN_S * MS_PER_S, max_ms=MOST_RETURN_S * MS_PER_S
        )

    def _drop_gone(self) -> None:
        """Drop the schedules of servers that are gone, so that memory is bounded."""
        if self._generation != self.registry.generation:
            self._generation = self.registry.generation
            held = self.registry.servers
            self._routes.clear()
            self.schedules = {name: s for name, s in self.schedules.items() if name in held}
