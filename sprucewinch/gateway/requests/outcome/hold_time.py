"""Rule: how long a request is held before this VM gives its final answer.

Question: until when may a request wait or be worked on? Inputs: the caller's stated wait as text
in milliseconds, the arrival in monotonic seconds, the route's time in seconds. Rule: until shortly
before the caller gives up, and never past the route's time. A request without a readable wait is
held for a default, and one with too long a wait for the limit, so that a caller cannot hold memory
without end. Only the caller's own deadline has a margin, for the way back of the answer;
a route's time is kept to the end.

Constants: `ANSWER_MARGIN_S`, `DEFAULT_WAIT_S`, `MAX_WAIT_S`, each with its ground below it.
Shows in: event `request`, `outcome` `timeout` or `no-time` and `ms`; counter
`requests_with_unreadable_deadline`. Tests: tests/test_gateway_request_rules.py,
tests/test_gateway_pipeline.py (`Ends`).

Requests that are known to be unservable, and what each does today:

- No server is allowed (the service has none, the route's regions have none, or all were tried):
  refused at once with `no-server`; it is not held.
- All servers are cold past this VM's allowance: `server_selection` takes none of them, so it is
  refused at once with `no-server`; it does not wait until the allowance allows one more.
- All servers rest, are silent or ejected, and at least one is not cold: the first that is not cold
  is tried all the same; it is not refused.
- All servers are cold, and those with an allowance left rest, are silent or ejected: refused at
  once with `no-server`.
- The deadline is over, margin included, or less of it is left than any answer of the service takes
  (`time_left`): refused at once with `no-time`.
- The server is full and stays full: held for `room.ROOM_WAIT_FRACTION` of the route's latency
  target at most, then refused with `no-room`.
"""

import enum
import math
from typing import NamedTuple, Optional

from ...resources import Route
from ..client_request import ClientRequest

DEFAULT_WAIT_S = 10.0
"""Assumed wait of a caller that states none, in seconds."""

MAX_WAIT_S = 300.0
"""Longest wait that a caller's header may set, in seconds."""

ANSWER_MARGIN_S = 0.04
"""How long before a caller leaves it gets its final answer, in seconds: a safety margin for the way
back."""

MS_PER_S = 1000
"""Milliseconds in a second: deadlines are stated in milliseconds."""


class WaitSource(enum.Enum):
    """Where the length of a caller's wait comes from."""

    STATED = "stated"
    """The caller's header."""
    CAPPED = "capped"
    """The limit: the caller's header asks for more."""
    ABSENT = "absent"
    """The default: there is no header, which is allowed."""
    UNREADABLE = "unreadable"
    """The default: the header is no positive, finite number."""


class CallerWait(NamedTuple):
    """How long a caller waits.

    Args:
        seconds: Time from the arrival, in seconds.
        source: Where it comes from.
    """

    seconds: float
    source: WaitSource


def caller_wait(text: Optional[str]) -> CallerWait:
    """Return how long a caller waits; the source says when a default stands in for its header.

    Args:
        text: The caller's header, in milliseconds; None or empty when there is none.
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
    """What bounds the time that a request is held."""

    CALLER = "caller"
    """The caller's deadline, less the margin."""
    ROUTE = "route"
    """The route's time."""


class HoldTime(NamedTuple):
    """Until when a request is held.

    Args:
        until: Monotonic time, in seconds.
        bound: What bounds it.
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
