"""Limit of a link: whether one more request may cross a link between two regions now.

Owns this VM's part of one link's limit; relies on the caller for the limit (requests a second), the
number of entry VMs that share it and the time (monotonic seconds), and does no I/O.

The limit is a token bucket whose rate is the link's limit divided by the number of entry VMs of the
receiving region. The largest number seen within `COUNT_HOLD_S` counts, so that a VM that learns of
a new peer late, or drops one early, does not use the peer's part. Division needs no agreement
between VMs; a shared counter would cost a call for each request. A request that finds no token is
refused as `link-full`. The tests are in `tests.test_retry`.
"""

from collections import deque

COUNT_HOLD_S = 10.0
"""Time for which a larger number of entry VMs still counts: longer than the 3 s without a heartbeat
after which a peer counts as gone."""

BURST_S = 0.25
"""Capacity of the bucket, as the time in which the rate fills it."""

_TOKENS_PER_REQUEST = 1.0
"""Tokens that one request takes, and the smallest capacity of a bucket whose rate is above 0."""


class RateAllowance:
    """One entry VM's part of a link's limit: a token bucket with a part of the link's rate.

    Args:
        count_hold_s: Time for which a larger number of entry VMs still counts, in seconds.
        burst_s: Capacity of the bucket, as the time in seconds in which the rate fills it.
    """

    __slots__ = ("_vm_counts", "_refilled_at", "_tokens", "burst_s", "count_hold_s", "rate_per_s")

    def __init__(self, *, count_hold_s: float = COUNT_HOLD_S, burst_s: float = BURST_S) -> None:
        self.count_hold_s = count_hold_s
        self.burst_s = burst_s
        self.rate_per_s = 0.0
        self._vm_counts: deque[tuple[float, int]] = deque()
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def renew(self, limit_per_s: float, sharers: int, now: float) -> None:
        """Apply the current limit and the number of entry VMs that share it.

        Args:
            limit_per_s: The link's limit, in requests a second.
            sharers: Entry VMs of the receiving region, this one included.
            now: Monotonic time, in seconds.
        """
        self._refill(now)
        while self._vm_counts and self._vm_counts[0][0] < now - self.count_hold_s:
            self._vm_counts.popleft()
        while self._vm_counts and self._vm_counts[-1][1] <= sharers:
            self._vm_counts.pop()
        self._vm_counts.append((now, max(1, sharers)))
        self.rate_per_s = limit_per_s / self._vm_counts[0][1]
        self._tokens = min(self._tokens, self._max_tokens())

    def take_token(self, now: float) -> bool:
        """Take the token of one request; return False when there is none."""
        self._refill(now)
        if self._tokens < _TOKENS_PER_REQUEST:
            return False
        self._tokens -= _TOKENS_PER_REQUEST
        return True

    def _max_tokens(self) -> float:
        return (
            max(_TOKENS_PER_REQUEST, self.rate_per_s * self.burst_s) if self.rate_per_s > 0 else 0.0
        )

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self.rate_per_s
            self._tokens = min(self._max_tokens(), self._tokens + gained)
        self._refilled_at = now
