"""The rule on Retry-After: when a refused caller may return.

Inputs: the refusal, the slots this VM may use now, and the recent mean time of a request in
milliseconds. The rule: slots divided by that time is the rate at which slots become free. Each
refused caller gets the next free moment at that rate, in the order of the refusals. A refusal that
already has a time keeps it, and one whose request may have run gets none. Why: one time for all
refused callers brings them back together; the rate spreads them as fast as the servers can run
them. Constants: `_UNMEASURED_REQUEST_S` below; the shortest and the longest time are those of
`retry.ReturnSchedule`. Where it shows: `retry_after_ms` of the refusal's body and the `Retry-After`
header. Tests: `tests.test_retry`, `tests.test_formats_own`.
"""

from ...clock import Clock
from ...net.outcome import Outcome, Refusal
from ...net.request import Request
from ...retry import ReturnSchedule
from ..node import Node

RETRY_AFTER_MS = 1000
"""Retry-After where no rate is known, in milliseconds: no configuration, a VM that leaves or is
full, a full link."""

_UNMEASURED_REQUEST_S = 0.02
"""Time of a request while none has been measured, in seconds."""


class ReturnTimes:
    """Spreads refused callers over the rate at which slots become free.

    Args:
        node: This VM's state.
        clock: Source of time.
    """

    def __init__(self, node: Node, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.schedules: dict[str, ReturnSchedule] = {}

    def stamp(self, request: Request, refusal: Refusal) -> Refusal:
        """Return a refusal with the time after which to return, where returning can help."""
        if refusal.outcome is Outcome.UNKNOWN or refusal.retry_after_ms:
            return refusal
        now = self.clock.monotonic()
        rate_per_s = self._slots_freed_per_s(request.service, now)
        schedule = self.schedules.setdefault(request.service, ReturnSchedule(self.node.rng))
        return refusal._replace(retry_after_ms=schedule.retry_after_ms(now, rate_per_s))

    def _slots_freed_per_s(self, service: str, now: float) -> float:
        admission = self.node.hall.find(service)
        capacity = admission.capacity(now) if admission else 0
        latency_ms = admission.latency_ms() if admission else None
        return capacity / ((latency_ms or _UNMEASURED_REQUEST_S * 1000) / 1000)
