"""The order of the filters that a request passes: route, place, admit, send, judge, reply.

Each filter is a module of its own. A request that comes back from a server without an answer
passes all of them again, so that it meets the newest configuration and servers.
"""

import random
from collections.abc import Callable
from typing import Optional, Union

from ..resources import Route, RouteConfiguration
from ..servers.backend_registry import ServerBook
from ..settings import Bounds
from ..state.store_view import Beliefs, Change
from .client_request import Call, Chosen, Refused, Reply, Send, Verdict
from .retry_budget import RepeatBudget
from .routes import RouteTable
from .sender import Sender
from .server_order import Placement, Placer
from .server_selection import Admission
from .split import Splits

COME_BACK_S = (0.25, 0.75)
"""When a caller that met no room is told to come back, in seconds: spread, so that callers refused
together do not return together, and late enough that there may be room."""

START_COME_BACK_S = 0.3
"""When a caller that met a machine without a configuration is told to come back, in seconds."""

_DEFAULT_AIM_S = 0.4
_WAIT_PART = 0.2
"""Part of a route's aim that a request waits for room; a refusal after a quarter comes late."""

_LOOK_AGAIN_S = 0.02
_ANSWER_MARGIN_S = 0.04
"""How long before a caller leaves it gets its final answer, in seconds."""

_MOST_UNREACHABLE = 3
"""How many servers that cannot be reached one request tries."""

_STATUS = {
    Refused.NO_ROUTE: 404,
    Refused.MALFORMED: 400,
    Refused.TOO_LARGE: 413,
    Refused.TIMEOUT: 504,
    Refused.FAILED: 502,
}
_UNAVAILABLE = 503
_SERVER_FAILED = 500
"""Least status of an answer that says that the server failed."""


