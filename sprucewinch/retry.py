"""Retries: how many are allowed, and when refused callers are told to come back."""

import random

_MAX_TOKENS = 10.0


class TokenRetryBudget:
    """Keeps retries under a part of the recent successes.

    Args:
        ratio: Retries allowed for each success.
    """

    __slots__ = ("ratio", "tokens")

    def __init__(self, *, ratio: float = 0.1) -> None:
        self.ratio = ratio
        self.tokens = 1.0

    def succeeded(self) -> None:
        """Note a first try that succeeded."""
        self.tokens = min(_MAX_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one retry; returns False when none is allowed."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ComeBack:
    """Tells refused callers when to come back, one after the other.

    Each refusal is given the next free moment at the rate at which slots become free, so that
    callers refused together do not return together.

    Args:
        rng: Source of randomness.
        least_ms: Shortest time, in milliseconds.
        most_ms: Longest time, in milliseconds.
    """

    __slots__ = ("_next_at", "least_ms", "most_ms", "rng")

    def __init__(
        self, rng: random.Random, *, least_ms: float = 100.0, most_ms: float = 30_000.0
    ) -> None:
        self.rng = rng
        self.least_ms = least_ms
        self.most_ms = most_ms
        self._next_at = 0.0

    def retry_after_ms(self, now: float, rate_per_s: float) -> int:
        """Return when the next refused caller should come back, in milliseconds.

        Args:
            now: Monotonic time, in seconds.
            rate_per_s: Requests a second that can be run; 0 when unknown.
        """
        earliest = now + self.least_ms / 1000
        gap = 1.0 / rate_per_s if rate_per_s > 0 else 0.0
        self._next_at = max(self._next_at + gap, earliest)
        wait = (self._next_at - now) * 1000
        if wait > self.most_ms:
            self._next_at = now + self.most_ms / 1000
            return int(self.rng.uniform(self.most_ms / 2, self.most_ms))
        return int(wait + self.rng.uniform(0, self.least_ms))


def backoff_s(
    attempt: int, rng: random.Random, *, base_s: float = 0.5, most_s: float = 30.0
) -> float:
    """Return a wait with full jitter before a call to the platform is tried again, in seconds.

    Args:
        attempt: How many tries have failed in a row, from 1.
        rng: Source of randomness.
        base_s: Upper bound of the first wait.
        most_s: Upper bound of all waits.
    """
    return rng.uniform(0, min(most_s, base_s * 2 ** min(attempt, 16)))
