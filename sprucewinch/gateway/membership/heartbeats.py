"""Sends this VM's heartbeats, which also spread the newest heartbeats of other VMs.

Owns when heartbeats are sent and to whom. Relies on `gossip` for what they hold and how many VMs
get one, and on the store's view for the addresses and regions of registered VMs; heartbeats that
arrive go to `gossip` directly.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

from ..datagrams import Datagrams
from ..state.store_view import StoreView
from ..timing import Timing
from .gossip import HEARTBEAT_S, Gossip, Heartbeat, far_fanout


class Heartbeats:
    """Sends heartbeats to a few VMs at a time.

    Args:
        region: This VM's region.
        gossip: Which VMs are there.
        store_view: Registered VMs.
        datagrams: The endpoint between VMs.
        timing: Sources of time and randomness.
        ready: Returns whether this VM accepts callers.
    """

    def __init__(
        self,
        region: str,
        gossip: Gossip,
        store_view: StoreView,
        datagrams: Datagrams,
        timing: Timing,
        *,
        ready: Callable[[], bool],
    ) -> None:
        self.region = region
        self.gossip = gossip
        self.store_view = store_view
        self.datagrams = datagrams
        self.timing = timing
        self.ready = ready
        datagrams.register(Heartbeat, gossip.receive)

    async def run(self) -> None:
        """Send to a few others at regular times."""
        while True:
            self._beat()
            await asyncio.sleep(self.timing.jittered(HEARTBEAT_S))

    def announce(self) -> None:
        """Tell all VMs at once whether this one accepts callers, and nothing of others.

        At a stop every VM does this. With the rows of all others it sends 195 times 7 kB, which
        takes a link of 20 Mbit/s for 0.6 s, beside the answers that callers wait for.
        """
        members = self.store_view.members
        self._send(self._next(()), (name for name in members if name != self.gossip.name))

    def _beat(self) -> None:
        members = self.store_view.members.values()
        near = [member.name for member in members if member.region == self.region]
        far = [member.name for member in members if member.region != self.region]
        beat = self._next(frozenset(near))
        self._send(beat, self.gossip.partners(near))
        self._send(beat, self.gossip.partners(far, far_fanout(len(near), len(far))))

    def _next(self, names: Collection[str]) -> Heartbeat:
        """Return the next heartbeat, with the rows of some other VMs."""
        self.gossip.set_accepting(self.ready())
        revision = self.store_view.complete_revision
        return self.gossip.tick(self.timing.monotonic(), revision, names)

    def _send(self, beat: Heartbeat, names: Iterable[str]) -> None:
        members = map(self.store_view.members.get, names)
        self.datagrams.send(beat, [member.peer_address for member in members if member])
