"""The shift cap: how fast callers of one service may be moved between regions.

A `ShiftLimiter` decides how far the shares may go towards a target now. It takes the shares in
force and the wanted ones, the monotonic time in seconds, and a `ShiftLimit` (part of the callers,
seconds). It owns the moves that it made within the last window and reads no clock.

Within any window, plus the time for which callers cache answers, at most the cap moves; moves back
and forth both count. One step moves at most a tenth of the cap. A limiter that is given `spent_at`
counts the whole cap as spent then: the own interface gives it, as a new process does not know what
was moved before its start; the routed path does not.

The cap is a part of the callers, so it holds for the fleet when it holds at each VM, without any
exchange between VMs. Dividing it into allowances would need agreement on which VM holds which, and
a VM that hangs would keep its allowance.

Cap and window are set by operators. The result shows in the shares themselves, in `sprucewinch
explain` and in `/state` of the routed path; nothing is logged, since shares move in many small
steps. The tests are in `tests.test_shift` (`FleetShift`, `WrongVersionsAreFound`,
`ShiftLimiterCases`).
"""

from collections import deque
from typing import NamedTuple, Optional

from .placement import Shares, make_shares, moved_part, step_towards

_STEPS_PER_WINDOW = 10
"""Steps over which one window's cap is spread, so that a region that gains callers warms up. With
twenty, rounds of one second used only half of the cap, and a drained region still had 47 % of its
callers after 80 rounds; with ten, and placement by rendezvous hashing, it was empty after 66."""


class ShiftLimit(NamedTuple):
    """The shift cap of one service.

    Args:
        cap: Largest part of callers moved within any window, in `(0, 1]`.
        window_s: Window, in seconds.
        ttl_s: How long callers keep look-up answers, in seconds.
    """

    cap: float
    window_s: float
    ttl_s: float


class _Move(NamedTuple):
    """One step of the shares that took effect.

    Args:
        at: Monotonic time, in seconds.
        part: Part of callers moved.
    """

    at: float
    part: float


class ShiftLimiter:
    """Moves shares towards a target under a cap on the part of callers moved in any window.

    A caller that caches an answer just before a step moves up to `ttl_s` later, so the limiter
    keeps to the cap over `window_s + ttl_s`: callers that arrive in another region within any
    window were moved by steps within one such longer window.

    Args:
        start: Shares at the start.
        limit: The cap and its window.
        spent_at: When given, the whole cap counts as spent at that monotonic time, in seconds.
    """

    __slots__ = ("_moves", "current", "limit")

    def __init__(
        self, start: Shares, limit: ShiftLimit, *, spent_at: Optional[float] = None
    ) -> None:
        self.current = start
        self.limit = limit
        self._moves: deque[_Move] = deque()
        if spent_at is not None:
            self._moves.append(_Move(spent_at, limit.cap))

    def set_limit(self, limit: ShiftLimit) -> None:
        """Apply a changed cap at once; earlier moves still count.

        While earlier moves are kept, the window may only grow, so that none is dropped before its
        own window has passed.
        """
        if self._moves:
            window_s = max(limit.window_s, self.limit.window_s)
            limit = ShiftLimit(limit.cap, window_s, max(limit.ttl_s, self.limit.ttl_s))
        self.limit = limit

    def allowance(self, now: float) -> float:
        """Return the part of callers that may still move now.

        Args:
            now: Monotonic time, in seconds.
        """
        window_start = now - (self.limit.window_s + self.limit.ttl_s)
        while self._moves and self._moves[0].at < window_start:
            self._moves.popleft()
        return max(0.0, self.limit.cap - sum(move.part for move in self._moves))

    def propose(self, target: Shares, now: float) -> Shares:
        """Return the next shares towards a target, as far as the cap allows.

        Args:
            target: Wanted shares; regions as in `current`.
            now: Monotonic time, in seconds.
        """
        allowance = min(self.allowance(now), self.limit.cap / _STEPS_PER_WINDOW)
        if allowance <= 0 or target == self.current:
            return self.current
        return step_towards(self.current, target, allowance)

    def commit(self, shares: Shares, now: float) -> None:
        """Make shares current and count the callers that they move against the cap.

        Args:
            shares: Shares from now on.
            now: Monotonic time, in seconds.
        """
        part = moved_part(self.current, shares)
        if part > 0:
            self._moves.append(_Move(now, part))
        self.current = shares

    def move(self, target: Shares, now: float) -> Shares:
        """Propose a step, commit it, and return the shares from now on.

        Args:
            target: Wanted shares; regions as in `current`.
            now: Monotonic time, in seconds.
        """
        self.commit(self.propose(target, now), now)
        return self.current

    def set_regions(self, order: tuple[str, ...]) -> None:
        """Apply a changed list of regions; shares of removed regions go to the others.

        Args:
            order: Regions in the configuration's order.
        """
        weights = {region: self.current.share(region) for region in order}
        if sum(weights.values()) <= 0:
            weights = dict.fromkeys(order, 1.0)
        self.current = make_shares(order, weights)


if __name__ == "__main__":
    from rich.console import Console
    from rich.table import Table

    east, west = (make_shares(("east", "west"), {region: 1.0}) for region in ("east", "west"))
    limiter = ShiftLimiter(east, ShiftLimit(cap=0.25, window_s=10.0, ttl_s=2.0))
    table = Table("second", "east", "west", title="a whole region moved under a cap of 25% in 10 s")
    for second in range(0, 60, 5):
        for tenth in range(50):
            limiter.move(west, second + tenth / 10)
        shares = limiter.current
        table.add_row(str(second + 5), f"{shares.share('east'):.2f}", f"{shares.share('west'):.2f}")
    Console().print(table)
