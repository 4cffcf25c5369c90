"""Decides the Retry-After of a caller that was refused because a server had no room.

The server's concurrency limit at this VM, divided by the recent mean latency there in seconds, is
the rate at which the server frees slots for this VM. Each refused caller gets the next time at that
rate, in the order of the refusals, between `MIN_RETRY_AFTER_S` and `MAX_RETRY_AFTER_S` from now.
The inputs are the server that had no room, this limit and this latency, and the refusals before
this one. For a server whose latency is not known the range of `final_answer` applies.

Where the servers of a service state their pace, `admission.gate` knows the rate at which room comes
at the whole service, and each kind has an order of its own. The time is then also early enough for
the caller to be served in time.

One time for all callers would bring them back together, and a random time is later than needed for
most and too early for the last ones. The interface of the data halls uses the same schedule
(`sprucewinch.retry`).

The result is seen only in the response header and is not logged. The tests are in
tests/test_gateway_return_times.py.
"""

import random
from collections.abc import Hashable
from typing import Optional

from ....retry import RetryAfterSchedule
from ...servers.backend_registry import BackendRegistry
from .hold_time import MS_PER_S

MIN_RETRY_AFTER_S = 0.1
"""Shortest Retry-After, and the jitter of each one; the data halls' own interface uses the same."""

MAX_RETRY_AFTER_S = 1.0
"""Longest Retry-After. Callers wait for at most a third of their deadline, so a later time would be
of no use to them."""

RECOVERY_RATE_PER_S = 20.0
"""Rate at which callers are told to retry once a server accepts requests again: spread out, and
high enough that the servers' capacity is then used."""

_MAX_KINDS = 1000
"""Largest number of kinds with an order of their own, which bounds memory; beyond it all begin
anew."""


class RetryAfterTimes:
    """Computes the Retry-After of callers that are refused.

    Args:
        registry: Backend servers.
        rng: Source of the jitter.
    """

    def __init__(self, registry: BackendRegistry, rng: random.Random) -> None:
        self.registry = registry
        self.rng = rng
        self.schedules: dict[str, RetryAfterSchedule] = {}
        self.by_route: dict[str, RetryAfterSchedule] = {}
        self._schedules_by_kind: dict[Hashable, RetryAfterSchedule] = {}
        self._generation = -1

    def retry_after_s(self, server_id: str, now: float) -> Optional[float]:
        """Return when the next caller that found no room at a server may retry.

        Args:
            server_id: The server that had no room.
            now: Monotonic time, in seconds.

        Returns:
            Time from now, in seconds; None when the server's latency is not known.
        """
        self._drop_unregistered()
        server = self.registry.servers.get(server_id)
        if server is None or not server.latency_s:
            return None
        rate_per_s = max(1, int(server.concurrency_limit)) / server.latency_s
        return self._schedule(server_id).retry_after_ms(now, rate_per_s) / MS_PER_S

    def retry_after_recovery_s(self, route: str, until: float, now: float) -> float:
        """Return when the next caller may retry that was refused as no server accepts requests.

        Args:
            route: Name of its route.
            until: Monotonic time at which the first server accepts requests again, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            Time from now, in seconds.
        """
        schedule = self.by_route.get(route)
        if schedule is None:
            schedule = self.by_route[route] = self._new_schedule()
        wait_s = schedule.retry_after_ms(now, RECOVERY_RATE_PER_S) / MS_PER_S
        return max(until - now, 0.0) + wait_s

    def retry_after_room_s(
        self, kind: Hashable, rate_per_s: float, latest_s: float, now: float
    ) -> float:
        """Return when the next refused caller of a kind may retry, as room comes at its service.

        Args:
            kind: Names its service and kind; each has an order of its own.
            rate_per_s: Rate at which room comes for this kind at this VM, in requests a second.
            latest_s: Latest time that is of use to the caller, in seconds from now.
            now: Monotonic time, in seconds.

        Returns:
            Time from now, in seconds; never below `MIN_RETRY_AFTER_S`.
        """
        schedule = self._schedules_by_kind.get(kind)
        if schedule is None:
            if len(self._schedules_by_kind) >= _MAX_KINDS:
                self._schedules_by_kind.clear()
            schedule = self._schedules_by_kind[kind] = self._new_schedule()
        latest_ms = max(0.0, latest_s - MIN_RETRY_AFTER_S) * MS_PER_S
        wait_s = schedule.retry_after_ms(now, rate_per_s, latest_ms) / MS_PER_S
        return max(MIN_RETRY_AFTER_S, wait_s)

    def _schedule(self, server_id: str) -> RetryAfterSchedule:
        schedule = self.schedules.get(server_id)
        if schedule is None:
            schedule = self.schedules[server_id] = self._new_schedule()
        return schedule

    def _new_schedule(self) -> RetryAfterSchedule:
        return RetryAfterSchedule(
            self.rng, min_ms=MIN_RETRY_AFTER_S * MS_PER_S, max_ms=MAX_RETRY_AFTER_S * MS_PER_S
        )

    def _drop_unregistered(self) -> None:
        """Drop the schedules of servers that are no longer registered, to bound memory."""
        if self._generation != self.registry.generation:
            self._generation = self.registry.generation
            held = self.registry.servers
            self.by_route.clear()
            self.schedules = {name: s for name, s in self.schedules.items() if name in held}
