"""The filter that hands a request to other data halls when this one cannot run it."""

from collections.abc import Sequence

from ...clock import Clock
from ...net.request import Request, Responder
from ..node import Node
from ..peers.peer_pb2 import Member
from .again import Again
from .backend import Attempt
from .handover import PeerLink

_MAX_HAND_ONS = 2


class OtherHalls:
    """Hands requests on, to the nearest region first and to most free slots within it.

    Args:
        node: This VM's view.
        peers: Sends requests to other entry VMs.
        clock: Source of time.
        again: Allows repeats.
    """

    def __init__(self, node: Node, peers: PeerLink, clock: Clock, again: Again) -> None:
        self.node = node
        self.peers = peers
        self.clock = clock
        self.again = again

    async def run(self, attempt: Attempt, request: Request, responder: Responder) -> Attempt:
        """Hand a request on as long as that is allowed.

        Args:
            attempt: What came of it here.
            request: The request.
            responder: Where the answer goes.

        Returns:
            The last attempt.
        """
        for member in self._members(request):
            if not self.again.allowed(attempt, request):
                break
            attempt = await self.peers.hand_on(member, request, responder, home=False)
        return attempt

    def _members(self, request: Request) -> Sequence[Member]:
        """Return entry VMs of other halls to hand a request to, the best first."""
        topology = self.node.topology
        if topology is None:
            return ()
        own = self.node.own
        near = {r: i for i, r in enumerate(topology.by_distance(own.region))}
        rooms = [
            (near[m.region], -room, self.node.rng.random(), m)
            for m in self.node.membership.serving(self.clock.monotonic())
            if m.hall != own.hall and m.region in near
            for room in [_free_slots(m, request.service)]
            if room > 0
        ]
        rooms.sort(key=lambda row: row[:3])
        return [member for *_, member in rooms[:_MAX_HAND_ONS]]


def _free_slots(member: Member, service: str) -> float:
    for load in member.loads:
        if load.service == service:
            return load.capacity - load.in_use
    return 0.0
