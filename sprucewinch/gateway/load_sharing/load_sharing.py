"""Tells other VMs what this VM hears of backend servers, and takes in what they tell.

In a large fleet a VM hears from one server every few seconds, while the server's load and pace
change within one. Every `SUMMARY_INTERVAL_S` a VM sends what it has heard since (`pending_loads`)
to a few others (`recipients`); what it receives counts by age (`received_loads`). Nothing is sent
while no server states a pace.

A VM is told of a server several times a second as long as the fleet hears of it as often. When
links are cut, what is known ages and the estimates fade to usual. A VM that starts knows nothing
and is told within a few intervals. One that stood still has messages and answers waiting in its
buffers, whose age it cannot tell: for `_SETTLING_S` after it notices, it tells nobody what it hears
and takes in messages only of senders whose clocks it knows.

Herds: all VMs hear of a free server, but each at another time, and each counts its own requests
from the moment that they are sent (`servers.capacity.load`).

Owns the times of sending and the counts of messages; relies on the registry, on the registered VMs
and on `gossip` for those in touch. Shows in the metrics `load_summaries_sent`,
`load_summaries_received`, `load_rows_used` and `load_rows_dropped`. Times are monotonic, in
seconds. Tests: `test_gateway_load_sharing`.
"""

import asyncio
from typing import Optional

import msgspec

from ..datagrams import Datagrams
from ..membership.gossip import Gossip
from ..resources import Member
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer
from ..state.store_view import Change, StoreView
from ..timing import Timing
from .load_summary import MAX_ROWS, LoadSummary
from .pending_loads import PendingLoads
from .received_loads import ReceivedLoads
from .recipients import FleetSize, Turns, recipient_counts, usable_seconds
from .sender_clocks import SenderClocks

SUMMARY_INTERVAL_S = 0.25
"""Time between two summaries of a VM, in seconds: less than half of the time for which a pace
lasts."""

_MAX_TICK_DELAY_S = 0.5
"""Delay of the next summary beyond which this process counts as having stood still, in seconds."""

_SETTLING_S = 0.5
"""Time after a standstill in which messages and answers may still come from the buffers, in
seconds."""

_FORGET_INTERVAL_S = 10.0
"""Time between two sweeps of the senders' clocks, in seconds."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_SENDER_BITS = 32
"""Bits of the number of a process."""


class LoadSharing:
    """Sends and receives summaries of server loads.

    Args:
        region: This VM's region.
        registry: Backend servers.
        gossip: Knows which VMs are in touch, and this VM's name.
        store_view: Registered VMs.
        datagrams: The endpoint between VMs.
        timing: Sources of time and randomness.
    """

    def __init__(
        self,
        region: str,
        registry: BackendRegistry,
        gossip: Gossip,
        store_view: StoreView,
        datagrams: Datagrams,
        timing: Timing,
    ) -> None:
        self.region = region
        self.gossip = gossip
        self.store_view = store_view
        self.datagrams = datagrams
        self.timing = timing
        self.sender = timing.rng.getrandbits(_SENDER_BITS)
        self.pending = PendingLoads()
        self.received = ReceivedLoads(registry)
        self.clocks = SenderClocks()
        self.sent_count = 0
        self.received_count = 0
        self._own_region = Turns(gossip.name)
        self._other_regions = Turns(gossip.name)
        self._fleet: Optional[FleetSize] = None
        self._ticked_at = float("inf")
        self._settled_at = float("-inf")
        store_view.listeners.append(self._on_change)
        registry.load_reports.on_paced_load.append(self._on_paced_load)
        datagrams.register(LoadSummary, self._on_summary)

    async def run(self) -> None:
        """Send a summary every `SUMMARY_INTERVAL_S`."""
        forget_at = self.timing.monotonic() + _FORGET_INTERVAL_S
        self._ticked_at = self.timing.monotonic()
        while True:
            await asyncio.sleep(self.timing.jittered(SUMMARY_INTERVAL_S))
            now = self.timing.monotonic()
            self._tick(now)
            if now >= forget_at:
                forget_at = now + _FORGET_INTERVAL_S
                self.clocks.forget_old(now)

    def _tick(self, now: float) -> None:
        self._notice_standstill(now)
        seconds = usable_seconds(now - self._ticked_at, SUMMARY_INTERVAL_S)
        self._ticked_at = now
        rows = self.pending.take(MAX_ROWS, now)
        if rows:
            summary = LoadSummary(self.sender, int(now * _MS_PER_S), rows)
            self._send(summary, seconds, now)

    def _send(self, summary: LoadSummary, seconds: float, now: float) -> None:
        if self._fleet is None:
            self._fleet = self._group_members()
        size = len(msgspec.msgpack.encode(summary))
        counts = recipient_counts(self._fleet, size, seconds)

        def usable(name: str) -> bool:
            return self.gossip.in_touch(name, now)

        names = [
            *self._own_region.next(counts.own_region, usable),
            *self._other_regions.next(counts.other_regions, usable),
        ]
        members = self.store_view.members
        self.datagrams.send(summary, [members[name].peer_address for name in names])
        self.sent_count += len(names)

    def _group_members(self) -> FleetSize:
        """Divide the registered VMs into those of this region and the others."""
        members = [m for m in self.store_view.members.values() if m.name != self.gossip.name]
        own_region = [m.name for m in members if m.region == self.region]
        other_regions = [m.name for m in members if m.region != self.region]
        self._own_region.set_names(own_region)
        self._other_regions.set_names(other_regions)
        regions = {self.region, *(member.region for member in members)}
        return FleetSize(len(own_region), len(other_regions), len(regions))

    def _on_change(self, change: Change) -> None:
        if isinstance(change.before, Member) or isinstance(change.after, Member):
            self._fleet = None

    def _on_paced_load(self, server: BackendServer, held: int, pace: float, now: float) -> None:
        self._notice_standstill(now)
        if now >= self._settled_at:
            self.pending.record(server, held, pace, now)

    def _on_summary(self, summary: LoadSummary, now: float) -> None:
        self.received_count += 1
        self._notice_standstill(now)
        if now < self._settled_at and not self.clocks.knows(summary.sender):
            self.received.drop(summary.rows)
            return
        sent_at = self.clocks.sent_at(summary.sender, summary.sent_ms / _MS_PER_S, now)
        self.received.apply(summary.rows, sent_at, now)

    def _notice_standstill(self, now: float) -> None:
        """Begin to settle if the next summary is overdue."""
        if now - self._ticked_at > SUMMARY_INTERVAL_S + _MAX_TICK_DELAY_S:
            self._settled_at = now + _SETTLING_S
