"""The order of a request's steps: key, quota; route, quarantine, split, time, select, send, retry.

Owns the order and the state that steps share: split balances, retry budgets, workspaces' turns. Key
and quota come once, before the body is read (`admit`), the others in `run`. Each rule is a module
of its own: `workspaces.key_table`, `quotas.quotas`; `routes_in_force`, `crashes.quarantine`,
`split`, `outcome.hold_time`, `outcome.time_left`, `choice.server_choice`,
`outcome.retry_decision`, `retry_budget`, `outcome.final_answer`, `outcome.return_times`. A request
that waited for room, whose server had nothing left of its limit or left while its connection came
up, or whose attempt brought no answer, passes all steps again, so that it meets the newest
configuration, servers and quarantine. Relies on the rules, the registry and the sender.
"""

from typing import Optional

from ..crashes.held import Held
from ..quotas.quotas import QuotaEnd
from ..resources import Route
from ..servers.backend_registry import BackendRegistry
from ..settings import Bounds
from ..state.store_view import StoreView
from ..timing import Timing
from ..workspaces.admission import CallerRequest, WorkspaceAdmission
from ..workspaces.fair_order import FairOrder
from ..workspaces.key_table import KeyProblem
from .choice.server_choice import ServerChoice
from .client_request import CRASHED, Attempt, ClientRequest, RefusalReason, Reply, Selection
from .connection_age import most_rest_s
from .outcome import final_answer
from .outcome.hold_time import hold_time
from .outcome.retry_decision import RetryDecision, after_crash, decide_retry, without_budget
from .outcome.return_times import RetryAfterTimes
from .outcome.time_left import has_time
from .retry_budget import RetryBudgets
from .routes_in_force import RoutesInForce
from .sender import Sender
from .split import Splits

_KEY_REFUSALS = {
    KeyProblem.UNKNOWN: RefusalReason.UNKNOWN_KEY,
    KeyProblem.BEHIND: RefusalReason.BEHIND,
}
"""What callers get whose key is not accepted."""

_QUOTA_REFUSALS = {
    QuotaEnd.OVER: RefusalReason.OVER_QUOTA,
    QuotaEnd.UNKNOWN: RefusalReason.NO_QUOTA,
}
"""What callers get whose workspace may not send one more request."""


