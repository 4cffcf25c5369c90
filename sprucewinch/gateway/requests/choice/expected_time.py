"""Decides which of an object's candidate servers takes a request, by expected answer time.

The candidates are few, in the object's own order of preference; the first is the server that it
would be sent to anyway. That server keeps the request while its answer is expected within
`TARGET_FRACTION` of what is left of the route's latency target. Otherwise the request may move to a
candidate that is expected to answer sooner by `MIN_GAIN`: to the first one in the order that
answers within the target, or, if none does, to the soonest one that answers while the request is
held. Candidates that answer nearly at the same time count as equal, and the first of them in the
order is taken, so that an object has one second server, which soon keeps it warm.

Most of a service's capacity comes from objects that stay where they are warm, as a server works
several times as long on one that it has to load. Therefore a request moves only for its target,
servers that keep its object warm go before others, and one that would have to load the object takes
it only while at least half of its slots are free. A first server that is merely cold for the object
keeps the request: it would otherwise never become warm, and a server that has joined would get no
requests at all.

All VMs see the same figures, so the order matters more than the expected times: objects of one
late server have different second servers, while a search for the soonest server would send them
all to the same one. A candidate without a recent report takes no moved request, as a missing report
does not mean that it is idle.

The inputs are estimates of the candidates, whether each has room for the request, and the times
left until the route's target and until the end of the request's hold time, in seconds. The module
has no state and relies on the estimates. A move is logged in the field `sooner` of the event
`request`. Tests: tests/test_gateway_expected_time.py, tests/test_gateway_placement.py,
tests/test_gateway_placement_load.py.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ...estimates.server_estimate import ServerEstimate

TARGET_FRACTION = 0.65
"""Fraction of the time left until the target within which the first server must be expected to
answer; the rest is for work that takes longer than usual, and for requests of other VMs that reach
the server first."""

MIN_GAIN = 1.25
"""Factor by which another server must be sooner before a request moves to it. Differences below it
are within the variation of work times, and moving an object costs the time to load it."""

MAX_REPORT_AGE_S = 1.5
"""Oldest report with which a server takes moved requests, in seconds: within one latency target, a
server that was idle may have got a whole queue."""

MAX_COLD_UTILIZATION = 0.5
"""Requests held per slot below which a server takes moved requests of objects that it would have to
load. Above it, the longer work takes slots from its own objects."""

ROUND_TRIP_S = 0.02
"""Time added to the answers of servers in another region, in seconds; twice the one-way distance
that policies see (`regions.shares`)."""

SLOW_PACE = 1.5
"""Pace from which a server counts as slow, and not just as cold for an object."""


class Candidate(NamedTuple):
    """A server that may take a request.

    Args:
        estimate: What is expected of it for this request.
        has_room: True if it accepts the request now.
        remote: True if it is in another region than the object.
    """

    estimate: ServerEstimate
    has_room: bool = True
    remote: bool = False

    @property
    def answer_s(self) -> float:
        """Return the expected time until the answer is here, in seconds."""
        return self.estimate.answer_s + (ROUND_TRIP_S if self.remote else 0.0)

    @property
    def takes_moved(self) -> bool:
        """Return whether it takes a request that would otherwise go to another server."""
        estimate = self.estimate
        if not self.has_room or estimate.age_s > MAX_REPORT_AGE_S:
            return False
        return estimate.warm or estimate.held < MAX_COLD_UTILIZATION * estimate.slots


class TimeLeft(NamedTuple):
    """Times left for a request, in seconds.

    Args:
        target_s: Until the route's latency target; may be negative.
        hold_s: Until the request is no longer held.
    """

    target_s: float
    hold_s: float


def keeps_request(first: Candidate, left: TimeLeft) -> bool:
    """Return whether the first server of a request keeps it, without regard to the others.

    Args:
        first: The first server.
        left: Times left for the request.
    """
    if not first.has_room:
        return False
    if first.answer_s <= TARGET_FRACTION * left.target_s:
        return True
    estimate = first.estimate
    return not estimate.warm and estimate.wait_s == 0.0 and estimate.pace < SLOW_PACE


def best_candidate(candidates: Sequence[Candidate], left: TimeLeft) -> int:
    """Return the index of the candidate that takes a request; 0 for the first one.

    Args:
        candidates: The candidates in the object's order of preference; at least one.
        left: Times left for the request.
    """
    first = candidates[0]
    if keeps_request(first, left):
        return 0
    latest_s = first.answer_s / MIN_GAIN if first.has_room else float("inf")
    sooner = [
        index
        for index, candidate in enumerate(candidates)
        if index and candidate.takes_moved and candidate.answer_s <= min(latest_s, left.hold_s)
    ]
    if not sooner:
        return 0
    in_target = [index for index in sooner if candidates[index].answer_s <= left.target_s]
    if in_target:
        warm = [index for index in in_target if candidates[index].estimate.warm]
        return (warm or in_target)[0]
    nearly_equal_s = min(candidates[index].answer_s for index in sooner) * MIN_GAIN
    return next(index for index in sooner if candidates[index].answer_s <= nearly_equal_s)


def may_take_over(candidate: Candidate, left: TimeLeft) -> bool:
    """Return whether a candidate may take a request that its first server would answer in time.

    Args:
        candidate: The candidate.
        left: Times left for the request.
    """
    return (
        candidate.takes_moved
        and candidate.estimate.warm
        and candidate.answer_s <= min(left.target_s, left.hold_s)
    )
