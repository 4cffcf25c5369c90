"""Decides which VMs follow the store and which follow a VM that does.

For one VM, `FollowRole` answers whether it calls the store now and which VMs get its progress
notices and reports. It relies on the time (monotonic, in seconds), on the heartbeats of other VMs
(`Gossip`: in touch, accepting callers, store reachable, link bandwidth in Mbit/s), on the VMs
registered and the revision held here (`StoreView`), and on the progress notices of other VMs (a
revision, and its age in ms).

In each region the first VMs by link bandwidth, then by hash of the name, are elected store
followers, among those that are in touch, accept callers and reach the store. Every other VM relies
on their notices and fetches deltas from them. It falls back to the store in three cases: no fresh
notice has arrived for `NOTICE_TIMEOUT_S`; it has been behind an announced revision for more than
`_CATCH_UP_TIMEOUT_S` without receiving part of a large item from a peer; or a peer failed to serve
a delta or item within the last `_PEER_FAILURE_FALLBACK_S`.

Calls to the store are limited and priced: one follower in each region cut the calls of a day from
1,302 to 308 at 12 VMs. Fewer, longer watches delivered changes late. A lease for the follower would
cost one more call and would not help when its holder is paused. The fallback keeps changes timely
whatever the outcome of the election: two VMs that elect differently only cost more calls. While a
large item arrives from a peer, a call to the store would send the same bytes over the same link.

The decision is a `FollowReason`; the event `follows` shows it by its field `source`, which is
`store` or `neighbours`. It is tested by `test_gateway_follow_role`, `test_gateway_following` and
`test_platform_store`.
"""

import enum
import math
from collections.abc import Callable, Iterable
from typing import Optional

import msgspec

from ..._hash import hash64
from ..membership.gossip import Gossip
from ..resources import Member
from ..state.outages import MAX_ANSWER_AGE_S, StoreOutages
from ..state.store_view import StoreView

NOTICE_INTERVAL_S = 0.3
"""Interval between two notices of a store follower, in seconds; three fit into
`NOTICE_TIMEOUT_S`."""

NOTICE_TIMEOUT_S = 1.0
"""Time without a fresh notice after which a VM follows the store itself, in seconds. With it,
changes are in force within 2 s even when all store followers are killed
(`test_gateway_following`)."""

MAX_NOTICE_AGE_S = MAX_ANSWER_AGE_S
"""Greatest age of the store's answer, in seconds; notices of older answers are ignored."""

_MIN_STORE_FOLLOWERS = 3
"""Minimum number of store followers in the fleet; the loss of one leaves two."""

_CATCH_UP_TIMEOUT_S = 0.8
"""Time that a VM may be behind an announced revision before it follows the store itself, in
seconds. With it, changes are in force within 2 s when peers answer with empty deltas
(`test_gateway_following`)."""

_MAX_TRANSFER_EXTENSION_S = 0.7
"""Longest extension of `_CATCH_UP_TIMEOUT_S` while a large item arrives from a peer, in seconds. A
VM with a slow peer thus asks the store after 1.5 s, half of the operators' bound. A large item of
80 kB takes 0.13 s on a link of 5 Mbit/s."""

_PEER_FAILURE_FALLBACK_S = 3.0
"""Time for which a VM follows the store itself after a peer failed to serve a delta or item, in
seconds."""

_CROSS_REGION_FANOUT = 16
"""VMs of other regions that get each periodic notice. It keeps a follower's notices at 4.7 KB/s
with 89 VMs (docs/CAPACITY.md)."""

_MS_PER_S = 1000


class FollowReason(enum.Enum):
    """Why a VM follows the store, or does not."""

    PEER_FAILED = "a peer failed to give a delta"
    NO_NOTICE = "no fresh notice of a store follower"
    BEHIND = "behind an announced revision for too long"
    ELECTED = "elected in its region"
    PEERS_CURRENT = "peers keep it up to date"


