"""Rule: which limit a server's process has stated, as far as this VM was told.

Question: how many requests a second does it take now from all VMs together? Inputs: the limit or
its absence in each answer, when the answered request began, when the answer came; what other VMs
report, with the age of what they heard; monotonic time in seconds.

Rules. An answer that states a limit holds from then on, for as long as answers state it. One
without a limit ends it, if its request began after the last answer that stated one: an answer to an
earlier request may have been made before. While two answers overlap the lower limit holds. What
another VM heard counts where it is newer than what this VM knows; the time for which it was on its
way is not known, so an end that is reported has to be newer by `_TRANSIT_S`. A limit that this VM
knows from others alone lapses after `REPORTED_KEPT_S`; its own word from the server does not. After
the end the rate doubles every `_DOUBLING_S` until `_RETURN_S` are over.

Why so: the server counts what all VMs send, so each must know, and what the server itself says goes
before what is said of it. A server that has just recovered must not get its whole share at once.

Constants: those below. Shows in: event `server-limit`; `limit_per_s` of `/state`. Tests:
tests/test_gateway_stated_limit.py.
"""

from typing import Optional

LEAST_PER_S = 0.25
"""Least rate at which a limited server is asked, in requests a second: it gets one request in four
seconds also where it states less, as nobody would learn of the limit's end without any."""

REPORTED_KEPT_S = 20.0
"""Time for which a limit that only other VMs have heard of is kept, in seconds: reports go on
reaching this region far more often, and one request that is let through tells whether it holds."""

_TRANSIT_S = 0.5
"""Longest time that a report is on its way, in seconds."""

_DOUBLING_S = 0.5
"""Time in which the rate doubles after the end of a limit, in seconds."""

_RETURN_S = 3.0
"""Time after the end of a limit from which the server is not limited at all, in seconds."""


class StatedLimit:
    """The limit that one process of a server has stated.

    Attributes:
        per_s: Requests a second that it stated last; None when it never stated any.
        since: Monotonic time at which this VM was first told, in seconds.
        stated_at: Monotonic time at which the server last stated it, in seconds.
        own: True when the server has told this VM itself.
        ended_at: Monotonic time from which it stated none any more, in seconds; None while it does.
    """

    __slots__ = ("ended_at", "own", "per_s", "since", "stated_at")

    def __init__(self) -> None:
        self.per_s: Optional[float] = None
        self.since = float("-inf")
        self.stated_at = float("-inf")
        self.own = False
        self.ended_at: Optional[float] = None

    def answered(self, per_s: Optional[float], started: float, now: float) -> bool:
        """Take in an answer of the server.

        Args:
            per_s: The limit that it states; None for none.
            started: Monotonic time at which its request began, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            True when the limit has begun, changed or ended.
        """
        if per_s is None:
            return self._ends(started, now)
        overlaps = self.is_stated(now) and started < self.stated_at
        held = self.per_s if overlaps and self.per_s is not None else per_s
        changed = self._states(min(per_s, held), now, now)
        self.own = True
        return changed

    def reported(self, per_s: Optional[float], age_s: float, now: float) -> None:
        """Take in what another VM has heard.

        Args:
            per_s: The limit; None for its end.
            age_s: Time since the answer that stated it, or since the request began whose answer
                did not, in seconds.
            now: Monotonic time, in seconds.
        """
        at = now - age_s
        if per_s is None:
            self._ends(at - _TRANSIT_S, now)
        elif at > max(self.stated_at, self.ended_at or float("-inf")):
            self._states(per_s, at, now)

    def rate_per_s(self, now: float) -> Optional[float]:
        """Return at which rate the server may be asked now, by all VMs; None without a limit.

        Args:
            now: Monotonic time, in seconds.
        """
        if self.per_s is None:
            return None
        least = max(LEAST_PER_S, self.per_s)
        if self.ended_at is None:
            return least if self.is_stated(now) else None
        passed_s = now - self.ended_at
        return least * 2 ** (passed_s / _DOUBLING_S) if passed_s < _RETURN_S else None

    def is_stated(self, now: float) -> bool:
        """Return whether the server goes on stating a limit, as far as is known here."""
        if self.per_s is None or self.ended_at is not None:
            return False
        return self.own or now - self.stated_at < REPORTED_KEPT_S

    def _states(self, per_s: float, at: float, now: float) -> bool:
        began = not self.is_stated(now)
        changed = began or per_s != self.per_s
        if began:
            self.since = now
            self.own = False
        self.per_s = per_s
        self.stated_at = at
        self.ended_at = None
        return changed

    def _ends(self, began_at: float, now: float) -> bool:
        """End the limit if it was last stated before a request began that stated none."""
        if not self.is_stated(now) or began_at < self.stated_at:
            return False
        self.ended_at = now
        return True
