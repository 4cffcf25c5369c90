"""Rule: which entry VMs callers of a region use, and for how long they keep the answer.

Question: which addresses answer a look-up?

Inputs: the callers' region, registered VMs (`StoreView`), VMs that accept callers (`Gossip`), the
time (monotonic, in seconds).

Rule: all VMs of the callers' region that are in touch and accept callers; those of all regions when
the region has none. At most `MAX_ADDRESSES`, in the order of their addresses, kept for the shorter
of the settings' time and `LOOKUP_TTL_S`.

Why: a look-up is answered from memory, without a call, so that it works in an outage of the
store. A far VM costs time alone, while an empty answer fails the caller.

Tests: `test_gateway_gossip`, `test_process_gateway`.
"""

from typing import NamedTuple

from ..state.store_view import StoreView
from .gossip import Gossip

MAX_ADDRESSES = 64
"""Addresses of one answer at the most: the bound that the platform sets."""

LOOKUP_TTL_S = 1.0
"""Longest time for which callers keep an answer, in seconds: short, so that they soon leave a VM
that stops."""


class DirectoryAnswer(NamedTuple):
    """The answer to a look-up.

    Args:
        addresses: `IP:PORT` of entry VMs; empty when none is known.
        ttl_s: Time for which callers may keep it, in seconds.
    """

    addresses: tuple[str, ...]
    ttl_s: float


class Directory:
    """Answers look-ups from what this VM holds, without a call.

    Args:
        store_view: Registered VMs.
        gossip: VMs in touch.
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
