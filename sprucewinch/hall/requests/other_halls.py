"""The rule on other data halls: which of them gets a request that this hall cannot run.

Inputs: the last attempt, the live members with the slots and the use that each reports, and the
order of the regions by distance in milliseconds. The rule: entry VMs of other halls that report
free slots for the service are tried, those of the nearest region first and by most free slots
within it; ties are broken at random. At most `_MAX_HAND_ONS` are tried, each only if `retry_rule`
allows a repeat. Why: distance costs every request, while reported free slots are up to some rounds
old. A longer list would send refused load around all halls while all are full. Constants:
`_MAX_HAND_ONS` below. Where it shows: nowhere by itself; no line or counter names the hall that ran
a request. Tests: `tests.test_process_requests`, `tests.test_process_faults`.
"""

from collections.abc import Sequence
from operator import itemgetter

from ...clock import Clock
from ...net.request import Request, Responder
from ..node import Node
from ..peers.peer_pb2 import Member
from .backend import Attempt
from .handover import PeerLink
from .retry_rule import RetryRule

_MAX_HAND_ONS = 2
"""Most entry VMs of other halls that one request is handed to."""


class OtherHalls:
    """Hands requests on, to the nearest region first and to most free slots within it.

    Args:
        node: This VM's state.
        peers: Sends requests to other entry VMs.
        clock: Source of time.
        retries: Allows repeats.
    """

    def __init__(self, node: Node, peers: PeerLink, clock: Clock, retries: RetryRule) -> None:
        self.node = node
        self.peers = peers
        self.clock = clock
        self.retries = retries

    async def run(self, attempt: Attempt, request: Request, responder: Responder) -> Attempt:
        """Hand a request on as long as that is allowed.

        Args:
            attempt: The result in this hall.
            request: The request.
            responder: Where the answer goes.

        Returns:
            The last attempt.
        """
        for member in self._members(request):
            if not self.retries.allowed(attempt, request):
                break
            attempt = await self.peers.hand_on(member, request, responder, home=False)
        return attempt

    def _members(self, request: Request) -> Sequence[Member]:
        """Return entry VMs of other halls to hand a request to, the best first."""
        topology = self.node.topology
        if topology is None:
            return ()
        own = self.node.own
        ranks = {region: rank for rank, region in enumerate(topology.by_distance(own.region))}
        ranked: list[tuple[tuple[int, float, float], Member]] = []
        for member in self.node.membership.serving(self.clock.monotonic()):
            if member.hall == own.hall or member.region not in ranks:
                continue
            free = _free_slots(member, request.service)
            if free > 0:
                key = (ranks[member.region], -free, self.node.rng.random())
                ranked.append((key, member))
        ranked.sort(key=itemgetter(0))
        return [member for _, member in ranked[:_MAX_HAND_ONS]]


def _free_slots(member: Member, service: str) -> float:
    for load in member.loads:
        if load.service == service:
            return load.capacity - load.in_use
    return 0.0
