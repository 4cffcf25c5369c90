"""Answers look-ups: which entry VMs callers of a region use, and how long they keep the answer.

The answer depends on the callers' region, the registered VMs (`StoreView`), the VMs that accept
callers (`Gossip`) and the time (monotonic, in seconds).

It is taken from the VMs of the callers' region that are in touch and accept callers, or from those
of all regions if that region has none: at most `MAX_ADDRESSES`, in the order of their addresses.
Where VMs differ in capacity, `caller_spread` names the larger ones more often. Callers keep
the answer for the shorter of the configured time and `MAX_LOOKUP_TTL_S`.

VMs that have lost their links to backend servers pass requests on to others; they are left out
while the other VMs of the answer are at least `_MIN_LINKED_FRACTION` of all, so that the callers of
many such VMs are not sent to a few.

Look-ups are answered from memory, without a call, so that they work during an outage of the store.
A VM in another region only adds latency, while an empty answer makes the caller fail.

It is tested by `test_gateway_gossip` and `test_process_gateway`.
"""

import random
from typing import NamedTuple, Optional

from ..resources import Member
from ..state.store_view import StoreView
from .caller_spread import Candidate, spread_callers
from .gossip import Gossip

MAX_ADDRESSES = 64
"""Greatest number of addresses in one answer: the platform's limit."""

MAX_LOOKUP_TTL_S = 1.0
"""Longest time for which callers keep an answer, in seconds; it is short, so that they soon stop
using a VM that stops."""

_MIN_LINKED_FRACTION = 0.5
"""Part of the VMs of an answer that has to reach backend servers for the others to be left out."""


class DirectoryAnswer(NamedTuple):
    """The answer to a look-up.

    Args:
        addresses: `IP:PORT` of entry VMs; empty when none is known.
        ttl_s: Time for which callers may keep it, in seconds.
    """

    addresses: tuple[str, ...]
    ttl_s: float


class Directory:
    """Answers look-ups from memory.

    Args:
        store_view: Registered VMs.
        gossip: Heartbeats of the VMs.
        ttl_s: Longest time for which callers may keep an answer, in seconds.
        rng: Source of randomness; None to share that of the gossip.
    """

    def __init__(
        self,
        store_view: StoreView,
        gossip: Gossip,
        ttl_s: float,
        rng: Optional[random.Random] = None,
    ) -> None:
        self.store_view = store_view
        self.gossip = gossip
        self.rng = rng or gossip.rng
        self.set_max_ttl(ttl_s)

    def set_max_ttl(self, ttl_s: float) -> None:
        """Change the longest time for which callers may keep an answer.

        Args:
            ttl_s: The time, in seconds; `MAX_LOOKUP_TTL_S` bounds it.
        """
        self.ttl_s = min(ttl_s, MAX_LOOKUP_TTL_S)

    def find(self, region: str, now: float) -> DirectoryAnswer:
        """Return the entry VMs for callers of a region: those of the region, else all.

        Args:
            region: The callers' region.
            now: Monotonic time, in seconds.
        """
        members = [
            member
            for member in self.store_view.members.values()
            if self.gossip.accepts_callers(member.name, now)
        ]
        own_region = [member for member in members if member.region == region]
        candidates = sorted(
            Candidate(member.caller_address, self.gossip.requests_per_s_of(member.name))
            for member in self._linked(own_region or members, now)
        )
        chosen = spread_callers(candidates, self.rng)
        return DirectoryAnswer(tuple(chosen[:MAX_ADDRESSES]), self.ttl_s)

    def _linked(self, members: list[Member], now: float) -> list[Member]:
        """Return the VMs that reach backend servers, or all where these are too few."""
        linked = [each for each in members if self.gossip.reaches_servers(each.name, now)]
        return linked if len(linked) >= _MIN_LINKED_FRACTION * len(members) else members
