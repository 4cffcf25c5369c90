"""The parts of quotas that this VM holds, and the requests that it grants from them.

This module owns a bucket for each quota of which this VM holds a part. It relies on `owners` for
which parts those are and on `bucket` for what each allows. A part that moves to another VM is
dropped, and starts anew if it returns. All parts start anew after a pause of this process, in which
another VM may have taken its place. The bucket of a part that nobody has asked for yet counts as
filling since this VM has held the part.
"""

from collections.abc import Callable
from typing import NamedTuple, Optional

from .bucket import QuotaBucket
from .owners import QuotaOwners
from .quota import Quota

_MAX_TICK_GAP_S = 1.0
"""Time between two ticks beyond which this process counts as paused, in seconds: less than the time
in which another VM takes its place."""

_IDLE_S = 60.0
"""Time without an ask after which a bucket is dropped, in seconds: quotas of servers that are gone
would otherwise stay."""


class Grant(NamedTuple):
    """The answer to an ask.

    Args:
        count: Requests that the asker may send.
        wait_s: Time until it may ask again when it got none, in seconds.
    """

    count: int
    wait_s: float = 0.0


class QuotaParts:
    """Grants requests from the parts that this VM holds.

    Args:
        owners: Tells which parts those are.
        now: Monotonic time, in seconds.
    """

    def __init__(self, owners: QuotaOwners, now: float) -> None:
        self.owners = owners
        self.buckets: dict[str, QuotaBucket] = {}
        self._ticked_at = now
        self._began_at = now
        self._dropped_at = now

    def tick(self, now: float) -> None:
        """Refresh the owners; start all parts anew after a pause since the last tick."""
        self.owners.refresh(now)
        self._drop_idle(now)
        if now - self._ticked_at > _MAX_TICK_GAP_S:
            self._began_at = now
            for bucket in self.buckets.values():
                bucket.restart(now)
        self._ticked_at = now

    def _drop_idle(self, now: float) -> None:
        """Drop buckets that nobody asked for `_IDLE_S`: they are full, as a new one would be."""
        if now - self._dropped_at < _IDLE_S:
            return
        self._dropped_at = now
        self.buckets = {n: held for n, held in self.buckets.items() if now - held.at < _IDLE_S}

    def drop(self, unknown: Callable[[str], bool]) -> None:
        """Drop the parts of quotas whose names are unknown."""
        self.buckets = {name: held for name, held in self.buckets.items() if not unknown(name)}

    def grant(self, quota: Quota, count: int, now: float) -> Optional[Grant]:
        """Grant requests to an asker; return None when this VM holds no part of the quota.

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
        """Take back what an asker did not use; it is lost where the part is no longer held.

        Args:
            name: Name of the quota.
            count: Requests that were not used.
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
            # This VM has held the part since then, and nobody has asked for any of it.
            since = max(self._began_at, self.owners.changed_at)
            bucket = self.buckets[quota.name] = QuotaBucket(limit, part, since)
        elif bucket.part != part or bucket.limit != limit:
            bucket.resize(limit, part, now)
        return bucket
