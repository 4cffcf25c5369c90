"""The parts of workspaces' limits that this VM holds, and what it gives of them.

Owns a bucket for each workspace whose part is this VM's. Relies on `owners` for which parts
those are and on `bucket` for what each gives. A part that goes to another VM is dropped, and
begins anew if it comes back; so do all after a pause of this process, in which another VM may have
taken its place. One that nobody has asked before has gained since this VM holds it.
"""

from typing import NamedTuple, Optional

from ..resources import Workspace
from ..settings import Bounds
from .bucket import QuotaBucket, quota_limit
from .owners import QuotaOwners

_PAUSE_S = 1.0
"""Time between two ticks beyond which this process counts as having stood still, in seconds: less
than others need to put another VM in its place."""


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
        bounds: The fleet's figures.
        now: Monotonic time, in seconds.
    """

    def __init__(self, owners: QuotaOwners, bounds: Bounds, now: float) -> None:
        self.owners = owners
        self.bounds = bounds
        self.buckets: dict[str, QuotaBucket] = {}
        self._ticked_at = now
        self._began_at = now

    def tick(self, now: float) -> None:
        """Look who is in touch; begin all parts again if this process stood still since."""
        self.owners.look(now)
        if now - self._ticked_at > _PAUSE_S:
            self._began_at = now
            for bucket in self.buckets.values():
                bucket.restart(now)
        self._ticked_at = now

    def drop_unknown(self, names: set[str]) -> None:
        """Drop the parts of workspaces that the configuration has no longer."""
        self.buckets = {name: held for name, held in self.buckets.items() if name in names}

    def give(self, workspace: Workspace, count: int, now: float) -> Optional[Grant]:
        """Return what an asker gets; None when this VM holds no part of the workspace's limit.

        Args:
            workspace: The workspace.
            count: Requests that are asked for.
            now: Monotonic time, in seconds.
        """
        self.tick(now)
        bucket = self._bucket(workspace, now)
        if bucket is None:
            return None
        given = bucket.take(count, now)
        return Grant(given) if given else Grant(0, bucket.wait_s(now))

    def take_back(self, name: str, count: int, now: float) -> None:
        """Take back what an asker did not use; of a part that is no longer held it is lost.

        Args:
            name: The workspace.
            count: Requests.
            now: Monotonic time, in seconds.
        """
        bucket = self.buckets.get(name)
        if bucket is not None:
            bucket.take_back(count, now)

    def _bucket(self, workspace: Workspace, now: float) -> Optional[QuotaBucket]:
        limit = quota_limit(workspace, self.bounds)
        part = self.owners.own_part(workspace.name, limit.capacity, now)
        bucket = self.buckets.get(workspace.name)
        if part <= 0:
            self.buckets.pop(workspace.name, None)
            return None
        if bucket is None:
            # It has been this VM's since then, and nobody has asked for any of it.
            since = max(self._began_at, self.owners.changed_at)
            bucket = self.buckets[workspace.name] = QuotaBucket(limit, part, since)
        elif bucket.part != part or bucket.limit != limit:
            bucket.resize(limit, part, now)
        return bucket