class Pipeline:
    """Runs requests.

    Args:
        beliefs: What this machine believes.
        book: Backend servers.
        placer: Places objects.
        sender: Sends requests.
        bounds: The fleet's figures.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        book: ServerBook,
        placer: Placer,
        sender: Sender,
        *,
        bounds: Bounds,
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.beliefs = beliefs
        self.book = book
        self.placer = placer
        self.sender = sender
        self.bounds = bounds
        self.monotonic = monotonic
        self.rng = rng
        self.admission = Admission(book, sender.outliers)
        self.splits = Splits()
        self.budgets: dict[str, RepeatBudget] = {}
        self.table: Optional[RouteTable] = None
        beliefs.listeners.append(self._learn)

    async def run(self, call: Call) -> Reply:
        """Run a request and return its final answer."""
        service = ""
        while True:
            now = self.monotonic()
            self.book.now = now
            route = self._route(call)
            if isinstance(route, Refused):
                return self._reply(route)
            service = self._service_now(service, route, call, now)
            until = _held_until(route, call)
            if now >= until:
                return self._end(call, route, Refused.TIMEOUT)
            chosen = self._choose(call, route, service, now)
            if chosen is Refused.NO_ROOM and await self._wait_for_room(call, route, service, now):
                continue
            if isinstance(chosen, Refused):
                return self._end(call, route, chosen)
            fresh = bool(call.sends) or not route.repeatable
            send = await self.sender.send(call, chosen, until, fresh=fresh)
            call.sends.append(send)
            if send.verdict is Verdict.ANSWERED:
                if self._is_final(call, route, send, service):
                    return _passed_on(send, route)
                continue
            refused = self._stop_reason(call, route, send, service)
            if refused is not None:
                return self._end(call, route, refused)

    def given_up(self, call: Call) -> Reply:
        """Return the final answer of a request that is given up where it stands."""
        if call.at_server or call.runs():
            return self._reply(Refused.FAILED)
        return self._reply(Refused.STOPPING)

    def arrivals_per_s(self, service: str, now: float) -> float:
        """Return the requests a second that callers send here for a service."""
        budget = self.budgets.get(service)
        return budget.requests_per_s(now) if budget else 0.0

    def _route(self, call: Call) -> Union[Route, Refused]:
        if self.table is None:
            return Refused.NO_CONFIGURATION
        route = self.table.find(call.host, call.path)
        return Refused.NO_ROUTE if route is None else route

    def _service_now(self, service: str, route: Route, call: Call, now: float) -> str:
        """Return the service that handles a request: drawn anew when its route has it no longer."""
        if not service:
            return self._enter(route, call, now)
        if service not in {part.service for part in route.parts}:
            return self.splits.service(route, call.key)
        return service

    def _enter(self, route: Route, call: Call, now: float) -> str:
        service = self.splits.service(route, call.key or call.id)
        self._budget(service).arrived(now)
        return service

    def _choose(self, call: Call, route: Route, service: str, now: float) -> Union[Chosen, Refused]:
        placement = self._place(call, route, service, now)
        return self.admission.choose(call, placement, service, now, route)

    def _place(self, call: Call, route: Route, service: str, now: float) -> Placement:
        key = call.key if route.affinity and call.key else call.id
        return self.placer.place(service, key, route.regions, now)

    async def _wait_for_room(self, call: Call, route: Route, service: str, now: float) -> bool:
        """Wait a little for room, while a refusal would still come early enough to be useful.

        Returns:
            False when there is no time left or too many wait already.
        """
        aim_s = _DEFAULT_AIM_S if route.aim_s is None else route.aim_s
        left_s = min(call.arrived_at + aim_s * _WAIT_PART, call.leaves_at) - now
        server = self.admission.candidate(call, self._place(call, route, service, now), now)
        if server is None or left_s <= 0 or call.sends:
            return False
        return await server.wait_for_room(min(left_s, _LOOK_AGAIN_S), route.priority)

    def _is_final(self, call: Call, route: Route, send: Send, service: str) -> bool:
        """Tell whether a server's own answer is passed on, or another server is asked first."""
        assert send.answer is not None
        if send.answer.status < _SERVER_FAILED or not route.repeatable:
            return True
        if call.runs() >= route.attempts:
            return True
        return not self._budget(service).take(self.monotonic(), self.book.machines())

    def _stop_reason(self, call: Call, route: Route, send: Send, service: str) -> Optional[Refused]:
        """Return why a request is not sent again; None when it is."""
        if send.verdict is Verdict.UNKNOWN:
            if send.why == "timeout":
                return Refused.TIMEOUT
            if not route.repeatable or call.runs() >= route.attempts:
                return Refused.FAILED
        if not send.arrived:
            unreached = sum(not earlier.arrived for earlier in call.sends)
            return None if unreached < _MOST_UNREACHABLE else Refused.NO_SERVER
        if len(call.sends) > route.attempts:
            return Refused.NO_ROOM
        if self._budget(service).take(self.monotonic(), self.book.machines()):
            return None
        return Refused.NO_ROOM if send.verdict is Verdict.NOT_RUN else Refused.FAILED

    def _end(self, call: Call, route: Route, refused: Refused) -> Reply:
        """Return the final answer of a request that no server served; never a false promise.

        A server's own failure is passed on when asking another one came to nothing.
        """
        for send in call.sends:
            if send.verdict is Verdict.ANSWERED:
                return _passed_on(send, route)
        if call.runs():
            timeout = refused is Refused.TIMEOUT
            return self._reply(Refused.TIMEOUT if timeout else Refused.FAILED, route)
        if refused is Refused.TIMEOUT:
            refused = Refused.NO_ROOM
        return self._reply(refused, route)

    def _reply(self, refused: Refused, route: Optional[Route] = None) -> Reply:
        status = _STATUS.get(refused, _UNAVAILABLE)
        come_back = None
        if status == _UNAVAILABLE:
            waiting_for_start = refused is Refused.NO_CONFIGURATION
            come_back = START_COME_BACK_S if waiting_for_start else self.rng.uniform(*COME_BACK_S)
        return Reply(None, refused, status, come_back, route)

    def _budget(self, service: str) -> RepeatBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RepeatBudget(self.bounds)
        return budget

    def _learn(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.table = RouteTable(change.after)


def _passed_on(send: Send, route: Route) -> Reply:
    """Return the reply that passes a server's own answer on."""
    assert send.answer is not None
    return Reply(send.answer, None, send.answer.status, route=route)


def _held_until(route: Route, call: Call) -> float:
    """Return until when a request is held, as monotonic time in seconds."""
    leaves_at = call.leaves_at - _ANSWER_MARGIN_S
    if route.timeout_s is None:
        return leaves_at
    return min(leaves_at, call.arrived_at + route.timeout_s)
