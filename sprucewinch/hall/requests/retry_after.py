"""Retry-After: decides after which time a refused caller should send its request again.

The decision needs the refusal, the number of slots that this VM may use now, and the recent mean
time of a request in milliseconds. The slots divided by that time are the rate at which slots become
free. Refused callers are scheduled at that rate, in the order of their refusals. A refusal that
already has a Retry-After keeps it, and one whose request may have run gets none.

If all refused callers got the same time, they would return together. The rate lets them return as
fast as the servers can run their requests, and no faster. The only constant of the decision here is
`_DEFAULT_REQUEST_S`; the lower and the upper bound of the time are those of
`retry.RetryAfterSchedule`.

The time appears as `retry_after_ms` in the body of the refusal and in the `Retry-After` header.
Tested by `tests.test_retry` and `tests.test_formats_own`.
"""

from ...clock import Clock
from ...net.outcome import Outcome, Refusal
from ...net.request import Request
from ...retry import RetryAfterSchedule
from ..node import Node

DEFAULT_RETRY_AFTER_MS = 1000
"""Retry-After in milliseconds where no rate of freed slots applies: for a VM without configuration,
for one that is leaving or overloaded, and for a full link."""

_DEFAULT_REQUEST_S = 0.02
"""Time that a request is assumed to take until one has been measured, in seconds."""


class RetryAfterTimes:
    """Schedules the retries of refused callers at the rate at which slots become free.

    Args:
        node: This VM's state.
        clock: Source of time.
    """

    def __init__(self, node: Node, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.schedules: dict[str, RetryAfterSchedule] = {}

    def with_retry_after(self, request: Request, refusal: Refusal) -> Refusal:
        """Return a refusal with a Retry-After, unless it has one or its request may have run."""
        if refusal.outcome is Outcome.UNKNOWN or refusal.retry_after_ms:
            return refusal
        now = self.clock.monotonic()
        rate_per_s = self._slots_freed_per_s(request.service, now)
        schedule = self.schedules.setdefault(request.service, RetryAfterSchedule(self.node.rng))
        return refusal._replace(retry_after_ms=schedule.retry_after_ms(now, rate_per_s))

    def _slots_freed_per_s(self, service: str, now: float) -> float:
        admission = self.node.admissions.find(service)
        capacity = admission.capacity(now) if admission else 0
        latency_ms = admission.latency_ms() if admission else None
        return capacity / ((latency_ms or _DEFAULT_REQUEST_S * 1000) / 1000)
