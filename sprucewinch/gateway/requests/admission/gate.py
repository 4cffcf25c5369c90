"""Gives the rule of admission its inputs, and keeps what the rule learns from.

The gate asks for the estimate of the selected server, finds out whether a request's caller returns,
counts what each kind asks for, and gives refused callers the time at which room comes. It decides
nothing itself: `admission` and `sent_part` hold the rules. Where no estimate is known, because the
service's servers state no pace, it says so, and `choice.room` decides as before.

A refused caller returns when room is expected to come: at the rate of the servers, of which this VM
gives out its part, without what more urgent kinds ask for, in the order of the refusals of each
kind (`room_request` says when it has to be back).

Inputs are requests, routes and servers, and monotonic times in seconds. Verdicts show in `blocked`
of the event `request` and in the counters `admission_…`, what kinds ask for in `kinds` of `/state`.
Tests: tests/test_gateway_admission_gate.py.
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, Optional, Union

from ...estimates.admission_verdict import AdmissionVerdict
from ...estimates.server_estimate import ServerEstimates
from ...events import EventLog, NoEvents
from ...resources import Route, RouteConfiguration
from ...servers.backend_registry import BackendRegistry
from ...servers.backend_server import BackendServer
from ...state.named_state import NamedStateOwner, NamedTable, NameKind
from ...state.store_view import Change
from ..client_request import CallerHistory, ClientRequest
from ..outcome.return_times import RetryAfterTimes
from .admission import decide
from .demand import Kind, KindCounts, ServiceDemand
from .returning import ReturningCallers
from .room_request import RoomRequest
from .sent_part import FleetPart, bearable_slots, is_idle, queue_deviation, sent_part, trust
from .service_rate import ServiceCapacity, ServiceRates
from .turn import Turn

_MIN_LEFT_FRACTION = 0.1
"""Least part of the room that counts as left by more urgent kinds, so that times stay finite."""

_MIN_SLOTS = 0.001
"""Smallest part of a service's slots that counts as this VM's; keeps quotients finite."""

_RATE_DIGITS = 2
"""Decimal places of rates and slots in `/state`."""


class ServiceState:
    """What this VM knows of the demand for one service.

    Attributes:
        demand: What each kind asks for.
        part: This VM's part of the service's slots.
    """

    __slots__ = ("demand", "part")

    def __init__(self) -> None:
        self.demand = ServiceDemand()
        self.part = FleetPart()


class KindRates(NamedTuple):
    """What one kind asks of a service at this VM, and what becomes of it.

    Args:
        service: Name of the service.
        kind: The kind.
        asked_per_s: Requests a second.
        sent_per_s: Requests a second that are sent.
        refused_per_s: Requests a second that are refused.
        slots: Slots that its requests would keep busy.
    """

    service: str
    kind: Kind
    asked_per_s: float
    sent_per_s: float
    refused_per_s: float
    slots: float

    def to_row(self) -> dict[str, Union[str, float]]:
        """Return the row of `/state`; its names and their order must not change."""
        return {
            "service": self.service,
            "workspace_rank": self.kind.workspace_rank,
            "priority": self.kind.priority,
            "steps_over_share": self.kind.steps_over_share,
            "callers": CallerHistory(self.kind.history).name.lower(),
            "asked_per_s": round(self.asked_per_s, _RATE_DIGITS),
            "sent_per_s": round(self.sent_per_s, _RATE_DIGITS),
            "refused_per_s": round(self.refused_per_s, _RATE_DIGITS),
            "slots": round(self.slots, _RATE_DIGITS),
        }


class AdmissionGate(NamedStateOwner):
    """Decides for each request with what this VM knows.

    Args:
        registry: Backend servers.
        rng: Source of the jitter of return times.
        events: Counts verdicts; None to count none.
        estimates: Estimates of backend servers; None where there are none.
        caller_part: Returns this VM's part of all callers; None for an even part.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        rng: random.Random,
        *,
        events: Optional[EventLog] = None,
        estimates: Optional[ServerEstimates] = None,
        caller_part: Optional[Callable[[], float]] = None,
    ) -> None:
        self.registry = registry
        self.events = events or NoEvents()
        self.estimates = estimates
        self.services: dict[str, ServiceState] = {}
        self.return_times = RetryAfterTimes(registry, rng)
        self._returning = ReturningCallers()
        self._rates = ServiceRates(registry, caller_part)
        registry.store_view.listeners.append(self._on_change)

    def named_tables(self) -> Iterable[NamedTable]:
        """Return what is learned by route and service; see `NamedStateOwner`."""
        yield NamedTable("usual_waits", NameKind.ROUTE, self._returning.by_route)
        yield NamedTable("admission_demand", NameKind.SERVICE, self.services)

    def _on_change(self, change: Change) -> None:
        """Forget routes and services that a new configuration no longer has."""
        if not isinstance(change.after, RouteConfiguration):
            return
        routes = change.after.routes
        self._returning.forget_others({route.name for route in routes})
        named = {part.service for route in routes for part in route.parts}
        self.services = {name: state for name, state in self.services.items() if name in named}
        self._rates.forget()

    def ask(
        self, server: BackendServer, request: ClientRequest, route: Route, now: float
    ) -> Optional[RoomRequest]:
        """Return a request for room at a server; None where nothing is known of the server.

        Args:
            server: The server that was selected.
            request: The request.
            route: Its route.
            now: Monotonic time, in seconds.
        """
        if self.estimates is None:
            return None
        key = request.key if route.affinity else ""
        found = self.estimates.estimate(server.backend, route.name, key, now)
        if not math.isfinite(found.age_s) or min(found.work_s, found.queued_work_s) <= 0.0:
            return None
        ask = RoomRequest(server, request, route, found)
        if request.service_turn is None:
            self._record_asked(ask, now)
        return ask

    def verdict(self, ask: RoomRequest, now: float) -> AdmissionVerdict:
        """Return what becomes of a request.

        Args:
            ask: The request and its server.
            now: Monotonic time, in seconds.
        """
        verdict = decide(ask.asked(now), ask.room)
        request = ask.request
        if verdict.admitted:
            if not request.attempts:
                self._counts(ask).sent.add(1.0, now)
            self.events.count(f"admission_sent_{verdict.reason.value}")
        elif verdict.wait_s > 0.0 and not request.waited_for_room:
            request.waited_for_room = True
            self.events.count(f"admission_waited_{verdict.reason.value}")
        return verdict

    def refuse(self, ask: RoomRequest, verdict: AdmissionVerdict, now: float) -> AdmissionVerdict:
        """Return the verdict on a request that is not sent, with the time to return.

        Args:
            ask: The request and its server.
            verdict: The rule's verdict.
            now: Monotonic time, in seconds.
        """
        self.events.count(f"admission_refused_{verdict.reason.value}")
        self._counts(ask).refused.add(1.0, now)
        state = self._state(ask)
        first = ask.kind._replace(history=CallerHistory.RETURNING.value)
        slots = self._own_slots(ask, self._capacity(ask, now))
        left = slots - state.demand.wanted(first, now).ahead
        retry_after_s = self.return_times.retry_after_room_s(
            (ask.service, *first),
            max(left, _MIN_LEFT_FRACTION * slots) / ask.estimate.work_s,
            ask.latest_return_s(now),
            now,
        )
        return verdict._replace(wait_s=0.0, retry_after_s=retry_after_s)

    def kinds(self, now: float) -> Iterator[KindRates]:
        """Yield what each kind asks of each service, the most urgent kind first.

        Args:
            now: Monotonic time, in seconds.
        """
        for service, state in sorted(self.services.items()):
            for kind, counts in sorted(state.demand.by_kind.items()):
                yield KindRates(
                    service,
                    kind,
                    counts.asked.per_s(now),
                    counts.sent.per_s(now),
                    counts.refused.per_s(now),
                    counts.work_s.per_s(now),
                )

    def _record_asked(self, ask: RoomRequest, now: float) -> None:
        """Count a request, find out whether its caller returns, and whether it is its turn."""
        request, estimate = ask.request, ask.estimate
        if request.deadline_stated:
            stated_s = request.deadline - request.arrived_at
            request.history, request.tried_for_s = self._returning.attempt(ask.route.name, stated_s)
            if request.history is not CallerHistory.FIRST:
                self.events.count(f"callers_{request.history.name.lower()}")
        state = self._state(ask)
        counts = state.demand.record_asked(ask.kind, estimate.work_s, now)
        wanted = state.demand.wanted(ask.kind, now)
        deviation = trust(estimate) * queue_deviation(estimate, ask.queue_reference_s)
        capacity = self._capacity(ask, now)
        asked = wanted.total / max(_MIN_SLOTS, self._rates.caller_slots(capacity))
        state.part.update(asked, capacity.utilization, deviation, now)
        if state.part.has_room:
            request.service_turn = Turn()
            return
        bearable = bearable_slots(self._own_slots(ask, capacity), deviation)
        request.service_turn = Turn(
            come=counts.take_turn(sent_part(wanted, bearable)) or is_idle(estimate),
            urgent_first=wanted.ahead > 0.0,
            crowded_out=wanted.ahead >= bearable,
            overload=wanted.total >= bearable,
        )

    def _capacity(self, ask: RoomRequest, now: float) -> ServiceCapacity:
        assert self.estimates is not None
        return self._rates.capacity(ask.service, ask.route, self.estimates, now)

    def _own_slots(self, ask: RoomRequest, capacity: ServiceCapacity) -> float:
        """Return this VM's part of the slots of a service."""
        return self._rates.caller_slots(capacity) * self._state(ask).part.value

    def _counts(self, ask: RoomRequest) -> KindCounts:
        return self._state(ask).demand.counts(ask.kind)

    def _state(self, ask: RoomRequest) -> ServiceState:
        state = self.services.get(ask.service)
        if state is None:
            state = self.services[ask.service] = ServiceState()
        return state
