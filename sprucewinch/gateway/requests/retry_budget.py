"""The fleet's limit on repeats, kept by each VM from its own counts alone.

A VM spends at most the ratio of its own requests and its part of the slack. The sum over all
VMs then stays under the fleet's limit, whatever they know of each other; only the number of
VMs enters, and it is taken too high rather than too low.
"""

from ..settings import Bounds
from .sliding_count import SlidingCount

_SAFETY = 0.75
"""Part of the limit that is used: counts of callers and of backend servers differ at the edges."""


class WindowRetryBudget:
    """Repeats of one service at this VM.

    Args:
        bounds: The fleet's figures.
    """

    __slots__ = ("bounds", "repeats", "requests")

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.requests = SlidingCount(bounds.retry_window_s * 0.9)
        self.repeats = SlidingCount(bounds.retry_window_s * 1.1)

    def arrived(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.add(now)

    def requests_per_s(self, now: float) -> float:
        """Return the requests a second of callers, over the window of the budget."""
        return self.requests.count(now) / self.requests.window_s

    def take(self, now: float, vm_count: int) -> bool:
        """Take one repeat.

        Args:
            now: Monotonic time, in seconds.
            vm_count: How many VMs share the slack.

        Returns:
            False when none is left.
        """
        slack = self.bounds.retry_slack / max(1, vm_count)
        allowed = _SAFETY * (self.bounds.retry_ratio * self.requests.count(now) + slack)
        if self.repeats.count(now) + 1 > allowed:
            return False
        self.repeats.add(now)
        return True
