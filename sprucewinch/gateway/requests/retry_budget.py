"""Limits the retries of each service that this VM may send, so that the fleet keeps its limit.

The inputs are this VM's counts of requests and retries over the window (in seconds), the fleet's
retry ratio and slack, and the number of VMs. A VM may send retries up to the ratio of its own
requests plus its share of the slack. The sum over all VMs then stays below the fleet's limit
without any exchange between them: only the number of VMs matters, and it is overestimated rather
than underestimated.

A budget that VMs have to agree on would fail when they cannot reach each other, which is when
retries are frequent. Requests and retries are counted over different windows, so that differences
between counts taken at callers here and at backend servers elsewhere cannot break the limit at the
windows' edges.

Ratio, slack and window come from the settings (`Bounds`). Retries are logged in `sends` of the
event `request` and counted in `repeats_after_…`; `retries_taken` and `retries_denied` count what
the budgets were asked for, and the event `retry-budget` shows one that is spent. The tests are in
tests/test_gateway_pipeline.py (`Repeats`, `OwnFailures`) and tests/test_gateway_retry_budget.py.
"""

from collections.abc import Callable

from ..events import EventLog
from ..settings import Bounds
from .sliding_count import SlidingCount

SAFETY_FACTOR = 0.75
"""Fraction of the limit that is used. The margin covers counts taken at callers and at backend
servers, which differ at the windows' edges."""

REQUEST_WINDOW_FACTOR = 0.9
"""Fraction of the limit's window over which requests are counted, as requests may drop out of the
window earlier elsewhere."""

RETRY_WINDOW_FACTOR = 1.1
"""Multiple of the limit's window over which retries are counted, as retries may drop out of the
window later elsewhere."""

_LOG_PAUSE_S = 5.0
"""Shortest time between two lines about the budget of one service, in seconds."""

_TIME_DIGITS = 3
"""Decimal places of a time in seconds, which give it to the millisecond."""


class WindowRetryBudget:
    """The retry budget of one service at this VM.

    Args:
        bounds: Limits of the fleet, from the settings.
    """

    __slots__ = ("bounds", "requests", "retries")

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.requests = SlidingCount(bounds.retry_window_s * REQUEST_WINDOW_FACTOR)
        self.retries = SlidingCount(bounds.retry_window_s * RETRY_WINDOW_FACTOR)

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new limits; the counts are kept, so that a reload does not grant a second budget.

        Args:
            bounds: Limits of the fleet, from the settings.
        """
        self.bounds = bounds
        self.requests.resize(bounds.retry_window_s * REQUEST_WINDOW_FACTOR)
        self.retries.resize(bounds.retry_window_s * RETRY_WINDOW_FACTOR)

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.add(now)

    def take(self, now: float, vm_count: int) -> bool:
        """Take one retry from the budget.

        Args:
            now: Monotonic time, in seconds.
            vm_count: Number of VMs that share the slack.

        Returns:
            False when no retry is left.
        """
        slack = self.bounds.retry_slack / max(1, vm_count)
        allowed = SAFETY_FACTOR * (self.bounds.retry_ratio * self.requests.count(now) + slack)
        if self.retries.count(now) + 1 > allowed:
            return False
        self.retries.add(now)
        return True


class RetryBudgets:
    """The retry budgets of all services at this VM.

    Args:
        bounds: Limits of the fleet, from the settings.
        vm_count: Returns the number of VMs that share the slack.
        monotonic: Source of monotonic time, in seconds.
        events: Counts retries, and logs budgets that are spent.
    """

    __slots__ = (
        "_by_service",
        "_logged_at",
        "bounds",
        "events",
        "monotonic",
        "started_at",
        "vm_count",
    )

    def __init__(
        self,
        bounds: Bounds,
        *,
        vm_count: Callable[[], int],
        monotonic: Callable[[], float],
        events: EventLog,
    ) -> None:
        self.bounds = bounds
        self.vm_count = vm_count
        self.monotonic = monotonic
        self.events = events
        self.started_at = monotonic()
        self._by_service: dict[str, WindowRetryBudget] = {}
        self._logged_at: dict[str, float] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new limits; see `WindowRetryBudget.set_bounds`."""
        self.bounds = bounds
        for budget in self._by_service.values():
            budget.set_bounds(bounds)

    def of(self, service: str) -> WindowRetryBudget:
        """Return the budget of a service, which is created on its first request."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = WindowRetryBudget(self.bounds)
        return budget

    def take(self, service: str) -> bool:
        """Take one retry from the budget of a service; False when none is left."""
        now, vm_count = self.monotonic(), self.vm_count()
        if self.of(service).take(now, vm_count):
            self.events.count("retries_taken")
            return True
        self.events.count("retries_denied")
        self._log_spent(service, now, vm_count)
        return False

    def _log_spent(self, service: str, now: float, vm_count: int) -> None:
        if now - self._logged_at.get(service, float("-inf")) < _LOG_PAUSE_S:
            return
        self._logged_at[service] = now
        budget = self.of(service)
        self.events.state(
            "retry-budget",
            service=service,
            retries=budget.retries.count(now),
            requests=budget.requests.count(now),
            vms=vm_count,
            age_s=round(now - self.started_at, _TIME_DIGITS),
        )
