"""Chooses the backend server of a request: selects one, waits for room, takes a grant of its limit.

`ServerChoice` runs these steps in order. A request that waited, or whose server had nothing left of
its rate limit, starts again from the pipeline's first step, so that it uses the current set of
servers. Where the selected server states its pace, admission decides whether the request is sent,
waits or is refused; elsewhere the selection itself does, by the limits of `room`. The module relies
on `server_order` for the ranking, on `server_selection`, `admission.gate` and `room` for the
decisions, and on `statements.server_quotas` for the limits that servers state. The tests are in
tests/test_gateway_pipeline.py, tests/test_gateway_server_limits.py and
tests/test_gateway_admission_gate.py.
"""

import asyncio
from typing import Optional, Union

from ...crashes.quarantine import Quarantine
from ...resources import Route
from ...servers.backend_server import BackendServer
from ...servers.capacity.room_queue import WaitEnd
from ...statements.server_quotas import ServerGrant, ServerQuotas
from ..admission.gate import AdmissionGate, RoomRequest
from ..client_request import (
    Blocked,
    BlockedReason,
    ClientRequest,
    RefusalReason,
    Selection,
    SelectionReason,
)
from ..outcome.hold_time import hold_time
from .room import ROOM_RECHECK_INTERVAL_S, queue_position, room_wait_s
from .server_order import Ranking, ServerRanker
from .server_selection import ServerSelector

_MIN_WAIT_S = 0.001
"""Shortest wait for a server that accepts no requests at the moment."""

_MAX_PROOF_WAIT_S = 0.3
"""Longest time after its arrival for which a request waits until servers are proven, in seconds."""

_PROOF_POLL_INTERVAL_S = 0.02
"""Time between two looks of a request that waits until servers are proven, in seconds."""


class ServerChoice:
    """Chooses the backend servers of requests.

    Args:
        ranker: Ranks the servers for an object.
        selector: Selects one server of a ranking.
        quarantine: Requests that crash servers.
        server_quotas: Rate limits that servers state.
        admission: Decides where servers state their pace.
    """

    def __init__(
        self,
        ranker: ServerRanker,
        selector: ServerSelector,
        quarantine: Quarantine,
        server_quotas: ServerQuotas,
        admission: AdmissionGate,
    ) -> None:
        self.ranker = ranker
        self.selector = selector
        self.quarantine = quarantine
        self.server_quotas = server_quotas
        self.admission = admission

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
        grant = await self._grant(request, route, selection.server, now)
        if grant is None:
            request.denied_grants += 1
            return None
        return selection._replace(grant=grant)

    def next_server(
        self, request: ClientRequest, route: Route, first: Selection, now: float
    ) -> Optional[BackendServer]:
        """Return the next usable server for a request that is still at its first one.

        Args:
            request: The request.
            route: Its route.
            first: Its first server.
            now: Monotonic time, in seconds.

        Returns:
            None if no other server is usable, or only one that is cold.
        """
        ranking = self._ranking(request, route, first.service, now)
        server = self.selector.usable_after(request, ranking, first.server, now)
        return None if server is None or server.limited_as_cold(now) else server

    def _ranking(self, request: ClientRequest, route: Route, service: str, now: float) -> Ranking:
        key = request.key if route.affinity and request.key else request.id
        if self.quarantine.assessment(request).crashes:
            # The fingerprint as the key keeps this request away from the other suspects of a crash,
            # and sends equal requests to the same server.
            key = self.quarantine.fingerprinter.fingerprint_of(request).hex()
        return self.ranker.rank(service, key, route.regions, now)

    async def _grant(
        self, request: ClientRequest, route: Route, server: BackendServer, now: float
    ) -> Optional[ServerGrant]:
        """Take a grant of a server's rate limit, while the request is held; None without one."""
        left_s = hold_time(request, route).until - now
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self.server_quotas.take(server.backend, server.stated)
        except TimeoutError:
            # The request starts again and is refused, as it has no time left.
            return None

    async def _choose_or_wait(
        self, request: ClientRequest, route: Route, service: str, now: float
    ) -> Union[Selection, RefusalReason, None]:
        """Choose a server, else wait for room, else refuse.

        Returns:
            The selection, or the reason for a refusal; None when the request has waited and has to
            start again from the first step.
        """
        ranking = self._ranking(request, route, service, now)
        if await self._wait_for_proof(request, ranking, now):
            return None
        selection = self.selector.choose(request, ranking, service, now, route)
        if selection is RefusalReason.NO_SERVER:
            waited = await self._wait_until_accepted(request, route, now)
            return None if waited else selection
        server = (
            selection.server
            if isinstance(selection, Selection)
            else self.selector.candidate(request, ranking, now)
        )
        ask = self.admission.ask(server, request, route, now) if server else None
        if ask is not None:
            selection = await self._admit_or_wait(ask, selection, now)
        if ask is not None or isinstance(selection, Selection):
            return selection
        waited = await self._wait_for_room(request, route, server, now)
        return None if waited else selection

    async def _admit_or_wait(
        self, ask: RoomRequest, selection: Union[Selection, RefusalReason], now: float
    ) -> Union[Selection, RefusalReason, None]:
        """Let admission decide, where the server states its pace.

        Its verdict replaces the limits of `room`, which follow from the load alone.

        Returns:
            The selection, or the reason for a refusal; None when the request has waited and has to
            start again from the first step.
        """
        server = ask.server
        verdict = self.admission.verdict(ask, now)
        if verdict.admitted:
            if isinstance(selection, Selection):
                return selection
            return Selection(server, server.backend.service, SelectionReason.FIRST_USABLE)
        if verdict.wait_s > 0.0 and await self._wait_for_place(ask, verdict.wait_s):
            return None
        ask.request.blocked = Blocked(
            server.backend.id,
            BlockedReason.ADMISSION,
            server.in_flight,
            server.concurrency_limit,
            server.load(now),
            server.load_age_s(now),
            verdict=self.admission.refuse(ask, verdict, now),
        )
        return RefusalReason.NO_ROOM

    async def _wait_for_place(self, ask: RoomRequest, max_wait_s: float) -> bool:
        """Wait for the place of a request that ends; False if those that wait go before."""
        end = await ask.server.room.wait(
            min(max_wait_s, ROOM_RECHECK_INTERVAL_S),
            queue_position(ask.request, ask.route),
            ask.server.backend.capacity,
        )
        turn = ask.request.service_turn
        if end is WaitEnd.WOKEN and turn is not None:
            ask.request.service_turn = turn._replace(come=True)
        return end.may_check_again

    async def _wait_for_proof(self, request: ClientRequest, ranking: Ranking, now: float) -> bool:
        """Wait a moment if its first server may soon be proven; False if not, or without time.

        After a start, servers are proven within a fraction of a second. If requests went to the
        next server instead, those that are proven first would get the requests of all others. A
        caller that is refused may come back to another VM that has just started.
        """
        until = min(request.arrived_at + _MAX_PROOF_WAIT_S, request.deadline)
        if now >= until or not self.selector.awaits_proof(request, ranking, now):
            return False
        await asyncio.sleep(_PROOF_POLL_INTERVAL_S)
        return True

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
        self, request: ClientRequest, route: Route, server: Optional[BackendServer], now: float
    ) -> bool:
        """Wait for room; False when there is no time left or too many requests wait already."""
        left_s = room_wait_s(request, route, now)
        if server is None or left_s <= 0:
            return False
        position = queue_position(request, route)
        return await server.wait_for_room(min(left_s, ROOM_RECHECK_INTERVAL_S), position)
