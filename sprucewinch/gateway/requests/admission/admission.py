"""Decides whether a request is sent, waits for room, or is refused at once.

A caller is served well if its answer comes within the latency target, counted from its first
attempt. The rule compares the time to spare until then, beyond the work itself, with the wait at
the server:

- A request whose answer is expected in time is sent if its turn has come: under overload only a
  part of each kind is sent, more urgent ones and returning callers first (`sent_part`).
- A first attempt that is not sent is refused at once, as long as its caller has time to return and
  be served. So the queue at a server does not grow beyond what is answered in time, and refusals
  come early.
- A caller that was refused before, or that has no time to return, waits at this VM for the place of
  a request that ends, if that is expected soon enough, and is refused when it no longer is. It does
  not wait where more urgent kinds ask for all that the service bears.
- An answer that comes late is better than none: such a request is sent where a slot would be idle.
- A request whose answer is expected after its caller or its route gives up is refused at once.

Where the work takes nearly as long as the target, or longer, a caller that returned would be late
in any case. Its request may wait at the server for a part of a round of work instead.

Inputs are times in seconds from now, the server's estimate, and numbers of requests; the rule does
no input or output and keeps nothing. Thresholds follow from the route's target and timeout, the
caller's deadline and the usual work. The reason shows in `blocked` of the event `request` and in
the counters `admission_…`. Tests: tests/test_gateway_admission.py,
tests/test_gateway_admission_load.py.
"""

from typing import NamedTuple

from ...estimates.admission_verdict import AdmissionReason, AdmissionVerdict
from ...estimates.server_estimate import ServerEstimate
from ..outcome.return_times import MIN_RETRY_AFTER_S
from .sent_part import faded, is_idle, queue_reference_s
from .turn import Turn


class Asked(NamedTuple):
    """A request that asks for room; all times are in seconds from now.

    Args:
        target_s: Time within which its answer counts in full; negative once that is over.
        left_s: Time until its caller or its route gives up.
        first_target_s: Time within which the answer to a first attempt counts in full.
        may_return: True if its caller was not refused before, and has time to return.
        may_wait: True if it may wait at this VM.
        turn: Its turn among all requests for the service.
    """

    target_s: float
    left_s: float
    first_target_s: float
    may_return: bool = True
    may_wait: bool = True
    turn: Turn = Turn()


class RoomThere(NamedTuple):
    """The room at the server that was selected.

    Args:
        estimate: What is expected of the server.
        waiting_ahead: Requests that wait at this VM for the same server and go before this one.
        in_flight: Requests of this VM that the server holds.
    """

    estimate: ServerEstimate
    waiting_ahead: int = 0
    in_flight: int = 0

    @property
    def work_s(self) -> float:
        """Return the expected time of the request's work there, in seconds."""
        return self.estimate.work_s * self.estimate.pace

    @property
    def next_place_s(self) -> float:
        """Return the expected time until a place is free for the request, in seconds."""
        if not self.in_flight:
            return float("inf")
        return (self.waiting_ahead + 1) * self.estimate.answer_s / self.in_flight


def decide(asked: Asked, room: RoomThere) -> AdmissionVerdict:
    """Return what becomes of a request.

    Args:
        asked: The request.
        room: The room at its server.
    """
    if room.estimate.answer_s > asked.left_s:
        return AdmissionVerdict(False, AdmissionReason.DEADLINE_MISSED)
    spare_s = asked.target_s - room.work_s
    wait_s = faded(room.estimate, _reference_s(asked, room)).wait_s
    if wait_s > spare_s and not (asked.may_return and spare_s >= MIN_RETRY_AFTER_S):
        return _decide_late(asked, room)
    if wait_s > spare_s:
        return AdmissionVerdict(False, AdmissionReason.TARGET_MISSED)
    if asked.turn.come and not room.waiting_ahead:
        return AdmissionVerdict(True, AdmissionReason.IN_TIME)
    left_s = spare_s - wait_s
    may_wait = asked.may_wait and not (asked.may_return or asked.turn.crowded_out)
    waits = may_wait and room.next_place_s <= left_s
    return AdmissionVerdict(False, _not_sent(asked, room), wait_s=left_s if waits else 0.0)


def _reference_s(asked: Asked, room: RoomThere) -> float:
    """Return the wait at servers that is aimed at under full load, in seconds."""
    return queue_reference_s(asked.first_target_s - room.work_s, room.work_s)


def _decide_late(asked: Asked, room: RoomThere) -> AdmissionVerdict:
    """Return what becomes of a request whose answer comes late, but before its caller gives up."""
    if not _has_room_for_late(asked, room):
        return AdmissionVerdict(False, AdmissionReason.TARGET_MISSED)
    if room.waiting_ahead or not asked.turn.come:
        return AdmissionVerdict(False, _not_sent(asked, room))
    return AdmissionVerdict(True, AdmissionReason.LATE_BUT_WORTH)


def _has_room_for_late(asked: Asked, room: RoomThere) -> bool:
    """Return whether a late answer delays none that would be in time."""
    if asked.first_target_s - room.work_s < MIN_RETRY_AFTER_S:
        return room.estimate.wait_s <= _reference_s(asked, room)
    if asked.turn.overload:
        return is_idle(room.estimate)
    return room.estimate.wait_s <= 0.0


def _not_sent(asked: Asked, room: RoomThere) -> AdmissionReason:
    """Return why a request is not sent although it would be answered in time."""
    if room.waiting_ahead or asked.turn.urgent_first:
        return AdmissionReason.MORE_URGENT_WAITS
    return AdmissionReason.TARGET_MISSED
