"""Outages of the store as this VM sees them, and what may have lapsed meanwhile.

Backend servers keep their entries alive by heartbeats to the store. While the store is away those
entries may run out although the servers live; after its return they are written again. So an
entry that is found gone right after an outage proves nothing yet.
"""

from typing import Optional

LAPSED_ENTRY_GRACE_S = 2.0
"""How long after an outage entries of living servers may still be missing, in seconds."""


class StoreOutages:
    """When the store was out of reach.

    Args:
        heartbeat_s: How often backend servers renew their entries, in seconds; in a shorter outage
            none can run out.
    """

    __slots__ = ("_lost_at", "_over_until", "heartbeat_s")

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self._lost_at: Optional[float] = None
        self._over_until = float("-inf")

    def lost(self, now: float) -> None:
        """Note a call that failed."""
        if self._lost_at is None:
            self._lost_at = now

    def regained(self, now: float) -> None:
        """Note a call that was answered."""
        if self._long(now):
            self._over_until = now + LAPSED_ENTRY_GRACE_S
        self._lost_at = None

    def answered_peer(self, at: float, now: float) -> None:
        """Note that the store answered another VM.

        Then it is this VM alone that does not reach it: backend servers do, and an entry that
        goes belongs to a server that has left.

        Args:
            at: When the store answered it, as monotonic time here, in seconds.
            now: Monotonic time, in seconds.
        """
        if self._lost_at is not None and at > self._lost_at:
            self.regained(now)

    def entries_may_have_lapsed(self, now: float) -> bool:
        """Tell whether an entry that is found gone now may belong to a living server.

        Args:
            now: Monotonic time, in seconds.
        """
        return self._long(now) or now < self._over_until

    def _long(self, now: float) -> bool:
        return self._lost_at is not None and now - self._lost_at >= self.heartbeat_s
