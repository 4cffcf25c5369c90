"""Finds the candidate servers of a request and places it on one of them by expected answer time.

The candidates of a request are the first `_LOCAL_CANDIDATES` usable servers of the region that its
object's hash falls into, and the first usable server of each other region that may serve it, all in
the object's own order (`server_order`). `expected_time` decides among them and `region_moves` how
many requests may go to other regions; where the region itself has no usable server, they are not
limited.

The server that an object ranks first in a region is expected to keep it warm, even if this VM has
never sent it the object there: the other VMs of the fleet do. A request of a late server therefore
often does better at the first server of another region than at the next one of its own.

A server that is cold takes only the objects that rank it first, under the limit of
`servers.cold_limit`. It is no candidate for others, as each object would have to be loaded there.

A service whose servers have reported nothing is not placed by expected time: `server_selection`
then selects by load, as for servers that state no pace. Inputs are the request, its ranking, its
first server, the estimates and the time (monotonic, in seconds). Owns nothing. The result shows in
the event `request`. Tests: tests/test_gateway_placement.py, tests/test_gateway_placement_load.py.
"""

import itertools
import math
from collections.abc import Callable, Iterator
from typing import NamedTuple, Optional

from ...estimates.server_estimate import ServerEstimate, ServerEstimates
from ...resources import Route
from ...servers.backend_server import BackendServer
from ..client_request import BlockedReason, ClientRequest
from ..outcome.hold_time import hold_time
from .expected_time import Candidate, TimeLeft, best_candidate, keeps_request, may_take_over
from .region_moves import RegionMoves
from .server_order import Ranking

_LOCAL_CANDIDATES = 3
"""Servers of its region that may take an object's requests: with two alternatives, one of them is
rarely late together with the first one, and the object is warm at few servers."""


class RequestServers(NamedTuple):
    """The servers of one request at a moment.

    Args:
        ranking: Servers of its object, in order of preference.
        first: The first usable server.
        usable: Returns whether a server may get the request and was not tried for it.
        no_room: Returns why a server has no room for the request; None if it has.
        now: Monotonic time, in seconds.
    """

    ranking: Ranking
    first: BackendServer
    usable: Callable[[BackendServer], bool]
    no_room: Callable[[BackendServer], Optional[BlockedReason]]
    now: float

    def take_others(self, server: BackendServer) -> bool:
        """Return whether a server may take objects whose first server is another one."""
        return server is not self.first and not server.cold(self.now) and self.usable(server)


class Placed(NamedTuple):
    """Where a request is to be sent.

    Args:
        server: The server.
        wants_to_move: True if a server in another region is expected to answer it sooner, even if
            the request may not move there.
    """

    server: BackendServer
    wants_to_move: bool = False


