"""The rate limit that a server's process has stated, as far as this VM knows it.

A server counts the requests of all VMs, so each VM must know its limit. What the server itself
states takes precedence over what other VMs report:

- A limit that is stated in an answer holds from then on. An answer without one ends it if its
  request began after the last answer that stated one; an answer to an earlier request may have been
  made before the limit began. While two answers overlap, the lower limit holds.
- A report of another VM counts if what it reports is newer than what this VM knows. As the transit
  time of a report is unknown, a reported end must be newer by `_MAX_TRANSIT_S`.
- A limit that this VM knows only from other VMs lapses after `REPORTED_KEPT_S`; one that the server
  itself stated to this VM does not.
- After the end of a limit, the rate doubles every `_DOUBLING_S` for `_RAMP_UP_S`, as a server that
  has just recovered must not get its whole share at once.

Inputs are the limit or its absence in each answer, when the answered request began and when the
answer came, and other VMs' reports with their ages, in monotonic seconds. Results show in the event
`server-limit` and in `limit_per_s` of `/state`. Tests: tests/test_gateway_stated_limit.py.
"""

from typing import Optional

MIN_PER_S = 0.25
"""Lowest rate at which a limited server gets requests, in requests a second. It gets one request in
four seconds even if it states less, as no VM would learn of the limit's end without any."""

REPORTED_KEPT_S = 20.0
"""Time for which a limit is kept that only other VMs reported, in seconds: while it lasts, reports
arrive far more often, and after it one request shows whether the limit still holds."""

_MAX_TRANSIT_S = 0.5
"""Longest transit time of a report, in seconds."""

_DOUBLING_S = 0.5
"""Time in which the rate doubles after the end of a limit, in seconds."""

_RAMP_UP_S = 3.0
"""Time after the end of a limit until the server is no longer limited at all, in seconds."""


class StatedLimit:
    """The rate limit that one process of a server has stated.

    Attributes:
        per_s: Requests a second that it stated last; None if it never stated any.
        since: Monotonic time at which this VM first learnt of it, in seconds.
        stated_at: Monotonic time at which the server last stated it, in seconds.
        own: True if the server itself stated it to this VM.
        ended_at: Monotonic time of the limit's end, in seconds; None before it.
    """

    __slots__ = ("ended_at", "own", "per_s", "since", "stated_at")

    def __init__(self) -> None:
        self.per_s: Optional[float] = None
        self.since = float("-inf")
        self.stated_at = float("-inf")
        self.own = False
        self.ended_at: Optional[float] = None

    def apply_answer(self, per_s: Optional[float], started: float, now: float) -> bool:
        """Apply an answer of the server.

        Args:
            per_s: The limit that it states; None for none.
            started: Monotonic time at which its request began, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            True if the limit has begun, changed or ended.
        """
        if per_s is None:
            return self._end_limit(started, now)
        overlaps = self.is_stated(now) and started < self.stated_at
        held = self.per_s if overlaps and self.per_s is not None else per_s
        changed = self._set_limit(min(per_s, held), now, now)
        self.own = True
        return changed

    def apply_report(self, per_s: Optional[float], age_s: float, now: float) -> None:
        """Apply a report of another VM.

        Args:
            per_s: The limit; None for its end.
            age_s: Time since the answer that stated it, or since the request began whose answer
                did not, in seconds.
            now: Monotonic time, in seconds.
        """
        at = now - age_s
        if per_s is None:
            self._end_limit(at - _MAX_TRANSIT_S, now)
        elif at > max(self.stated_at, self.ended_at or float("-inf")):
            self._set_limit(per_s, at, now)

    def rate_per_s(self, now: float) -> Optional[float]:
        """Return the requests a second that all VMs may send the server now; None without a limit.

        Args:
            now: Monotonic time, in seconds.
        """
        if self.per_s is None:
            return None
        rate = max(MIN_PER_S, self.per_s)
        if self.ended_at is None:
            return rate if self.is_stated(now) else None
        since_end_s = now - self.ended_at
        return rate * 2 ** (since_end_s / _DOUBLING_S) if since_end_s < _RAMP_UP_S else None

    def is_stated(self, now: float) -> bool:
        """Return whether the server still states a limit, as far as this VM knows."""
        if self.per_s is None or self.ended_at is not None:
            return False
        return self.own or now - self.stated_at < REPORTED_KEPT_S

    def _set_limit(self, per_s: float, at: float, now: float) -> bool:
        starts = not self.is_stated(now)
        changed = starts or per_s != self.per_s
        if starts:
            self.since = now
            self.own = False
        self.per_s = per_s
        self.stated_at = at
        self.ended_at = None
        return changed

    def _end_limit(self, began_at: float, now: float) -> bool:
        """End the limit if it was last stated before the request of an answer without one began."""
        if not self.is_stated(now) or began_at < self.stated_at:
            return False
        self.ended_at = now
        return True
