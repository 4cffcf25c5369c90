"""Decides whether a server under load spills over to the next one, where servers report no pace.

A server under load spills over to the next one in its object's ranking, always the same one, as
long as that one has spare slots. A server without room does so to a server of any region. One that
has room but no free slot does so only to a server of its own region, and only if that one keeps the
object warm or the busy server has at least half as many requests waiting as it has slots. Otherwise
the request is refused, or it waits (`room`).

A server that does not keep an object warm takes three times as long, and evicts what it does keep
warm, which slows down further requests. Each object therefore has one server and one fixed
spillover server, which soon keeps it warm too (docs/CONSTANTS.md).

The inputs are the request, its ranking, the busy server, why it has no room, and the time
(monotonic, in seconds). Owns nothing. The server is logged in `sends` of the event `request`. The
tests are in tests/test_gateway_request_rules.py (`Selections`) and
tests/test_gateway_server_selection.py (`Overload`).
"""

from collections.abc import Callable
from typing import Optional

from ...servers.backend_server import BackendServer
from ..client_request import BlockedReason, ClientRequest, Selection, SelectionReason
from .server_order import Ranking

MAX_SPILLOVER_UTILIZATION = 0.5
"""Fraction of its slots in use below which a server takes spillover from a server of its region."""

MAX_REMOTE_SPILLOVER_UTILIZATION = 0.34
"""Fraction of its slots in use below which a server takes spillover from a server of another region
that has no room (docs/CONSTANTS.md)."""

MIN_COLD_SPILLOVER_LOAD_PER_SLOT = 1.5
"""Requests per slot of a busy server from which an object spills over to a server that does not
keep it warm. Below that, the wait for a slot is shorter than the extra time of a cold object."""


class Spillover:
    """Selects the server that a busy one spills over to.

    Args:
        is_usable: Returns whether a server may get a request at a monotonic time, in seconds.
        keeps_warm: Returns whether a server, by its id, keeps an object warm at such a time.
    """

    def __init__(
        self,
        is_usable: Callable[[ClientRequest, BackendServer, float], bool],
        keeps_warm: Callable[[str, str, float], bool],
    ) -> None:
        self.is_usable = is_usable
        self.keeps_warm = keeps_warm

    def select(
        self,
        request: ClientRequest,
        ranking: Ranking,
        service: str,
        busy: BackendServer,
        no_room: Optional[BlockedReason],
        now: float,
    ) -> Optional[Selection]:
        """Return the selection of the server that a full or busy one spills over to, if any.

        Args:
            request: The request.
            ranking: Servers of its object, in order of preference.
            service: Its service.
            busy: The server without a free slot.
            no_room: Why that server has no room; None when it has.
            now: Monotonic time, in seconds.
        """
        target = self._target(request, ranking, busy, now)
        if target is None:
            return None
        if no_room is not None:
            return Selection(target, service, SelectionReason.HELPS_FULL)
        same_region = target in ranking.servers[: ranking.local_count]
        if same_region and self._is_sooner_at(target, busy, request, now):
            return Selection(target, service, SelectionReason.SHARES_BUSY)
        return None

    def _is_sooner_at(
        self, target: BackendServer, busy: BackendServer, request: ClientRequest, now: float
    ) -> bool:
        """Return whether another server answers sooner than a busy one that still has room."""
        if not request.key or self.keeps_warm(target.backend.id, request.key, now):
            return True
        return busy.load(now) >= MIN_COLD_SPILLOVER_LOAD_PER_SLOT * busy.backend.capacity

    def _target(
        self, request: ClientRequest, ranking: Ranking, busy: BackendServer, now: float
    ) -> Optional[BackendServer]:
        """Return the server after a busy one in the ranking, if it has spare slots.

        It is always the same server for an object, so that it soon keeps the object warm too.
        """
        at = ranking.servers.index(busy) + 1
        if at >= len(ranking.servers):
            return None
        server = ranking.servers[at]
        if server.backend.id in request.tried_servers() or not self.is_usable(request, server, now):
            return None
        utilization = (
            MAX_SPILLOVER_UTILIZATION
            if at < ranking.local_count
            else MAX_REMOTE_SPILLOVER_UTILIZATION
        )
        return server if server.load(now) < server.backend.capacity * utilization else None
