"""Chooses the server of a request: select one, wait for one, take one request of its limit.

Owns the order of these steps. A request that waited, or whose server had nothing left of its limit,
looks anew from the pipeline's first step, so that it meets the newest servers. Relies on
`server_order` for the ranking, on `server_selection` and `room` for the decisions, and on
`statements.server_quotas` for servers' limits. Tests: tests/test_gateway_pipeline.py,
tests/test_gateway_server_limits.py.
"""

import asyncio
from typing import Union

from ...crashes.quarantine import Quarantine
from ...resources import Route
from ...statements.server_quotas import ServerQuotas
from ..client_request import ClientRequest, RefusalReason, Selection
from .room import LOOK_AGAIN_S, place_in_queue, room_wait_s
from .server_order import Ranking, ServerRanker
from .server_selection import ServerSelector

_LEAST_WAIT_S = 0.001
"""Least time for which a request waits for a server that takes none now, in seconds."""


class ServerChoice:
    """Chooses servers.

    Args:
        ranker: Orders the servers of an object.
        selector: Selects one of them.
        quarantine: Requests that crash servers, which are kept apart.
        server_quotas: Limits that servers state.
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
        """Choose a server that grants a request where it states a limit, else wait or refuse.

        Args:
            request: The request.
            route: Its route.
            service: Service that handles it.
            now: Monotonic time, in seconds.

        Returns:
            None when the request has to look anew.
        """
        selection = await self._choose_or_wait(request, route, service, now)
        if not isinstance(selection, Selection):
            return selection
        server = selection.server
        grant = await self.server_quotas.take(server.backend, server.stated)
        if grant is None:
            request.vain_asks += 1
            return None
        return selection._replace(grant=grant)

    async def _choose_or_wait(
        self, request: ClientRequest, route: Route, service: str, now: float
    ) -> Union[Selection, RefusalReason, None]:
        """Choose a server, else wait for room, else refuse.

        Returns:
            None when the request has waited and has to look anew.
        """
        key = request.key if route.affinity and request.key else request.id
        if self.quarantine.judgement(request).crashes:
            # Away from the other suspects of a crash, and equal ones to the same server.
            key = self.quarantine.names.fingerprint_of(request).hex()
        ranking = self.ranker.place(service, key, route.regions, now)
        selection = self.selector.choose(request, ranking, service, now, route)
        if selection is RefusalReason.NO_SERVER and await self._wait_for_word(request, route, now):
            return None
        if selection is not RefusalReason.NO_ROOM:
            return selection
        waited = await self._wait_for_room(request, route, ranking, now)
        return None if waited else selection

    async def _wait_for_word(self, request: ClientRequest, route: Route, now: float) -> bool:
        """Wait until the first server takes requests again; False when that is too late.

        Only where all servers take none by their own word.
        """
        until = request.blocked.until if request.blocked else None
        if until is None or until <= now or until - now > room_wait_s(request, route, now):
            return False
        await asyncio.sleep(max(_LEAST_WAIT_S, until - now))
        return True

    async def _wait_for_room(
        self, request: ClientRequest, route: Route, ranking: Ranking, now: float
    ) -> bool:
        """Wait for room; False when there is no time left or too many wait already."""
        server = self.selector.candidate(request, ranking, now)
        left_s = room_wait_s(request, route, now)
        if server is None or left_s <= 0:
            return False
        place = place_in_queue(request, route)
        return await server.wait_for_room(min(left_s, LOOK_AGAIN_S), place)
