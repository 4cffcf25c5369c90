"""Admission: which of an object's servers gets a request now, or why none does.

A request waits or is refused rather than sent to a server that has not seen its object: such work
takes three times as long and pushes out what that server keeps warm, which sends still more
requests astray. A server that cannot be used at all gives its objects to the next in their order.
One without a free slot shares them with that same next one, as long as it has slots to spare.
"""

from typing import Union

from ..resources import Route
from ..servers.backend_registry import ServerBook
from ..servers.backend_server import Server
from ..servers.outliers import Outliers
from .client_request import Blocked, Call, Chosen, Refused
from .server_order import Placement

_FREE_PART = 0.5
"""Part of its slots below which a server has some to spare for another of its region."""

_IDLE_PART = 0.34
"""Part of its slots below which it helps a server of another region that has no room at all."""


class Admission:
    """Bounds what is sent to each backend server, without asking anybody.

    Args:
        book: Backend servers.
        outliers: Servers that are slow or fail while others are not.
    """

    def __init__(self, book: ServerBook, outliers: Outliers) -> None:
        self.book = book
        self.outliers = outliers

    def choose(
        self, call: Call, placement: Placement, service: str, now: float, route: Route
    ) -> Union[Chosen, Refused]:
        """Choose the server of a request: the first of its object that can be used.

        Args:
            call: The request.
            placement: Its servers.
            service: Its service.
            now: Monotonic time, in seconds.
            route: Its route.
        """
        server = self.candidate(call, placement, now)
        if server is None:
            call.blocked = Blocked("")
            return Refused.NO_SERVER
        room = not server.more_urgent_waits(route.priority) and self._has_room(server, now, route)
        if not room or server.load(now) >= server.backend.capacity:
            helper = self._helper(call, placement, server, now)
            if helper is not None and (not room or self._is_near(helper, placement)):
                return Chosen(helper, service, True)
        if not room:
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

    def _helper(self, call: Call, placement: Placement, full: Server, now: float) -> Server | None:
        """Return the server after a full one in its object's order, if it has slots to spare.

        It is always the same one, so that it soon keeps the object warm too.
        """
        at = placement.servers.index(full) + 1
        if at >= len(placement.servers):
            return None
        server = placement.servers[at]
        if server.backend.id in call.tried() or not self._reachable(server, now):
            return None
        part = _FREE_PART if at < placement.near else _IDLE_PART
        return server if server.load(now) < server.backend.capacity * part else None

    def _is_near(self, server: Server, placement: Placement) -> bool:
        return server in placement.servers[: placement.near]

    def _reachable(self, server: Server, now: float) -> bool:
        if server.paused_until > now or server.silent(now) or self.outliers.ejected(server, now):
            return False
        return not server.cold(now) or server.cold_allowed(now, self.book.cold_allowance(server))

    def _has_room(self, server: Server, now: float, route: Route) -> bool:
        if server.in_flight >= int(server.window):
            return False
        return server.load(now) < self.book.most_load(server, route.timeout_s)


def _blocked(server: Server, now: float) -> Blocked:
    return Blocked(
        server.backend.id,
        server.in_flight,
        round(server.window, 1),
        round(server.load(now), 1),
        round(min(server.told_age_s(now), 1e6), 3),
    )
