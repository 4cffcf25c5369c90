"""Rule: what a VM may send of a quota now, and whom it asks for more.

Question: may this request be sent, and if not, which owner of a part is asked next? Inputs: the
requests that owners gave to this VM and until when, the owners with the data hall and region of
each, which of them had nothing left and until when, time in monotonic seconds.

Rule: what was given is used first. Else the owner of this VM's own hall is asked, then those of its
region, then one of another region at random, then all others at once. One after the other they
would take longer than a request's target allows; all at once they would give more than is used. An
owner that had nothing is left alone for the time that it stated. As many are asked for as this VM
is likely to send within `HOLD_S`; what is not used by then is given back.

Constants: `_MOST_ASKED`, `_RATE_WINDOW_S`. Tests: tests/test_gateway_quota.py.
"""

import random
from collections import deque
from collections.abc import Iterable
from typing import Optional

from ...retry import RetryAfterSchedule
from .bucket import HOLD_S, RETURN_S
from .owners import Owner

_MOST_ASKED = 64
"""Most requests that are asked for at once."""

_RATE_WINDOW_S = 1.0
"""Time over which a VM counts what it sends of a workspace, in seconds."""


class Given:
    """One grant of an owner.

    Args:
        owner: Who gave it.
        count: Requests left of it.
        at: Monotonic time at which it was asked for, in seconds.
    """

    __slots__ = ("at", "count", "owner")

    def __init__(self, owner: Owner, count: int, at: float) -> None:
        self.owner = owner
        self.count = count
        self.at = at

    def usable(self, now: float) -> bool:
        """Return whether a request of it may be sent."""
        return self.count > 0 and now < self.at + HOLD_S

    def returnable(self, now: float) -> bool:
        """Return whether what is left of it may be given back."""
        return self.count > 0 and now < self.at + RETURN_S


class QuotaLease:
    """What one VM holds of one quota.

    Attributes:
        given: Grants of which something is left, the oldest first.
        dry_until: Monotonic time until which the owner of a hall's part is not asked.
        returns: Gives refused callers their times to return.
    """

    __slots__ = ("_sent", "_used", "dry_until", "given", "returns")

    def __init__(self, returns: RetryAfterSchedule) -> None:
        self.returns = returns
        self._used: deque[float] = deque()
        self.given: deque[Given] = deque()
        self.dry_until: dict[str, float] = {}
        self._sent: deque[float] = deque()

    def arrived(self, now: float) -> None:
        """Count a request that a caller sends."""
        self._sent.append(now)
        _drop_old(self._sent, now)

    def use(self, now: float) -> Optional[Given]:
        """Use one request that was given.

        Returns:
            One request of the grant that it is of; None when none is left.
        """
        for grant in self.given:
            if grant.usable(now):
                grant.count -= 1
                self._used.append(now)
                _drop_old(self._used, now)
                return Given(grant.owner, 1, grant.at)
        return None

    def add(self, grant: Given) -> None:
        """Hold requests that were given, or given back."""
        self.given.append(grant)

    def unused(self, now: float) -> list[Given]:
        """Return the grants that can be used no longer, and hold them no longer."""
        over = [grant for grant in self.given if not grant.usable(now)]
        self.given = deque(grant for grant in self.given if grant.usable(now))
        return [grant for grant in over if grant.returnable(now)]

    def wanted(self, waiting: int, now: float) -> int:
        """Return how many requests to ask for.

        Args:
            waiting: Requests that wait for one.
            now: Monotonic time, in seconds.
        """
        _drop_old(self._sent, now)
        soon = int(len(self._sent) / _RATE_WINDOW_S * HOLD_S)
        return min(_MOST_ASKED, max(waiting, soon, 1))

    def note_dry(self, hall: str, until: float) -> None:
        """Leave the owner of a hall's part alone until a monotonic time, in seconds."""
        self.dry_until[hall] = until

    def is_open(self, owner: Owner, now: float) -> bool:
        """Return whether an owner may be asked now."""
        return self.dry_until.get(owner.hall, 0.0) <= now

    def open_in_s(self, owners: Iterable[Owner], now: float) -> float:
        """Return when one of some owners may be asked again, in seconds; 0 for now."""
        first = min((self.dry_until.get(owner.hall, 0.0) for owner in owners), default=0.0)
        return max(0.0, first - now)

    def used_per_s(self, now: float) -> float:
        """Return how many requests a second were sent lately."""
        _drop_old(self._used, now)
        return len(self._used) / _RATE_WINDOW_S

    def idle(self, now: float) -> bool:
        """Return whether nothing is held, and nothing was sent lately."""
        _drop_old(self._sent, now)
        return not self.given and not self._sent


def _drop_old(times: deque[float], now: float) -> None:
    while times and times[0] <= now - _RATE_WINDOW_S:
        times.popleft()


def asking_groups(
    owners: Iterable[Owner], *, hall: str, regions: dict[str, str], rng: random.Random
) -> tuple[list[Owner], ...]:
    """Return the owners that a VM asks first, next and so on; those of a group are asked at once.

    Args:
        owners: The owners of a workspace's parts.
        hall: Data hall of the VM that asks.
        regions: Region of each data hall.
        rng: Chooses among those of other regions.
    """
    region = regions.get(hall)
    groups: tuple[list[Owner], list[Owner], list[Owner]] = ([], [], [])
    for owner in owners:
        near = 0 if owner.hall == hall else 1 if regions.get(owner.hall) == region else 2
        groups[near].append(owner)
    own, near_by, far = groups
    rng.shuffle(far)
    return own, near_by, far[:1], far[1:]
