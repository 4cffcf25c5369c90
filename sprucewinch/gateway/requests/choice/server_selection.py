"""Selects the backend server of a ranking that a request is sent to, or says why there is none.

The first untried server that is usable gets the request. One that is backed off, silent, ejected or
cold with its allowance used up is skipped, and its objects go to the next one. When no server is
usable, the first untried one is tried all the same that is not cold and has not stated that it
accepts no requests, unless a few were unreachable already. When there is no such server either, the
request is refused, unless a server accepts requests again soon enough to wait for it
(`server_choice`). The inputs are the request with its attempts, its ranking, its route and the time
(monotonic, in seconds).

Where servers report their load and pace, the first usable server is only the first candidate, and
the request is placed among a few of them by expected answer time (`placement`). For services whose
servers report nothing, a server under load spills over to the next one (`spillover`).

The selected server is logged in `sends` of the event `request`, and the values behind a refusal in
`blocked` of a request that was never sent. The tests are in tests/test_gateway_request_rules.py
(`Selections`), tests/test_gateway_server_selection.py (`SilentServers`, `Overload`),
tests/test_gateway_placement.py and tests/test_gateway_outliers.py.
"""

from typing import Optional, Union

from ...estimates.server_estimate import ServerEstimates
from ...resources import Route
from ...servers.backend_registry import BackendRegistry
from ...servers.backend_server import BackendServer
from ...servers.outliers import OutlierDetector
from ...servers.usability import UnusableReason, unusable_reason
from ..client_request import (
    Blocked,
    BlockedReason,
    ClientRequest,
    RefusalReason,
    Selection,
    SelectionReason,
)
from .placement import Placed, Placement, RequestServers
from .region_moves import RegionMoves
from .room import no_room_reason
from .server_order import Ranking
from .spillover import Spillover

MAX_UNREACHABLE_FALLBACKS = 3
"""Number of unreachable servers from which a request tries no further one that is not usable. Each
is likely to be unreachable too, and the caller has to be refused early."""

MAX_DENIED_GRANTS = 4
"""Number of rate-limited servers that may deny one request a grant before it asks no more of them.
Each may cost a round trip to another region, and the caller has to be refused early."""


