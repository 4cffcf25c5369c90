"""Decides what a VM may send of a quota now, and which owners it asks for more.

The inputs are the requests that owners granted to this VM and until when they are valid, the owners
with their data halls and regions, which of them had nothing left and until when, and monotonic time
in seconds.

Granted requests are used first. Then the owner in this VM's own data hall is asked, then those of
its region, then one of another region at random, then all others at once. Asking all of them one
after the other would take longer than the target of a request allows; asking all at once would
grant more than is used. An owner that had nothing left is not asked for the time that it stated. A
VM asks for as many requests as it is likely to send within `GRANT_VALID_S`, at most `_MAX_ASKED`,
and returns what it has not used by then. It estimates its rate over `_RATE_WINDOW_S`.

tests/test_gateway_quota.py tests this module.
"""

import random
from collections import deque
from collections.abc import Iterable
from typing import Optional

from ...retry import RetryAfterSchedule
from .bucket import GRANT_RETURNABLE_S, GRANT_VALID_S
from .owners import Owner

_MAX_ASKED = 64
"""Requests that are asked for at once."""

_RATE_WINDOW_S = 1.0
"""Time over which a VM counts the requests of a quota, in seconds."""


class LeaseGrant:
    """One grant of an owner.

    Args:
        owner: The owner that granted it.
        count: Requests left of it.
        at: Monotonic time at which it was asked for, in seconds.
    """

    __slots__ = ("at", "count", "owner")

    def __init__(self, owner: Owner, count: int, at: float) -> None:
        self.owner = owner
        self.count = count
        self.at = at

    def usable(self, now: float) -> bool:
        """Return whether a request of this grant may be sent."""
        return self.count > 0 and now < self.at + GRANT_VALID_S

    def returnable(self, now: float) -> bool:
        """Return whether the rest of this grant may be returned to its owner."""
        return self.count > 0 and now < self.at + GRANT_RETURNABLE_S


class QuotaLease:
    """What one VM holds of one quota.

    Attributes:
        given: Grants with requests left, the oldest first.
        exhausted_until: Monotonic time until which the owner of a hall's part is not asked, by
            hall, in seconds.
        returns: Assigns refused callers the times at which to retry.
    """

    __slots__ = ("_sent", "_used", "exhausted_until", "given", "returns")

    def __init__(self, returns: RetryAfterSchedule) -> None:
        self.returns = returns
        self._used: deque[float] = deque()
        self.given: deque[LeaseGrant] = deque()
        self.exhausted_until: dict[str, float] = {}
        self._sent: deque[float] = deque()

    def arrived(self, now: float) -> None:
        """Count a request that a caller sends, at a monotonic time in seconds."""
        self._sent.append(now)
        _drop_expired(self._sent, now)

    def use(self, now: float) -> Optional[LeaseGrant]:
        """Use one granted request.

        Returns:
            The request, as a grant of one; None when none is left.
        """
        for grant in self.given:
            if grant.usable(now):
                grant.count -= 1
                self._used.append(now)
                _drop_expired(self._used, now)
                return LeaseGrant(grant.owner, 1, grant.at)
        return None

    def add(self, grant: LeaseGrant) -> None:
        """Hold requests that an owner granted, or that did not run."""
        self.given.append(grant)

    def unused(self, now: float) -> list[LeaseGrant]:
        """Remove the grants that are no longer valid; return those that may be returned."""
        expired = [grant for grant in self.given if not grant.usable(now)]
        self.given = deque(grant for grant in self.given if grant.usable(now))
        return [grant for grant in expired if grant.returnable(now)]

    def wanted(self, waiting: int, now: float) -> int:
        """Return how many requests to ask for.

        Args:
            waiting: Requests of callers that wait for a grant.
            now: Monotonic time, in seconds.
        """
        _drop_expired(self._sent, now)
        expected = int(len(self._sent) / _RATE_WINDOW_S * GRANT_VALID_S)
        return min(_MAX_ASKED, max(waiting, expected, 1))

    def record_exhausted(self, hall: str, until: float) -> None:
        """Record that the owner of a hall's part has nothing until a monotonic time, in seconds."""
        self.exhausted_until[hall] = until

    def is_open(self, owner: Owner, now: float) -> bool:
        """Return whether an owner may be asked now."""
        return self.exhausted_until.get(owner.hall, 0.0) <= now

    def next_ask_in_s(self, owners: Iterable[Owner], now: float) -> float:
        """Return the time until one of some owners may be asked again, in seconds; 0 for now."""
        first = min((self.exhausted_until.get(owner.hall, 0.0) for owner in owners), default=0.0)
        return max(0.0, first - now)

    def used_per_s(self, now: float) -> float:
        """Return the requests used a second over the last `_RATE_WINDOW_S`."""
        _drop_expired(self._used, now)
        return len(self._used) / _RATE_WINDOW_S

    def idle(self, now: float) -> bool:
        """Return whether no grant is held, and no request arrived within `_RATE_WINDOW_S`."""
        _drop_expired(self._sent, now)
        return not self.given and not self._sent


def _drop_expired(times: deque[float], now: float) -> None:
    while times and times[0] <= now - _RATE_WINDOW_S:
        times.popleft()


def asking_groups(
    owners: Iterable[Owner], *, hall: str, regions: dict[str, str], rng: random.Random
) -> tuple[list[Owner], ...]:
    """Return groups of owners in the order in which a VM asks them; a group is asked at once.

    Args:
        owners: The owners of a quota's parts.
        hall: Data hall of the VM that asks.
        regions: Region of each data hall.
        rng: Source of randomness, which orders the owners in other regions.
    """
    region = regions.get(hall)
    groups: tuple[list[Owner], list[Owner], list[Owner]] = ([], [], [])
    for owner in owners:
        tier = 0 if owner.hall == hall else 1 if regions.get(owner.hall) == region else 2
        groups[tier].append(owner)
    own, same_region, other_regions = groups
    rng.shuffle(other_regions)
    return own, same_region, other_regions[:1], other_regions[1:]
