"""Rule: when a lapsed entry counts as gone.

Question: does an entry that is missing in the store now mean that its backend server has left?

Inputs: failed and answered calls to the store, of this VM and as other VMs announce them, each with
its monotonic time in seconds, and the servers' heartbeat interval in seconds.

Rule: during an outage of at least one heartbeat interval, and for `LAPSED_ENTRY_GRACE_S` after it,
a missing entry may belong to a server that runs but could not renew its lease. An outage ends with
an answered call of this VM, or when another VM announces an answer that the store gave after the
outage began here; an older answer proves nothing. A VM that relied on other VMs learns of an outage
only when their notices stay away: then the outage began `MAX_ANSWER_AGE_S` after the last answer
that is known.

Why: without the grace, servers that ran were dropped and taken for cold when their entries were
back, and half of the requests were late for 4 s after each return (docs/FINDINGS.md, journal
a221209a). Without the announcements, a VM that alone was refused by the store sent a request to a
server that had left 2,172 ms before (journal d694b71a; that the grace was the cause is inferred).

Result: `BackendRegistry` keeps or drops the server; it has no event of its own.
Tests: `test_gateway_outages` (one VM without peers), `test_gateway_following.Outages`.
"""

from typing import Optional

LAPSED_ENTRY_GRACE_S = 2.0
"""Time after an outage for which entries of servers that run may still be missing, in seconds."""


MAX_ANSWER_AGE_S = 3.2
"""Age beyond which an answer of the store to some VM no longer shows that it answers, in seconds: a
watch of 2 s and the store client's margin of 0.9 s, with 0.3 s to spare. Older notices of store
followers are ignored (`following.follow_role`)."""


class StoreOutages:
    """Since when the store is out of reach, or until when its last outage matters.

    Args:
        heartbeat_s: How often backend servers renew their entries, in seconds; in a shorter
            outage none can run out.
    """

    __slots__ = ("_answered_at", "_grace_until", "_lost_at", "heartbeat_s")

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self._answered_at: Optional[float] = None
        self._lost_at: Optional[float] = None
        self._grace_until = float("-inf")

    def lost(self, now: float, *, relied_on_peers: bool = False) -> None:
        """Start an outage, unless one lasts, as a call failed.

        Args:
            now: Monotonic time, in seconds.
            relied_on_peers: True when this VM made no calls before, and so learns of it late.
        """
        if self._lost_at is not None:
            return
        self._lost_at = now
        if relied_on_peers and self._answered_at is not None:
            self._lost_at = min(now, self._answered_at + MAX_ANSWER_AGE_S)

    def regained(self, now: float) -> None:
        """End the outage, if any, as a call was answered.

        Args:
            now: Monotonic time, in seconds.
        """
        self._answered_at = now
        self._end(now)

    def answered_peer(self, at: float, now: float) -> None:
        """End the outage when the store answered another VM after its start.

        Then this VM alone does not reach the store: backend servers do, and a missing entry belongs
        to a server that has left.

        Args:
            at: When the store answered it, as monotonic time here, in seconds.
            now: Monotonic time, in seconds.
        """
        self._answered_at = at if self._answered_at is None else max(self._answered_at, at)
        if self._lost_at is not None and at > self._lost_at:
            self._end(now)

    def entries_may_have_lapsed(self, now: float) -> bool:
        """Return whether an entry that is missing now may belong to a server that runs.

        Args:
            now: Monotonic time, in seconds.
        """
        return self._is_long(now) or now < self._grace_until

    def _end(self, now: float) -> None:
        if self._is_long(now):
            self._grace_until = now + LAPSED_ENTRY_GRACE_S
        self._lost_at = None

    def _is_long(self, now: float) -> bool:
        return self._lost_at is not None and now - self._lost_at >= self.heartbeat_s
