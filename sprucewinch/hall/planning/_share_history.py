"""The shares that measures may still reflect, since measures lag behind decisions.

Owns the shares that were in force within the last `settle_s` for one service and client region.
Relies on the planner to report each change with its time. Without this history a planner uses the
same headroom again in each round (`tests.test_guard.NoDecisionOverloads`).
"""

from collections import deque
from typing import NamedTuple

from ...steering.placement import Shares


class _ReplacedShares(NamedTuple):
    """Shares that were in force until a monotonic time in seconds."""

    until: float
    shares: Shares


class ShareHistory:
    """The shares that were in force within the last `settle_s`.

    Args:
        settle_s: Longest time until a change shows in measures, in seconds.
    """

    __slots__ = ("_replaced", "settle_s")

    def __init__(self, settle_s: float) -> None:
        self.settle_s = settle_s
        self._replaced: deque[_ReplacedShares] = deque()

    def record_replaced(self, shares: Shares, now: float) -> None:
        """Record that shares were in force until now.

        Args:
            shares: Shares that others replace.
            now: Monotonic time of the replacement, in seconds.
        """
        self._replaced.append(_ReplacedShares(now, shares))

    def lowest_share(self, region: str, current: Shares, now: float) -> float:
        """Return the smallest share of a region that its measures may reflect."""
        return min(shares.share(region) for shares in self._possibly_reflected(current, now))

    def highest_share(self, region: str, current: Shares, now: float) -> float:
        """Return the largest share of a region that its measures may reflect."""
        return max(shares.share(region) for shares in self._possibly_reflected(current, now))

    def _possibly_reflected(self, current: Shares, now: float) -> list[Shares]:
        while self._replaced and self._replaced[0].until < now - self.settle_s:
            self._replaced.popleft()
        return [current, *(replaced.shares for replaced in self._replaced)]
