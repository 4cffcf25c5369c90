"""Limits how fast requests may move to other regions because servers there answer sooner.

Requests that move by expected answer time leave the region that the shares in force give them. This
VM lets a part of its requests of each service do so. The part follows the requests that want to
move, by at most `_CAP_FRACTION` of the shift cap within each window of the cap, less what the
shares themselves have moved. Both directions are limited, as a move back is a shift too: when a
burst ends, some requests go on moving for a while, to servers that still answer them in time.

The cap is a fraction of the requests, so it holds for the fleet if it holds at each VM, without a
message between VMs. A VM with few requests moves a whole one rarely: it adds up the part at each
request and moves one whenever the sum passes a whole number. The sums of the VMs start at different
fractions, so that they do not all move a request at the same time. A request that may not move
stays in its region. Requests whose region has no usable server do not count, as nothing is decided
about them.

Inputs are this VM's requests with their monotonic times in seconds, whether each wants to move, the
cap (`Bounds.shift_cap`) and what the shares have moved (`regions.shares`). Owns the part and the
sum of each service. The result shows in the field `sooner` of the event `request`. Tests:
tests/test_gateway_region_moves.py.
"""

import math
from collections.abc import Iterable

from ...._hash import hash64
from ...regions.shares import SHIFT_WINDOW_S, RegionShares
from ...state.named_state import NamedStateOwner, NamedTable, NameKind

_CAP_FRACTION = 0.4
"""Fraction of the shift cap by which the part that moves may change; the rest is for changes of the
shares, which may begin in the same window."""

_MAX_PART = 0.3
"""Largest part of a service's requests that moves. When the other regions have no room any more,
all of it returns at once, as no server is left for a slow return."""

_MAX_DELAYED = 0.05
"""Largest fraction of a window's requests whose moves wait for requests that want to move, though a
request that does not want to could move now. When no more requests want to, the part of those that
moved falls by it at once."""

_HASH_SPACE = float(1 << 64)
"""Number of values of the 64-bit hash."""


class _ServiceMoves:
    """The part of a service's requests that moves.

    Args:
        owed: Moves that are owed at the start, below 1.
        now: Monotonic time, in seconds.
    """

    __slots__ = ("at", "owed", "part", "recent", "wanted")

    def __init__(self, owed: float, now: float) -> None:
        self.at = now
        self.owed = owed
        self.part = 0.0
        self.recent = 0.0
        self.wanted = 0.0

    @property
    def max_owed(self) -> float:
        """Return how many moves may be owed; any request takes the last of them."""
        return 1.0 + min(1.0, _MAX_DELAYED * self.recent)

    def record(self, now: float, max_change: float, *, wants: bool, moved: bool) -> None:
        """Count a request, and let the part follow those that want to move.

        Args:
            now: Monotonic time, in seconds.
            max_change: Largest change of the part within a window.
            wants: True if the request wants to move.
            moved: True if it moves.
        """
        windows = min(1.0, (now - self.at) / SHIFT_WINDOW_S)
        self.at = now
        self.owed = min(self.max_owed, self.owed + self.part) - moved
        keep = math.exp(-windows)
        self.recent = self.recent * keep + 1.0
        self.wanted = self.wanted * keep + wants * (1.0 - keep)
        step = max_change * windows
        change = max(-step, min(step, self.wanted - self.part))
        self.part = min(_MAX_PART, self.part + change)


class RegionMoves(NamedStateOwner):
    """This VM's requests that move to another region, by service.

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
        self._services: dict[str, _ServiceMoves] = {}

    def named_tables(self) -> Iterable[NamedTable]:
        """Return the moves by service; see `NamedStateOwner`."""
        return (NamedTable("region_moves", NameKind.SERVICE, self._services),)

    def may_move(self, service: str) -> bool:
        """Return whether a request of a service may move to another region if it wants to."""
        moves = self._services.get(service)
        return moves is not None and moves.owed + moves.part >= 1.0

    def should_move(self, service: str) -> bool:
        """Return whether a request of a service should move though it does not want to.

        Otherwise the part that moves would fall faster than the limit allows. A move that is owed
        is left to a request that wants to move for a while.
        """
        moves = self._services.get(service)
        return moves is not None and moves.owed + moves.part >= moves.max_owed

    def record(self, service: str, now: float, *, wants: bool, moved: bool) -> None:
        """Count a request of a service that is sent while its region has usable servers.

        Args:
            service: Name of the service.
            now: Monotonic time, in seconds.
            wants: True if a server in another region is expected to answer it sooner.
            moved: True if it is sent to another region.
        """
        moves = self._services.get(service)
        if moves is None:
            start = hash64(f"{self.vm}|{service}") / _HASH_SPACE
            moves = self._services[service] = _ServiceMoves(start, now)
        moves.record(now, self._max_change(service, now), wants=wants, moved=moved)

    def _max_change(self, service: str, now: float) -> float:
        """Return by how much the part that moves may change within a window."""
        unused = _CAP_FRACTION * self.shift_cap - self.shares.moved_recently(service, now)
        return max(0.0, unused)
