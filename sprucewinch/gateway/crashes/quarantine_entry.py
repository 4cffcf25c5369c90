"""Decides how long a request that crashes servers is refused before it is tried again.

From the request's item in the store, and from the monotonic time in seconds at which its refusal
began, this module tells whether the request may be tried now and when its caller may come back.

A request is refused for `TRIAL_DELAYS_S` before each trial. Once no trial is left, only an operator
can release it. A request that is not in the store, because the store is unavailable, is released
after `UNSTORED_REFUSAL_S`: no trial can be taken without the store, and no operator could release
the request.

Trials exist because a new version of the service may run the request without a fault; each of them
may cost a server. The caller is told the time of the next trial so that it does not retry in vain.

The delays appear as Retry-After of `crashes-servers` and as `trial_in_s` on `/state`.
`test_gateway_quarantine` tests this module. It relies on the stored resource; `quarantine` owns the
entries.
"""

from typing import NamedTuple

from ..resources import QuarantinedRequest

TRIAL_DELAYS_S = (60.0, 600.0, 3600.0)
"""Times for which a request is refused before its first, second and third trial, in seconds. The
first is longer than servers take to restart and warm up; a release that fixes the service takes
minutes to hours."""

NO_TRIAL_RETRY_AFTER_S = 3600.0
"""Retry-After of a request that has no trial left, in seconds: only an operator releases it."""

UNSTORED_REFUSAL_S = 600.0
"""Time for which a VM refuses a request that is not in the store, in seconds: long compared with a
restart of the store, short compared with the time to fix a service."""


class QuarantineEntry(NamedTuple):
    """A request that is refused.

    Args:
        request: The resource that the store holds, or will hold.
        since: Monotonic time at which its refusal began, in seconds.
        revision: Revision of its item; 0 until the store has it.
        witnessed: True when this VM saw one of the crashes.
    """

    request: QuarantinedRequest
    since: float
    revision: int = 0
    witnessed: bool = False

    @property
    def fingerprint(self) -> bytes:
        """Return the request's fingerprint."""
        return bytes.fromhex(self.request.fingerprint)

    def retry_after_s(self, now: float) -> float:
        """Return the time until it is tried again or released, in seconds; 0 when that is due."""
        if not self.revision:
            return max(0.0, self.since + UNSTORED_REFUSAL_S - now)
        if not self.request.trials_left:
            return NO_TRIAL_RETRY_AFTER_S
        delay_s = TRIAL_DELAYS_S[min(self.request.trials, len(TRIAL_DELAYS_S) - 1)]
        return max(0.0, self.since + delay_s - now)

    def trial_is_due(self, now: float) -> bool:
        """Return whether it may be tried now."""
        return self.revision > 0 and self.retry_after_s(now) <= 0

    def has_expired(self, now: float) -> bool:
        """Return whether it is to be released because the store has not held it for too long."""
        return not self.revision and self.retry_after_s(now) <= 0
