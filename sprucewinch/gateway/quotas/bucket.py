"""Rule: how many requests of a workspace one part of its limit allows now.

Question: how many of the requests that are asked for may be sent? Inputs: the workspace's rate and
burst, the fleet's bounds on a window, which part of the limit this bucket holds, time in monotonic
seconds. Rule: a token bucket. Its rate is its part of what a window allows, rate x window + burst,
spread over the window; its width and what it begins with are parts of the margin that the bounds
leave. After a pause of this process it begins again.

Why so: all buckets together give at most rate x T + width in a time T, whoever asks and whatever is
lost on the way, as parts add up to one; a VM may use a request that was given to it for `HOLD_S`,
and give it back unused for `RETURN_S`, so a window of requests takes what was given in the window
and `RETURN_S`. Two starts of a VM in one window add twice what buckets begin with. The burst is in
the rate, not in the width: a workspace that goes on above its rate is served as much as a window
allows, and one that sends its whole burst at once gets it spread over some tenths of a second. A
count over the window would give both, and would give a whole window anew when the VMs that counted
are killed.

Constants: `HOLD_S`, `RETURN_S`, `_USED_PART`, `_WIDTH_PART`, `_FIRST_PART`, `_LEAST_MARGIN`,
`_LEAST_WAIT_S`, `MOST_WAIT_S`. Shows in: `operate.py workspaces`. Tests:
tests/test_gateway_quota.py.
"""

from typing import NamedTuple

from ..resources import Workspace
from ..settings import Bounds

HOLD_S = 0.1
"""Time for which a VM may use a request that was given to it, in seconds."""

RETURN_S = 0.25
"""Time for which it may give it back where it was not used or did not run, in seconds: a request
that finds no room is refused well within it."""

_USED_PART = 0.2
"""Part of the excess that the bounds allow by which the rate lies above the limit, so that what is
lost on the way does not take a workspace below it."""

_WIDTH_PART = 0.7
"""Part of the margin that buckets are wide."""

_FIRST_PART = 0.15
"""Part of the margin that buckets begin with: two starts in a window are the rest of it."""

_LEAST_WAIT_S = 0.1
"""Shortest time for which an owner that has nothing left is not asked again, in seconds: a bucket
that many ask in vain gains several requests meanwhile, and loses none as it is wider."""

MOST_WAIT_S = 2.0
"""Longest time for which an owner that has nothing left is not asked again, in seconds."""

_LEAST_MARGIN = 5.0
"""Least margin that is kept for the width of buckets, in requests: one narrower than a request
would never give any."""


class QuotaLimit(NamedTuple):
    """The limit of one workspace, as buckets keep it.

    Args:
        rate_per_s: Requests a second.
        capacity: Most requests that all its buckets hold.
        first: Requests that they begin with.
    """

    rate_per_s: float
    capacity: float
    first: float


def quota_limit(workspace: Workspace, bounds: Bounds) -> QuotaLimit:
    """Return the limit of a workspace within the fleet's bounds on a window."""
    allowed = workspace.rate_per_s * bounds.quota_window_s + workspace.burst
    bound = allowed * (1 + bounds.quota_over) + bounds.quota_slack
    rate = allowed * (1 + _USED_PART * bounds.quota_over) / bounds.quota_window_s
    margin = bound - rate * (bounds.quota_window_s + RETURN_S)
    if margin < _LEAST_MARGIN:
        # Bounds that leave nothing: the burst is the margin.
        rate = max(0.0, bound - _LEAST_MARGIN) / (bounds.quota_window_s + RETURN_S)
        margin = min(bound, _LEAST_MARGIN)
    return QuotaLimit(rate, _WIDTH_PART * margin, _FIRST_PART * margin)


class QuotaBucket:
    """One part of a workspace's limit.

    Args:
        limit: The workspace's limit.
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
