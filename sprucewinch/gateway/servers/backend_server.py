"""What this VM knows of one backend server.

Owns the store's entry, this VM's requests in flight, the times of answers, and one object for each
rule: load, pace and concurrency limit, back-off, the queue for room, sends while cold. The rules
and their limits are in the modules of those objects; nothing is decided here.
"""

from typing import Optional

from ..._hash import hash64
from ..resources import BackendEntry
from ..statements.process_statements import ProcessStatements
from .backoff import Backoff, is_silent
from .capacity.load import ConcurrencyLimit, LoadEstimate
from .capacity.pace import PaceEstimate
from .capacity.room_queue import QueuePosition, RoomQueue
from .capacity.service_times import OVERLOAD_QUEUE_RATIO, is_overloaded
from .capacity.usual_load import UsualLoad
from .cold_limit import ColdSends

_LATENCY_WEIGHT = 0.2
"""Weight of the last answer in the moving average of a server's answer times."""

_SEED_MASK = 0xFFFFFFFF
"""Keeps 32 bits, the length of the seed of the hash that orders servers."""


class BackendServer:
    """One process of a backend server, as this VM sees it.

    Args:
        backend: The store's entry.
    """

    __slots__ = (
        "answered_at",
        "backend",
        "cold_sends",
        "cold_until",
        "doubted_until",
        "drop_at",
        "estimate",
        "in_flight",
        "latency_s",
        "limit",
        "overload_reported_at",
        "pace",
        "backoff",
        "room",
        "seed",
        "started",
        "stated",
        "unproven_until",
        "usual_load",
    )

    def __init__(self, backend: BackendEntry) -> None:
        self.backend = backend
        self.stated = ProcessStatements()
        self.seed = hash64(backend.id) & _SEED_MASK
        self.in_flight = 0
        self.started: list[float] = []
        self.answered_at = float("-inf")
        self.latency_s: Optional[float] = None
        self.cold_until = float("-inf")
        self.doubted_until = float("-inf")
        self.unproven_until = float("-inf")
        self.drop_at: Optional[float] = None
        self.overload_reported_at = float("-inf")
        self.cold_sends = ColdSends()
        self.estimate = LoadEstimate()
        self.usual_load = UsualLoad()
        self.pace = PaceEstimate()
        self.limit = ConcurrencyLimit(backend.capacity)
        self.backoff = Backoff()
        self.room = RoomQueue()

    @property
    def leaving(self) -> bool:
        """Return whether it is leaving, by its entry or by its own statement."""
        return self.backend.draining or self.stated.leaving_since is not None

    @property
    def backoff_until(self) -> float:
        """Return the monotonic time at which its back-off ends, in seconds."""
        return self.backoff.until

    @property
    def concurrency_limit(self) -> float:
        """Return how many requests this VM may have there at once."""
        return self.limit.value

    def silent(self, now: float) -> bool:
        """Return whether it holds requests and has not answered any for long; see `backoff`."""
        return bool(self.started) and is_silent(
            self.started[0], self.answered_at, self.latency_s, now
        )

    def cold(self, now: float) -> bool:
        """Return whether it still counts as cold."""
        return now < self.cold_until

    def doubted(self, now: float) -> bool:
        """Return whether it may have turned cold without this VM's knowledge."""
        return now < self.doubted_until

    def unproven(self, now: float) -> bool:
        """Return whether this process started a moment ago and knows its entry alone."""
        return now < self.unproven_until

    def limited_as_cold(self, now: float) -> bool:
        """Return whether it gets no more requests than a cold server bears."""
        return self.cold(now) or self.doubted(now) or self.unproven(now)

    def record_health(self) -> None:
        """Record that this very process has answered a health check."""
        self.doubted_until = self.unproven_until = float("-inf")

    def load(self, now: float) -> float:
        """Return the estimated number of requests that it holds, those of other VMs included."""
        usual = self.usual_load.per_slot(now) * self.backend.capacity
        return self.estimate.load(self.in_flight, now, usual)

    def load_age_s(self, now: float) -> float:
        """Return the age of the last load that it stated, in seconds."""
        return now - self.estimate.recorded_at

    def record_load(
        self,
        running: int,
        waiting: int,
        now: float,
        overload_queue_ratio: float = OVERLOAD_QUEUE_RATIO,
    ) -> bool:
        """Record the load that it states with an answer, and adjust the concurrency limit.

        Args:
            running: Requests that it runs.
            waiting: Requests that wait there.
            now: Monotonic time, in seconds.
            overload_queue_ratio: Waiting requests for each slot beyond which it is overloaded.

        Returns:
            True if it is overloaded.
        """
        self.estimate.record(running + waiting, self.in_flight, now)
        overloaded = is_overloaded(waiting, self.backend.capacity, overload_queue_ratio)
        if overloaded:
            self.limit.decrease(now)
        else:
            self.limit.increase(self.backend.capacity)
        return overloaded

    def record_told_load(self, held: int, pace: Optional[float], at: float) -> bool:
        """Record the load and pace that it stated to another VM, unless newer ones are known.

        Args:
            held: Requests that ran or waited there.
            pace: Its pace; None if it stated none.
            at: Monotonic time of the statement, in seconds.

        Returns:
            True if the load counts.
        """
        own = sum(started < at for started in self.started)
        self.pace.record(pace, at)
        return self.estimate.record_told(held, own, at)

    def record_success(self, seconds: float, now: float) -> None:
        """Record an answer of its own and the time it took, in seconds."""
        self.answered_at = now
        self.backoff.record_success()
        previous = self.latency_s
        self.latency_s = (
            seconds if previous is None else previous + _LATENCY_WEIGHT * (seconds - previous)
        )

    def record_failure(self, now: float) -> None:
        """Record that it could not be reached or broke off, which extends its back-off."""
        self.backoff.record_failure(now)

    def pause(self, until: float) -> None:
        """Send it no requests until a monotonic time, in seconds."""
        self.backoff.extend(until)

    async def wait_for_room(self, max_wait_s: float, position: QueuePosition) -> bool:
        """Wait until a request here ends; the most urgent goes first, then the earliest deadline.

        Args:
            max_wait_s: Longest wait, in seconds.
            position: The request's position among those that wait.

        Returns:
            True if the request may check for room again, as it also may after the longest wait.
        """
        end = await self.room.wait(max_wait_s, position, self.backend.capacity)
        return end.may_check_again

    def has_waiter_ahead_of(self, position: QueuePosition) -> bool:
        """Return whether a request that waits for room here is ahead of a position."""
        return self.room.has_waiter_ahead_of(position)

    def cold_allowed(self, now: float, allowance: int) -> bool:
        """Return whether one more request may be sent while it is cold."""
        return self.cold_sends.allowed(now, allowance)
