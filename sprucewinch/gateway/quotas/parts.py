"""The parts of quotas that this VM holds, and what it gives of them.

Owns a bucket for each quota of which a part is this VM's. Relies on `owners` for which parts
those are and on `bucket` for what each gives. A part that goes to another VM is dropped, and
begins anew if it comes back; so do all after a pause of this process, in which another VM may have
taken its place. One that nobody has asked before has gained since this VM holds it.
"""

from collections.abc import Callable
from typing import NamedTuple, Optional

from .bucket import QuotaBucket
from .owners import QuotaOwners
from .quota import Quota

_PAUSE_S = 1.0
"""Time between two ticks beyond which this process counts as having stood still, in seconds: less
than others need to put another VM in its place."""


_IDLE_S = 60.0
"""Time without an ask after which a bucket is dropped, in seconds: servers come and go."""


class Grant(NamedTuple):
    """What an asker gets.

    Args:
        count: Requests that it may send.
        wait_s: When it may ask again if it got none, in seconds from now.
    """

    count: int
    wait_s: float = 0.0


class QuotaParts:
    """Gives requests out of the parts that this VM holds.

    Args:
        owners: Which parts those are.
        now: Monotonic time, in seconds.
    """

    def __init__(self, owners: QuotaOwners, now: float) -> None:
        self.owners = owners
        self.buckets: dict[str, QuotaBucket] = {}
        self._ticked_at = now
        self._began_at = now
        self._dropped_at = now

    def tick(self, now: float) -> None:
        """Look who is in touch; begin all parts again if this process stood still since."""
        self.owners.look(now)
        self._drop_idle(now)
        if now - self._ticked_at > _PAUSE_S:
            self._began_at = now
            for bucket in self.buckets.values():
                bucket.restart(now)
        self._ticked_at = now

    def _drop_idle(self, now: float) -> None:
        """Drop buckets that nobody has asked for long: they are full, as one made anew would be."""
        if now - self._dropped_at < _IDLE_S:
            return
        self._dropped_at = now
        self.buckets = {n: held for n, held in self.buckets.items() if now - held.at < _IDLE_S}

    def drop(self, unknown: Callable[[str], bool]) -> None:
        """Drop the parts of quotas whose names are unknown."""
        self.buckets = {name: held for name, held in self.buckets.items() if not unknown(name)}

    def give(self, quota: Quota, count: int, now: float) -> Optional[Grant]:
        """Return what an asker gets; None when this VM holds no part of it.

        Args:
            quota: The quota.
            count: Requests that are asked for.
            now: Monotonic time, in seconds.
        """
        self.tick(now)
        bucket = self._bucket(quota, now)
        if bucket is None:
            return None
        given = bucket.take(count, now)
        return Grant(given) if given else Grant(0, bucket.wait_s(now))

    def take_back(self, name: str, count: int, now: float) -> None:
        """Take back what an asker did not use; of a part that is no longer held it is lost.

        Args:
            name: Name of the quota.
            count: Requests.
            now: Monotonic time, in seconds.
        """
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.take_back(count, now)

    def _bucket(self, quota: Quota, now: float) -> Optional[QuotaBucket]:
        limit = quota.limit
        part = self.owners.own_part(quota, now)
        bucket = self.buckets.get(quota.name)
        if part <= 0:
            self.buckets.pop(quota.name, None)
            return None
        if bucket is None:
            # It has been this VM's since then, and nobody has asked for any of it.
            since = max(self._began_at, self.owners.changed_at)
            bucket = self.buckets[quota.name] = QuotaBucket(limit, part, since)
        elif bucket.part != part or bucket.limit != limit:
            bucket.resize(limit, part, now)
        return bucket
