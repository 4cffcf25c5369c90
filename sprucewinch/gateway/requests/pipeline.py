"""The order of the filters that a request passes: route, place, admit, send, judge, reply.

Each filter is a module of its own. A request that comes back from a server without an answer
passes all of them again, so that it meets the newest configuration and servers.
"""

import random
from collections.abc import Callable
from typing import Optional, Union

from ..resources import Route, RouteConfiguration
from ..servers.backend_registry import BackendRegistry
from ..settings import Bounds
from ..state.store_view import Change, StoreView
from .client_request import Attempt, ClientRequest, RefusalReason, Reply, Selection, Verdict
from .retry_budget import WindowRetryBudget
from .routes import RouteTable
from .sender import Sender
from .server_order import Ranking, ServerRanker
from .server_selection import ServerSelector
from .split import Splits

RETRY_AFTER_RANGE_S = (0.25, 0.75)
"""When a caller that met no room is told to come back, in seconds: spread, so that callers refused
together do not return together, and late enough that there may be room."""

STARTING_RETRY_AFTER_S = 0.3
"""When a caller that met a VM without a configuration is told to come back, in seconds."""

_DEFAULT_AIM_S = 0.4
_WAIT_PART = 0.2
"""Part of a route's aim that a request waits for room; a refusal after a quarter comes late."""

_LOOK_AGAIN_S = 0.02
_ANSWER_MARGIN_S = 0.04
"""How long before a caller leaves it gets its final answer, in seconds."""

_MOST_UNREACHABLE = 3
"""How many servers that cannot be reached one request tries."""

_STATUS = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.MALFORMED: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.TIMEOUT: 504,
    RefusalReason.FAILED: 502,
}
_UNAVAILABLE = 503
_SERVER_FAILED = 500
"""Least status of an answer that says that the server failed."""


