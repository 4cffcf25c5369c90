"""Allowances on the links between regions, divided among the entry VMs at the receiving end."""

from collections import deque


class RateAllowance:
    """One entry VM's part of a link's limit: a token bucket over a divided rate.

    The limit is divided by the largest number of entry VMs seen within `hold_s`, so that a VM
    that sees a new peer late, or drops one early, does not spend the peer's part.

    Args:
        hold_s: How long a larger number of entry VMs is remembered, in seconds.
        burst_s: How many seconds' worth may arrive at once.
    """

    __slots__ = ("_counts", "_filled_at", "_tokens", "burst_s", "hold_s", "rate_per_s")

    def __init__(self, *, hold_s: float = 10.0, burst_s: float = 0.25) -> None:
        self.hold_s = hold_s
        self.burst_s = burst_s
        self.rate_per_s = 0.0
        self._counts: deque[tuple[float, int]] = deque()
        self._tokens = 0.0
        self._filled_at: float | None = None

    def renew(self, limit_per_s: float, sharers: int, now: float) -> None:
        """Take over the present limit and number of entry VMs that share it.

        Args:
            limit_per_s: The link's limit, in requests a second.
            sharers: Entry VMs of the receiving region, this one included.
            now: Monotonic time, in seconds.
        """
        self._fill(now)
        while self._counts and self._counts[0][0] < now - self.hold_s:
            self._counts.popleft()
        while self._counts and self._counts[-1][1] <= sharers:
            self._counts.pop()
        self._counts.append((now, max(1, sharers)))
        self.rate_per_s = limit_per_s / self._counts[0][1]
        self._tokens = min(self._tokens, self._most())

    def take(self, now: float) -> bool:
        """Take room for one request; returns False when there is none."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _most(self) -> float:
        return max(1.0, self.rate_per_s * self.burst_s) if self.rate_per_s > 0 else 0.0

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self.rate_per_s
            self._tokens = min(self._most(), self._tokens + gained)
        self._filled_at = now
