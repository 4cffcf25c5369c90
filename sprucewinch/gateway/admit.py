"""Admission: which of an object's servers gets a request now, or why none does."""

from collections.abc import Callable
from typing import Union

from .call import Call, Chosen, Refused
from .expect import Expectation
from .place import Placement
from .servers import Server

QUEUE_PER_SLOT = 1.0
"""Requests that may wait at an object's first server for each of its slots."""

_FREE_PART = 0.7
"""Part of its slots up to which a server takes objects that are not its own: beyond it they would
push out what it keeps warm."""

_NEAR_CHOICES = 3
_FAR_CHOICES = 2
_CLEARLY_SOONER = 0.8


class Admission:
    """Bounds what is sent to each backend server, without asking anybody.

    Args:
        allowance: Returns how many requests a cold server may get from here in a second.
        expectation: Learnt times.
    """

    def __init__(self, allowance: Callable[[Server], int], expectation: Expectation) -> None:
        self.allowance = allowance
        self.expectation = expectation

    def choose(
        self, call: Call, placement: Placement, service: str, aim_s: float, now: float
    ) -> Union[Chosen, Refused]:
        """Choose the server of a request: its object's first, unless another is clearly sooner.

        Args:
            call: The request.
            placement: Its servers.
            service: Its service.
            aim_s: Time within which its answer earns full credit, in seconds.
            now: Monotonic time, in seconds.
        """
        tried = call.tried()
        untried = [s for s in placement.servers if s.backend.id not in tried]
        if not untried:
            return Refused.NO_SERVER
        ready = [s for s in untried if self._reachable(s, now)]
        if not ready:
            paused = [s for s in untried[:_NEAR_CHOICES] if not s.cold(now)]
            ready = paused or []
        if not ready:
            return Refused.NO_ROOM
        first = ready[0]
        first_s = self.expectation.seconds(first, call.key, now)
        if self._has_room(first, now) and first_s <= aim_s:
            return self._chosen(first, placement, service)
        other = self._soonest_free(ready, placement, call.key, now)
        if not self._has_room(first, now):
            return Refused.NO_ROOM if other is None else self._chosen(other, placement, service)
        if other is not None:
            other_s = self.expectation.seconds(other, call.key, now)
            if other_s < first_s * _CLEARLY_SOONER:
                first = other
        return self._chosen(first, placement, service)

    def _chosen(self, server: Server, placement: Placement, service: str) -> Chosen:
        return Chosen(server, service, server is not placement.servers[0])

    def _soonest_free(
        self, ready: list[Server], placement: Placement, key: str, now: float
    ) -> Server | None:
        """Return the server with free slots that would answer first, of the next few."""
        near = [s for s in ready if s in placement.servers[: placement.near]]
        far = [s for s in ready if s not in near]
        others = [*near[1:_NEAR_CHOICES], *far[:_FAR_CHOICES]]
        free = [s for s in others if s is not ready[0] and self._is_free(s, now)]
        return min(free, key=lambda s: self.expectation.seconds(s, key, now), default=None)

    def _reachable(self, server: Server, now: float) -> bool:
        if server.paused_until > now or server.silent(now):
            return False
        return not server.cold(now) or server.cold_allowed(now, self.allowance(server))

    def _has_room(self, server: Server, now: float) -> bool:
        capacity = server.backend.capacity
        if server.in_flight >= capacity:
            return False
        return server.load(now) < capacity * (1 + QUEUE_PER_SLOT)

    def _is_free(self, server: Server, now: float) -> bool:
        return server.load(now) < server.backend.capacity * _FREE_PART