class ServerSelector:
    """Selects servers from the state held by this VM, without a call to another VM.

    Args:
        registry: Backend servers.
        outliers: Knows which servers are ejected.
        estimates: Estimates of the servers; None to select by load alone.
        moves: Limits moves between regions by expected answer time; None for no such moves.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        outliers: OutlierDetector,
        *,
        estimates: Optional[ServerEstimates] = None,
        moves: Optional[RegionMoves] = None,
    ) -> None:
        self.estimates = estimates
        self.placement = Placement(estimates, moves, registry.regions) if estimates else None
        self.times = registry.times
        self.ejected = outliers.ejected
        self.spillover = Spillover(self._is_usable, outliers.sent_objects.is_warm)
        self.cold_allowance = registry.cold_allowance

    def choose(
        self, request: ClientRequest, ranking: Ranking, service: str, now: float, route: Route
    ) -> Union[Selection, RefusalReason]:
        """Return the server that a request is sent to now, or why there is none.

        On a refusal, the values that decided it are stored in `request.blocked`.

        Args:
            request: The request.
            ranking: Servers of its object, in order of preference.
            service: Its service.
            now: Monotonic time, in seconds.
            route: Its route.
        """
        server = self.candidate(request, ranking, now)
        if server is None:
            request.blocked = Blocked("", until=self._earliest_acceptance(request, ranking, now))
            return RefusalReason.NO_SERVER
        if self.placement is not None:
            servers = self._servers(request, ranking, server, route, now)
            placed = self.placement.place(request, route, servers)
            if placed is not None:
                return self._by_time(placed, request, servers, service)
        return self._by_load(request, ranking, service, server, now, route)

    def _servers(
        self,
        request: ClientRequest,
        ranking: Ranking,
        first: BackendServer,
        route: Route,
        now: float,
    ) -> RequestServers:
        """Return the servers of a request, for its placement by expected answer time."""
        tried_servers = request.tried_servers()

        def usable(server: BackendServer) -> bool:
            untried = server.backend.id not in tried_servers
            return untried and self._is_usable(request, server, now)

        def no_room(server: BackendServer) -> Optional[BlockedReason]:
            return no_room_reason(server, request, route, self.times, now)

        return RequestServers(ranking, first, usable, no_room, now)

    def _by_time(
        self, placed: Placed, request: ClientRequest, servers: RequestServers, service: str
    ) -> Union[Selection, RefusalReason]:
        """Return the selection of a server by expected answer time, or that it has no room."""
        self.placement.record(servers, placed)
        if placed.server is not servers.first:
            return Selection(placed.server, service, SelectionReason.SOONER)
        no_room = servers.no_room(placed.server)
        if no_room is not None:
            request.blocked = _blocked(placed.server, no_room, servers.now)
            return RefusalReason.NO_ROOM
        return _first_usable(placed.server, servers.ranking, service)

    def _by_load(
        self,
        request: ClientRequest,
        ranking: Ranking,
        service: str,
        server: BackendServer,
        now: float,
        route: Route,
    ) -> Union[Selection, RefusalReason]:
        """Return the selection of the first usable server, or of one that it spills over to."""
        no_room = no_room_reason(server, request, route, self.times, now)
        if no_room is not None or server.load(now) >= server.backend.capacity:
            selection = self.spillover.select(request, ranking, service, server, no_room, now)
            if selection is not None:
                return selection
        if no_room is not None:
            request.blocked = _blocked(server, no_room, now)
            return RefusalReason.NO_ROOM
        return _first_usable(server, ranking, service)

    def candidate(
        self, request: ClientRequest, ranking: Ranking, now: float
    ) -> Optional[BackendServer]:
        """Return the first untried server that is usable; None when there is none.

        When none is usable, the first untried one is returned that is not cold and has not stated
        that it accepts no requests, unless `MAX_UNREACHABLE_FALLBACKS` were unreachable.
        """
        tried_servers = request.tried_servers()
        untried = (s for s in ranking.servers if s.backend.id not in tried_servers)
        skipped = []
        for server in untried:
            if self._is_usable(request, server, now):
                return server
            skipped.append(server)
        if len(request.unreachable_attempts()) >= MAX_UNREACHABLE_FALLBACKS:
            return None
        fallbacks = (
            s
            for s in skipped
            if not s.limited_as_cold(now) and declines_until(request, s, now) is None
        )
        return next(fallbacks, None)

    def usable_after(
        self, request: ClientRequest, ranking: Ranking, first: BackendServer, now: float
    ) -> Optional[BackendServer]:
        """Return the next usable server of the ranking's region; None if there is none.

        Args:
            request: The request.
            ranking: Servers of its object, in order of preference.
            first: The server that it was sent to.
            now: Monotonic time, in seconds.
        """
        local_servers = ranking.servers[: ranking.local_count]
        others = (server for server in local_servers if server is not first)
        return next((s for s in others if self._is_usable(request, s, now)), None)

    def awaits_proof(self, request: ClientRequest, ranking: Ranking, now: float) -> bool:
        """Return whether the first untried server is unproven and may get no request yet.

        Args:
            request: The request.
            ranking: Servers of its object, in order of preference.
            now: Monotonic time, in seconds.
        """
        tried_servers = request.tried_servers()
        untried = (s for s in ranking.servers if s.backend.id not in tried_servers)
        first = next(untried, None)
        return (
            first is not None
            and first.unproven(now)
            and unusable_reason(first, now, self.ejected, self.cold_allowance)
            is UnusableReason.COLD
        )

    def _earliest_acceptance(
        self, request: ClientRequest, ranking: Ranking, now: float
    ) -> Optional[float]:
        """Return the earliest time at which a server that stated a pause accepts requests again.

        Returns:
            Monotonic time, in seconds; None when no untried server has stated one.
        """
        tried_servers = request.tried_servers()
        untried = (s for s in ranking.servers if s.backend.id not in tried_servers)
        ends = (declines_until(request, server, now) for server in untried)
        return min((end for end in ends if end is not None), default=None)

    def _is_usable(self, request: ClientRequest, server: BackendServer, now: float) -> bool:
        if declines_until(request, server, now) is not None:
            return False
        return unusable_reason(server, now, self.ejected, self.cold_allowance) is None


def declines_until(request: ClientRequest, server: BackendServer, now: float) -> Optional[float]:
    """Return until when a server has stated that it accepts nothing; None when it may accept.

    A request that several rate-limited servers have denied a grant asks no more of them.

    Args:
        request: The request.
        server: The server.
        now: Monotonic time, in seconds.

    Returns:
        Monotonic time, in seconds.
    """
    until = server.stated.declines_until(now)
    if (
        until is None
        and request.denied_grants >= MAX_DENIED_GRANTS
        and server.stated.is_limited(now)
    ):
        return now
    return until


def _first_usable(server: BackendServer, ranking: Ranking, service: str) -> Selection:
    first = server is ranking.servers[0]
    reason = SelectionReason.FIRST_CHOICE if first else SelectionReason.FIRST_USABLE
    return Selection(server, service, reason)


def _blocked(server: BackendServer, reason: BlockedReason, now: float) -> Blocked:
    return Blocked(
        server.backend.id,
        reason,
        server.in_flight,
        server.concurrency_limit,
        server.load(now),
        server.load_age_s(now),
    )
