"""What this VM knows of one backend server."""

import asyncio
import bisect
from collections import deque
from typing import NamedTuple, Optional

from ..._hash import hash64
from ..resources import BackendEntry
from .service_times import OVERLOAD_QUEUE_RATIO

_COLD_WINDOW_S = 1.15
"""Window of the cold limit at one VM: a second, and what differs between send and arrival."""

_LOAD_HALF_LIFE_S = 0.6
_SHRINK = 0.7
_SHRINK_PAUSE_S = 0.2
_GROWTH = 0.5
_FIRST_PAUSE_S = 0.5
_MOST_PAUSE_S = 4.0
_LATENCY_WEIGHT = 0.2
_SILENT_S = 0.4
"""Time without any answer after which a server with requests counts as silent, in seconds."""

_SILENT_LATENCIES = 3.0


class Waiter(NamedTuple):
    """A request that waits for room at a backend server.

    Args:
        rank: Its rank, 0 the most urgent.
        turn: Done with True when it may look for room, with False when it lost its place.
    """

    rank: int
    turn: "asyncio.Future[bool]"

    def order(self) -> int:
        """Return what waiting requests are sorted by."""
        return self.rank


class BackendServer:
    """One incarnation of a backend server, as this VM sees it.

    Args:
        backend: The store's entry.
    """

    __slots__ = (
        "_others",
        "_others_at",
        "answered_at",
        "backend",
        "cold_sent_at",
        "cold_until",
        "failures",
        "in_flight",
        "latency_s",
        "gone_at",
        "paused_until",
        "seed",
        "shrunk_at",
        "started",
        "overload_reported_at",
        "waiters",
        "concurrency_limit",
    )

    def __init__(self, backend: BackendEntry) -> None:
        self.backend = backend
        self.seed = hash64(backend.id) & 0xFFFFFFFF
        self.in_flight = 0
        self.cold_until = float("-inf")
        self.cold_sent_at: deque[float] = deque()
        self.paused_until = float("-inf")
        self.failures = 0
        self.latency_s: Optional[float] = None
        self.answered_at = float("-inf")
        self.started: list[float] = []
        self.waiters: list[Waiter] = []
        self.concurrency_limit = float(backend.capacity)
        self.shrunk_at = float("-inf")
        self.gone_at: Optional[float] = None
        self.overload_reported_at = float("-inf")
        self._others = 0.0
        self._others_at = float("-inf")

    def silent(self, now: float) -> bool:
        """Tell whether it holds a request for long and has answered none meanwhile."""
        if not self.started:
            return False
        patience = max(_SILENT_S, _SILENT_LATENCIES * (self.latency_s or 0.0))
        return now - max(self.started[0], self.answered_at) > patience

    def cold(self, now: float) -> bool:
        """Tell whether it still counts as cold."""
        return now < self.cold_until

    def load(self, now: float) -> float:
        """Return the requests that it probably holds now, those of other VMs included."""
        age = max(0.0, self.load_age_s(now))
        return self.in_flight + self._others * 0.5 ** (age / _LOAD_HALF_LIFE_S)

    def load_age_s(self, now: float) -> float:
        """Return the age of its own word on its load, in seconds."""
        return now - self._others_at

    def record_load(
        self,
        running: int,
        waiting: int,
        now: float,
        overload_queue_ratio: float = OVERLOAD_QUEUE_RATIO,
    ) -> bool:
        """Take over what it says of its load.

        Args:
            running: Requests that it runs.
            waiting: Requests that wait there.
            now: Monotonic time, in seconds.
            overload_queue_ratio: Waiting requests for each slot beyond which it is crowded.

        Returns:
            True when it is crowded.
        """
        self.record_reported_load(running, waiting, now)
        crowded = waiting > overload_queue_ratio * self.backend.capacity
        if crowded:
            self.crowded(now)
        else:
            grown = self.concurrency_limit + _GROWTH / self.concurrency_limit
            self.concurrency_limit = min(float(self.backend.capacity), grown)
        return crowded

    def record_reported_load(self, running: int, waiting: int, now: float) -> None:
        """Take over what it said of its load, here or to another VM."""
        self._others = max(0.0, running + waiting - self.in_flight)
        self._others_at = now

    def crowded(self, now: float) -> None:
        """Send it less at a time: too many of its requests wait, those of all VMs together."""
        if now - self.shrunk_at >= _SHRINK_PAUSE_S:
            self.shrunk_at = now
            self.concurrency_limit = max(1.0, self.concurrency_limit * _SHRINK)

    def succeeded(self, seconds: float, now: float) -> None:
        """Note an answer of its own and the time it took."""
        self.answered_at = now
        self.failures = 0
        self.paused_until = float("-inf")
        held = self.latency_s
        self.latency_s = seconds if held is None else held + _LATENCY_WEIGHT * (seconds - held)

    def failed(self, now: float) -> None:
        """Note that it could not be reached or broke off; it rests, longer each time."""
        self.failures += 1
        pause = min(_MOST_PAUSE_S, _FIRST_PAUSE_S * 2 ** (self.failures - 1))
        self.paused_until = now + pause

    def pause(self, until: float) -> None:
        """Leave it alone until some time."""
        self.paused_until = max(self.paused_until, until)

    async def wait_for_room(self, longest_s: float, rank: int) -> bool:
        """Wait until a request here is over; the most urgent goes first, then who came first.

        Args:
            longest_s: Longest wait, in seconds.
            rank: The request's rank, 0 the most urgent.

        Returns:
            False when as many wait as the server has slots and none of them is less urgent, or
            when a more urgent request took the place.
        """
        if len(self.waiters) >= self.backend.capacity and not self._displace(rank):
            return False
        waiter = Waiter(rank, asyncio.get_running_loop().create_future())
        bisect.insort(self.waiters, waiter, key=Waiter.order)
        try:
            async with asyncio.timeout(longest_s):
                return await waiter.turn
        except TimeoutError:
            return True
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def _displace(self, rank: int) -> bool:
        """Let a less urgent request stop waiting, the one that came last; False when none is."""
        last = self.waiters[-1]
        if last.rank <= rank:
            return False
        self.waiters.pop()
        if not last.turn.done():
            last.turn.set_result(False)
        return True

    def wake_next(self) -> None:
        """Let the most urgent waiting request look for room."""
        while self.waiters:
            turn = self.waiters.pop(0).turn
            if not turn.done():
                turn.set_result(True)
                return

    def more_urgent_waits(self, rank: int) -> bool:
        """Tell whether a request that is more urgent than a rank waits for room here."""
        return bool(self.waiters) and self.waiters[0].rank < rank

    def cold_allowed(self, now: float, allowance: int) -> bool:
        """Tell whether one more request may be sent while it is cold."""
        while self.cold_sent_at and self.cold_sent_at[0] <= now - _COLD_WINDOW_S:
            self.cold_sent_at.popleft()
        return len(self.cold_sent_at) < allowance
