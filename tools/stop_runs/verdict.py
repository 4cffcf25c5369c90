"""Judges what became of the bookings of a stop by what callers and servers saw.

Owns the rule: a booking that was read is answered by its server, or did not run. It is excused when
its server broke off, when its deadline or its route's timeout was reached, and, for one sent by
`EXCUSED_UNTIL_S`, when its server was still at work in the last sixth of the grace time.
"""

import enum
from typing import NamedTuple, Optional

from .caller import DEADLINE_S, Booking

EXCUSED_UNTIL_S = 3.0
"""Time from the signal until which a booking may be sent that the end of the process breaks off, in
seconds. Bound of the platform's rules."""

LATE_S = 2.9
"""Time from the signal from which a VM refuses what is not whole, in seconds."""

_LAST_PART = 1 / 6
"""Part of the grace time, at its end, in which a server must still be at work for that."""

LOST_S = 0.2
"""Time from its last byte until which a booking may end without an answer if it was not passed on,
in seconds. Bound `Lost` of the example."""

_SUCCESS = 200
_PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


class Fate(enum.Enum):
    """What became of a booking."""

    SERVED = "served"
    REFUSED = "refused"
    EXCUSED = "excused"
    UNREAD = "unread"
    LOST = "lost"
    BROKEN_PROMISE = "refused, though it ran"


class Stop(NamedTuple):
    """One stop.

    Args:
        signalled_at: Time of the loop of the signal, in seconds.
        grace_s: Time from the signal until the process is killed, in seconds.
        timeout_s: Timeout of the route, in seconds.
    """

    signalled_at: float
    grace_s: float
    timeout_s: float


class ServerRun(NamedTuple):
    """A server's work on a booking, in seconds of the loop; `ends_at` unless it is broken off."""

    began_at: float
    ends_at: float


def fate(booking: Booking, run: Optional[ServerRun], stop: Stop) -> Fate:
    """Return what became of a booking."""
    assert booking.sent_at is not None and booking.whole_at is not None
    if booking.whole and booking.status == _SUCCESS:
        return Fate.SERVED
    if booking.whole and booking.status in _PROMISES:
        return Fate.REFUSED if run is None else Fate.BROKEN_PROMISE
    if run is None and (not booking.whole and booking.ended_at - booking.whole_at <= LOST_S):
        return Fate.UNREAD
    held_s = booking.ended_at - booking.sent_at
    if held_s >= min(DEADLINE_S, stop.timeout_s):
        return Fate.EXCUSED
    last_part = stop.signalled_at + stop.grace_s * (1 - _LAST_PART)
    at_work = run is not None and min(booking.ended_at, run.ends_at) >= last_part
    sent_s = booking.whole_at - stop.signalled_at
    return Fate.EXCUSED if at_work and sent_s <= EXCUSED_UNTIL_S else Fate.LOST


def could_be_served(booking: Booking, work_s: float, stop: Stop, ends_s: float) -> bool:
    """Return whether a refused booking would have been answered by the end of the process.

    Bookings that the rule does not excuse, and that could have outlasted the process by their
    route's timeout, have to be refused.
    """
    assert booking.whole_at is not None and booking.sent_at is not None
    whole_s = booking.whole_at - stop.signalled_at
    held_until_s = booking.sent_at - stop.signalled_at + min(DEADLINE_S, stop.timeout_s)
    may_be_sent = whole_s <= EXCUSED_UNTIL_S or held_until_s <= ends_s
    return may_be_sent and whole_s + work_s <= ends_s
