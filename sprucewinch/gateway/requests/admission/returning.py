"""Recognises a caller that returns after a refusal, by the time that it has left.

A caller states with each attempt how much longer it waits. All callers of a route state about the
same time when they first try, and what is left of it when they return, to this VM or to another
one. So a caller that states clearly less than is usual for a first attempt has tried before, and
the difference is the time since its first attempt. No message between VMs is needed.

The usual time is learned for each route: it is the longest time that at least `_MIN_USUAL_FRACTION`
of the recent requests state. A plain maximum would be decided by one odd caller. Where no time is
stated as often, as each caller chooses its own, nobody is recognised.

A refused caller is asked to wait for `return_times.MIN_RETRY_AFTER_S` at least. One that has used
less time than that repeats its request without waiting, and gets no preference: otherwise callers
that repeat three times at once would take the room that is kept for those that wait.

Inputs are the route's name and the stated time in seconds. The module owns the usual times. The
result orders waiting requests (`choice.room`) and shows in the counters `callers_returning` and
`callers_repeating`. Tests: tests/test_gateway_returning.py.
"""

from typing import NamedTuple, Optional

from ..client_request import CallerHistory
from ..outcome.return_times import MIN_RETRY_AFTER_S

_BUCKET_S = 0.02
"""Width of a bucket of stated times, in seconds: well below `MIN_RETRY_AFTER_S`, so that a caller
that has waited is never in the bucket of first attempts."""

_FIRST_TOLERANCE_S = 0.04
"""How much less than usual a first attempt may state, in seconds: the time of a round trip between
distant regions, which some callers take off when they open a connection."""

_MIN_USUAL_FRACTION = 0.25
"""Fraction of the recent requests of a route that state the usual time. Under heavy load most
requests are returns, but these are spread over many buckets."""

_HALVING_INTERVAL_REQUESTS = 256
"""Requests of a route after which all counts are halved, which also bounds their number."""

_MIN_COUNT = 0.5
"""Count below which a bucket is dropped, in requests."""

_UPDATE_INTERVAL_REQUESTS = 8
"""Requests of a route after which its usual time is determined again."""


class CallerAttempt(NamedTuple):
    """What is known of a caller's earlier attempts.

    Args:
        history: Whether it has tried before.
        tried_for_s: Time since its first attempt, in seconds; 0 for a first attempt.
    """

    history: CallerHistory
    tried_for_s: float = 0.0


FIRST_ATTEMPT = CallerAttempt(CallerHistory.FIRST)


class _Bucket(NamedTuple):
    """Recent requests that state about the same time.

    Args:
        count: Their number; older ones count less.
        longest_s: Longest time that one of them stated, in seconds.
    """

    count: float = 0.0
    longest_s: float = 0.0


_EMPTY = _Bucket()


class UsualWait:
    """The time that callers of one route usually state with their first attempt."""

    __slots__ = ("_buckets", "_recorded", "usual_s")

    def __init__(self) -> None:
        self.usual_s: Optional[float] = None
        self._buckets: dict[int, _Bucket] = {}
        self._recorded = 0

    def record(self, stated_s: float) -> None:
        """Record the time that a caller states, in seconds."""
        number = int(stated_s / _BUCKET_S)
        count, longest_s = self._buckets.get(number, _EMPTY)
        self._buckets[number] = _Bucket(count + 1.0, max(longest_s, stated_s))
        self._recorded += 1
        if self._recorded % _HALVING_INTERVAL_REQUESTS == 0:
            halves = {n: _Bucket(b.count / 2, b.longest_s) for n, b in self._buckets.items()}
            self._buckets = {n: half for n, half in halves.items() if half.count >= _MIN_COUNT}
        if self._recorded % _UPDATE_INTERVAL_REQUESTS == 0:
            self.usual_s = self._longest_frequent_s()

    def _longest_frequent_s(self) -> Optional[float]:
        """Return the longest time of the highest two buckets that together hold enough requests."""
        enough = sum(b.count for b in self._buckets.values()) * _MIN_USUAL_FRACTION
        for number in sorted(self._buckets, reverse=True):
            bucket, below = self._buckets[number], self._buckets.get(number - 1, _EMPTY)
            if bucket.count + below.count >= enough:
                return bucket.longest_s
        return None


class ReturningCallers:
    """Recognises returning callers of all routes."""

    __slots__ = ("by_route",)

    def __init__(self) -> None:
        self.by_route: dict[str, UsualWait] = {}

    def attempt(self, route: str, stated_s: float) -> CallerAttempt:
        """Return what is known of a caller's earlier attempts, and learn from this one.

        Args:
            route: Name of its route.
            stated_s: How much longer it waits, in seconds.
        """
        usual = self.by_route.setdefault(route, UsualWait())
        usual.record(stated_s)
        if usual.usual_s is None:
            return FIRST_ATTEMPT
        tried_for_s = usual.usual_s - stated_s
        if tried_for_s >= MIN_RETRY_AFTER_S:
            return CallerAttempt(CallerHistory.RETURNING, tried_for_s)
        if tried_for_s > _FIRST_TOLERANCE_S:
            return CallerAttempt(CallerHistory.REPEATING, tried_for_s)
        return FIRST_ATTEMPT

    def forget_others(self, routes: set[str]) -> None:
        """Drop what is known of routes that no longer exist, by their names."""
        self.by_route = {name: usual for name, usual in self.by_route.items() if name in routes}
