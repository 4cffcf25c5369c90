"""Rule: how many requests one part of a quota allows now.

Question: how many of the requests that are asked for may be sent? Inputs: what the quota allows,
which part of it this bucket holds, time in monotonic seconds. Rule: a token bucket, whose rate,
width and first content are parts of the quota's. After a pause of this process it begins again.

Why so: all buckets together give at most rate x T + width in a time T, whoever asks and whatever is
lost on the way, as parts add up to one; a VM may use a request that was given to it for `HOLD_S`,
and give it back unused for `RETURN_S`, so a window of requests takes what was given in the window
and `RETURN_S`. Two starts of a VM in one window add twice what buckets begin with. A count over the
window would give a whole window anew when the VMs that counted are killed.

Constants: `HOLD_S`, `RETURN_S`, `_LEAST_WAIT_S`, `MOST_WAIT_S`. Shows in: `operate.py workspaces`.
Tests: tests/test_gateway_quota.py.
"""

from .quota import QuotaLimit

HOLD_S = 0.1
"""Time for which a VM may use a request that was given to it, in seconds."""

RETURN_S = 0.25
"""Time for which it may give it back where it was not used or did not run, in seconds: a request
that finds no room is refused well within it."""

_LEAST_WAIT_S = 0.1
"""Shortest time for which an owner that has nothing left is not asked again, in seconds: a bucket
that many ask in vain gains several requests meanwhile, and loses none as it is wider."""

MOST_WAIT_S = 2.0
"""Longest time for which an owner that has nothing left is not asked again, in seconds."""


class QuotaBucket:
    """One part of a quota.

    Args:
        limit: What the quota allows.
        part: The part of it that this bucket holds, from 0 to 1.
        now: Monotonic time, in seconds.
    """

    __slots__ = ("at", "level", "limit", "part")

    def __init__(self, limit: QuotaLimit, part: float, now: float) -> None:
        self.limit = limit
        self.part = part
        self.level = limit.first * part
        self.at = now

    def resize(self, limit: QuotaLimit, part: float, now: float) -> None:
        """Hold another part, or a part of another limit, from now on."""
        self._gain(now)
        self.limit = limit
        self.part = part
        self.level = min(self.level, limit.capacity * part)

    def restart(self, now: float) -> None:
        """Begin again: while this process stood still, another VM may have given for it."""
        self.level = min(self.level, self.limit.first * self.part)
        self.at = now

    def take(self, count: int, now: float) -> int:
        """Take requests out.

        Args:
            count: How many are asked for.
            now: Monotonic time, in seconds.

        Returns:
            How many may be sent; at most `count`.
        """
        self._gain(now)
        given = min(count, int(self.level))
        self.level -= given
        return given

    def take_back(self, count: int, now: float) -> None:
        """Put requests back that were not used."""
        self._gain(now)
        self.level = min(self.limit.capacity * self.part, self.level + count)

    def wait_s(self, now: float) -> float:
        """Return when it holds a whole request again, in seconds from now."""
        self._gain(now)
        rate = self.limit.rate_per_s * self.part
        if rate <= 0 or self.limit.capacity * self.part < 1:
            return MOST_WAIT_S
        return min(MOST_WAIT_S, max(_LEAST_WAIT_S, (1.0 - self.level) / rate))

    def _gain(self, now: float) -> None:
        passed = max(0.0, now - self.at)
        gained = passed * self.limit.rate_per_s * self.part
        self.at = max(self.at, now)
        self.level = min(self.limit.capacity * self.part, self.level + gained)
