"""Tokens that can be spent for a limited time after they were added.

Owns the tokens in buckets of time, so its memory depends on their lifetime and not on their number.
It relies on no other module and reads no clock: callers pass the monotonic time in seconds.
"""

from collections import deque

_BUCKET_S = 0.25
"""Length of a bucket, in seconds; a token expires up to this much earlier than its lifetime."""

_ROUNDING = 1e-9
"""Tolerance for sums of fractions of a token."""


class ExpiringTokens:
    """Tokens, of which the oldest are spent first.

    Args:
        lifetime_s: Time for which a token can be spent, in seconds.
    """

    __slots__ = ("_buckets", "lifetime_s")

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._buckets: deque[list[float]] = deque()

    def add(self, at: float, tokens: float) -> None:
        """Add tokens, or a part of one.

        Args:
            at: Monotonic time from which their lifetime counts, in seconds; not before that of
                tokens added earlier.
            tokens: How many.
        """
        start = at - at % _BUCKET_S
        if not self._buckets or self._buckets[-1][0] < start:
            self._buckets.append([start, 0.0])
        self._buckets[-1][1] += tokens

    def level(self, now: float) -> float:
        """Return how many tokens can be spent now."""
        while self._buckets and self._buckets[0][0] + self.lifetime_s <= now:
            self._buckets.popleft()
        return sum(tokens for _, tokens in self._buckets)

    def has_one(self, now: float) -> bool:
        """Return whether a whole token can be spent now."""
        return self.level(now) >= 1.0 - _ROUNDING

    def take(self, now: float) -> bool:
        """Spend one token; False, and nothing spent, when there is less than one."""
        if not self.has_one(now):
            return False
        left = 1.0
        while left > _ROUNDING and self._buckets:
            spent = min(left, self._buckets[0][1])
            self._buckets[0][1] -= spent
            left -= spent
            if self._buckets[0][1] <= 0.0:
                self._buckets.popleft()
        return True