class Pipeline:
    """Runs requests.

    Args:
        store_view: What this VM holds of the store.
        registry: Backend servers.
        choice: Chooses the servers of requests.
        sender: Sends requests.
        admission: Admits requests by key and by quota.
        bounds: The fleet's figures.
        timing: Sources of time and randomness.
    """

    def __init__(
        self,
        store_view: StoreView,
        registry: BackendRegistry,
        choice: ServerChoice,
        sender: Sender,
        admission: WorkspaceAdmission,
        *,
        bounds: Bounds,
        timing: Timing,
    ) -> None:
        self.store_view = store_view
        self.registry = registry
        self.choice = choice
        self.sender = sender
        self.admission = admission
        self.monotonic = timing.monotonic
        self.rng = timing.rng
        self.quarantine = sender.quarantine
        self.return_times = RetryAfterTimes(registry, timing.rng)
        self.splits = Splits()
        self.budgets = RetryBudgets(bounds)
        self.fair_orders: dict[str, FairOrder] = {}
        self.routes = RoutesInForce(store_view, admission)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures of the fleet from now on; retries and requests stay counted."""
        self.admission.set_bounds(bounds)
        self.budgets.set_bounds(bounds)

    async def admit(self, request: ClientRequest) -> Optional[Reply]:
        """Return the answer to a request that is refused by what its head says, else None.

        An admitted request holds its workspace, whose name goes to the backend server, and what it
        took of that one's limit; `settle` gives that back where no server has run it.

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
            return final_answer.refused_until(reason, quota.retry_after_s)._replace(route=route)
        request.caller = CallerRequest(caller.workspace, quota)
        request.headers += ((self.sender.names.workspace, caller.workspace.name),)
        return None

    def settle(self, request: ClientRequest) -> None:
        """Give back what a request took of its workspace's limit, where no server has run it."""
        if not request.at_server and not request.possible_runs():
            self.admission.give_back(request.caller)

    async def run(self, request: ClientRequest) -> Reply:
        """Run an admitted request and return its final answer."""
        service = ""
        while True:
            now = self.monotonic()
            route = self.routes.usable(request)
            if isinstance(route, RefusalReason):
                return final_answer.without_route(request, route, self.rng)
            held = await self._held(request)
            if held is not None:
                return self._held_back(request, route, held)
            service = self._service(request, route, service, now)
            until = hold_time(request, route).until
            if not has_time(until, now, self.registry.times.least_s(service)):
                return self._not_served(request, route, RefusalReason.NO_TIME)
            selection = await self.choice.choose(request, route, service, now)
            if selection is None:
                continue
            if isinstance(selection, RefusalReason):
                return self._not_served(request, route, selection)
            attempt = await self._send(request, route, selection, until)
            decision = self._decide_retry(request, route, service, attempt)
            if decision.again:
                continue
            if decision.refusal is None:
                return final_answer.passed_on(attempt, route)
            return self._not_served(request, route, decision.refusal)

    def stop_reply(self, request: ClientRequest) -> Reply:
        """Return the final answer of a request that is given up because the process ends."""
        return final_answer.stopped(request, self.rng)

    def arrivals_per_s(self, service: str, now: float) -> float:
        """Return the requests a second that callers send here for a service."""
        return self.budgets.requests_per_s(service, now)

    async def _held(self, request: ClientRequest) -> Optional[Held]:
        """Return why a request is refused as one that crashes servers; None when it may be sent."""
        held = self.quarantine.refusal(request)
        if held is None or not held.trial_is_due(self.monotonic()):
            return held
        request.on_trial = await self.quarantine.take_trial(held)
        return None if request.on_trial else held

    def _held_back(self, request: ClientRequest, route: Route, held: Held) -> Reply:
        """Return the answer to a request that is refused as one that crashes servers."""
        reply = self._not_served(request, route, RefusalReason.CRASHES_SERVERS)
        if reply.refusal is not RefusalReason.CRASHES_SERVERS:
            return reply
        return reply._replace(retry_after_s=final_answer.trial_in_s(held, self.monotonic()))

    def _service(self, request: ClientRequest, route: Route, service: str, now: float) -> str:
        """Return the service that handles a request: drawn anew when its route has it no longer."""
        if not service:
            service = self.splits.service(route, request.key or request.id)
            self.budgets.of(service).arrived(now)
            fair_order = self.fair_orders.setdefault(service, FairOrder())
            request.ahead = fair_order.arrived(request.caller.workspace, now)
        elif service not in {part.service for part in route.parts}:
            service = self.splits.service(route, request.key)
        return service

    async def _send(
        self, request: ClientRequest, route: Route, selection: Selection, until: float
    ) -> Attempt:
        """Send a request, on a new connection where a stale one could cost it a run."""
        rest_s = most_rest_s(request, route)
        attempt = await self.sender.send(request, selection, until, most_rest_s=rest_s)
        request.attempts.append(attempt)
        return attempt

    def _decide_retry(
        self, request: ClientRequest, route: Route, service: str, attempt: Attempt
    ) -> RetryDecision:
        """Decide on a retry, and take it from the budget of the service."""
        decision = self._after_crash(request, attempt) or decide_retry(request, route, attempt)
        if not decision.costs_retry:
            return decision
        taken = self.budgets.of(service).take(self.monotonic(), self.registry.vm_count())
        return decision if taken else without_budget(attempt)

    def _after_crash(self, request: ClientRequest, attempt: Attempt) -> Optional[RetryDecision]:
        if attempt.why != CRASHED:
            return None
        crashes = self.quarantine.judgement(request).crashes
        return after_crash(crashes, on_trial=request.on_trial)

    def _not_served(self, request: ClientRequest, route: Route, refusal: RefusalReason) -> Reply:
        reply = final_answer.not_served(request, route, refusal, self.rng)
        if request.blocked is None:
            return reply
        known_s = None
        if reply.refusal is RefusalReason.NO_ROOM:
            known_s = self.return_times.retry_after_s(request.blocked.server_id, self.monotonic())
        elif reply.refusal is RefusalReason.NO_SERVER and request.blocked.until is not None:
            known_s = self.return_times.after_s(route.name, request.blocked.until, self.monotonic())
        return reply if known_s is None else reply._replace(retry_after_s=known_s)
