"""Look-up: which entry VMs a caller should use."""

from typing import NamedTuple

from ..state.store_view import StoreView
from .gossip import Gossip

MAX_ADDRESSES = 64
LOOKUP_TTL_S = 1.0
"""How long callers may keep an answer, in seconds: short, so that they soon leave a VM that
stops, and an answer costs little."""


class DirectoryAnswer(NamedTuple):
    """The answer to a look-up.

    Args:
        addresses: `IP:PORT` of entry VMs; empty when none is known.
        ttl_s: How long it may be kept, in seconds.
    """

    addresses: tuple[str, ...]
    ttl_s: float


class Directory:
    """Answers look-ups from what is believed, without asking anybody.

    Args:
        store_view: Registered VMs.
        gossip: Who of them is there.
        ttl_s: Longest time that an answer may be kept, in seconds.
    """

    def __init__(self, store_view: StoreView, gossip: Gossip, ttl_s: float) -> None:
        self.store_view = store_view
        self.gossip = gossip
        self.limit(ttl_s)

    def limit(self, ttl_s: float) -> None:
        """Change the longest time that an answer may be kept, in seconds."""
        self.ttl_s = min(ttl_s, LOOKUP_TTL_S)

    def find(self, region: str, now: float) -> DirectoryAnswer:
        """Return the entry VMs for callers of a region: its own, else all others.

        Args:
            region: The callers' region.
            now: Monotonic time, in seconds.
        """
        members = [
            member
            for member in self.store_view.members.values()
            if self.gossip.accepts_callers(member.name, now)
        ]
        near = [member for member in members if member.region == region]
        chosen = sorted(member.caller_address for member in near or members)
        return DirectoryAnswer(tuple(chosen[:MAX_ADDRESSES]), self.ttl_s)
