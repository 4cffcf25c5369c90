"""The rule of links: whether one more request may cross a link between two regions now.

Owns this VM's part of one link's limit; relies on the caller for the limit (requests a second), the
number of entry VMs that share it and the time (monotonic seconds), and does no I/O.

The rule: a token bucket whose rate is the limit divided by the number of entry VMs of the receiving
region. The largest number seen within `HOLD_S` counts, so that a VM that learns of a new peer late,
or drops one early, does not spend the peer's part. Division needs no agreement between VMs; a
shared counter would cost a call for each request. Constants: `HOLD_S`, `BURST_S`. A request that
finds no token is refused as `link-full`. Tests: `tests.test_retry`.
"""

from collections import deque

HOLD_S = 10.0
"""Time for which a larger number of entry VMs is remembered, in seconds: longer than the 3 s of
silence after which a peer counts as gone."""

BURST_S = 0.25
"""Requests that may cross at once, in seconds of the rate."""

_REQUEST = 1.0
"""Tokens that one request takes, and the least that a bucket with any rate holds."""


class RateAllowance:
    """One entry VM's part of a link's limit: a token bucket over a divided rate.

    Args:
        hold_s: Time for which a larger number of entry VMs is remembered, in seconds.
        burst_s: Requests that may cross at once, in seconds of the rate.
    """

    __slots__ = ("_counts", "_filled_at", "_tokens", "burst_s", "hold_s", "rate_per_s")

    def __init__(self, *, hold_s: float = HOLD_S, burst_s: float = BURST_S) -> None:
        self.hold_s = hold_s
        self.burst_s = burst_s
        self.rate_per_s = 0.0
        self._counts: deque[tuple[float, int]] = deque()
        self._tokens = 0.0
        self._filled_at: float | None = None

    def renew(self, limit_per_s: float, sharers: int, now: float) -> None:
        """Apply the current limit and number of entry VMs that share it.

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
        """Take the token of one request; return False when there is none."""
        self._fill(now)
        if self._tokens < _REQUEST:
            return False
        self._tokens -= _REQUEST
        return True

    def _most(self) -> float:
        return max(_REQUEST, self.rate_per_s * self.burst_s) if self.rate_per_s > 0 else 0.0

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self.rate_per_s
            self._tokens = min(self._most(), self._tokens + gained)
        self._filled_at = now
