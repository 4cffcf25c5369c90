"""A request that asks for room at a server, as the rule of admission sees it.

The module turns a request, its route and the server's estimate into the rule's inputs: its kind,
the times that are left, and whether its caller could return. A caller that is refused has time to
return if it can wait for `_EARLIEST_RETURN_S` and be served before it gives up. It is to be back
while it can still be served in time, if that is possible, and within `MAX_RETURN_FRACTION` of its
time at the latest.

Inputs are monotonic times in seconds. The module keeps nothing. Tests:
tests/test_gateway_admission_gate.py.
"""

from typing import NamedTuple

from ...estimates.server_estimate import ServerEstimate
from ...resources import Route
from ...servers.backend_server import BackendServer
from ..choice.room import DEFAULT_LATENCY_TARGET_S, queue_position
from ..client_request import CallerHistory, ClientRequest
from ..outcome.hold_time import hold_time
from ..outcome.return_times import MIN_RETRY_AFTER_S
from .admission import Asked, RoomThere
from .demand import MAX_STEPS, Kind
from .sent_part import queue_reference_s
from .turn import Turn

MAX_RETURN_FRACTION = 1 / 3
"""Largest part of a caller's remaining time after which it is asked to return; callers wait no
longer than that."""

_EARLIEST_RETURN_S = 2 * MIN_RETRY_AFTER_S
"""Time until a refused caller is back at the earliest, in seconds, with the jitter."""


class RoomRequest(NamedTuple):
    """A request that asks for room at a server whose state is known.

    Args:
        server: The server that was selected.
        request: The request.
        route: Its route.
        estimate: What is expected of the server.
    """

    server: BackendServer
    request: ClientRequest
    route: Route
    estimate: ServerEstimate

    @property
    def service(self) -> str:
        """Return the name of the server's service."""
        return self.server.backend.service

    @property
    def kind(self) -> Kind:
        """Return the kind of the request."""
        request, workspace = self.request, self.request.caller.workspace
        rank = workspace.priority if workspace else 0
        steps = min(request.steps_over_share, MAX_STEPS)
        return Kind(rank, self.route.priority, steps, request.history.value)

    @property
    def room(self) -> RoomThere:
        """Return the room at the server, as the rule sees it."""
        ahead = self.server.room.count_ahead_of(queue_position(self.request, self.route))
        return RoomThere(self.estimate, ahead, self.server.in_flight)

    @property
    def work_s(self) -> float:
        """Return the expected time of the request's work at the server, in seconds."""
        return self.estimate.work_s * self.estimate.pace

    @property
    def first_target_s(self) -> float:
        """Return the time within which a first attempt's answer counts in full, in seconds."""
        target_s = self.route.latency_target_s
        return DEFAULT_LATENCY_TARGET_S if target_s is None else target_s

    @property
    def queue_reference_s(self) -> float:
        """Return the wait at servers that is aimed at under full load, in seconds."""
        return queue_reference_s(self.first_target_s - self.work_s, self.work_s)

    def target_s(self, now: float) -> float:
        """Return the time within which its answer counts in full, in seconds from now."""
        request = self.request
        return request.arrived_at - request.tried_for_s + self.first_target_s - now

    def asked(self, now: float) -> Asked:
        """Return the request as the rule sees it at a monotonic time, in seconds."""
        request = self.request
        returned = request.history is CallerHistory.RETURNING
        left_at_return_s = request.deadline - now - _EARLIEST_RETURN_S
        may_return = not (returned or request.possible_runs())
        return Asked(
            target_s=self.target_s(now),
            left_s=hold_time(request, self.route).until - now,
            first_target_s=self.first_target_s,
            may_return=may_return and left_at_return_s >= self.work_s,
            may_wait=not request.attempts,
            turn=request.service_turn or Turn(),
        )

    def latest_return_s(self, now: float) -> float:
        """Return when its caller has to be back, in seconds from now."""
        in_time_s = self.target_s(now) - self.work_s
        latest_s = (self.request.deadline - now) * MAX_RETURN_FRACTION
        return min(latest_s, in_time_s) if in_time_s >= MIN_RETRY_AFTER_S else latest_s
