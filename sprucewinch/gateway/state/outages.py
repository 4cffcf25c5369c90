"""Tracks outages of the store, to decide whether a missing entry means that its server has left.

`StoreOutages` relies on the failed and answered calls to the store, those of this VM and those that
other VMs announce, each with its monotonic time in seconds, and on the servers' heartbeat interval
in seconds.

During an outage of at least one heartbeat interval, and for `LAPSED_ENTRY_GRACE_S` after it, a
missing entry may belong to a running server that could not renew its lease. An outage ends with an
answered call of this VM, or when another VM announces an answer that the store gave after the
outage began here; an older answer proves nothing. A VM that relied on other VMs learns of an outage
only from the absence of their notices: then the outage is taken to have begun `MAX_ANSWER_AGE_S`
after the last known answer.

Without the grace period, running servers were dropped and treated as cold when their entries
returned, and half of the requests were late for 4 s after each outage (docs/FINDINGS.md). Without
the announcements, a VM that the store alone refused sent a request to a server that had left
2,172 ms before, probably because of the grace period.

`BackendRegistry` keeps or drops the server accordingly; there is no event. It is tested by
`test_gateway_outages` (one VM without peers) and `test_gateway_following.Outages`.
"""

from typing import Optional

LAPSED_ENTRY_GRACE_S = 2.0
"""Time after an outage for which entries of running servers may still be missing, in seconds."""


MAX_ANSWER_AGE_S = 3.2
"""Greatest age of an answer of the store, to any VM, that still proves the store reachable, in
seconds: a watch of 2 s, the store client's margin of 0.9 s and 0.3 s to spare. Older notices of
store followers are ignored (`following.follow_role`)."""


class StoreOutages:
    """The current outage of the store, or the grace period after the last one.

    Args:
        heartbeat_s: Interval at which backend servers renew their entries, in seconds; no entry
            can lapse in a shorter outage.
    """

    __slots__ = ("_answered_at", "_grace_until", "_lost_at", "heartbeat_s")

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self._answered_at: Optional[float] = None
        self._lost_at: Optional[float] = None
        self._grace_until = float("-inf")

    def record_failure(self, now: float, *, relied_on_peers: bool = False) -> None:
        """Start an outage after a failed call, unless one is in progress.

        Args:
            now: Monotonic time, in seconds.
            relied_on_peers: True when this VM made no calls before, and so detects it late.
        """
        if self._lost_at is not None:
            return
        self._lost_at = now
        if relied_on_peers and self._answered_at is not None:
            self._lost_at = min(now, self._answered_at + MAX_ANSWER_AGE_S)

    def record_answer(self, now: float) -> None:
        """End the outage, if any, after an answered call.

        Args:
            now: Monotonic time, in seconds.
        """
        self._answered_at = now
        self._end(now)

    def record_peer_answer(self, at: float, now: float) -> None:
        """End the outage if the store answered another VM after its start.

        Then only this VM cannot reach the store: backend servers can, and a missing entry belongs
        to a server that has left.

        Args:
            at: Monotonic time of this VM at which the store answered the other, in seconds.
            now: Monotonic time, in seconds.
        """
        self._answered_at = at if self._answered_at is None else max(self._answered_at, at)
        if self._lost_at is not None and at > self._lost_at:
            self._end(now)

    def entries_may_have_lapsed(self, now: float) -> bool:
        """Return whether an entry that is missing now may belong to a running server.

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
