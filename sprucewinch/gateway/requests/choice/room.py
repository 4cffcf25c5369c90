"""Decides whether a backend server has room for a request, and how long the request waits for it.

The decision is whether this VM may send one more request to this server now, and if not, how long
the request waits. A server has room when all of these hold: no request waits there that is more
urgent, or as urgent with an earlier deadline; this VM's requests there are below its concurrency
limit for the server; and the server's load, counted over all VMs, is below the number of requests
that it can answer within the route's timeout. A request waits for at most a fraction of its route's
latency target, and only before its first attempt.

Where servers state their pace, `admission` decides instead of these limits, and only the order of
the waiting requests is that of this module.

VMs do not reserve slots with each other; each VM limits itself by what servers report. A refusal
helps a caller only if it comes early enough to retry. Waiting requests are ordered by the
priorities of workspace and route, then by deadline (`servers.capacity.room_queue`). When a request
at the server ends, the first waiting request checks for room again. When as many requests wait as
the server has slots, the last one is refused.

The inputs are the server's counts, its load limit for the route's timeout, the priorities, and the
request's times (monotonic, in seconds). The constants of the load limit are in
`servers.capacity.service_times`. A refusal is logged in the event `request` with the `outcome`
`no-room`, and the values that decided it in `blocked`. The tests are in
tests/test_gateway_request_rules.py (`Selections`), tests/test_gateway_server_selection.py
(`Overload`, `Priorities`, `QueuesThatFit`), tests/test_gateway_usability.py (`WaitsForRoom`) and
tests/test_gateway_fair_order.py.
"""

from typing import Optional

from ...resources import Route
from ...servers.backend_server import BackendServer
from ...servers.capacity.room_queue import QueuePosition
from ...servers.capacity.service_times import ServiceTimes
from ..client_request import BlockedReason, ClientRequest

DEFAULT_LATENCY_TARGET_S = 0.4
"""Latency target of a route that sets none."""

ROOM_WAIT_FRACTION = 0.1
"""Fraction of a route's latency target for which a request may wait for room. It is short so that a
refused caller still has time to be served elsewhere or by a later retry."""

RESERVED_FRACTION = 0.34
"""Fraction of a server's concurrency limit that a workspace above its fair share leaves to other
workspaces: one slot of three."""

ROOM_RECHECK_INTERVAL_S = 0.02
"""Longest time between two checks for room. A server's load report may also free room, and it
wakes no waiting request."""


def no_room_reason(
    server: BackendServer, request: ClientRequest, route: Route, times: ServiceTimes, now: float
) -> Optional[BlockedReason]:
    """Return why a server has no room for a request; None when it has room.

    Args:
        server: The server.
        request: The request.
        route: Its route.
        times: Gives the load limit of a server for a route's timeout.
        now: Monotonic time, in seconds.
    """
    if server.has_waiter_ahead_of(queue_position(request, route)):
        return BlockedReason.OTHER_WAITS
    if server.in_flight >= int(server.concurrency_limit) - _reserved_slots(server, request):
        return BlockedReason.CONCURRENCY_LIMIT
    limit = times.load_limit(server.backend, server.latency_s, route.timeout_s)
    if server.load(now) >= limit:
        return BlockedReason.LOAD_LIMIT
    return None


def _reserved_slots(server: BackendServer, request: ClientRequest) -> int:
    """Return how many slots of a server's concurrency limit a request leaves to other workspaces.

    A workspace above its fair share must not fill a server, as the next request of another
    workspace would have to wait for a whole request to complete.
    """
    return int(server.concurrency_limit * RESERVED_FRACTION) if request.steps_over_share else 0


def queue_position(request: ClientRequest, route: Route) -> QueuePosition:
    """Return a request's position among those that wait for room.

    Requests are ordered by the workspace's priority, then by the route's. Within the same
    priorities, requests of workspaces that are not above their fair share go first; of these, those
    of callers that were refused before. A workspace that sends too much is refused most often, and
    its callers must not go before others when they return.
    """
    workspace = request.caller.workspace
    workspace_rank = workspace.priority if workspace else 0
    rank = (workspace_rank, route.priority, request.steps_over_share, request.history.value)
    return QueuePosition(rank, request.deadline)


def room_wait_s(request: ClientRequest, route: Route, now: float) -> float:
    """Return how long a request may still wait for room, in seconds; 0 or less means no wait.

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
    return min(request.arrived_at + target_s * ROOM_WAIT_FRACTION, request.deadline) - now
