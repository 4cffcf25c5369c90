"""What becomes of a request that wants room: it is sent now, waits, or is refused with a time.

Admission makes the value; the server choice carries it out, and the event `request` shows its
reason. A wait ends at the earliest of room, `wait_s` and the caller's leaving. Tests:
tests/test_gateway_estimates.py.
"""

import enum
from typing import NamedTuple, Optional


class AdmissionReason(enum.Enum):
    """Why a request is sent, waits or is refused; the value is shown in the event `request`."""

    IN_TIME = "in-time"
    """Its answer is expected within its latency target."""
    LATE_BUT_WORTH = "late"
    """Its answer is expected after its target and before its caller gives up."""
    MORE_URGENT_WAITS = "more-urgent-waits"
    """Room is left, and requests of a more urgent kind, or refused before, need it."""
    TARGET_MISSED = "target-missed"
    """No server is expected to answer within its target; it may be served if it returns later."""
    DEADLINE_MISSED = "deadline-missed"
    """No server is expected to answer before its caller or its route gives up."""


class AdmissionVerdict(NamedTuple):
    """What becomes of a request.

    Args:
        admitted: True if it is sent now.
        reason: Why.
        wait_s: Longest time that it may wait for room before it is refused, in seconds; 0 for none.
        retry_after_s: When its caller may return, in seconds from now; None when not known.
    """

    admitted: bool
    reason: AdmissionReason
    wait_s: float = 0.0
    retry_after_s: Optional[float] = None
