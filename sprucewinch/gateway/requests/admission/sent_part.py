"""Decides what part of the requests of a kind is sent when a service can't bear all of them.

The part follows from what this VM's callers ask for and from the VM's part of the service's slots.
The kinds are served in the order of their rank: the most urgent gets all that it asks for, the next
one what is left, down to the kind that gets a part, and those after it get only the floor. No kind
is sent less than `_FLOOR` times as often as all requests together, so none starves.

A queue alone can't decide this. A VM hears of a server's queue a few tenths of a second late, and
so does every other VM: where all of them send while the queue looks short and stop when it looks
long, it swings between empty and too long. What callers ask for is known at once. The queue
corrects: a longer one than `queue_reference_s` lowers the part, a shorter one raises it, by more
the newer the figure is. How many callers come to this VM and not to others is learned from what
servers hold (`FleetPart`). While the service as a whole has room, everything is sent.

Inputs are slots, estimates with their age, and times in seconds. The load that the rule answers is
1.6 times what servers bear in two kinds, seen by 4 to 75 VMs. The result shows as the reasons
`more-urgent-waits` and `target-missed`. Tests: tests/test_gateway_sent_part.py,
tests/test_gateway_admission_load.py.
"""

import math

from ...estimates.server_estimate import ServerEstimate
from .demand import Wanted

QUEUE_FRACTION = 0.5
"""Fraction of the time that a first attempt has to spare which it waits at servers on average under
full load. The rest is left to requests whose work takes longer than usual, and to returning
callers, which have less time."""

MIN_QUEUE_FRACTION = 0.25
"""The same where little time is to spare, as a fraction of a round of work: without any queue a
slot stands idle between two requests."""

_QUEUE_GAIN = 0.5
"""By how much the part is raised if nothing waits, and lowered for a queue of twice the reference,
as a fraction."""

_DRIFT_PER_S = 0.8
"""Rate at which this VM's part of the slots follows the same deviation, per second: slower than the
figures of servers age, faster than callers move between data halls."""

_MAX_DEVIATION = 2.0
"""Largest deviation of a queue from the reference that counts at once, in references."""

_MAX_STEP_S = 0.25
"""Longest time between two requests that counts as one step of the drift, in seconds."""

_FULL_UTILIZATION = 0.7
"""Requests per slot of all servers of a service from which its room is divided. Below, queues at
single servers are due to their objects and not to a lack of room."""

_UTILIZATION_DECAY_S = 0.5
"""Time after which an older figure of the whole service counts 1/e, in seconds."""

_MIN_UTILIZATION = 0.2
"""Least utilization that shows this VM's part. Below it there are too few requests, and when a
load begins, callers have asked before servers are seen to work."""

_PART_RANGE = (0.25, 16.0)
"""Least and greatest part of this VM, in even parts of the fleet."""

_TRUST_WORK_TIMES = 2.0
"""Age of a figure at which it counts 1/e, in times of the usual work: by then a server has answered
most of what it held."""

_IDLE_FRACTION = 0.5
"""Fraction of its slots in use below which a server takes every request, whatever is asked for."""

_FLOOR = 0.3
"""Least part of a kind's requests that is sent, in relation to that of all requests."""


def trust(estimate: ServerEstimate) -> float:
    """Return how much an estimate says of a server's queue now, from 1 for a new one to 0."""
    return math.exp(-estimate.age_s / (_TRUST_WORK_TIMES * estimate.queued_work_s * estimate.pace))


def queue_reference_s(spare_s: float, work_s: float) -> float:
    """Return the wait at servers under full load that is aimed at, in seconds.

    Args:
        spare_s: Time that a first attempt has to spare until its target, in seconds.
        work_s: Time of its work, in seconds.
    """
    return max(QUEUE_FRACTION * spare_s, MIN_QUEUE_FRACTION * work_s)


def queue_deviation(estimate: ServerEstimate, reference_s: float) -> float:
    """Return how much shorter a server's queue is than the reference, in references.

    It is 1 for a server with one free slot, more for one with more of them, and negative for a
    queue that is longer.
    """
    round_s = estimate.queued_work_s * estimate.pace
    queue_s = (estimate.held + 1.0 - estimate.slots) / max(1, estimate.slots) * round_s
    return max(-_MAX_DEVIATION, min(_MAX_DEVIATION, 1.0 - queue_s / reference_s))


def faded(estimate: ServerEstimate, reference_s: float) -> ServerEstimate:
    """Return an estimate in which a queue that was seen long ago counts as one of the reference.

    Free slots that were seen long ago count as taken, and a queue never as empty.
    """
    queue = estimate.held + 1.0 - estimate.slots
    usual = reference_s / (estimate.queued_work_s * estimate.pace) * estimate.slots
    weight = trust(estimate)
    queue = weight * queue + (1.0 - weight) * min(usual, max(0.0, queue))
    return estimate._replace(held=queue + estimate.slots - 1.0)


class FleetPart:
    """This VM's part of the slots of a service, in even parts of the fleet.

    While the service as a whole has room, what this VM asks for beside what its servers hold shows
    whether more callers come here than to others. Once it has none, that figure says no more than
    what was sent, and the part follows the queues instead.
    """

    __slots__ = ("_at", "_utilization", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self._utilization = 0.0
        self._at = float("-inf")

    @property
    def has_room(self) -> bool:
        """Return whether the service as a whole has room for all that is asked for."""
        return self._utilization < _FULL_UTILIZATION

    def update(self, asked: float, utilization: float, deviation: float, now: float) -> None:
        """Follow the figures of servers.

        Args:
            asked: What this VM's callers ask for, in even parts of the service's slots.
            utilization: Requests per slot that all servers of the service hold.
            deviation: How much shorter the queue of one server is than the reference, in
                references.
            now: Monotonic time, in seconds.
        """
        step_s = now - self._at
        self._at = now
        self._utilization += (utilization - self._utilization) * _weight(
            step_s, _UTILIZATION_DECAY_S
        )
        step_s = min(_MAX_STEP_S, step_s)
        if self.has_room:
            seen = max(1.0, asked / max(_MIN_UTILIZATION, self._utilization))
            self.value += (seen - self.value) * _weight(step_s, 1 / _DRIFT_PER_S)
        else:
            self.value *= math.exp(_DRIFT_PER_S * deviation * step_s)
        self.value = min(max(self.value, _PART_RANGE[0]), _PART_RANGE[1])


def _weight(step_s: float, decay_s: float) -> float:
    return 1.0 - math.exp(-step_s / decay_s)


def bearable_slots(own_slots: float, deviation: float) -> float:
    """Return how many slots this VM may keep busy now.

    Args:
        own_slots: Its part of the service's slots.
        deviation: How much shorter the server's queue is than the reference, in references.
    """
    return max(0.0, own_slots * (1.0 + _QUEUE_GAIN * deviation))


def sent_part(wanted: Wanted, bearable: float) -> float:
    """Return the part of a kind's requests that is sent, from 0 to 1.

    Args:
        wanted: What the kind, more urgent ones and all kinds ask for, in slots.
        bearable: Slots that this VM may keep busy.
    """
    if wanted.total <= bearable:
        return 1.0
    floor = _FLOOR * bearable / wanted.total
    left = (bearable - wanted.ahead) / wanted.own if wanted.own > 0.0 else 1.0
    return min(1.0, max(floor, left))


def is_idle(estimate: ServerEstimate) -> bool:
    """Return whether a server has so much room that it takes every request."""
    return estimate.held < _IDLE_FRACTION * estimate.slots * trust(estimate)
