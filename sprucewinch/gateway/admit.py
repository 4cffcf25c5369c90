"""Admission: which of an object's servers gets a request now, or why none does.

A request waits or is refused rather than sent to a server that has not seen its object: such work
takes three times as long and pushes out what that server keeps warm, which sends still more
requests astray. Only a server that cannot be used at all, or that is full while the next in its
object's order is nearly idle, gives its objects to the next.
"""

from collections.abc import Callable
from typing import Union

from .call import Blocked, Call, Chosen, Refused
from .place import Placement
from .servers import Server

QUEUE_PER_SLOT = 1.0
"""Requests that may wait at a server for each of its slots."""

_IDLE_PART = 0.34
"""Part of its slots below which a server is nearly idle."""


class Admission:
    """Bounds what is sent to each backend server, without asking anybody.

    Args:
        allowance: Returns how many requests a cold server may get from here in a second.
    """

    def __init__(self, allowance: Callable[[Server], int]) -> None:
        self.allowance = allowance

    def choose(
        self, call: Call, placement: Placement, service: str, now: float, rank: int = 0
    ) -> Union[Chosen, Refused]:
        """Choose the server of a request: the first of its object that can be used.

        Args:
            call: The request.
            placement: Its servers.
            service: Its service.
            now: Monotonic time, in seconds.
            rank: The request's rank, 0 the most urgent.
        """
        server = self.candidate(call, placement, now)
        if server is None:
            call.blocked = Blocked("")
            return Refused.NO_SERVER
        if server.more_urgent_waits(rank) or not self._has_room(server, now):
            following = self._idle_next(call, placement, server, now)
            if following is not None:
                return Chosen(following, service, True)
            call.blocked = _blocked(server, now)
            return Refused.NO_ROOM
        return Chosen(server, service, server is not placement.servers[0])

    def candidate(self, call: Call, placement: Placement, now: float) -> Server | None:
        """Return the server that a request belongs to now; None when it has been everywhere."""
        tried = call.tried()
        untried = [s for s in placement.servers if s.backend.id not in tried]
        for server in untried:
            if self._reachable(server, now):
                return server
        resting = [server for server in untried if not server.cold(now)]
        return resting[0] if resting else None

    def _idle_next(
        self, call: Call, placement: Placement, full: Server, now: float
    ) -> Server | None:
        """Return the server after a full one in its object's order, if it is nearly idle."""
        at = placement.servers.index(full) + 1
        if at >= len(placement.servers):
            return None
        server = placement.servers[at]
        if server.backend.id in call.tried() or not self._reachable(server, now):
            return None
        return server if server.load(now) < server.backend.capacity * _IDLE_PART else None

    def _reachable(self, server: Server, now: float) -> bool:
        if server.paused_until > now or server.silent(now):
            return False
        return not server.cold(now) or server.cold_allowed(now, self.allowance(server))

    def _has_room(self, server: Server, now: float) -> bool:
        if server.in_flight >= int(server.window):
            return False
        return server.load(now) < server.backend.capacity * (1 + QUEUE_PER_SLOT)


def _blocked(server: Server, now: float) -> Blocked:
    return Blocked(
        server.backend.id,
        server.in_flight,
        round(server.window, 1),
        round(server.load(now), 1),
        round(min(server.told_age_s(now), 1e6), 3),
    )
