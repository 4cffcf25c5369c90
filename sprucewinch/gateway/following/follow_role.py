"""Who follows the store, and who follows a machine that does.

Calls to the store are dear, so a few machines of each region, the watchers, follow it for all. A
watcher tells the others several times a second which revision it knows and how long ago the store
confirmed that. Whoever knows less fetches what has changed from it. A machine that hears nothing
fresh, or cannot catch up, follows the store itself: the choice of watchers saves calls, and no
promise hangs on it.
"""

import math
from collections.abc import Callable, Iterable
from typing import Optional

import msgspec

from ..._hash import hash64
from ..membership.gossip import Gossip
from ..resources import Member
from ..state.outages import StoreOutages
from ..state.store_view import Beliefs

NEWS_S = 0.3
"""How often a watcher tells what it knows, in seconds."""

NEWS_SILENCE_S = 1.0
"""Time without news after which a machine follows the store itself, in seconds."""

MOST_AGE_S = 3.2
"""Age of the store's word beyond which news is no longer fresh: a watch and its margin, in
seconds."""

_LEAST_WATCHERS = 3
"""Watchers of the whole fleet at the least, so that the loss of one is nothing."""

_BEHIND_S = 0.8
_DOUBT_S = 3.0
"""How long a machine follows the store itself after its neighbours failed it, in seconds."""

_OTHER_REGIONS = 16
"""Machines of other regions that are told each time; after a change all are."""


class News(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """What a watcher knows.

    Args:
        sender: Name of the watcher.
        revision: Newest revision of a fact that it knows.
        age_ms: How long ago the store confirmed that, in milliseconds.
    """

    sender: str
    revision: int
    age_ms: int


class Relay:
    """One machine's part in passing on what the store says.

    Args:
        name: Name of this machine.
        region: Its region.
        gossip: Who is there.
        beliefs: What this machine believes.
        outages: Told when the store answers others.
        regions: How many regions there are.
    """

    def __init__(
        self,
        name: str,
        region: str,
        gossip: Gossip,
        beliefs: Beliefs,
        outages: StoreOutages,
        *,
        regions: int,
    ) -> None:
        self.name = name
        self.region = region
        self.gossip = gossip
        self.beliefs = beliefs
        self.outages = outages
        self.watchers_per_region = math.ceil(_LEAST_WATCHERS / max(1, regions))
        self.ahead_of_us: Optional[str] = None
        self._heard_at = float("-inf")
        self._told = 0
        self._behind_since: Optional[float] = None
        self._doubt_until = float("-inf")

    def news(self, now: float) -> Optional[News]:
        """Return what this machine can tell others; None when the store's word is too old."""
        age_s = now - self.beliefs.told_by_store_at
        if age_s > MOST_AGE_S:
            return None
        return News(self.name, self.beliefs.known_to, int(max(0.0, age_s) * 1000))

    def take(self, news: News, now: float) -> bool:
        """Learn from a watcher.

        Returns:
            True when it knows more than this machine.
        """
        age_s = news.age_ms / 1000
        if age_s > MOST_AGE_S:
            return False
        self._heard_at = now
        self.outages.answered_others(now - age_s, now)
        self._told = max(self._told, news.revision)
        if news.revision > self.beliefs.replica.at:
            self.ahead_of_us = news.sender
            if self._behind_since is None:
                self._behind_since = now
            return True
        self.look_whether_caught_up()
        self.beliefs.confirmed_at = max(self.beliefs.confirmed_at, now - age_s)
        return False

    def look_whether_caught_up(self) -> None:
        """Note it when this machine knows as much as it was told of."""
        if self.beliefs.replica.at >= self._told:
            self.ahead_of_us = None
            self._behind_since = None

    def doubt(self, now: float) -> None:
        """Note that a neighbour did not give what it had told of."""
        self._doubt_until = now + _DOUBT_S

    def fresh(self, now: float) -> bool:
        """Tell whether others keep this machine up to date."""
        if now < self._doubt_until or now - self._heard_at > NEWS_SILENCE_S:
            return False
        return self._behind_since is None or now - self._behind_since <= _BEHIND_S

    def chosen(self, now: float) -> bool:
        """Tell whether this machine is one of its region's watchers."""
        return self.gossip.linked and self._first(now, self.gossip.can_watch)

    def first_in_line(self, now: float) -> bool:
        """Tell whether this machine would be a watcher if the store answered all alike."""
        return self._first(now, self.gossip.takes_callers)

    def _first(self, now: float, counts: Callable[[str, float], bool]) -> bool:
        own = self._rank(self.name)
        better = sum(
            counts(member.name, now) and self._rank(member.name) < own
            for member in self.beliefs.members.values()
            if member.region == self.region and member.name != self.name
        )
        return better < self.watchers_per_region

    def follows_store(self, now: float) -> bool:
        """Tell whether this machine has to follow the store now."""
        return not self.fresh(now) or self.chosen(now)

    def audience(self, changed: bool) -> Iterable[Member]:
        """Return the machines that a watcher tells: all after a change, else mostly its region's.

        Args:
            changed: True when this machine has just learnt something.
        """
        members = [m for m in self.beliefs.members.values() if m.name != self.name]
        if changed:
            return members
        near = [member for member in members if member.region == self.region]
        far = [member for member in members if member.region != self.region]
        return near + self.gossip.rng.sample(far, min(_OTHER_REGIONS, len(far)))

    def _rank(self, name: str) -> tuple[int, int]:
        """Return what machines are sorted by: wide links first, else the same everywhere."""
        return -self.gossip.link_of(name), hash64(f"watch|{name}")
