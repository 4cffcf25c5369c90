"""Chooses the backend server of a request: selects one, waits for room, takes a grant of its limit.

`ServerChoice` runs these steps in order. A request that waited, or whose server had nothing left of
its rate limit, starts again from the pipeline's first step, so that it uses the current set of
servers. The module relies on `server_order` for the ranking, on `server_selection` and `room` for
the decisions, and on `statements.server_quotas` for the limits that servers state. The tests are in
tests/test_gateway_pipeline.py and tests/test_gateway_server_limits.py.
"""

import asyncio
from typing import Union

from ...crashes.quarantine import Quarantine
from ...resources import Route
from ...statements.server_quotas import ServerQuotas
from ..client_request import ClientRequest, RefusalReason, Selection
from .room import ROOM_RECHECK_INTERVAL_S, queue_position, room_wait_s
from .server_order import Ranking, ServerRanker
from .server_selection import ServerSelector

_MIN_WAIT_S = 0.001
"""Shortest wait for a server that accepts no requests at the moment."""


class ServerChoice:
    """Chooses the backend servers of requests.

    Args:
        ranker: Ranks the servers for an object.
        selector: Selects one server of a ranking.
        quarantine: Requests that crash servers.
        server_quotas: Rate limits that servers state.
    """

    def __init__(
        self,
        ranker: ServerRanker,
        selector: ServerSelector,
        quarantine: Quarantine,
        server_quotas: ServerQuotas,
    ) -> None:
        self.ranker = ranker
        self.selector = selector
        self.quarantine = quarantine
        self.server_quotas = server_quotas

    async def choose(
        self, request: ClientRequest, route: Route, service: str, now: float
    ) -> Union[Selection, RefusalReason, None]:
        """Choose a server, with a grant of its rate limit if it states one; else wait or refuse.

        Args:
            request: The request.
            route: Its route.
            service: Service that handles it.
            now: Monotonic time, in seconds.

        Returns:
            The selection, or the reason for a refusal; None when the request has to start again
            from the first step.
        """
        selection = await self._choose_or_wait(request, route, service, now)
        if not isinstance(selection, Selection):
            return selection
        server = selection.server
        grant = await self.server_quotas.take(server.backend, server.stated)
        if grant is None:
            request.denied_grants += 1
            return None
        return selection._replace(grant=grant)

    async def _choose_or_wait(
        self, request: ClientRequest, route: Route, service: str, now: float
    ) -> Union[Selection, RefusalReason, None]:
        """Choose a server, else wait for room, else refuse.

        Returns:
            The selection, or the reason for a refusal; None when the request has waited and has to
            start again from the first step.
        """
        key = request.key if route.affinity and request.key else request.id
        if self.quarantine.assessment(request).crashes:
            # The fingerprint as the key keeps this request away from the other suspects of a crash,
            # and sends equal requests to the same server.
            key = self.quarantine.fingerprinter.fingerprint_of(request).hex()
        ranking = self.ranker.rank(service, key, route.regions, now)
        selection = self.selector.choose(request, ranking, service, now, route)
        if selection is RefusalReason.NO_SERVER and await self._wait_until_accepted(
            request, route, now
        ):
            return None
        if selection is not RefusalReason.NO_ROOM:
            return selection
        waited = await self._wait_for_room(request, route, ranking, now)
        return None if waited else selection

    async def _wait_until_accepted(self, request: ClientRequest, route: Route, now: float) -> bool:
        """Wait until a server accepts requests again; False when that would take too long.

        This applies only where every server has stated that it accepts none for now.
        """
        until = request.blocked.until if request.blocked else None
        if until is None or until <= now or until - now > room_wait_s(request, route, now):
            return False
        await asyncio.sleep(max(_MIN_WAIT_S, until - now))
        return True

    async def _wait_for_room(
        self, request: ClientRequest, route: Route, ranking: Ranking, now: float
    ) -> bool:
        """Wait for room; False when there is no time left or too many requests wait already."""
        server = self.selector.candidate(request, ranking, now)
        left_s = room_wait_s(request, route, now)
        if server is None or left_s <= 0:
            return False
        position = queue_position(request, route)
        return await server.wait_for_room(min(left_s, ROOM_RECHECK_INTERVAL_S), position)
