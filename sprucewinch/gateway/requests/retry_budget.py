"""Rule: how many retries of a service this VM may send, so that the fleet keeps its limit.

Question: may this VM send one more retry? Inputs: this VM's counts of requests and retries over the
window in seconds, the fleet's ratio and slack, the number of VMs. Rule: a VM spends at most the
ratio of its own requests and its part of the slack. The sum over all VMs stays under the fleet's
limit without any exchange between them; only the number of VMs enters, and it is too high rather
than too low.

Why so: a budget that VMs would have to agree on would fail when they cannot reach each other, which
is when retries are many. The two windows differ so that what is counted at callers here and at
backend servers elsewhere cannot break the limit at their edges.

Constants: `SAFETY_PART`, `REQUEST_WINDOW_PART`, `RETRY_WINDOW_PART`; ratio, slack and window come
from the settings (`Bounds`). Shows in: event `request`, `sends`; counters `repeats_after_…`. Tests:
tests/test_gateway_pipeline.py (`Repeats`, `OwnFailures`).
"""

from ..settings import Bounds
from .sliding_count import SlidingCount

SAFETY_PART = 0.75
"""Part of the limit that is used: a margin for counts of callers and of backend servers, which
differ at the windows' edges."""

REQUEST_WINDOW_PART = 0.9
"""Part of the limit's window over which requests are counted: a margin for requests that fall out
of a window elsewhere first."""

RETRY_WINDOW_PART = 1.1
"""Part of the limit's window over which retries are counted: a margin for retries that fall out of
a window elsewhere last."""


class WindowRetryBudget:
    """Retries of one service at this VM.

    Args:
        bounds: The fleet's figures.
    """

    __slots__ = ("bounds", "requests", "retries")

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.requests = SlidingCount(bounds.retry_window_s * REQUEST_WINDOW_PART)
        self.retries = SlidingCount(bounds.retry_window_s * RETRY_WINDOW_PART)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures from now on; what is counted stays, so no reload gives a second budget.

        Args:
            bounds: The fleet's figures.
        """
        self.bounds = bounds
        self.requests.resize(bounds.retry_window_s * REQUEST_WINDOW_PART)
        self.retries.resize(bounds.retry_window_s * RETRY_WINDOW_PART)

    def arrived(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.add(now)

    def requests_per_s(self, now: float) -> float:
        """Return the requests a second of callers, over the window of the budget."""
        return self.requests.count(now) / self.requests.window_s

    def take(self, now: float, vm_count: int) -> bool:
        """Take one retry.

        Args:
            now: Monotonic time, in seconds.
            vm_count: How many VMs share the slack.

        Returns:
            False when none is left.
        """
        slack = self.bounds.retry_slack / max(1, vm_count)
        allowed = SAFETY_PART * (self.bounds.retry_ratio * self.requests.count(now) + slack)
        if self.retries.count(now) + 1 > allowed:
            return False
        self.retries.add(now)
        return True


class RetryBudgets:
    """The budgets of all services at this VM.

    Args:
        bounds: The fleet's figures.
    """

    __slots__ = ("_by_service", "bounds")

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self._by_service: dict[str, WindowRetryBudget] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures from now on; see `WindowRetryBudget.set_bounds`."""
        self.bounds = bounds
        for budget in self._by_service.values():
            budget.set_bounds(bounds)

    def of(self, service: str) -> WindowRetryBudget:
        """Return the budget of a service, made at its first request."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = WindowRetryBudget(self.bounds)
        return budget

    def requests_per_s(self, service: str, now: float) -> float:
        """Return the requests a second that callers send here for a service."""
        budget = self._by_service.get(service)
        return budget.requests_per_s(now) if budget else 0.0
