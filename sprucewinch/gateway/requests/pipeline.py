"""Runs the steps of a request in order, from its API key to its final answer.

The steps are turn, key and quota; then route, quarantine, split, time left, server selection,
sending and retry. A request that must not run twice waits for its turn on its connection
(`wait_for_turn`). Key and quota are checked once, before the body is read (`admit`), the others in
`run`. The module owns this order and the state that the steps share: the running shares of split
routes, the retry budgets and the fair order of workspaces. Each rule has a module of its own:
`workspaces.key_table`, `quotas.quotas`, `routes_in_force`, `crashes.quarantine`, `split`,
`outcome.hold_time`, `outcome.time_left`, `choice.server_choice`, `outcome.retry_decision`,
`retry_budget`, `outcome.final_answer` and `outcome.return_times`.

While this VM has lost its links to backend servers, `relay` passes requests to other VMs.

A request starts again from the first step of `run` if it waited for room, if its server had nothing
left of its rate limit or left while the connection was established, or if it is retried after an
attempt. It then uses the current configuration, servers and quarantine. The module relies on the
rules, the registry and the sender.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Optional, Union

from ...net.body import CallerLeftError
from ..crashes.quarantine_entry import QuarantineEntry
from ..quotas.quotas import QuotaEnd
from ..resources import Route
from ..settings import Bounds
from ..state.named_state import NamedStateOwner, NamedTable, NameKind
from ..state.store_view import StoreView
from ..timing import Timing
from ..workspaces.admission import CallerRequest, WorkspaceAdmission
from ..workspaces.fair_order import FairOrder
from ..workspaces.key_table import KeyProblem
from .choice.server_choice import ServerChoice
from .client_request import CRASHED, Attempt, ClientRequest, RefusalReason, Reply, Selection
from .hedging.hedged_sender import HedgedSender
from .outcome import final_answer
from .outcome.hold_time import hold_time
from .outcome.retry_decision import RetryDecision, after_crash, decide_retry, without_budget
from .outcome.return_times import RetryAfterTimes
from .outcome.time_left import has_time
from .relay.relay import Relay
from .relay.relay_message import RelayedRequest
from .retry_budget import RetryBudgets
from .routes_in_force import RoutesInForce
from .sender import Sender
from .sliding_count import SlidingCount
from .split import Splits

DEMAND_WINDOW_S = 3.0
"""Window over which the demand for a service is counted, in seconds: long enough that chance moves
it by few per cent, short enough to follow callers that move within ten seconds."""

_KEY_REFUSALS = {
    KeyProblem.UNKNOWN: RefusalReason.UNKNOWN_KEY,
    KeyProblem.BEHIND: RefusalReason.BEHIND,
}
"""Refusal for each reason why an API key is not accepted."""

_QUOTA_REFUSALS = {
    QuotaEnd.OVER: RefusalReason.OVER_QUOTA,
    QuotaEnd.UNKNOWN: RefusalReason.NO_QUOTA,
}
"""Refusal for each reason why a workspace may not send another request."""


class Pipeline(NamedStateOwner):
    """Runs requests.

    Args:
        store_view: This VM's view of the store.
        choice: Chooses the backend servers of requests.
        sender: Sends requests to backend servers, which its registry holds.
        admission: Admits requests by API key and by quota.
        relay: Passes requests to other VMs.
        bounds: Limits of the fleet, from the settings.
        timing: Sources of time and randomness.
    """

    def __init__(
        self,
        store_view: StoreView,
        choice: ServerChoice,
        sender: Sender,
        admission: WorkspaceAdmission,
        relay: Relay,
        *,
        bounds: Bounds,
        timing: Timing,
    ) -> None:
        self.store_view = store_view
        self.registry = sender.registry
        self.relay = relay
        self.choice = choice
        self.sender = sender
        self.hedged_sender = HedgedSender(
            sender, choice, monotonic=timing.monotonic, events=sender.events
        )
        self.admission = admission
        self.monotonic = timing.monotonic
        self.rng = timing.rng
        self.quarantine = sender.quarantine
        self.process_end = sender.process_end
        self.return_times = RetryAfterTimes(self.registry, timing.rng)
        self.splits = Splits()
        self.budgets = RetryBudgets(
            bounds,
            vm_count=self.registry.vm_count,
            monotonic=timing.monotonic,
            events=sender.events,
        )
        self.demand: dict[str, SlidingCount] = {}
        self.fair_orders: dict[str, FairOrder] = {}
        self.routes = RoutesInForce(store_view, admission)

    def named_tables(self) -> Iterable[NamedTable]:
        """Return what the steps share by route or service; see `NamedStateOwner`."""
        yield NamedTable("split_shares", NameKind.ROUTE, self.splits.by_route)
        yield NamedTable("recovery_schedules", NameKind.ROUTE, self.return_times.by_route)
        yield NamedTable("demand", NameKind.SERVICE, self.demand)
        yield NamedTable("fair_orders", NameKind.SERVICE, self.fair_orders)
        yield from self.budgets.named_tables()

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new limits of the fleet; counted retries and requests are kept."""
        self.admission.set_bounds(bounds)
        self.budgets.set_bounds(bounds)

    async def admit(self, request: ClientRequest) -> Optional[Reply]:
        """Return the answer to a request that is refused by its head; None when it is admitted.

        An admitted request stores its workspace, whose name is sent to the backend server, and the
        quota that it took; `return_unused_quota` returns that quota if no server has run the
        request.

        Args:
            request: The request, without its body.
        """
        route = self.routes.find(request)
        if isinstance(route, RefusalReason):
            return final_answer.refused(route, self.rng)
        caller = self.admission.caller(route, request.api_key)
        if caller.problem is not None:
            return final_answer.refused(_KEY_REFUSALS[caller.problem], self.rng, route)
        if caller.workspace is None:
            return None
        request.caller = CallerRequest(caller.workspace)
        quota = await self.admission.take_quota(caller.workspace)
        if quota.end is not QuotaEnd.ADMITTED:
            reason = _QUOTA_REFUSALS[quota.end]
            return final_answer.refused_with_retry_after(reason, quota.retry_after_s)._replace(
                route=route
            )
        request.caller = CallerRequest(caller.workspace, quota)
        request.headers += ((self.sender.names.workspace, caller.workspace.name),)
        return None

    def admit_relayed(self, request: ClientRequest, relayed: RelayedRequest) -> Optional[Reply]:
        """Return the answer to a request of another VM that is refused; None when it is admitted.

        Its key and quota were checked there.

        Args:
            request: The request, without its body.
            relayed: What the other VM states of it.
        """
        request.relayed_by, request.earlier_runs = relayed.sender or "unnamed", relayed.earlier_runs
        request.counted = relayed.counted
        if not relayed.workspace:
            return None
        workspace = self.admission.workspace(relayed.workspace)
        if workspace is None:
            # The other VM may hold a newer configuration than this one.
            return final_answer.refused(RefusalReason.BEHIND, self.rng)
        request.caller = CallerRequest(workspace)
        request.headers += ((self.sender.names.workspace, workspace.name),)
        return None

    async def wait_for_turn(self, request: ClientRequest) -> None:
        """Let a request that must not run twice wait for those ahead of it on its connection.

        A caller sends every request behind an answer that closes the connection again, whatever
        its kind, so one that must not run twice starts only once nothing ahead can do so.

        Raises:
            CallerLeftError: The connection closes.
        """
        await self._take_turn(request, self.routes.find(request))

    async def _take_turn(self, request: ClientRequest, route: Union[Route, RefusalReason]) -> None:
        if isinstance(route, RefusalReason) or route.repeatable or await request.has_turn():
            return
        raise CallerLeftError("the connection closes, and counts the request as not read")

    def return_unused_quota(self, request: ClientRequest) -> None:
        """Return the quota that a request took from its workspace, if no server has run it."""
        if not request.may_have_run:
            self.admission.give_back(request.caller)

    async def run(self, request: ClientRequest) -> Reply:
        """Run an admitted request and return its final answer."""
        service = ""
        while True:
            route = self.routes.usable(request)
            if isinstance(route, RefusalReason):
                return final_answer.without_route(request, route, self.rng)
            await self._take_turn(request, route)  # The route may have changed.
            reply = await self._reply_without_server(request, route)
            if reply is not None:
                return reply
            service = self._service(request, route, service, self.monotonic())
            reply = await self._run_at_server(request, route, service)
            if reply is not None:
                return reply

    async def _reply_without_server(self, request: ClientRequest, route: Route) -> Optional[Reply]:
        """Return the final answer of a request that is sent to no server from here.

        This process ends too soon, another VM has run it, or it crashes servers.
        """
        if not self._ends_in_time(request, route, 0.0):
            return self._refused_by_stop(request, route)
        reply = await self.relay.serve(request, route, self._retry_taker(route))
        if reply is not None:
            return reply
        entry = await self._quarantine_of(request, hold_time(request, route).until)
        return None if entry is None else self._quarantine_reply(request, route, entry)

    async def _run_at_server(
        self, request: ClientRequest, route: Route, service: str
    ) -> Optional[Reply]:
        """Choose a server and send a request to it.

        Returns:
            The final answer; None when the request has to start again.
        """
        now, until = self.monotonic(), hold_time(request, route).until
        reply = self._reply_without_time(request, route, service)
        if reply is not None:
            return reply
        selection = await self.choice.choose(request, route, service, now)
        if selection is None:
            return None
        if isinstance(selection, RefusalReason):
            return await self._unserved(request, route, service, selection)
        attempt = await self._send(request, route, service, selection, until)
        decision = self._decide_retry(request, route, service, attempt)
        if decision.retry:
            return None
        if decision.refusal is None:
            return final_answer.forwarded(attempt, route)
        return await self._unserved(request, route, service, decision.refusal)

    def _reply_without_time(
        self, request: ClientRequest, route: Route, service: str
    ) -> Optional[Reply]:
        """Return the answer to a request that its service can't answer in time; else None."""
        shortest_s = self.registry.times.low_quantile_s(service)
        if not has_time(hold_time(request, route).until, self.monotonic(), shortest_s):
            return self._not_served(request, route, RefusalReason.NO_TIME)
        if not self._ends_in_time(request, route, shortest_s):
            return self._refused_by_stop(request, route)
        return None

    def held_until(self, request: ClientRequest) -> float:
        """Return the monotonic time until which a request is held, in seconds."""
        route = self.routes.find(request)
        if isinstance(route, RefusalReason):
            return request.deadline
        return hold_time(request, route).until

    def ends_in_time(self, request: ClientRequest) -> bool:
        """Return whether a stop of this process leaves a request that arrives enough time."""
        return self.process_end.may_send(request, self.held_until(request), self.monotonic())

    def _ends_in_time(self, request: ClientRequest, route: Route, shortest_s: float) -> bool:
        until = hold_time(request, route).until
        return self.process_end.may_send(request, until, self.monotonic(), shortest_s)

    def _refused_by_stop(self, request: ClientRequest, route: Route) -> Reply:
        request.stopped = True
        return self._not_served(request, route, RefusalReason.STOPPING)

    def late_reply(self) -> Reply:
        """Return the final answer of a request whose time ends before its body is whole."""
        return final_answer.refused(RefusalReason.NO_TIME, self.rng)

    def stop_reply(self, request: ClientRequest) -> Reply:
        """Return the final answer of a request that is abandoned because the process ends."""
        request.stopped = True
        return final_answer.stopped(request, self.rng)

    def arrivals_per_s(self, service: str, now: float) -> float:
        """Return the rate of callers' requests for a service at this VM, in requests a second."""
        count = self.demand.get(service)
        return count.count(now) / DEMAND_WINDOW_S if count else 0.0

    def _retry_taker(self, route: Route) -> Callable[[], bool]:
        """Return what takes one retry to whichever service of a route another VM chooses."""
        services = {part.service for part in route.parts}
        return lambda: self.budgets.take_any(services)

    async def _unserved(
        self, request: ClientRequest, route: Route, service: str, refusal: RefusalReason
    ) -> Reply:
        """Return the final answer of a request that no server of this VM can run.

        Another VM may reach the servers that were unreachable from here.
        """
        if refusal is RefusalReason.NO_SERVER and request.unreachable_attempts():
            taker = self._retry_taker(route)
            reply = await self.relay.serve_last(request, route, service, taker)
            if reply is not None:
                return reply
        return self._not_served(request, route, refusal)

    async def _quarantine_of(
        self, request: ClientRequest, until: float
    ) -> Optional[QuarantineEntry]:
        """Return the quarantine that a request is refused for; None when it may be sent.

        Args:
            request: The request.
            until: Monotonic time until which it waits for the store to grant a trial, in seconds.
        """
        entry, now = self.quarantine.refusal(request), self.monotonic()
        if entry is None or not entry.trial_is_due(now):
            return entry
        try:
            async with asyncio.timeout(max(0.0, until - now)):
                request.on_trial = await self.quarantine.take_trial(entry)
        except TimeoutError:
            # Refused as without a trial. If the store has granted it, that trial is used up.
            return entry
        return None if request.on_trial else entry

    def _quarantine_reply(
        self, request: ClientRequest, route: Route, entry: QuarantineEntry
    ) -> Reply:
        """Return the answer to a request that is refused because it crashes servers."""
        reply = self._not_served(request, route, RefusalReason.CRASHES_SERVERS)
        if reply.refusal is not RefusalReason.CRASHES_SERVERS:
            return reply
        return reply._replace(retry_after_s=final_answer.trial_in_s(entry, self.monotonic()))

    def _service(self, request: ClientRequest, route: Route, service: str, now: float) -> str:
        """Return the service of a request, chosen again if its route no longer has that service."""
        if not service:
            service = self.splits.service(route, request.key or request.id)
            if not request.counted:
                self.budgets.record_request(service)
                request.counted = True
            self.demand.setdefault(service, SlidingCount(DEMAND_WINDOW_S)).add(now)
            fair_order = self.fair_orders.setdefault(service, FairOrder())
            request.steps_over_share = fair_order.record_request(request.caller.workspace, now)
        elif service not in {part.service for part in route.parts}:
            service = self.splits.service(route, request.key)
        return service

    async def _send(
        self,
        request: ClientRequest,
        route: Route,
        service: str,
        selection: Selection,
        until: float,
    ) -> Attempt:
        """Send a request, and return the attempt that decides what follows."""
        request.route_name = route.name
        attempts = await self.hedged_sender.send(
            request, route, selection, until, lambda: self.budgets.take(service)
        )
        request.record(*attempts)
        return attempts[-1]

    def _decide_retry(
        self, request: ClientRequest, route: Route, service: str, attempt: Attempt
    ) -> RetryDecision:
        """Decide whether a request is retried, and take the retry from the service's budget."""
        decision = self._after_crash(request, attempt) or decide_retry(request, route, attempt)
        if not decision.uses_budget:
            return decision
        return decision if self.budgets.take(service) else without_budget(attempt)

    def _after_crash(self, request: ClientRequest, attempt: Attempt) -> Optional[RetryDecision]:
        if attempt.cause != CRASHED:
            return None
        crashes = self.quarantine.assessment(request).crashes
        return after_crash(crashes, on_trial=request.on_trial)

    def _not_served(self, request: ClientRequest, route: Route, refusal: RefusalReason) -> Reply:
        reply = final_answer.not_served(request, route, refusal, self.rng)
        if request.blocked is None:
            return reply
        known_s, verdict = None, request.blocked.verdict
        if reply.refusal is RefusalReason.NO_ROOM and verdict is not None:
            known_s = verdict.retry_after_s
        elif reply.refusal is RefusalReason.NO_ROOM:
            known_s = self.return_times.retry_after_s(request.blocked.server_id, self.monotonic())
        elif reply.refusal is RefusalReason.NO_SERVER and request.blocked.until is not None:
            known_s = self.return_times.retry_after_recovery_s(
                route.name, request.blocked.until, self.monotonic()
            )
        return reply if known_s is None else reply._replace(retry_after_s=known_s)
