"""Chooses the entry VM to which a request is passed.

Candidates are registered VMs that accept callers, have links to backend servers and lie in a region
that may run the request. Those of this VM's data hall come first, then those of its region, then
all others: the links between regions carry all traffic. Of two candidates drawn at random the one
with fewer requests of this VM in flight for its capacity is taken, so that the requests spread over
many. A VM that failed or had no room is left out for `_FAILED_PAUSE_S`, and one that holds
`MAX_IN_FLIGHT` requests of this VM until some end.

Inputs are the registered VMs, their heartbeats and monotonic times in seconds. Owns the requests in
flight and the pauses by VM. Tests: `test_gateway_relay`.
"""

import random
from collections import Counter
from collections.abc import Collection
from typing import Optional

from ...membership.gossip import Gossip
from ...resources import Member
from ...state.store_view import StoreView

MAX_IN_FLIGHT = 64
"""Requests that this VM may have in flight at one other VM."""

_FAILED_PAUSE_S = 0.5
"""Time for which a VM gets no request after it failed or had no room, in seconds."""

_REFRESH_S = 0.1
"""Time for which the candidates are kept, in seconds; a fleet may have thousands of VMs."""


class RelayPeers:
    """Chooses other VMs.

    Args:
        own: This VM's registration.
        store_view: Registered VMs.
        gossip: Heartbeats of the VMs.
        rng: Source of randomness.
    """

    def __init__(
        self, own: Member, store_view: StoreView, gossip: Gossip, rng: random.Random
    ) -> None:
        self.own = own
        self.store_view = store_view
        self.gossip = gossip
        self.rng = rng
        self.in_flight: Counter[str] = Counter()
        self._paused_until: dict[str, float] = {}
        self._rings: list[list[Member]] = []
        self._rings_at = float("-inf")

    def choose(
        self, regions: Collection[str], tried: Collection[str], now: float
    ) -> Optional[Member]:
        """Return the VM that gets a request; None when there is none.

        Args:
            regions: Regions that may run it; empty for all.
            tried: Names of VMs that it was passed to before.
            now: Monotonic time, in seconds.
        """
        for ring in self._current_rings(now):
            candidates = [
                member
                for member in ring
                if member.name not in tried
                and (not regions or member.region in regions)
                and self._takes(member.name, now)
            ]
            if candidates:
                drawn = self.rng.sample(candidates, min(2, len(candidates)))
                return min(drawn, key=self._load)
        return None

    def begin(self, name: str) -> None:
        """Count a request that is passed to a VM."""
        self.in_flight[name] += 1

    def end(self, name: str) -> None:
        """Count the end of a request that was passed to a VM."""
        self.in_flight[name] -= 1
        if not self.in_flight[name]:
            del self.in_flight[name]

    def record_failure(self, name: str, now: float) -> None:
        """Leave a VM out for a while, as it failed or took no request."""
        self._paused_until[name] = now + _FAILED_PAUSE_S

    def _takes(self, name: str, now: float) -> bool:
        paused = self._paused_until.get(name, now) > now
        return not paused and self.in_flight[name] < MAX_IN_FLIGHT

    def _load(self, member: Member) -> float:
        capacity = self.gossip.requests_per_s_of(member.name) or 1
        return self.in_flight[member.name] / capacity

    def _current_rings(self, now: float) -> list[list[Member]]:
        if now - self._rings_at < _REFRESH_S:
            return self._rings
        self._rings_at = now
        self._paused_until = {n: at for n, at in self._paused_until.items() if at > now}
        hall: list[Member] = []
        region: list[Member] = []
        others: list[Member] = []
        for member in self.store_view.members.values():
            if member.name == self.own.name or not self.gossip.reaches_servers(member.name, now):
                continue
            if member.region != self.own.region:
                others.append(member)
            else:
                (hall if member.hall == self.own.hall else region).append(member)
        self._rings = [hall, region, others]
        return self._rings
