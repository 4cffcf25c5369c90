"""Admission: which of an object's servers gets a request now, or why none does."""

from typing import Union

from .call import Call, Chosen, Refused
from .place import Placement
from .servers import Server

_MOST_CHOICES = 3
"""How many servers of an object are looked at before it is refused; more would scatter it."""

QUEUE_PER_SLOT = 1.0
"""Requests that may wait at a warm server for each of its slots."""


class Admission:
    """Bounds what is sent to each backend server, without asking anybody.

    Args:
        allowance: Returns how many requests a cold server may get from here in a second.
    """

    def __init__(self, allowance) -> None:
        self.allowance = allowance

    def choose(
        self, call: Call, placement: Placement, service: str, now: float
    ) -> Union[Chosen, Refused]:
        """Choose the server of a request.

        Args:
            call: The request.
            placement: Its servers.
            service: Its service.
            now: Monotonic time, in seconds.
        """
        tried = call.tried()
        untried = [s for s in placement.servers if s.backend.id not in tried]
        if not untried:
            return Refused.NO_SERVER
        ready = [s for s in untried if self._reachable(s, now)]
        first = placement.servers[0]
        for server in (ready or untried)[:_MOST_CHOICES]:
            if self._room(server, now):
                return Chosen(server, service, server is not first)
        return Refused.NO_ROOM

    def _reachable(self, server: Server, now: float) -> bool:
        if server.paused_until > now:
            return False
        return not server.cold(now) or server.cold_allowed(now, self.allowance(server))

    def _room(self, server: Server, now: float) -> bool:
        capacity = server.backend.capacity
        if server.cold(now) and not server.cold_allowed(now, self.allowance(server)):
            return False
        if server.in_flight >= capacity:
            return False
        return server.load(now) < capacity * (1 + QUEUE_PER_SLOT)
