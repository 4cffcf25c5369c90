"""The request path of the own interface: the order of its filters.

A request passes a check that its service is configured, then `at_most_once`, this data hall
(`local`), other data halls (`other_halls`), and Retry-After (`retry_after`). Each filter is a
module of this folder and makes its own decision; this module owns only the order. It relies on the
node's state and does no I/O of its own.
"""

from typing import Optional

from ...clock import Clock
from ...net.outcome import Reason, Refusal, not_run
from ...net.request import Request, Responder
from ..node import Node
from .at_most_once import AtMostOnce
from .backend import Attempt, BackendClient
from .forwarding import PeerForwarder
from .local import LocalHall
from .other_halls import OtherHalls
from .retry_after import DEFAULT_RETRY_AFTER_MS, RetryAfterTimes
from .retry_rule import RetryRule

__all__ = ["Dispatcher", "PeerForwarder"]


class Dispatcher:
    """Runs requests in this data hall or another one.

    Args:
        node: This VM's state.
        backend: Sends requests to backend servers.
        peers: Sends requests to other entry VMs.
        clock: Source of time.
    """

    def __init__(
        self, node: Node, backend: BackendClient, peers: PeerForwarder, clock: Clock
    ) -> None:
        self.node = node
        self.retries = RetryRule(node)
        self.at_most_once = AtMostOnce(node, peers, clock, self._run_in_any_hall)
        self.local = LocalHall(node, backend, clock, self.retries)
        self.other_halls = OtherHalls(node, peers, clock, self.retries)
        self.retry_after_times = RetryAfterTimes(node, clock)

    async def run(self, request: Request, responder: Responder) -> Optional[Refusal]:
        """Run a request of a caller, or one forwarded to this VM as the home of its ticket.

        Returns:
            None when the answer was passed on completely; else the refusal to answer with.

        Raises:
            BrokenAnswerError: When an answer broke off after its start was passed on.
        """
        topology = self.node.topology
        if topology is None or self.node.tickets is None:
            return self.with_certain_outcome(
                not_run(Reason.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_MS), request.ticket
            )
        service = topology.services.get(request.service)
        if service is None:
            return self.with_certain_outcome(not_run(Reason.NO_SUCH_SERVICE), request.ticket)
        if service.repeatable:
            return (await self._run_in_any_hall(request, responder)).refusal
        return await self.at_most_once.run_once(request, responder)

    def with_certain_outcome(self, refusal: Refusal, ticket: Optional[str]) -> Refusal:
        """Return a refusal whose outcome holds for the ticket, too; see `AtMostOnce`."""
        return self.at_most_once.with_certain_outcome(refusal, ticket)

    async def run_here(self, request: Request, responder: Responder) -> Attempt:
        """Run a request that another hall forwarded, in this hall only; see `LocalHall.run`."""
        return await self.local.run(request, responder)

    async def _run_in_any_hall(self, request: Request, responder: Responder) -> Attempt:
        """Try this hall, then others as long as `RetryRule` allows a retry."""
        attempt = await self.local.run(request, responder)
        if attempt.refusal is not None:
            attempt = await self.other_halls.run(attempt, request, responder)
        if attempt.refusal is None:
            self.retries.record_success(request.service)
            return attempt
        refusal = self.retry_after_times.with_retry_after(request, attempt.refusal)
        return attempt._replace(refusal=refusal)
