"""Which requests wait for room at one backend server, and in which order they get it.

Question: which request looks for room next once one at the server is over? Inputs: a request's
rank (the least is the most urgent), its caller's deadline in monotonic seconds, its longest wait
in seconds, the server's slots.

Rule: as many requests wait as the server has slots; the most urgent goes first, then the one whose
caller gives up first. Callers of a route state the same time when they first try and what is left
of it when they return, so this is the order in which they first came: one that was refused before
stands before those that came after it. Each waits anew after `requests.choice.room.LOOK_AGAIN_S`
and keeps its place, and no request passes one that stands before it (`stands_before`). A request
that finds the queue full takes the place of the last one if that stands behind it, else it does not
wait. One wakes for each request that ends: to wake all would let the last take the room before the
others look. The queue's length is the server's slots, as more would wait for longer than one round
of work.

The result is a `WaitEnd`, which says why a wait ended. Shows in: `blocked` of the event `request`
of a refused request. Tests: `test_gateway_usability.WaitsForRoom`,
`test_gateway_server_selection.Priorities`. Owns the waiting requests; relies on asyncio.
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
    def may_look(self) -> bool:
        """Return whether the request may look for room again."""
        return self in (WaitEnd.WOKEN, WaitEnd.TIMED_OUT)


class Place(NamedTuple):
    """What waiting requests are sorted by.

    Args:
        rank: The request's rank, the least the most urgent.
        deadline: Monotonic time until which its caller waits, in seconds.
    """

    rank: tuple[int, ...]
    deadline: float


class Waiter(NamedTuple):
    """A request that waits for room.

    Args:
        place: Its place among the others.
        turn: Done when it waits no longer, with the cause.
    """

    place: Place
    turn: "asyncio.Future[WaitEnd]"

    def order(self) -> Place:
        """Return what waiting requests are sorted by."""
        return self.place


class RoomQueue:
    """The requests that wait for room at one server, the most urgent first."""

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []

    async def wait(self, longest_s: float, place: Place, most: int) -> WaitEnd:
        """Wait until a request at the server is over.

        Args:
            longest_s: Longest wait, in seconds.
            place: The request's place among those that wait.
            most: Most requests that wait at once.
        """
        if len(self.waiters) >= most and not self._displace(place):
            return WaitEnd.QUEUE_FULL
        waiter = Waiter(place, asyncio.get_running_loop().create_future())
        bisect.insort(self.waiters, waiter, key=Waiter.order)
        try:
            async with asyncio.timeout(longest_s):
                end = await waiter.turn
        except TimeoutError:
            end = WaitEnd.TIMED_OUT
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        return end

    def wake_next(self) -> None:
        """Let the most urgent waiting request look for room."""
        while self.waiters:
            turn = self.waiters.pop(0).turn
            if not turn.done():
                turn.set_result(WaitEnd.WOKEN)
                return

    def stands_before(self, place: Place) -> bool:
        """Return whether a request waits that is more urgent, or as urgent and given up earlier."""
        return bool(self.waiters) and self.waiters[0].place < place

    def _displace(self, place: Place) -> bool:
        """End the wait of the last request if it stands behind a place; False when it does not."""
        last = self.waiters[-1]
        if last.place <= place:
            return False
        self.waiters.pop()
        if not last.turn.done():
            last.turn.set_result(WaitEnd.DISPLACED)
        return True