class Pipeline:
    """Runs requests.

    Args:
        store_view: What this VM holds of the store.
        registry: Backend servers.
        ranker: Places objects.
        sender: Sends requests.
        bounds: The fleet's figures.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store_view: StoreView,
        registry: BackendRegistry,
        ranker: ServerRanker,
        sender: Sender,
        *,
        bounds: Bounds,
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.store_view = store_view
        self.registry = registry
        self.ranker = ranker
        self.sender = sender
        self.bounds = bounds
        self.monotonic = monotonic
        self.rng = rng
        self.admission = ServerSelector(registry, sender.outliers)
        self.splits = Splits()
        self.budgets: dict[str, WindowRetryBudget] = {}
        self.table: Optional[RouteTable] = None
        store_view.listeners.append(self._learn)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures of the fleet from now on; retry budgets start anew with them."""
        self.bounds = bounds
        self.budgets.clear()

    async def run(self, request: ClientRequest) -> Reply:
        """Run a request and return its final answer."""
        service = ""
        while True:
            now = self.monotonic()
            route = self._route(request)
            if isinstance(route, RefusalReason):
                return self._reply(route)
            service = self._service_now(service, route, request, now)
            until = _held_until(route, request)
            if now >= until:
                return self._end(request, route, RefusalReason.TIMEOUT)
            selection = self._choose(request, route, service, now)
            if selection is RefusalReason.NO_ROOM and await self._wait_for_room(
                request, route, service, now
            ):
                continue
            if isinstance(selection, RefusalReason):
                return self._end(request, route, selection)
            fresh = bool(request.attempts) or not route.repeatable
            send = await self.sender.send(request, selection, until, fresh=fresh)
            request.attempts.append(send)
            if send.verdict is Verdict.ANSWERED:
                if self._is_final(request, route, send, service):
                    return _passed_on(send, route)
                continue
            refusal = self._stop_reason(request, route, send, service)
            if refusal is not None:
                return self._end(request, route, refusal)

    def stop_reply(self, request: ClientRequest) -> Reply:
        """Return the final answer of a request that is given up where it stands."""
        if request.at_server or request.possible_runs():
            return self._reply(RefusalReason.FAILED)
        return self._reply(RefusalReason.STOPPING)

    def arrivals_per_s(self, service: str, now: float) -> float:
        """Return the requests a second that callers send here for a service."""
        budget = self.budgets.get(service)
        return budget.requests_per_s(now) if budget else 0.0

    def _route(self, request: ClientRequest) -> Union[Route, RefusalReason]:
        if self.table is None:
            return RefusalReason.NO_CONFIGURATION
        route = self.table.find(request.host, request.path)
        return RefusalReason.NO_ROUTE if route is None else route

    def _service_now(self, service: str, route: Route, request: ClientRequest, now: float) -> str:
        """Return the service that handles a request: drawn anew when its route has it no longer."""
        if not service:
            return self._enter(route, request, now)
        if service not in {part.service for part in route.parts}:
            return self.splits.service(route, request.key)
        return service

    def _enter(self, route: Route, request: ClientRequest, now: float) -> str:
        service = self.splits.service(route, request.key or request.id)
        self._budget(service).arrived(now)
        return service

    def _choose(
        self, request: ClientRequest, route: Route, service: str, now: float
    ) -> Union[Selection, RefusalReason]:
        ranking = self._place(request, route, service, now)
        return self.admission.choose(request, ranking, service, now, route)

    def _place(self, request: ClientRequest, route: Route, service: str, now: float) -> Ranking:
        key = request.key if route.affinity and request.key else request.id
        return self.ranker.place(service, key, route.regions, now)

    async def _wait_for_room(
        self, request: ClientRequest, route: Route, service: str, now: float
    ) -> bool:
        """Wait a little for room, while a refusal would still come early enough to be useful.

        Returns:
            False when there is no time left or too many wait already.
        """
        latency_target_s = (
            _DEFAULT_AIM_S if route.latency_target_s is None else route.latency_target_s
        )
        left_s = min(request.arrived_at + latency_target_s * _WAIT_PART, request.deadline) - now
        server = self.admission.candidate(request, self._place(request, route, service, now), now)
        if server is None or left_s <= 0 or request.attempts:
            return False
        return await server.wait_for_room(min(left_s, _LOOK_AGAIN_S), route.priority)

    def _is_final(self, request: ClientRequest, route: Route, send: Attempt, service: str) -> bool:
        """Tell whether a server's own answer is passed on, or another server is asked first."""
        assert send.answer is not None
        if send.answer.status < _SERVER_FAILED or not route.repeatable:
            return True
        if request.possible_runs() >= route.max_attempts:
            return True
        return not self._budget(service).take(self.monotonic(), self.registry.vm_count())

    def _stop_reason(
        self, request: ClientRequest, route: Route, send: Attempt, service: str
    ) -> Optional[RefusalReason]:
        """Return why a request is not sent again; None when it is."""
        if send.verdict is Verdict.UNKNOWN:
            if send.why == "timeout":
                return RefusalReason.TIMEOUT
            if not route.repeatable or request.possible_runs() >= route.max_attempts:
                return RefusalReason.FAILED
        if not send.arrived:
            unreached = sum(not earlier.arrived for earlier in request.attempts)
            return None if unreached < _MOST_UNREACHABLE else RefusalReason.NO_SERVER
        if len(request.attempts) > route.max_attempts:
            return RefusalReason.NO_ROOM
        if self._budget(service).take(self.monotonic(), self.registry.vm_count()):
            return None
        return RefusalReason.NO_ROOM if send.verdict is Verdict.NOT_RUN else RefusalReason.FAILED

    def _end(self, request: ClientRequest, route: Route, refusal: RefusalReason) -> Reply:
        """Return the final answer of a request that no server served; never a false promise.

        A server's own failure is passed on when asking another one came to nothing.
        """
        for send in request.attempts:
            if send.verdict is Verdict.ANSWERED:
                return _passed_on(send, route)
        if request.possible_runs():
            timeout = refusal is RefusalReason.TIMEOUT
            return self._reply(RefusalReason.TIMEOUT if timeout else RefusalReason.FAILED, route)
        if refusal is RefusalReason.TIMEOUT:
            refusal = RefusalReason.NO_ROOM
        return self._reply(refusal, route)

    def _reply(self, refusal: RefusalReason, route: Optional[Route] = None) -> Reply:
        status = _STATUS.get(refusal, _UNAVAILABLE)
        come_back = None
        if status == _UNAVAILABLE:
            waiting_for_start = refusal is RefusalReason.NO_CONFIGURATION
            come_back = (
                STARTING_RETRY_AFTER_S
                if waiting_for_start
                else self.rng.uniform(*RETRY_AFTER_RANGE_S)
            )
        return Reply(None, refusal, status, come_back, route)

    def _budget(self, service: str) -> WindowRetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = WindowRetryBudget(self.bounds)
        return budget

    def _learn(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.table = RouteTable(change.after)


def _passed_on(send: Attempt, route: Route) -> Reply:
    """Return the reply that passes a server's own answer on."""
    assert send.answer is not None
    return Reply(send.answer, None, send.answer.status, route=route)


def _held_until(route: Route, request: ClientRequest) -> float:
    """Return until when a request is held, as monotonic time in seconds."""
    deadline = request.deadline - _ANSWER_MARGIN_S
    if route.timeout_s is None:
        return deadline
    return min(deadline, request.arrived_at + route.timeout_s)
