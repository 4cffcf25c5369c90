"""Decides how many requests one part of a quota allows now.

A bucket is a token bucket that holds one part of a quota. Its rate, capacity and initial content
are that part of the quota's. Its inputs are the quota's limit, the part, and monotonic time in
seconds. After a pause of the process it starts again from its initial content.

All buckets of a quota together give at most rate x T + capacity in a time T, whoever asks and
whatever messages are lost, because the parts add up to one. A VM may use a grant for
`GRANT_VALID_S` and return what it did not use for `GRANT_RETURNABLE_S`, so the requests of a window
come from what was granted in the window plus `GRANT_RETURNABLE_S`. Two starts of a VM in one window
add twice the initial content. Counting requests over a window instead would grant a whole window
again after the VMs that counted are killed.

`_MIN_ASK_WAIT_S` and `MAX_ASK_WAIT_S` bound how long an asker leaves an empty bucket alone. What is
used appears in `operate.py workspaces`. tests/test_gateway_quota.py tests this module.
"""

from .quota import QuotaLimit

GRANT_VALID_S = 0.1
"""Time for which a VM may use a request that was granted to it, in seconds."""

GRANT_RETURNABLE_S = 0.25
"""Time for which a VM may return a granted request that was not used or did not run, in seconds: a
request that finds no room at any server is refused well within it."""

_MIN_ASK_WAIT_S = 0.1
"""Shortest time for which an owner with an empty bucket is not asked again, in seconds: a bucket in
demand gains several requests meanwhile, and loses none because its capacity is larger."""

MAX_ASK_WAIT_S = 2.0
"""Longest time for which an owner with an empty bucket is not asked again, in seconds."""


class QuotaBucket:
    """Token bucket of one part of a quota.

    Args:
        limit: What the quota allows.
        part: The fraction of it that this bucket holds, from 0 to 1.
        now: Monotonic time, in seconds.
    """

    __slots__ = ("at", "level", "limit", "part")

    def __init__(self, limit: QuotaLimit, part: float, now: float) -> None:
        self.limit = limit
        self.part = part
        self.level = limit.first * part
        self.at = now

    def resize(self, limit: QuotaLimit, part: float, now: float) -> None:
        """Hold another part, or a part of another limit, from a monotonic time in seconds."""
        self._refill(now)
        self.limit = limit
        self.part = part
        self.level = min(self.level, limit.capacity * part)

    def restart(self, now: float) -> None:
        """Start again after a pause, in which another VM may have granted requests of this part."""
        self.level = min(self.level, self.limit.first * self.part)
        self.at = now

    def take(self, count: int, now: float) -> int:
        """Take requests out of the bucket.

        Args:
            count: Requests that are asked for.
            now: Monotonic time, in seconds.

        Returns:
            Requests that may be sent; at most `count`.
        """
        self._refill(now)
        given = min(count, int(self.level))
        self.level -= given
        return given

    def take_back(self, count: int, now: float) -> None:
        """Put back requests that were not used."""
        self._refill(now)
        self.level = min(self.limit.capacity * self.part, self.level + count)

    def wait_s(self, now: float) -> float:
        """Return the time until the bucket holds a whole request again, in seconds."""
        self._refill(now)
        rate = self.limit.rate_per_s * self.part
        if rate <= 0 or self.limit.capacity * self.part < 1:
            return MAX_ASK_WAIT_S
        return min(MAX_ASK_WAIT_S, max(_MIN_ASK_WAIT_S, (1.0 - self.level) / rate))

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self.at)
        gained = passed * self.limit.rate_per_s * self.part
        self.at = max(self.at, now)
        self.level = min(self.limit.capacity * self.part, self.level + gained)
