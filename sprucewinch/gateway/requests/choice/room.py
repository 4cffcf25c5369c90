"""Rule: whether a backend server has room for a request, and how long a request waits for it.

Question: may this VM send one more request to this server now, and if not, how long does the
request wait? Inputs: the server's counts, the load limit of the route's time, the route's rank, the
request's times in monotonic seconds. Rule: there is room when no request waits there that is more
urgent, or as urgent and given up earlier by its caller, this VM's requests are below its
concurrency limit there, and the server's load, all VMs together, is below what it answers within
the route's time. A request waits for a part of its route's latency target at most, and only before
its first attempt.

Why so: no VM asks another one for a slot, so each bounds itself by what servers report; a refusal
is useful to a caller only while it comes early, with time left to come back. Requests that wait
stand in the order of the route's rank, then of their deadlines (`servers.capacity.room_queue`), and
the first one looks anew when a request there is over; when as many wait as the server has slots,
the last one is refused.

Constants: `ROOM_WAIT_PART`, `DEFAULT_LATENCY_TARGET_S`, `LOOK_AGAIN_S`, `KEPT_FREE_PART`; the load
limit's are in `servers.capacity.service_times`. Shows in: event `request`, `outcome` `no-room` and
`blocked`. Tests: tests/test_gateway_request_rules.py (`Selections`),
tests/test_gateway_server_selection.py (`Overload`, `Priorities`, `QueuesThatFit`),
tests/test_gateway_usability.py (`WaitsForRoom`), tests/test_gateway_fair_order.py.
"""

from typing import Optional

from ...resources import Route
from ...servers.backend_server import BackendServer
from ...servers.capacity.room_queue import Place
from ...servers.capacity.service_times import ServiceTimes
from ..client_request import BlockedReason, ClientRequest

DEFAULT_LATENCY_TARGET_S = 0.4
"""Latency target of a route that sets none, in seconds."""

ROOM_WAIT_PART = 0.1
"""Part of a route's latency target that a request waits for room: short, so that a caller that is
refused learns it early enough to be served in time elsewhere or later."""

KEPT_FREE_PART = 0.34
"""Part of a server's limit that a workspace ahead of its share leaves to others: one of three
slots."""

LOOK_AGAIN_S = 0.02
"""Longest time between two looks for room, in seconds: room may also come from a server's load
report, which wakes no waiting request."""


def no_room_reason(
    server: BackendServer, request: ClientRequest, route: Route, times: ServiceTimes, now: float
) -> Optional[BlockedReason]:
    """Return why a server has no room for a request; None when it has room.

    Args:
        server: The server.
        request: The request.
        route: Its route.
        times: Knows the load limit of a route's time at a server.
        now: Monotonic time, in seconds.
    """
    if server.stands_before(place_in_queue(request, route)):
        return BlockedReason.OTHER_WAITS
    if server.in_flight >= int(server.concurrency_limit) - _kept_free(server, request):
        return BlockedReason.CONCURRENCY_LIMIT
    limit = times.load_limit(server.backend, server.latency_s, route.timeout_s)
    if server.load(now) >= limit:
        return BlockedReason.LOAD_LIMIT
    return None


def _kept_free(server: BackendServer, request: ClientRequest) -> int:
    """Return how much of a server's limit a request leaves to others.

    A workspace that is ahead of its share fills no server whole: what waits behind it would have to
    wait for a whole run.
    """
    return int(server.concurrency_limit * KEPT_FREE_PART) if request.ahead else 0


def place_in_queue(request: ClientRequest, route: Route) -> Place:
    """Return a request's place among those that wait for room.

    Its workspace's rank comes first, then its route's; within a rank those go first whose workspace
    is not ahead of its share.
    """
    workspace = request.caller.workspace
    workspace_rank = workspace.priority if workspace else 0
    return Place((workspace_rank, route.priority, request.ahead), request.deadline)


def room_wait_s(request: ClientRequest, route: Route, now: float) -> float:
    """Return how long a request may still wait for room, in seconds; 0 or less for not at all.

    Args:
        request: The request.
        route: Its route.
        now: Monotonic time, in seconds.
    """
    if request.attempts:
        return 0.0
    target_s = DEFAULT_LATENCY_TARGET_S
    if route.latency_target_s is not None:
        target_s = route.latency_target_s
    return min(request.arrived_at + target_s * ROOM_WAIT_PART, request.deadline) - now
