"""Retry limits: a budget for retries, Retry-After times for refused callers, and back-off.

`TokenRetryBudget` decides whether a request may be retried. Each first attempt that succeeds adds a
tenth of a token, a retry takes a whole one, and at most ten are kept. Retries thus stay below a
tenth of the successes, and a healthy period does not accumulate tokens for a retry storm. A fixed
number of attempts per request would instead multiply the load of a failing service.

`RetryAfterSchedule` decides when a refused caller may return, in milliseconds. Each caller gets the
next time at which a slot is expected to become free, at a measured rate in requests a second.
Callers that are refused together therefore do not return together, and those refused first return
about first. The result is sent as `retry_after_ms` of refusals.

`backoff_s` returns how long to wait before a failed call to the platform or a peer is repeated, in
seconds: full jitter below a limit that doubles with each failure, so that VMs that lost the
platform together do not return together.

Each object owns its own count; time and random source are arguments. Tested by `tests.test_retry`.
"""

import random
from typing import Optional

_MAX_TOKENS = 10.0
"""Most retries that may be accumulated, in tokens."""

_INITIAL_TOKENS = 1.0
"""Tokens at the start, so that the first failure of a process may be retried."""

_RETRY_RATIO = 0.1
"""Tokens that one success adds, so that retries are at most a tenth of the load."""

_MIN_RETRY_AFTER_MS = 100.0
"""Shortest time until a refused caller returns, and the jitter added to each time, in
milliseconds."""

_MAX_RETRY_AFTER_MS = 30_000.0
"""Longest time until a refused caller returns, in milliseconds."""

_BACKOFF_BASE_S = 0.5
"""Base of the back-off limit, in seconds. The limit doubles with each failure, so the first wait is
below 1 s."""

_MAX_BACKOFF_S = 30.0
"""Longest back-off, in seconds."""

_MAX_DOUBLINGS = 16
"""Most doublings of the base. Only keeps the power small: `_MAX_BACKOFF_S` is reached long
before."""


class TokenRetryBudget:
    """Limits retries to a fraction of the recent successes.

    Args:
        ratio: Tokens added, and so retries allowed, for each success.
    """

    __slots__ = ("ratio", "tokens")

    def __init__(self, *, ratio: float = _RETRY_RATIO) -> None:
        self.ratio = ratio
        self.tokens = _INITIAL_TOKENS

    def record_success(self) -> None:
        """Count a first attempt that succeeded."""
        self.tokens = min(_MAX_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take the token of one retry; return False when no retry is allowed."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryAfterSchedule:
    """Assigns Retry-After times to refused callers, one after the other.

    Successive refusals are spaced by the rate at which slots become free. A caller whose time would
    be later than `max_ms` gets a random time between half of `max_ms` and `max_ms`.

    Args:
        rng: Source of randomness.
        min_ms: Shortest time until a caller returns, in milliseconds; also the most jitter added.
        max_ms: Longest time until a caller returns before jitter, in milliseconds.
    """

    __slots__ = ("_next_at", "min_ms", "max_ms", "rng")

    def __init__(
        self,
        rng: random.Random,
        *,
        min_ms: float = _MIN_RETRY_AFTER_MS,
        max_ms: float = _MAX_RETRY_AFTER_MS,
    ) -> None:
        self.rng = rng
        self.min_ms = min_ms
        self.max_ms = max_ms
        self._next_at = 0.0

    def retry_after_ms(
        self, now: float, rate_per_s: float, latest_ms: Optional[float] = None
    ) -> int:
        """Return the time until the next refused caller should return, in milliseconds.

        Args:
            now: Monotonic time, in seconds.
            rate_per_s: Requests that can be run, per second; 0 when unknown.
            latest_ms: Longest time until this caller returns before jitter, in milliseconds; None
                for that of all callers.
        """
        max_ms = self.max_ms if latest_ms is None else min(latest_ms, self.max_ms)
        earliest = now + self.min_ms / 1000
        interval_s = 1.0 / rate_per_s if rate_per_s > 0 else 0.0
        self._next_at = max(self._next_at + interval_s, earliest)
        wait_ms = (self._next_at - now) * 1000
        if wait_ms > max_ms:
            self._next_at = min(self._next_at, now + self.max_ms / 1000)
            return int(self.rng.uniform(max_ms / 2, max_ms))
        return int(wait_ms + self.rng.uniform(0, self.min_ms))


def backoff_s(
    attempt: int,
    rng: random.Random,
    *,
    base_s: float = _BACKOFF_BASE_S,
    max_s: float = _MAX_BACKOFF_S,
) -> float:
    """Return how long to wait before a failed call is repeated, in seconds, with full jitter.

    Args:
        attempt: Number of attempts that have failed in a row, from 1.
        rng: Source of randomness.
        base_s: Base of the limit, in seconds: the first wait is below twice that.
        max_s: Longest wait, in seconds.
    """
    return rng.uniform(0, min(max_s, base_s * 2 ** min(attempt, _MAX_DOUBLINGS)))
