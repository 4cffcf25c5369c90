"""Orders the requests that wait for room at one backend server.

At most as many requests wait as the server has slots, because more would wait for longer than one
round of work. The order is by rank, where the lowest is the most urgent, then by the caller's
deadline in monotonic seconds. All callers of a route state the same time when they first try and
what is left of it when they return, so the deadline gives the order of first arrival: a request
that was refused before is ahead of those that came after it.

A request that finds the queue full displaces the last one if that is behind it, and is not queued
otherwise. A request that has waited for `requests.choice.room.ROOM_RECHECK_INTERVAL_S` waits again
with the same order, and no request overtakes one that is ahead of it (`has_waiter_ahead_of`). Each
request that ends at the server wakes one waiting request: if all were woken, the last could take
the room before the others check.

The result is a `WaitEnd`, which says why a wait ended; it shows in `blocked` of the event `request`
of a refused request. Owns the waiting requests; relies on asyncio. Tests:
`test_gateway_usability.WaitsForRoom`, `test_gateway_server_selection.Priorities`.
"""

import asyncio
import bisect
import enum
from typing import NamedTuple


class WaitEnd(enum.Enum):
    """Why a wait for room ended."""

    WOKEN = "a request at the server is over"
    TIMED_OUT = "the longest wait is over"
    DISPLACED = "a request that goes before it took the place"
    QUEUE_FULL = "as many wait as the server has slots, and all go before it"

    @property
    def may_check_again(self) -> bool:
        """Return whether the request may check for room again."""
        return self in (WaitEnd.WOKEN, WaitEnd.TIMED_OUT)


class QueuePosition(NamedTuple):
    """What waiting requests are sorted by.

    Args:
        rank: The request's rank; the lowest is the most urgent.
        deadline: Monotonic time until which its caller waits, in seconds.
    """

    rank: tuple[int, ...]
    deadline: float


class Waiter(NamedTuple):
    """A request that waits for room.

    Args:
        position: Its position in the order.
        result: Done when the wait ends, with the cause.
    """

    position: QueuePosition
    result: "asyncio.Future[WaitEnd]"

    def order(self) -> QueuePosition:
        """Return the sort key."""
        return self.position


class RoomQueue:
    """The requests that wait for room at one server, the most urgent first."""

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []

    async def wait(self, max_wait_s: float, position: QueuePosition, max_waiting: int) -> WaitEnd:
        """Wait until a request at the server is over.

        Args:
            max_wait_s: Longest wait, in seconds.
            position: The request's position in the order.
            max_waiting: Maximum number of requests that wait at once.
        """
        if len(self.waiters) >= max_waiting and not self._displace(position):
            return WaitEnd.QUEUE_FULL
        waiter = Waiter(position, asyncio.get_running_loop().create_future())
        bisect.insort(self.waiters, waiter, key=Waiter.order)
        try:
            async with asyncio.timeout(max_wait_s):
                end = await waiter.result
        except TimeoutError:
            end = WaitEnd.TIMED_OUT
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        return end

    def wake_next(self) -> None:
        """Wake the most urgent waiting request, so that it checks for room."""
        while self.waiters:
            result = self.waiters.pop(0).result
            if not result.done():
                result.set_result(WaitEnd.WOKEN)
                return

    def has_waiter_ahead_of(self, position: QueuePosition) -> bool:
        """Return whether a waiting request is more urgent than a position, or has less time."""
        return bool(self.waiters) and self.waiters[0].position < position

    def count_ahead_of(self, position: QueuePosition) -> int:
        """Return how many waiting requests go before a position."""
        return bisect.bisect_left(self.waiters, position, key=Waiter.order)

    def _displace(self, position: QueuePosition) -> bool:
        """End the wait of the last request if it is behind a position; returns whether it was."""
        last = self.waiters[-1]
        if last.position <= position:
            return False
        self.waiters.pop()
        if not last.result.done():
            last.result.set_result(WaitEnd.DISPLACED)
        return True