class ProgressNotice(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """A store follower's announcement of the revision that it holds; the wire tag is `news`.

    Args:
        sender: Name of the store follower.
        revision: Newest revision up to which it holds all changes.
        age_ms: Time since the store confirmed that revision, in milliseconds.
    """

    sender: str
    revision: int
    age_ms: int


class FollowRole:
    """Decides how one VM follows the store, and keeps the state that the decision depends on.

    Args:
        name: Name of this VM.
        region: Its region.
        gossip: Heartbeats of the VMs.
        store_view: This VM's view of the store.
        outages: Notified when the store answers other VMs.
        regions: Number of regions.
    """

    def __init__(
        self,
        name: str,
        region: str,
        gossip: Gossip,
        store_view: StoreView,
        outages: StoreOutages,
        *,
        regions: int,
    ) -> None:
        self.name = name
        self.region = region
        self.gossip = gossip
        self.store_view = store_view
        self.outages = outages
        self.followers_per_region = math.ceil(_MIN_STORE_FOLLOWERS / max(1, regions))
        self.announcing_peer: Optional[str] = None
        self._notice_received_at = float("-inf")
        self.announced_revision = 0
        self._behind_since: Optional[float] = None
        self._transfer_progress_at = float("-inf")
        self._fallback_until = float("-inf")

    def notice(self, now: float) -> Optional[ProgressNotice]:
        """Return this VM's notice, or None when its last answer from the store is too old.

        Args:
            now: Monotonic time, in seconds.
        """
        age_s = now - self.store_view.store_answered_at
        if age_s > MAX_NOTICE_AGE_S:
            return None
        return ProgressNotice(
            self.name, self.store_view.complete_revision, int(max(0.0, age_s) * _MS_PER_S)
        )

    def receive(self, notice: ProgressNotice, now: float) -> bool:
        """Apply a notice of a store follower, unless it is too old.

        Args:
            notice: The notice.
            now: Monotonic time, in seconds.

        Returns:
            True when the sender holds a newer revision than this VM.
        """
        age_s = notice.age_ms / _MS_PER_S
        if age_s > MAX_NOTICE_AGE_S:
            return False
        self._notice_received_at = now
        self.outages.record_peer_answer(now - age_s, now)
        self.announced_revision = max(self.announced_revision, notice.revision)
        if notice.revision > self.store_view.replica.complete_revision:
            self.announcing_peer = notice.sender
            if self._behind_since is None:
                self._behind_since = now
            return True
        self.check_caught_up()
        self.store_view.confirm(now - age_s)
        return False

    def check_caught_up(self) -> None:
        """Clear the behind state once the newest announced revision is held."""
        if self.store_view.replica.complete_revision >= self.announced_revision:
            self.announcing_peer = None
            self._behind_since = None

    def record_peer_failure(self, now: float) -> None:
        """Fall back to the store for a while, as a peer failed to serve a delta or item.

        Args:
            now: Monotonic time, in seconds.
        """
        self._fallback_until = now + _PEER_FAILURE_FALLBACK_S

    def record_transfer_progress(self, now: float) -> None:
        """Record that bytes of a large item have arrived from a peer.

        Args:
            now: Monotonic time, in seconds.
        """
        self._transfer_progress_at = now

    def set_store_reachable(self, reachable: bool) -> None:
        """Announce in heartbeats whether the store answers this VM, as elections depend on it."""
        self.gossip.set_store_reachable(reachable)

    def decide(self, now: float) -> FollowReason:
        """Return why this VM follows the store, or `PEERS_CURRENT` if it does not.

        Args:
            now: Monotonic time, in seconds.
        """
        if now < self._fallback_until:
            return FollowReason.PEER_FAILED
        if now - self._notice_received_at > NOTICE_TIMEOUT_S:
            return FollowReason.NO_NOTICE
        if self._is_overdue(now):
            return FollowReason.BEHIND
        return FollowReason.ELECTED if self.is_elected(now) else FollowReason.PEERS_CURRENT

    def follows_store(self, now: float) -> bool:
        """Return whether this VM follows the store now."""
        return self.decide(now) is not FollowReason.PEERS_CURRENT

    def is_elected(self, now: float) -> bool:
        """Return whether this VM is one of its region's store followers."""
        return self.gossip.store_reachable and self._is_among_first(
            now, self.gossip.can_follow_store
        )

    def is_preferred_follower(self, now: float) -> bool:
        """Return whether this VM would be elected if the store answered all VMs."""
        return self._is_among_first(now, self.gossip.accepts_callers)

    def recipients(self, changed: bool) -> Iterable[Member]:
        """Return the VMs to send a message to.

        After a change these are all VMs, otherwise those of this region and a random sample of the
        others.

        Args:
            changed: True when this VM has just received a change.
        """
        members = [m for m in self.store_view.members.values() if m.name != self.name]
        if changed:
            return members
        own_region_members = [member for member in members if member.region == self.region]
        other_region_members = [member for member in members if member.region != self.region]
        return own_region_members + self.gossip.sample(other_region_members, _CROSS_REGION_FANOUT)

    def _is_overdue(self, now: float) -> bool:
        """Return whether this VM is behind without progress for `_CATCH_UP_TIMEOUT_S`."""
        if self._behind_since is None:
            return False
        last_progress_at = min(
            self._transfer_progress_at, self._behind_since + _MAX_TRANSFER_EXTENSION_S
        )
        return now - max(self._behind_since, last_progress_at) > _CATCH_UP_TIMEOUT_S

    def _is_among_first(self, now: float, eligible: Callable[[str, float], bool]) -> bool:
        own_rank = self._rank(self.name)
        higher_ranked = sum(
            eligible(member.name, now) and self._rank(member.name) < own_rank
            for member in self.store_view.members.values()
            if member.region == self.region and member.name != self.name
        )
        return higher_ranked < self.followers_per_region

    def _rank(self, name: str) -> tuple[int, int]:
        """Return the election's sort key: link bandwidth first, then a hash equal on all VMs."""
        return -self.gossip.link_mbps_of(name), hash64(f"watch|{name}")
