"""Rule: how long a request that crashes servers is refused before it is tried again.

Question: may it be tried now, and what is its caller told? Inputs: its item in the store, the
monotonic time from which its hold counts, in seconds.

Rule: `HOLDS_S` before each trial; when none is left an operator has to let it go. One that the
store does not hold, as it is away, is let go after `UNSTORED_HOLD_S`: no trial can be taken, and no
operator could release it.

Reason: a new version of its service may run it well, and each trial may cost a server; a caller is
told the time of the next one, so that it does not come back for nothing.

Shows in: Retry-After of `crashes-servers`; `trial_in_s` on `/state`. Tests:
`test_gateway_quarantine`. Relies on the resource; `quarantine` owns what is held.
"""

from typing import NamedTuple

from ..resources import QuarantinedRequest

HOLDS_S = (60.0, 600.0, 3600.0)
"""Times for which a request is refused before its first, second and third trial, in seconds. The
first is longer than servers take to come back and warm up; a release that mends the service takes
minutes to hours."""

NO_TRIAL_RETRY_S = 3600.0
"""Retry-After of a request that has no trial left, in seconds: an operator has to let it go."""


UNSTORED_HOLD_S = 600.0
"""Time for which a VM refuses a request that the store does not hold, in seconds: long beside a
restart of the store, short beside a service that has been mended."""


class Held(NamedTuple):
    """A request that is refused.

    Args:
        request: What the store holds of it, or will.
        since: Monotonic time from which its hold counts, in seconds.
        revision: Revision of its item; 0 until the store has it.
        witnessed: True when this VM saw one of the crashes.
    """

    request: QuarantinedRequest
    since: float
    revision: int = 0
    witnessed: bool = False

    @property
    def fingerprint(self) -> bytes:
        """Return what names the request."""
        return bytes.fromhex(self.request.fingerprint)

    def retry_after_s(self, now: float) -> float:
        """Return the time until it is tried again or let go, in seconds; 0 when it is due."""
        if not self.revision:
            return max(0.0, self.since + UNSTORED_HOLD_S - now)
        if not self.request.trials_left:
            return NO_TRIAL_RETRY_S
        hold_s = HOLDS_S[min(self.request.trials, len(HOLDS_S) - 1)]
        return max(0.0, self.since + hold_s - now)

    def trial_is_due(self, now: float) -> bool:
        """Return whether it may be tried again now."""
        return self.revision > 0 and self.retry_after_s(now) <= 0

    def has_lapsed(self, now: float) -> bool:
        """Return whether it is let go, as the store has not held it for long."""
        return not self.revision and self.retry_after_s(now) <= 0
