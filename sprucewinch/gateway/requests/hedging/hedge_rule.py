"""Decides when a request that is still at its first server is tried at a second one as well.

A second try starts once the first has taken `HEDGE_FACTOR` times the expected answer time, and only
if all of these hold: the route's requests may run more than once and on another server; the second
server has most of its slots free by a recent report; and its answer is expected while the request
is still held. The second try is taken from the retry budget.

The load that it answers: 3 in 100 requests take seven times as long as others of their kind at any
server, which is longer than their route holds them, and some servers accept requests and never
answer. Their callers get an answer from the second server instead of a timeout. A service without
spare slots gets no second tries, as they would delay other requests by more than they help.

Inputs are the route, the estimates of both servers and the times left, in seconds. The module has
no state. Second tries show as `hedged` in `sends` of the event `request` and in the counters
`requests_hedged` and `hedges_won`. Tests: tests/test_gateway_hedging.py.
"""

from typing import Optional

from ...estimates.server_estimate import ServerEstimate
from ...resources import Route

HEDGE_FACTOR = 2.0
"""Multiple of the expected answer time after which a request runs unusually long. Nearly all
answers come before it; a larger factor leaves too little time for the second server."""

MIN_HEDGE_DELAY_S = 0.1
"""Shortest time before a second try, in seconds: below it, differences between servers are within
the time that the network and this VM take."""

_MAX_REPORT_AGE_S = 1.5
"""Oldest report of a second server, in seconds: since an older one, its queue may have filled."""

_MAX_HELD_FRACTION = 0.5
"""Fraction of its slots that a second server may use: the rest is for its own objects."""


def hedge_delay_s(route: Route, first: Optional[ServerEstimate], held_s: float) -> Optional[float]:
    """Return after which time a second try may start; None for never.

    Args:
        route: Route of the request.
        first: Estimate of its first server when it was sent; None if nothing is known of it.
        held_s: Time for which the request is still held, in seconds.
    """
    if not route.repeatable or route.max_attempts <= 1:
        return None
    if first is None or first.work_s <= 0.0 or first.age_s == float("inf"):
        return None
    delay_s = max(MIN_HEDGE_DELAY_S, HEDGE_FACTOR * first.answer_s)
    return delay_s if delay_s + first.work_s < held_s else None


def may_hedge(second: ServerEstimate, held_s: float) -> bool:
    """Return whether a second server may get a second try.

    Args:
        second: Its estimate now.
        held_s: Time for which the request is still held, in seconds.
    """
    if second.age_s > _MAX_REPORT_AGE_S or second.held > _MAX_HELD_FRACTION * second.slots:
        return False
    return second.answer_s < held_s
