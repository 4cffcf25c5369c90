"""Rule: which backend server of the ranking gets a request now, or why none does.

Question: which server of the ranking gets this request now? Inputs: the request with its attempts,
its ranking, its route, time in monotonic seconds. Rule: the first untried server that can be used;
one that rests, is silent, ejected or cold past its allowance gives its objects to the next. When
none can be used, the first untried one is tried all the same that is not cold and takes requests by
its own word; when there is none, the request is refused until the first takes one. A server without
room shares its objects with the next in their order, always the same one, as long as that one has
slots to spare. One with room but no free slot does so only where the next is of the same region and
keeps the object warm, or half as many wait as there are slots.
Otherwise the request is refused, or waits (`room`).

Why so: work at a server that has not seen its object takes three times as long and pushes out what
that server keeps warm, which makes still more requests slow: look-ups earned 0.609 of their credit
with the soonest free server, 0.748 with two servers an object, 0.768 with one (docs/CONSTANTS.md).
The helper is one fixed server, so that it soon keeps the object warm too.

Constants: `HELPER_FREE_PART`, `HELPER_IDLE_PART`, `SHARE_COLD_TURNS`, each with its ground below
it. Shows in: event `request`, `sends`, and `blocked` of a request that was never sent. Tests:
tests/test_gateway_request_rules.py (`Selections`), tests/test_gateway_server_selection.py
(`SilentServers`, `Overload`), tests/test_gateway_outliers.py.
"""

from typing import Optional, Union

from ...resources import Route
from ...servers.backend_registry import BackendRegistry
from ...servers.backend_server import BackendServer
from ...servers.outliers import OutlierDetector
from ...servers.usability import unusable_reason
from ..client_request import (
    Blocked,
    BlockedReason,
    ClientRequest,
    RefusalReason,
    Selection,
    SelectionReason,
)
from .room import no_room_reason
from .server_order import Ranking

HELPER_FREE_PART = 0.5
"""Part of its slots below which a server has some to spare for another of its region."""

HELPER_IDLE_PART = 0.34
"""Part of its slots below which it helps a server of another region that has no room at all. One
half was no better (docs/CONSTANTS.md)."""

MOST_VAIN_ASKS = 4
"""Servers with a limit that one request asks in vain, one after the other: each may take the time
of a way to another region and back, and its caller is to be refused early."""

SHARE_COLD_TURNS = 1.5
"""Requests for each slot of a busy server from which a helper shares an object that is new to it.
Below that the wait for a slot is shorter than what a new object takes longer."""


class ServerSelector:
    """Selects servers from what this VM knows, without a call to another VM.

    Args:
        registry: Backend servers.
        outliers: Holds which servers are ejected.
    """

    def __init__(self, registry: BackendRegistry, outliers: OutlierDetector) -> None:
        self.times = registry.times
        self.ejected = outliers.ejected
        self.keeps_warm = outliers.sent_objects.is_warm
        self.cold_allowance = registry.cold_limit.allowance

    def choose(
        self, request: ClientRequest, ranking: Ranking, service: str, now: float, route: Route
    ) -> Union[Selection, RefusalReason]:
        """Return the server that gets a request now, or why none does.

        A refusal leaves its inputs in `request.blocked`.

        Args:
            request: The request.
            ranking: Its servers.
            service: Its service.
            now: Monotonic time, in seconds.
            route: Its route.
        """
        server = self.candidate(request, ranking, now)
        if server is None:
            request.blocked = Blocked("", until=self._first_return(request, ranking, now))
            return RefusalReason.NO_SERVER
        no_room = no_room_reason(server, request, route, self.times, now)
        if no_room is not None or server.load(now) >= server.backend.capacity:
            helped = self._help(request, ranking, service, server, no_room, now)
            if helped is not None:
                return helped
        if no_room is not None:
            request.blocked = _blocked(server, no_room, now)
            return RefusalReason.NO_ROOM
        first = server is ranking.servers[0]
        reason = SelectionReason.FIRST_CHOICE if first else SelectionReason.FIRST_USABLE
        return Selection(server, service, reason)

    def candidate(
        self, request: ClientRequest, ranking: Ranking, now: float
    ) -> Optional[BackendServer]:
        """Return the first untried server that can be used; None when there is none."""
        tried_servers = request.tried_servers()
        untried = [s for s in ranking.servers if s.backend.id not in tried_servers]
        for server in untried:
            if self._reachable(request, server, now):
                return server
        resting = [s for s in untried if not s.cold(now) and refused_until(request, s, now) is None]
        return resting[0] if resting else None

    def _first_return(
        self, request: ClientRequest, ranking: Ranking, now: float
    ) -> Optional[float]:
        """Return when the first server takes requests again that takes none by its own word.

        None when there is no such server.
        """
        tried_servers = request.tried_servers()
        untried = (s for s in ranking.servers if s.backend.id not in tried_servers)
        ends = (refused_until(request, server, now) for server in untried)
        return min((end for end in ends if end is not None), default=None)

    def _help(
        self,
        request: ClientRequest,
        ranking: Ranking,
        service: str,
        busy: BackendServer,
        no_room: Optional[BlockedReason],
        now: float,
    ) -> Optional[Selection]:
        """Return the selection of the helper of a full or busy server; None when none helps."""
        helper = self._helper(request, ranking, busy, now)
        if helper is None:
            return None
        if no_room is not None:
            return Selection(helper, service, SelectionReason.HELPS_FULL)
        near = helper in ranking.servers[: ranking.near]
        if near and self._is_sooner_at(helper, busy, request, now):
            return Selection(helper, service, SelectionReason.SHARES_BUSY)
        return None

    def _is_sooner_at(
        self, helper: BackendServer, busy: BackendServer, request: ClientRequest, now: float
    ) -> bool:
        """Return whether a helper answers sooner than a busy server that still has room."""
        if not request.key or self.keeps_warm(helper.backend.id, request.key, now):
            return True
        return busy.load(now) >= SHARE_COLD_TURNS * busy.backend.capacity

    def _helper(
        self, request: ClientRequest, ranking: Ranking, busy: BackendServer, now: float
    ) -> Optional[BackendServer]:
        """Return the server after a busy one in the ranking, if it has slots to spare.

        It is always the same one, so that it soon keeps the object warm too.
        """
        at = ranking.servers.index(busy) + 1
        if at >= len(ranking.servers):
            return None
        server = ranking.servers[at]
        if server.backend.id in request.tried_servers() or not self._reachable(
            request, server, now
        ):
            return None
        part = HELPER_FREE_PART if at < ranking.near else HELPER_IDLE_PART
        return server if server.load(now) < server.backend.capacity * part else None

    def _reachable(self, request: ClientRequest, server: BackendServer, now: float) -> bool:
        if refused_until(request, server, now) is not None:
            return False
        return unusable_reason(server, now, self.ejected, self.cold_allowance) is None


def refused_until(request: ClientRequest, server: BackendServer, now: float) -> Optional[float]:
    """Return until when a server takes nothing by its own word; None when it may take a request.

    A request that has asked for room in the limits of several servers asks for no more of them.

    Args:
        request: The request.
        server: The server.
        now: Monotonic time, in seconds.
    """
    until = server.stated.refused_until(now)
    if until is None and request.vain_asks >= MOST_VAIN_ASKS and server.stated.is_limited(now):
        return now
    return until


def _blocked(server: BackendServer, reason: BlockedReason, now: float) -> Blocked:
    return Blocked(
        server.backend.id,
        reason,
        server.in_flight,
        server.concurrency_limit,
        server.load(now),
        server.load_age_s(now),
    )
