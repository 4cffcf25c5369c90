"""Rule: which VMs follow the store, and which follow a VM that does.

Question: does this VM call the store now, and to whom does it send progress notices and reports?

Inputs: the time (monotonic, in seconds), heartbeats of other VMs (`Gossip`: in touch, accept
callers, store reachable, link in Mbit/s), registered VMs and the held revision (`StoreView`), and
progress notices of other VMs (revision, and its age in ms).

Rule: in each region the first VMs by link width, then by hash of the name, are elected, among those
that are in touch, accept callers and reach the store. Every other VM relies on their notices and
fetches deltas from them. It falls back to the store when no fresh notice arrives for
`NOTICE_SILENCE_S`, when it stays behind an announced revision for more than `_CATCH_UP_S` while no
large item arrives from a peer, and for `_DISTRUST_S` after a peer failed to give what it asked for.

Why: calls to the store are limited and priced. One follower in each region cut the calls on one day
from 1,302 to 308 at 12 VMs. Fewer and longer watches brought changes late; a lease for
the follower costs a call more and does not help when its holder is paused. The fallback
makes freshness independent of the election: two VMs that elect differently only cost more calls.
A large item on its way from a peer is no reason to ask the store at once for the same bytes over
the same link.

Result: `FollowReason`; it shows in the event `follows` (`source` is `store` or `neighbours`).
Tests: `test_gateway_follow_role`, `test_gateway_following`, `test_platform_store`.
"""

import enum
import math
from collections.abc import Callable, Iterable
from typing import Optional

import msgspec

from ..._hash import hash64
from ..membership.gossip import Gossip
from ..resources import Member
from ..state.outages import ANSWER_MAX_AGE_S, StoreOutages
from ..state.store_view import StoreView

NOTICE_S = 0.3
"""Pause between two notices of a store follower, in seconds. Three fit into `NOTICE_SILENCE_S`."""

NOTICE_SILENCE_S = 1.0
"""Time without a fresh notice after which a VM follows the store itself, in seconds. Changes stay
within 2 s with it when all store followers are killed (`test_gateway_following`)."""

NOTICE_MAX_AGE_S = ANSWER_MAX_AGE_S
"""Age of the store's answer beyond which a notice is ignored, in seconds."""

_MIN_STORE_FOLLOWERS = 3
"""Store followers of the whole fleet at the least, so that the loss of one leaves two."""

_CATCH_UP_S = 0.8
"""Time for which a VM may stay behind an announced revision before it follows the store itself, in
seconds. Changes stay within 2 s with it when peers give empty deltas (`test_gateway_following`)."""

_TRANSFER_S = 0.7
"""Time since it is behind for which progress of a large item keeps a VM from asking the store, in
seconds: with `_CATCH_UP_S` it asks after 1.5 s, half the operators' bound, though a slow peer still
sends. A large item of 80 kB takes 0.13 s of a link of 5 Mbit/s."""

_DISTRUST_S = 3.0
"""Time for which a VM follows the store itself after a peer failed to give a delta, in seconds."""

