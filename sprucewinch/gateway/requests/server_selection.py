"""Admission: which of an object's servers gets a request now, or why none does.

A request waits or is refused rather than sent to a server that has not seen its object: such work
takes three times as long and pushes out what that server keeps warm, which sends still more
requests astray. A server that cannot be used at all gives its objects to the next in their order.
One without a free slot shares them with that same next one, as long as it has slots to spare.
"""

from typing import Union

from ..resources import Route
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer
from ..servers.outliers import OutlierDetector
from ..servers.usability import unusable_reason
from .client_request import Blocked, ClientRequest, RefusalReason, Selection
from .server_order import Ranking

_FREE_PART = 0.5
"""Part of its slots below which a server has some to spare for another of its region."""

_IDLE_PART = 0.34
"""Part of its slots below which it helps a server of another region that has no room at all."""


class ServerSelector:
    """Bounds what is sent to each backend server, without asking anybody.

    Args:
        registry: Backend servers.
        outliers: Servers that are slow or fail while others are not.
    """

    def __init__(self, registry: BackendRegistry, outliers: OutlierDetector) -> None:
        self.registry = registry
        self.outliers = outliers

    def choose(
        self, request: ClientRequest, ranking: Ranking, service: str, now: float, route: Route
    ) -> Union[Selection, RefusalReason]:
        """Choose the server of a request: the first of its object that can be used.

        Args:
            request: The request.
            ranking: Its servers.
            service: Its service.
            now: Monotonic time, in seconds.
            route: Its route.
        """
        server = self.candidate(request, ranking, now)
        if server is None:
            request.blocked = Blocked("")
            return RefusalReason.NO_SERVER
        room = not server.more_urgent_waits(route.priority) and self._has_room(server, now, route)
        if not room or server.load(now) >= server.backend.capacity:
            helper = self._helper(request, ranking, server, now)
            if helper is not None and (not room or self._is_near(helper, ranking)):
                return Selection(helper, service, True)
        if not room:
            request.blocked = _blocked(server, now)
            return RefusalReason.NO_ROOM
        return Selection(server, service, server is not ranking.servers[0])

    def candidate(
        self, request: ClientRequest, ranking: Ranking, now: float
    ) -> BackendServer | None:
        """Return the server that a request belongs to now; None when it has been everywhere."""
        tried_servers = request.tried_servers()
        untried = [s for s in ranking.servers if s.backend.id not in tried_servers]
        for server in untried:
            if self._reachable(server, now):
                return server
        resting = [server for server in untried if not server.cold(now)]
        return resting[0] if resting else None

    def _helper(
        self, request: ClientRequest, ranking: Ranking, full: BackendServer, now: float
    ) -> BackendServer | None:
        """Return the server after a full one in its object's order, if it has slots to spare.

        It is always the same one, so that it soon keeps the object warm too.
        """
        at = ranking.servers.index(full) + 1
        if at >= len(ranking.servers):
            return None
        server = ranking.servers[at]
        if server.backend.id in request.tried_servers() or not self._reachable(server, now):
            return None
        part = _FREE_PART if at < ranking.near else _IDLE_PART
        return server if server.load(now) < server.backend.capacity * part else None

    def _is_near(self, server: BackendServer, ranking: Ranking) -> bool:
        return server in ranking.servers[: ranking.near]

    def _reachable(self, server: BackendServer, now: float) -> bool:
        allowance = self.registry.cold_limit.allowance
        return unusable_reason(server, now, self.outliers.ejected, allowance) is None

    def _has_room(self, server: BackendServer, now: float, route: Route) -> bool:
        if server.in_flight >= int(server.concurrency_limit):
            return False
        limit = self.registry.times.load_limit(server.backend, server.latency_s, route.timeout_s)
        return server.load(now) < limit


def _blocked(server: BackendServer, now: float) -> Blocked:
    return Blocked(
        server.backend.id,
        server.in_flight,
        round(server.concurrency_limit, 1),
        round(server.load(now), 1),
        round(min(server.load_age_s(now), 1e6), 3),
    )
