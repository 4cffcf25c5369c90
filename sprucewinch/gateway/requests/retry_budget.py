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
event `request` and counted in `repeats_after_…`. The tests are in tests/test_gateway_pipeline.py
(`Repeats`, `OwnFailures`) and tests/test_gateway_retry_budget.py.
"""

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
    """

    __slots__ = ("_by_service", "bounds")

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self._by_service: dict[str, WindowRetryBudget] = {}

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
