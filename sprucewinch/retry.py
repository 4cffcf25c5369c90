"""Three rules on trying again: how many retries, when refused callers return, how long to back off.

Question 1: may this request be retried? `TokenRetryBudget`: each first try that succeeds adds a
tenth of a token, a retry takes a whole one, and ten are kept at most. Retries then stay under a
tenth of the successes, and no storm of them is saved up while all goes well; a fixed number of
tries a request would multiply the load of a failing service.

Question 2: when may a refused caller return, in milliseconds? `ReturnSchedule`: each gets the next
moment at which a slot becomes free, at a measured rate in requests a second. Callers that are
refused together then do not return together, and those refused first return about first.

Question 3: how long to wait before a failed call to the platform or a peer, in seconds?
`backoff_s`: full jitter under a bound that doubles with each failure, so that VMs that lost the
platform together do not return together.

Each object owns its own count; time and random source are arguments. All figures are guesses. Shows
in: `retry_after_ms` of refusals. Tests: `tests.test_retry`.
"""

import random

_MAX_TOKENS = 10.0
"""Most retries saved up, in tokens."""

_FIRST_TOKENS = 1.0
"""Tokens at the start, so that the first failure of a process may be retried."""

_RETRY_RATIO = 0.1
"""Tokens that one success adds: a tenth of the load at most is retries."""

_LEAST_RETURN_MS = 100.0
"""Shortest time until a refused caller returns, and the spread of each return, in milliseconds."""

_MOST_RETURN_MS = 30_000.0
"""Longest time until a refused caller returns, in milliseconds."""

_BACKOFF_BASE_S = 0.5
"""Base of the bound of waits, in seconds; doubles with each failure, so the first wait is below 1
s."""

_BACKOFF_MOST_S = 30.0
"""Upper bound of all waits, in seconds."""

_MOST_DOUBLINGS = 16
"""Doublings of the base; only keeps the power small, as the upper bound is reached long
before."""


class TokenRetryBudget:
    """Keeps retries under a part of the recent successes.

    Args:
        ratio: Retries allowed for each success.
    """

    __slots__ = ("ratio", "tokens")

    def __init__(self, *, ratio: float = _RETRY_RATIO) -> None:
        self.ratio = ratio
        self.tokens = _FIRST_TOKENS

    def succeeded(self) -> None:
        """Count a first try that succeeded."""
        self.tokens = min(_MAX_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one retry; return False when none is allowed."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ReturnSchedule:
    """Gives refused callers times to return, one after the other.

    Each refusal gets the next free moment at the rate at which slots become free. A caller whose
    moment is later than the longest time gets a random time in the upper half of it.

    Args:
        rng: Source of randomness.
        least_ms: Shortest time, in milliseconds.
        most_ms: Longest time, in milliseconds.
    """

    __slots__ = ("_next_at", "least_ms", "most_ms", "rng")

    def __init__(
        self,
        rng: random.Random,
        *,
        least_ms: float = _LEAST_RETURN_MS,
        most_ms: float = _MOST_RETURN_MS,
    ) -> None:
        self.rng = rng
        self.least_ms = least_ms
        self.most_ms = most_ms
        self._next_at = 0.0

    def retry_after_ms(self, now: float, rate_per_s: float) -> int:
        """Return the time until the next refused caller should return, in milliseconds.

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
    attempt: int,
    rng: random.Random,
    *,
    base_s: float = _BACKOFF_BASE_S,
    most_s: float = _BACKOFF_MOST_S,
) -> float:
    """Return a wait with full jitter before a failed call is tried again, in seconds.

    Args:
        attempt: How many tries have failed in a row, from 1.
        rng: Source of randomness.
        base_s: Base of the upper bound, in seconds: the first wait is below twice that.
        most_s: Upper bound of all waits, in seconds.
    """
    return rng.uniform(0, min(most_s, base_s * 2 ** min(attempt, _MOST_DOUBLINGS)))
