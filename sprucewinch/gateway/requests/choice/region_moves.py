"""Decides whether a request may move to another region because a server there answers sooner.

Requests that move by expected answer time leave the region that the shares in force give them. Of a
service's requests of this VM, at most `_MOVED_FRACTION` of the shift cap may be outside of their
region within any window of the cap, less what the shares themselves have moved within that window.
The limit is on the requests outside and not on their growth, because they may all return at once
when a burst ends, and the cap counts moves back like moves out.

The cap is a fraction of the requests, so it holds for the fleet if it holds at each VM, without a
message between VMs. A VM with few requests may rarely move a whole one; its limit is rounded up in
some windows and down in others, by a hash of VM, service and window, so that the limits of a fleet
add up to the fraction. A move beyond the limit stays in its region. Requests whose region has no
usable server are not limited, but they count, as they are outside too.

Inputs are this VM's selections with their monotonic times in seconds, the cap (`Bounds.shift_cap`)
and what the shares have moved (`regions.shares`). Owns the counts by service. The result shows in
the field `sooner` of the event `request` and the server that got it. Tests:
tests/test_gateway_region_moves.py.
"""

from ...._hash import hash64
from ...regions.shares import SHIFT_WINDOW_S, RegionShares
from ..sliding_count import SlidingCount

_MOVED_FRACTION = 0.5
"""Fraction of the shift cap that requests outside of their region may use; the rest is for changes
of the shares, which may begin while requests are outside."""

_HASH_SPACE = float(1 << 64)
"""Number of values of the 64-bit hash."""


class _Counts:
    __slots__ = ("all", "outside")

    def __init__(self) -> None:
        self.all = SlidingCount(SHIFT_WINDOW_S)
        self.outside = SlidingCount(SHIFT_WINDOW_S)


class RegionMoves:
    """This VM's requests outside of their region, by service.

    Args:
        shares: Region shares, which move under the same cap.
        shift_cap: Largest fraction of a region's requests that may change region within
            `SHIFT_WINDOW_S`.
        vm: Name of this VM.
    """

    def __init__(self, shares: RegionShares, shift_cap: float, vm: str) -> None:
        self.shares = shares
        self.shift_cap = shift_cap
        self.vm = vm
        self._counts: dict[str, _Counts] = {}

    def allows(self, service: str, now: float) -> bool:
        """Return whether one more request of a service may move to another region.

        Args:
            service: Name of the service.
            now: Monotonic time, in seconds.
        """
        counts = self._counts.get(service)
        if counts is None:
            return False
        fraction = max(
            0.0, _MOVED_FRACTION * self.shift_cap - self.shares.moved_recently(service, now)
        )
        limit = int(fraction * (counts.all.count(now) + 1) + self._rounding(service, now))
        return fraction > 0.0 and counts.outside.count(now) < limit

    def record(self, service: str, now: float, *, outside: bool) -> None:
        """Count a request of a service that is sent.

        Args:
            service: Name of the service.
            now: Monotonic time, in seconds.
            outside: True if its server is not in the region that the shares give it.
        """
        counts = self._counts.setdefault(service, _Counts())
        counts.all.add(now)
        if outside:
            counts.outside.add(now)

    def _rounding(self, service: str, now: float) -> float:
        """Return what is added to the limit before it is rounded down, from 0 to below 1."""
        window = int(now // SHIFT_WINDOW_S)
        return hash64(f"{self.vm}|{service}|{window}") / _HASH_SPACE
