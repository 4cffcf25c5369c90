"""Sends a request to its server and, if that runs unusually long, to a second one as well.

The first answer that a server itself gave without a failure is taken, and the other try is ended by
closing its connection, so that its server stops working on it. If one try fails, the other one
decides. A caller that leaves ends both.

Owns the tries of one request while they run. Relies on `hedge_rule` for the decision, on the
selector for the second server and on the sender for each try. Tests: tests/test_gateway_hedging.py.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import NamedTuple, Optional

from ...events import EventLog
from ...resources import Route
from ...servers.backend_server import BackendServer
from ..choice.server_choice import ServerChoice
from ..client_request import HEDGED, Attempt, ClientRequest, Selection, SelectionReason, Verdict
from ..connection_reuse import max_idle_s
from ..outcome.retry_decision import SERVER_FAILED_STATUS
from ..sender import Sender
from .hedge_rule import hedge_delay_s, may_hedge

TakeRetry = Callable[[], bool]
"""Takes one retry from the budget of the request's service; False when none is left."""


class _Try(NamedTuple):
    """One running try.

    Args:
        request: The request, or a copy of it for the second try.
        server: Its server.
        started: Monotonic time of its start, in seconds.
        task: The try.
    """

    request: ClientRequest
    server: BackendServer
    started: float
    task: "asyncio.Task[Attempt]"

    def superseded(self, now: float) -> Attempt:
        """Return the attempt of a try that is ended because the other one was answered."""
        server_id = self.server.backend.id
        return Attempt(server_id, Verdict.UNKNOWN, True, HEDGED, seconds=now - self.started)


class HedgedSender:
    """Sends requests, with a second try where the first one runs unusually long.

    Args:
        sender: Sends one try.
        choice: Finds the second server.
        monotonic: Source of monotonic time, in seconds.
        events: Counts second tries.
    """

    def __init__(
        self,
        sender: Sender,
        choice: ServerChoice,
        *,
        monotonic: Callable[[], float],
        events: EventLog,
    ) -> None:
        self.sender = sender
        self.choice = choice
        self.monotonic = monotonic
        self.events = events

    async def send(
        self,
        request: ClientRequest,
        route: Route,
        selection: Selection,
        until: float,
        take_retry: TakeRetry,
    ) -> list[Attempt]:
        """Send a request and return its attempts; the last one decides what follows.

        Args:
            request: The request.
            route: Its route.
            selection: Its first server.
            until: Monotonic time until which it is held, in seconds.
            take_retry: Takes the second try from the retry budget.
        """
        delay_s = self._delay_s(request, route, selection, until)
        if delay_s is None:
            idle_s = max_idle_s(request, route)
            attempt = await self.sender.send(request, selection, until, max_idle_s=idle_s)
            return [attempt._replace(selected=selection.reason)]
        return await self._send_hedged(request, route, selection, until, delay_s, take_retry)

    async def _send_hedged(
        self,
        request: ClientRequest,
        route: Route,
        selection: Selection,
        until: float,
        delay_s: float,
        take_retry: TakeRetry,
    ) -> list[Attempt]:
        tries = [self._start(request, route, selection, until)]
        try:
            await asyncio.wait({tries[0].task}, timeout=delay_s)
            if not tries[0].task.done():
                second = self._second(request, route, selection, until)
                if second is not None and take_retry():
                    self.events.count("requests_hedged")
                    copy = dataclasses.replace(request, at_server=False)
                    tries.append(self._start(copy, route, second, until))
            return await self._first_answered(tries)
        finally:
            await _end(tries)
            request.at_server = any(each.request.at_server for each in tries)

    def _start(
        self, request: ClientRequest, route: Route, selection: Selection, until: float
    ) -> _Try:
        idle_s = max_idle_s(request, route)

        async def send() -> Attempt:
            attempt = await self.sender.send(request, selection, until, max_idle_s=idle_s)
            return attempt._replace(selected=selection.reason)

        task = asyncio.create_task(send())
        return _Try(request, selection.server, self.monotonic(), task)

    async def _first_answered(self, tries: list[_Try]) -> list[Attempt]:
        """Return the attempts once a try is answered or all have ended."""
        running = {each.task for each in tries}
        while running:
            _, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            for each in tries:
                if each.task.done() and _is_answered(each.task.result()):
                    return self._with_winner(tries, each)
        return [each.task.result() for each in tries]

    def _with_winner(self, tries: list[_Try], winner: _Try) -> list[Attempt]:
        """Return the attempts of all tries, the answered one last."""
        if winner is not tries[0]:
            self.events.count("hedges_won")
        others = [self._loser(each) for each in tries if each is not winner]
        return [*others, winner.task.result()]

    def _loser(self, other: _Try) -> Attempt:
        if other.task.done():
            return other.task.result()
        self.sender.feedback.record_superseded(other.server)
        return other.superseded(self.monotonic())

    def _delay_s(
        self, request: ClientRequest, route: Route, selection: Selection, until: float
    ) -> Optional[float]:
        if request.attempts or self.choice.selector.estimates is None or not route.repeatable:
            return None
        now = self.monotonic()
        estimate = self.choice.selector.estimates.estimate(
            selection.server.backend, route.name, request.key, now
        )
        return hedge_delay_s(route, estimate, until - now)

    def _second(
        self, request: ClientRequest, route: Route, first: Selection, until: float
    ) -> Optional[Selection]:
        """Return the selection of a second server; None if none has spare slots."""
        now = self.monotonic()
        server = self.choice.next_server(request, route, first, now)
        estimates = self.choice.selector.estimates
        if server is None or estimates is None or server.stated.is_limited(now):
            return None
        estimate = estimates.estimate(server.backend, route.name, request.key, now)
        if not may_hedge(estimate, until - now):
            return None
        return Selection(server, first.service, SelectionReason.HEDGE)


async def _end(tries: list[_Try]) -> None:
    """End the tries that still run."""
    running = [each.task for each in tries if not each.task.done()]
    for task in running:
        task.cancel()
    if running:
        await asyncio.wait(running)


def _is_answered(attempt: Attempt) -> bool:
    """Return whether a server's own answer without a failure arrived."""
    answer = attempt.answer
    return (
        attempt.verdict is Verdict.ANSWERED
        and answer is not None
        and answer.status < SERVER_FAILED_STATUS
    )
