"""At-most-once execution: the filter for requests of services that are not repeatable.

The filter needs the request with its ticket, and the entry VM that the ticket names as its home. At
the home it claims the ticket, runs the operation and settles the claim, also after an error; a
repeat of the request gets the recorded answer. On any other VM it forwards the request to the home;
without the home the outcome is *unknown* (`ticket-home-lost`). A refusal given before the home has
seen the ticket is *unknown* too, because only the home knows whether the operation ran: no other
process may answer *not run*.

The module has no constants of its own; those of `tickets` apply. Refusals are counted by their
`ticket-...` and `already-...` reasons. Tested by `tests.test_callers.NotRunIsTrue`,
`tests.test_process_requests.Requests` and `tests.test_process_faults.Faults`.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Optional, Union

from ...clock import Clock
from ...net.outcome import Outcome, Reason, Refusal, not_run, unknown
from ...net.request import Request, Responder
from ..node import Node
from .backend import Attempt
from .forwarding import PeerForwarder
from .recorder import RecordingResponder
from .tickets import Answer, Claim, Ticket, TicketTable, parse_ticket

Run = Callable[[Request, Responder], Awaitable[Attempt]]
"""Runs a request, passes its answer to the responder, and returns the result."""


class RemoteTicket(NamedTuple):
    """A ticket whose home is another process."""

    ticket: Ticket


class AtMostOnce:
    """Claims an operation's ticket, runs the operation, and settles the claim.

    Args:
        node: This VM's state.
        peers: Sends requests to other entry VMs.
        clock: Source of time.
        run: Runs a request whose ticket has been claimed.
    """

    def __init__(self, node: Node, peers: PeerForwarder, clock: Clock, run: Run) -> None:
        self.node = node
        self.peers = peers
        self.clock = clock
        self.run = run

    async def run_once(self, request: Request, responder: Responder) -> Optional[Refusal]:
        """Run an operation once, or answer as its earlier run was answered.

        Returns:
            None when a complete answer was passed on; else the refusal to answer with.

        Raises:
            BrokenAnswerError: When an answer broke off after its start was passed on.
        """
        result = self._claim(request)
        if isinstance(result, Refusal):
            return result
        if isinstance(result, RemoteTicket):
            return await self._forward_to_home(result.ticket, request, responder)
        if isinstance(result, Answer):
            return await _replay(result, responder)
        return await self._run_claimed(result, request, responder)

    def with_certain_outcome(self, refusal: Refusal, ticket_text: Optional[str]) -> Refusal:
        """Return a refusal whose outcome also holds for earlier requests with the same ticket.

        A refusal given before the ticket's home has seen the ticket tells only that this request
        did not run; an earlier one with the same ticket may have run. So its outcome becomes
        `UNKNOWN`, unless this VM is the home and can close the ticket, after which the operation
        never runs.

        Args:
            refusal: The refusal, which takes only this request into account.
            ticket_text: The text of the request's ticket, if it has one.
        """
        ticket = parse_ticket(ticket_text) if ticket_text is not None else None
        if ticket is None or refusal.outcome is Outcome.UNKNOWN:
            return refusal
        tickets = self.node.tickets
        at_home = tickets is not None and tickets.is_home(ticket)
        if at_home and tickets.close(ticket, self.clock.monotonic()):
            return refusal
        return refusal._replace(outcome=Outcome.UNKNOWN)

    def _claim(self, request: Request) -> Union[Claim, Answer, RemoteTicket, Refusal]:
        if request.ticket is None:
            return not_run(Reason.TICKET_REQUIRED)
        ticket = parse_ticket(request.ticket)
        tickets = self.node.tickets
        if ticket is None or tickets is None:
            return not_run(Reason.TICKET_INVALID)
        if not tickets.is_home(ticket):
            return RemoteTicket(ticket)
        now = self.clock.monotonic()
        return tickets.claim(ticket, request.service, _fingerprint(request), now)

    async def _run_claimed(
        self, claim: Claim, request: Request, responder: Responder
    ) -> Optional[Refusal]:
        """Run a claimed operation and settle its claim, also after an error."""
        tickets = self._tickets()
        recorder = RecordingResponder(responder, self.node.settings.limits.memory_body_bytes)
        try:
            attempt = await self.run(request, recorder)
        except BaseException:
            tickets.settle(claim, Outcome.UNKNOWN)
            raise
        if attempt.refusal is None:
            tickets.settle(claim, Outcome.ANSWERED, recorder.answer())
            return None
        tickets.settle(claim, attempt.refusal.outcome)
        return attempt.refusal

    async def _forward_to_home(
        self, ticket: Ticket, request: Request, responder: Responder
    ) -> Optional[Refusal]:
        """Forward an operation to the home of its ticket; the outcome is unknown without it."""
        home = self.node.membership.find(ticket.vm)
        if home is None or home.incarnation != ticket.incarnation or home is self.node.own:
            return unknown(Reason.TICKET_HOME_LOST)
        attempt = await self.peers.forward(home, request, responder, home=True)
        if attempt.refusal is not None and not attempt.sent:
            return unknown(Reason.TICKET_HOME_LOST)
        return attempt.refusal

    def _tickets(self) -> TicketTable:
        assert self.node.tickets is not None
        return self.node.tickets


def _fingerprint(request: Request) -> str:
    """Return a text that tells apart different operations under one ticket.

    It covers the method, the target, the `Content-Length` and the first part of the body.
    """
    lengths = [value for name, value in request.headers if name.lower() == "content-length"]
    return f"{request.method} {request.target} {':'.join(lengths)} {hash(request.body.first)}"


async def _replay(answer: Answer, responder: Responder) -> None:
    await responder.start(answer.status, list(answer.headers))
    if answer.body:
        await responder.write(answer.body)
    await responder.finish()
