"""Which shares measures may still reflect, since they lag behind decisions."""

from collections import deque
from typing import NamedTuple

from ...steering.placement import Shares


class _Past(NamedTuple):
    until: float
    shares: Shares


class ShareHistory:
    """The shares that were in force lately.

    Args:
        settle_s: How long a change takes to show in measures at the most, in seconds.
    """

    __slots__ = ("_past", "settle_s")

    def __init__(self, settle_s: float) -> None:
        self.settle_s = settle_s
        self._past: deque[_Past] = deque()

    def replaced(self, shares: Shares, now: float) -> None:
        """Note that shares were in force until now."""
        self._past.append(_Past(now, shares))

    def low(self, region: str, current: Shares, now: float) -> float:
        """Return the smallest share that measures of a region may reflect."""
        return min(shares.share(region) for shares in self._reflected(current, now))

    def high(self, region: str, current: Shares, now: float) -> float:
        """Return the largest share that measures of a region may reflect."""
        return max(shares.share(region) for shares in self._reflected(current, now))

    def _reflected(self, current: Shares, now: float) -> list[Shares]:
        while self._past and self._past[0].until < now - self.settle_s:
            self._past.popleft()
        return [current, *(past.shares for past in self._past)]
