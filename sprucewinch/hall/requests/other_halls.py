"""Other data halls: decides which of them gets a request that this hall cannot run.

The decision needs the last attempt, the live members with the slots and the slots in use that each
reports, and the order of the regions by distance in milliseconds. Candidates are the entry VMs of
other halls that report free slots for the service. They are tried in the order of their region's
distance, within a region those with most free slots first; ties are broken at random. At most
`_MAX_FORWARDS` are tried, each only if `retry_rule` allows a retry.

Distance comes before free slots because it delays every request, while the reports of free slots
may be some exchange rounds old. With more candidates, refused requests would circulate among all
halls while all are full. `_MAX_FORWARDS` is the only constant.

No log line or counter names the hall that ran a request. Tested by `tests.test_process_requests`
and `tests.test_process_faults`.
"""

from collections.abc import Sequence
from operator import itemgetter

from ...clock import Clock
from ...net.request import Request, Responder
from ..node import Node
from ..peers.peer_pb2 import Member
from .backend import Attempt
from .forwarding import PeerForwarder
from .retry_rule import RetryRule

_MAX_FORWARDS = 2
"""Maximum number of entry VMs of other halls that one request is forwarded to."""


class OtherHalls:
    """Forwards requests to other halls, the nearest region and the most free slots first.

    Args:
        node: This VM's state.
        peers: Sends requests to other entry VMs.
        clock: Source of time.
        retries: Decides on retries.
    """

    def __init__(self, node: Node, peers: PeerForwarder, clock: Clock, retries: RetryRule) -> None:
        self.node = node
        self.peers = peers
        self.clock = clock
        self.retries = retries

    async def run(self, attempt: Attempt, request: Request, responder: Responder) -> Attempt:
        """Forward a request, to one entry VM after the other as long as a retry is allowed.

        Args:
            attempt: The result of the last attempt in this hall.
            request: The request.
            responder: Receives the answer.

        Returns:
            The result of the last attempt; the given one when the request was not forwarded.

        Raises:
            BrokenAnswerError: When an answer broke off after its start was passed on.
        """
        for member in self._candidates(request):
            if not self.retries.allowed(attempt, request):
                break
            attempt = await self.peers.forward(member, request, responder, home=False)
        return attempt

    def _candidates(self, request: Request) -> Sequence[Member]:
        """Return the entry VMs of other halls to forward a request to, the best first."""
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
        return [member for _, member in ranked[:_MAX_FORWARDS]]


def _free_slots(member: Member, service: str) -> float:
    for load in member.loads:
        if load.service == service:
            return load.capacity - load.in_use
    return 0.0
