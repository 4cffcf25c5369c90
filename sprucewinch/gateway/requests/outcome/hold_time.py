"""Decides how long a request is held before this VM gives its final answer.

A request may wait or be worked on until shortly before its caller gives up, and never past the
route's timeout. A request without a readable wait is held for a default time, and one with too long
a wait for the maximum, so that a caller cannot hold memory without end. Only the caller's own
deadline has a margin, for the answer's transfer; a route's timeout is used in full. The inputs are
the text of the caller's header (in milliseconds), the arrival (monotonic, in seconds) and the
route's timeout (in seconds).

The result is logged in the event `request` as the `outcome` `timeout` or `no-time` and in `ms`; the
counter `requests_with_unreadable_deadline` counts headers that are not a number. The tests are in
tests/test_gateway_request_rules.py and tests/test_gateway_pipeline.py (`Ends`).

Requests that are known to be unservable are handled as follows:

- No server is allowed (the service has none, the route's regions have none, or all were tried):
  refused at once with `no-server`; it is not held.
- All servers are cold and this VM's allowance for them is used up: `server_selection` takes none of
  them, so the request is refused at once with `no-server`; it does not wait for the allowance.
- All servers are backed off, silent or ejected, and at least one is not cold: the first one that is
  not cold is tried all the same; the request is not refused.
- All servers are cold, and those with allowance left are backed off, silent or ejected: refused at
  once with `no-server`.
- The deadline has passed, margin included, or less time is left than any answer of the service
  takes (`time_left`): refused at once with `no-time`.
- The server is full and stays full: held for at most `room.ROOM_WAIT_FRACTION` of the route's
  latency target, then refused with `no-room`. Where servers state their pace: refused at once, or
  as soon as it can no longer be served in time (`admission.admission`).
"""

import enum
import math
from typing import NamedTuple, Optional

from ...resources import Route
from ..client_request import ClientRequest

DEFAULT_WAIT_S = 10.0
"""Wait that is assumed for a caller that states none."""

MAX_WAIT_S = 300.0
"""Longest wait that a caller's header may request."""

ANSWER_MARGIN_S = 0.04
"""Time before a caller's deadline at which it gets its final answer: a margin for the answer's
transfer."""

MS_PER_S = 1000
"""Milliseconds in a second; deadlines are stated in milliseconds."""


class WaitSource(enum.Enum):
    """Source of a caller's wait."""

    STATED = "stated"
    """The caller's header."""
    CAPPED = "capped"
    """The limit, as the caller's header asks for more."""
    ABSENT = "absent"
    """The default, as there is no header, which is allowed."""
    UNREADABLE = "unreadable"
    """The default, as the header is not a positive, finite number."""


class CallerWait(NamedTuple):
    """How long a caller waits.

    Args:
        seconds: Time from the request's arrival, in seconds.
        source: Source of this time.
    """

    seconds: float
    source: WaitSource


def caller_wait(text: Optional[str]) -> CallerWait:
    """Return how long a caller waits, and whether this is its header or a default.

    Args:
        text: Value of the caller's header, in milliseconds; None or empty when there is none.
    """
    if not text:
        return CallerWait(DEFAULT_WAIT_S, WaitSource.ABSENT)
    try:
        seconds = float(text) / MS_PER_S
    except ValueError:
        return CallerWait(DEFAULT_WAIT_S, WaitSource.UNREADABLE)
    if not math.isfinite(seconds) or seconds <= 0:
        return CallerWait(DEFAULT_WAIT_S, WaitSource.UNREADABLE)
    if seconds > MAX_WAIT_S:
        return CallerWait(MAX_WAIT_S, WaitSource.CAPPED)
    return CallerWait(seconds, WaitSource.STATED)


class HoldBound(enum.Enum):
    """What limits the time for which a request is held."""

    CALLER = "caller"
    """The caller's deadline, minus the margin."""
    ROUTE = "route"
    """The route's timeout."""


class HoldTime(NamedTuple):
    """Until when a request is held.

    Args:
        until: Monotonic time, in seconds.
        bound: What limits it.
    """

    until: float
    bound: HoldBound


def hold_time(request: ClientRequest, route: Route) -> HoldTime:
    """Return until when a request is held.

    Args:
        request: The request.
        route: Its route.
    """
    deadline = request.deadline - ANSWER_MARGIN_S
    if route.timeout_s is None:
        return HoldTime(deadline, HoldBound.CALLER)
    route_end = request.arrived_at + route.timeout_s
    if route_end < deadline:
        return HoldTime(route_end, HoldBound.ROUTE)
    return HoldTime(deadline, HoldBound.CALLER)