_OTHER_REGIONS = 16
"""VMs of other regions that get each notice without a change. It keeps a follower's notices at 4.7
KB/s with 89 VMs (docs/CAPACITY.md)."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class FollowReason(enum.Enum):
    """Why a VM follows the store, or does not."""

    DISTRUST = "a peer failed to give a delta"
    NO_NOTICE = "no fresh notice of a store follower"
    BEHIND = "behind an announced revision for too long"
    ELECTED = "elected in its region"
    PEERS_CURRENT = "peers keep it up to date"


class ProgressNotice(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """What a store follower holds; the tag on the wire is `news`.

    Args:
        sender: Name of the store follower.
        revision: Newest revision up to which it holds everything.
        age_ms: Time since the store confirmed that revision, in milliseconds.
    """

    sender: str
    revision: int
    age_ms: int


class FollowRole:
    """One VM's part in following the store: the rule above, with what it depends on.

    Args:
        name: Name of this VM.
        region: Its region.
        gossip: Heartbeats of the VMs.
        store_view: What this VM holds of the store.
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
        self.peer_ahead: Optional[str] = None
        self._notice_received_at = float("-inf")
        self.announced_revision = 0
        self._behind_since: Optional[float] = None
        self._progress_at = float("-inf")
        self._distrust_until = float("-inf")

    def notice(self, now: float) -> Optional[ProgressNotice]:
        """Return this VM's notice; None when the store's last answer to it is too old.

        Args:
            now: Monotonic time, in seconds.
        """
        age_s = now - self.store_view.store_answered_at
        if age_s > NOTICE_MAX_AGE_S:
            return None
        return ProgressNotice(
            self.name, self.store_view.complete_revision, int(max(0.0, age_s) * _MS_PER_S)
        )

    def receive(self, notice: ProgressNotice, now: float) -> bool:
        """Apply a notice of a store follower; one that is too old is ignored.

        Args:
            notice: The notice.
            now: Monotonic time, in seconds.

        Returns:
            True when the sender holds a newer revision than this VM.
        """
        age_s = notice.age_ms / _MS_PER_S
        if age_s > NOTICE_MAX_AGE_S:
            return False
        self._notice_received_at = now
        self.outages.answered_peer(now - age_s, now)
        self.announced_revision = max(self.announced_revision, notice.revision)
        if notice.revision > self.store_view.replica.at:
            self.peer_ahead = notice.sender
            if self._behind_since is None:
                self._behind_since = now
            return True
        self.check_caught_up()
        self.store_view.confirm(now - age_s)
        return False

    def check_caught_up(self) -> None:
        """End the state of being behind once the newest announced revision is held."""
        if self.store_view.replica.at >= self.announced_revision:
            self.peer_ahead = None
            self._behind_since = None

    def distrust_peers(self, now: float) -> None:
        """Follow the store for a while, as a peer failed to give a delta.

        Args:
            now: Monotonic time, in seconds.
        """
        self._distrust_until = now + _DISTRUST_S

    def note_progress(self, now: float) -> None:
        """Note that bytes of a large item have arrived from a peer.

        Args:
            now: Monotonic time, in seconds.
        """
        self._progress_at = now

    def set_store_reachable(self, reachable: bool) -> None:
        """Announce in heartbeats whether the store answers this VM; elections depend on it."""
        self.gossip.set_store_reachable(reachable)

    def decide(self, now: float) -> FollowReason:
        """Return why this VM follows the store, or `PEERS_CURRENT` when it does not.

        Args:
            now: Monotonic time, in seconds.
        """
        if now < self._distrust_until:
            return FollowReason.DISTRUST
        if now - self._notice_received_at > NOTICE_SILENCE_S:
            return FollowReason.NO_NOTICE
        if self._is_stuck(now):
            return FollowReason.BEHIND
        return FollowReason.ELECTED if self.is_elected(now) else FollowReason.PEERS_CURRENT

    def follows_store(self, now: float) -> bool:
        """Return whether this VM follows the store now."""
        return self.decide(now) is not FollowReason.PEERS_CURRENT

    def is_elected(self, now: float) -> bool:
        """Return whether this VM is one of its region's store followers."""
        return self.gossip.store_reachable and self._ranks_first(now, self.gossip.can_follow_store)

    def is_first_in_line(self, now: float) -> bool:
        """Return whether this VM would be elected if the store answered every VM."""
        return self._ranks_first(now, self.gossip.accepts_callers)

    def recipients(self, changed: bool) -> Iterable[Member]:
        """Return the VMs that get a message: all after a change, else its region's and a few more.

        Args:
            changed: True when this VM has just received a change.
        """
        members = [m for m in self.store_view.members.values() if m.name != self.name]
        if changed:
            return members
        near = [member for member in members if member.region == self.region]
        far = [member for member in members if member.region != self.region]
        return near + self.gossip.sample(far, _OTHER_REGIONS)

    def _is_stuck(self, now: float) -> bool:
        """Return whether this VM is behind, and nothing has come for `_CATCH_UP_S`."""
        if self._behind_since is None:
            return False
        last_progress_at = min(self._progress_at, self._behind_since + _TRANSFER_S)
        return now - max(self._behind_since, last_progress_at) > _CATCH_UP_S

    def _ranks_first(self, now: float, eligible: Callable[[str, float], bool]) -> bool:
        own = self._rank(self.name)
        better = sum(
            eligible(member.name, now) and self._rank(member.name) < own
            for member in self.store_view.members.values()
            if member.region == self.region and member.name != self.name
        )
        return better < self.followers_per_region

    def _rank(self, name: str) -> tuple[int, int]:
        """Return the sort key of the election: wide links first, then the same hash everywhere."""
        return -self.gossip.link_mbps_of(name), hash64(f"watch|{name}")
