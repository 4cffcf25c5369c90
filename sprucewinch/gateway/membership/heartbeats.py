"""Sends this VM's heartbeats, which also spread the newest heartbeats of other VMs.

Owns when heartbeats are sent and to whom. Relies on `gossip` for what they hold and on the store's
view for the addresses of registered VMs; heartbeats that arrive go to `gossip` directly.
"""

import asyncio
from collections.abc import Callable, Iterable

from ..datagrams import Datagrams
from ..state.store_view import StoreView
from ..timing import Timing
from .gossip import HEARTBEAT_S, Gossip, Heartbeat


class Heartbeats:
    """Sends heartbeats to a few VMs at a time.

    Args:
        gossip: Which VMs are there.
        store_view: Registered VMs.
        datagrams: The endpoint between VMs.
        timing: Sources of time and randomness.
        ready: Returns whether this VM accepts callers.
    """

    def __init__(
        self,
        gossip: Gossip,
        store_view: StoreView,
        datagrams: Datagrams,
        timing: Timing,
        *,
        ready: Callable[[], bool],
    ) -> None:
        self.gossip = gossip
        self.store_view = store_view
        self.datagrams = datagrams
        self.timing = timing
        self.ready = ready
        datagrams.register(Heartbeat, gossip.receive)

    async def run(self) -> None:
        """Send to a few others at regular times."""
        while True:
            self.send(self.gossip.partners(self.store_view.members))
            await asyncio.sleep(self.timing.jittered(HEARTBEAT_S))

    def send(self, names: Iterable[str]) -> None:
        """Send one heartbeat to some VMs.

        Args:
            names: Their names; those that are not registered are left out.
        """
        self.gossip.set_accepting(self.ready())
        beat = self.gossip.tick(self.timing.monotonic(), self.store_view.complete_revision)
        members = map(self.store_view.members.get, names)
        self.datagrams.send(beat, [member.peer_address for member in members if member])