class Placement:
    """Places requests by expected answer time.

    Args:
        estimates: Estimates of the servers.
        moves: Limits moves between regions; None for no such moves.
        regions: Region of each data hall.
    """

    def __init__(
        self, estimates: ServerEstimates, moves: Optional[RegionMoves], regions: dict[str, str]
    ) -> None:
        self.estimates = estimates
        self.moves = moves
        self.regions = regions

    def place(
        self, request: ClientRequest, route: Route, servers: RequestServers
    ) -> Optional[Placed]:
        """Return where a request is to be sent; None if its servers have reported nothing.

        Args:
            request: The request.
            route: Its route.
            servers: Its servers.
        """
        ranking, first, now = servers.ranking, servers.first, servers.now
        left = _time_left(request, route, now)
        key = request.key if route.affinity else ""

        def expect(server: BackendServer) -> Candidate:
            estimate = self.estimates.estimate(server.backend, route.name, key, now)
            ranks_first = server.backend.id in ranking.heads and not server.cold(now)
            if ranks_first or not key:
                estimate = _as_warm(estimate)
            remote = self.is_remote(server, ranking)
            # What is known of the first server decides whether it has room; admission checks it.
            known = server is first and math.isfinite(estimate.age_s)
            return Candidate(estimate, known or servers.no_room(server) is None, remote)

        own = expect(first)
        ranks_too_low = first.cold(now) and first is not ranking.servers[0]
        if not ranks_too_low and _has_reported(own) and keeps_request(own, left):
            if self.moves is None or not self.moves.should_move(first.backend.service):
                return Placed(first)
            remote = self._remote_servers(servers)
            return Placed(next((s for s in remote if may_take_over(expect(s), left)), first))
        local = [first, *self._local_servers(servers)]
        if ranks_too_low and len(local) > 1:
            del local[0]
        return self._best(servers, local, expect, left)

    def record(self, servers: RequestServers, placed: Placed) -> None:
        """Count a request that is sent, as one in its region or moved to another one.

        Where the first usable server is in another region, the request had to leave its own region,
        and is not counted.

        Args:
            servers: Servers of the request.
            placed: Where it is sent.
        """
        if self.moves is not None and not self.is_remote(servers.first, servers.ranking):
            service = servers.first.backend.service
            moved = self.is_remote(placed.server, servers.ranking)
            self.moves.record(service, servers.now, wants=placed.wants_to_move, moved=moved)

    def _best(
        self,
        servers: RequestServers,
        local: list[BackendServer],
        expect: Callable[[BackendServer], Candidate],
        left: TimeLeft,
    ) -> Optional[Placed]:
        """Return the best of the local servers and of those of other regions, if any reported."""
        remote = list(self._remote_servers(servers))
        candidates = [expect(server) for server in (*local, *remote)]
        if not any(_has_reported(candidate) for candidate in candidates):
            return None
        best = best_candidate(candidates, left)
        wants = best >= len(local)
        if wants and not self._may_move(servers):
            best = best_candidate(candidates[: len(local)], left)
        return Placed((*local, *remote)[best], wants)

    def _may_move(self, servers: RequestServers) -> bool:
        """Return whether a request may go to another region than the one its object falls into."""
        if self.is_remote(servers.first, servers.ranking):
            return True
        return self.moves is not None and self.moves.may_move(servers.first.backend.service)

    def is_remote(self, server: BackendServer, ranking: Ranking) -> bool:
        """Return whether a server is in another region than the one that an object falls into."""
        return self.regions.get(server.backend.hall) != ranking.region

    def _local_servers(self, servers: RequestServers) -> Iterator[BackendServer]:
        """Return the candidates of the object's region after the first one."""
        local = itertools.islice(servers.ranking.servers, servers.ranking.local_count)
        return itertools.islice(filter(servers.take_others, local), _LOCAL_CANDIDATES - 1)

    def _remote_servers(self, servers: RequestServers) -> Iterator[BackendServer]:
        """Return the first usable server of each region other than the ranking's own."""
        ranking = servers.ranking
        missing = {*self.regions.values()} - {ranking.region}
        for server in itertools.islice(ranking.servers, ranking.local_count, None):
            region = self.regions.get(server.backend.hall, "")
            if region in missing and servers.take_others(server):
                missing.remove(region)
                yield server
            if not missing:
                return


def _as_warm(estimate: ServerEstimate) -> ServerEstimate:
    """Return an estimate for a server that is expected to keep the object warm."""
    if estimate.warm:
        return estimate
    usual_s = estimate.queued_work_s or estimate.work_s
    return estimate._replace(warm=True, work_s=min(estimate.work_s, usual_s))


def _has_reported(candidate: Candidate) -> bool:
    return candidate.estimate.age_s < math.inf


def _time_left(request: ClientRequest, route: Route, now: float) -> TimeLeft:
    """Return the times left for a request; without a latency target, only its hold time counts."""
    hold_s = hold_time(request, route).until - now
    if route.latency_target_s is None:
        return TimeLeft(hold_s, hold_s)
    return TimeLeft(request.arrived_at + route.latency_target_s - now, hold_s)
