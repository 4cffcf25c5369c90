"""Who follows the store, and who follows a VM that does.

Calls to the store are limited, so a few VMs of each region, the store followers, follow it for
all. A follower sends a progress notice several times a second: the revision it holds and how long
ago the store confirmed that. A VM with an older revision fetches a delta from it. A VM that
receives no fresh notice, or cannot catch up, follows the store itself: the choice of followers
saves calls, and no promise depends on it.
"""

import math
from collections.abc import Callable, Iterable
from typing import Optional

import msgspec

from ..._hash import hash64
from ..membership.gossip import Gossip
from ..resources import Member
from ..state.outages import StoreOutages
from ..state.store_view import StoreView

NOTICE_S = 0.3
"""How often a store follower tells what it knows, in seconds."""

NOTICE_SILENCE_S = 1.0
"""Time without news after which a VM follows the store itself, in seconds."""

NOTICE_MAX_AGE_S = 3.2
"""Age of the store's word beyond which news is no longer fresh: a watch and its margin, in
seconds."""

_LEAST_WATCHERS = 3
"""Watchers of the whole fleet at the least, so that the loss of one is nothing."""

_BEHIND_S = 0.8
_DOUBT_S = 3.0
"""How long a VM follows the store itself after its peers failed it, in seconds."""

_OTHER_REGIONS = 16
"""VMs of other regions that are told each time; after a change all are."""


class ProgressNotice(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """What a store follower knows.

    Args:
        sender: Name of the store follower.
        revision: Newest revision of a fact that it knows.
        age_ms: How long ago the store confirmed that, in milliseconds.
    """

    sender: str
    revision: int
    age_ms: int


class FollowRole:
    """One VM's part in passing on what the store says.

    Args:
        name: Name of this VM.
        region: Its region.
        gossip: Who is there.
        store_view: What this VM holds of the store.
        outages: Told when the store answers others.
        regions: How many regions there are.
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
        self.followers_per_region = math.ceil(_LEAST_WATCHERS / max(1, regions))
        self.peer_ahead: Optional[str] = None
        self._heard_at = float("-inf")
        self._told = 0
        self._behind_since: Optional[float] = None
        self._doubt_until = float("-inf")

    def notice(self, now: float) -> Optional[ProgressNotice]:
        """Return what this VM can tell others; None when the store's word is too old."""
        age_s = now - self.store_view.store_answered_at
        if age_s > NOTICE_MAX_AGE_S:
            return None
        return ProgressNotice(
            self.name, self.store_view.complete_revision, int(max(0.0, age_s) * 1000)
        )

    def take(self, notice: ProgressNotice, now: float) -> bool:
        """Learn from a store follower.

        Returns:
            True when it knows more than this VM.
        """
        age_s = notice.age_ms / 1000
        if age_s > NOTICE_MAX_AGE_S:
            return False
        self._heard_at = now
        self.outages.answered_peer(now - age_s, now)
        self._told = max(self._told, notice.revision)
        if notice.revision > self.store_view.replica.at:
            self.peer_ahead = notice.sender
            if self._behind_since is None:
                self._behind_since = now
            return True
        self.check_caught_up()
        self.store_view.confirm(now - age_s)
        return False

    def check_caught_up(self) -> None:
        """Note it when this VM knows as much as it was told of."""
        if self.store_view.replica.at >= self._told:
            self.peer_ahead = None
            self._behind_since = None

    def distrust_peers(self, now: float) -> None:
        """Note that a peer did not give what it had told of."""
        self._doubt_until = now + _DOUBT_S

    def peers_are_current(self, now: float) -> bool:
        """Tell whether others keep this VM up to date."""
        if now < self._doubt_until or now - self._heard_at > NOTICE_SILENCE_S:
            return False
        return self._behind_since is None or now - self._behind_since <= _BEHIND_S

    def is_elected(self, now: float) -> bool:
        """Tell whether this VM is one of its region's store followers."""
        return self.gossip.store_reachable and self._first(now, self.gossip.can_follow_store)

    def is_first_in_line(self, now: float) -> bool:
        """Tell whether this VM would be a store follower if the store answered all alike."""
        return self._first(now, self.gossip.accepts_callers)

    def _first(self, now: float, counts: Callable[[str, float], bool]) -> bool:
        own = self._rank(self.name)
        better = sum(
            counts(member.name, now) and self._rank(member.name) < own
            for member in self.store_view.members.values()
            if member.region == self.region and member.name != self.name
        )
        return better < self.followers_per_region

    def follows_store(self, now: float) -> bool:
        """Tell whether this VM has to follow the store now."""
        return not self.peers_are_current(now) or self.is_elected(now)

    def recipients(self, changed: bool) -> Iterable[Member]:
        """Return the VMs that a store follower tells: all after a change, else mostly its region's.

        Args:
            changed: True when this VM has just learnt something.
        """
        members = [m for m in self.store_view.members.values() if m.name != self.name]
        if changed:
            return members
        near = [member for member in members if member.region == self.region]
        far = [member for member in members if member.region != self.region]
        return near + self.gossip.rng.sample(far, min(_OTHER_REGIONS, len(far)))

    def _rank(self, name: str) -> tuple[int, int]:
        """Return what VMs are sorted by: wide links first, else the same everywhere."""
        return -self.gossip.link_mbps_of(name), hash64(f"watch|{name}")
