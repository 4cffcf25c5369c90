"""Rule: how long a kept connection may have rested to carry a request.

Question: may a request use a kept connection, or does it need a new one? Inputs: the request with
its attempts, its route; times in seconds. Rule: a retry gets a new connection, as what spoilt the
first attempt may have spoilt others. A request that may run again uses any kept connection. One
that must not run twice uses a connection that carried an answer at most `ONCE_REST_S` ago.

Why so: a kept connection may have died unnoticed. That costs a repeatable request a retry, but one
that must not run twice its answer, as nobody knows whether it ran. The shorter the rest, the less
likely that is; a new connection costs a round trip, which is most of the latency target between
distant regions.

Constants: `ONCE_REST_S`. Shows in: the metric `backend_connections_opened`. Tests:
tests/test_gateway_pool.py, tests/test_gateway_request_rules.py (`KeptConnections`).
"""

from ..resources import Route
from .client_request import ClientRequest

ONCE_REST_S = 3.0
"""Longest rest of a connection that carries a request that must not run twice, in seconds: well
under the time for which any kept connection may rest (`servers.pool`). Against a new one for each
such request it serves more requests in time (docs/CONSTANTS.md)."""


def most_rest_s(request: ClientRequest, route: Route) -> float:
    """Return the longest rest of a kept connection that may carry a request; 0 for a new one.

    Args:
        request: The request.
        route: Its route.
    """
    if request.attempts:
        return 0.0
    return float("inf") if route.repeatable else ONCE_REST_S
