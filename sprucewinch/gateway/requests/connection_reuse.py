"""Decides how long a pooled connection may have been idle to carry a request.

A retry gets a new connection, as whatever broke the first attempt may have broken other connections
too. A request that may run again uses any pooled connection. One that must not run twice uses a
connection that has carried an answer within the last `MAX_NON_REPEATABLE_IDLE_S` seconds. The
inputs are the request with its attempts and its route.

A pooled connection may have failed unnoticed. For a repeatable request that costs a retry, but a
request that must not run twice gets no answer, as nobody knows whether it ran. The shorter the idle
time, the less likely this is; a new connection costs a round trip, which is most of the latency
target between distant regions.

The metric `backend_connections_opened` counts new connections. The tests are in
tests/test_gateway_pool.py and tests/test_gateway_request_rules.py (`KeptConnections`).
"""

from ..resources import Route
from .client_request import ClientRequest

MAX_NON_REPEATABLE_IDLE_S = 3.0
"""Longest idle time of a connection that carries a request that must not run twice: well below the
idle time after which the pool closes connections (`servers.pool`). More requests are served in time
than with a new connection for each such request (docs/CONSTANTS.md)."""


def max_idle_s(request: ClientRequest, route: Route) -> float:
    """Return how long a pooled connection may have been idle to carry a request, in seconds.

    Args:
        request: The request.
        route: Its route.

    Returns:
        0 when the request needs a new connection; infinite when any pooled connection may carry it.
    """
    if request.attempts:
        return 0.0
    return float("inf") if route.repeatable else MAX_NON_REPEATABLE_IDLE_S
