"""The request path of one entry VM: ticket, data hall, backend server, or a refusal."""

import abc
from collections.abc import Sequence
from typing import Optional, Union

from ._slot_wait import wait_for_slot
from .admission import Admission, Slot
from .backend import Attempt, BackendClient
from .clock import Clock
from .node import LEAVING_S, Node
from .outcome import Outcome, Reason, Refusal, not_run, unknown
from .peer_pb2 import Member
from .recorder import RecordingResponder
from .request import Request, Responder
from .retry import ComeBack, RetryBudget
from .tickets import Answer, Claim, parse_ticket

_MAX_LOCAL_TRIES = 3
_MAX_HAND_ONS = 2
_SLOT_S = 0.02
_ELSEWHERE = (Reason.NO_ROOM, Reason.NO_BACKEND_SERVER, Reason.BACKEND_FAILED, Reason.LEAVING)
"""Reasons for which another data hall may still run the request."""


class PeerLink(abc.ABC):
    """Hands requests on to other entry VMs."""

    @abc.abstractmethod
    async def hand_on(
        self, member: Member, request: Request, responder: Responder, *, home: bool
    ) -> Attempt:
        """Hand a request on.

        Args:
            member: The entry VM that gets it.
            request: The request.
            responder: Where the answer goes.
            home: True when the receiver is the ticket's home and decides as an entry VM does.

        Returns:
            What came of it; as for `BackendClient.run`.
        """


class Dispatcher:
    """Decides where requests run, and runs them.

    Args:
        node: This VM's view.
        backend: Sends requests to backend servers.
        peers: Sends requests to other entry VMs.
        clock: Source of time.
    """

    def __init__(self, node: Node, backend: BackendClient, peers: PeerLink, clock: Clock) -> None:
        self.node = node
        self.backend = backend
        self.peers = peers
        self.clock = clock
        self.budgets: dict[str, RetryBudget] = {}
        self.come_backs: dict[str, ComeBack] = {}

    async def enter(self, request: Request, responder: Responder) -> Optional[Refusal]:
        """Run a request that reached this VM from a caller, or as the home of its ticket.

        Returns:
            None when the answer was passed on completely; else the refusal to answer with.

        Raises:
            BrokenAnswerError: When an answer broke off half-way.
        """
        topology = self.node.topology
        if topology is None or self.node.tickets is None:
            return self.certain(not_run(Reason.NO_CONFIGURATION, 1000), request.ticket)
        service = topology.services.get(request.service)
        if service is None:
            return self.certain(not_run(Reason.NO_SUCH_SERVICE), request.ticket)
        if service.repeatable:
            return (await self._anywhere(request, responder)).refusal
        return await self._at_most_once(request, responder)

    def certain(self, refusal: Refusal, ticket: Optional[str]) -> Refusal:
        """Return a refusal that is true also when the operation came before.

        A refusal given before the ticket's home has looked at the ticket says nothing about an
        earlier request under it. At the home an unused ticket is closed, so that it never runs.

        Args:
            refusal: The refusal of this request alone.
            ticket: The text of its ticket, if it has one.
        """
        parsed = parse_ticket(ticket) if ticket is not None else None
        if parsed is None or refusal.outcome is Outcome.UNKNOWN:
            return refusal
        book = self.node.tickets
        at_home = book is not None and book.is_home(parsed)
        if at_home and book.close(parsed, self.clock.monotonic()):
            return refusal
        return refusal._replace(outcome=Outcome.UNKNOWN)

    async def _at_most_once(self, request: Request, responder: Responder) -> Optional[Refusal]:
        if request.ticket is None:
            return not_run(Reason.TICKET_REQUIRED)
        ticket = parse_ticket(request.ticket)
        book = self.node.tickets
        if ticket is None or book is None:
            return not_run(Reason.TICKET_INVALID)
        if not book.is_home(ticket):
            return await self._to_home(ticket.vm, ticket.incarnation, request, responder)
        claimed = book.claim(ticket, request.service, _fingerprint(request), self.clock.monotonic())
        if isinstance(claimed, Refusal):
            return claimed
        if isinstance(claimed, Answer):
            return await _replay(claimed, responder)
        return await self._run_claim(claimed, request, responder)

    async def _run_claim(
        self, claim: Claim, request: Request, responder: Responder
    ) -> Optional[Refusal]:
        """Run an operation once; the claim is settled whatever happens."""
        assert self.node.tickets is not None
        book = self.node.tickets
        recorder = RecordingResponder(responder, self.node.settings.limits.memory_body_bytes)
        try:
            attempt = await self._anywhere(request, recorder)
        except BaseException:
            book.settle(claim, Outcome.UNKNOWN)
            raise
        if attempt.refusal is None:
            book.settle(claim, Outcome.ANSWERED, recorder.answer())
            return None
        book.settle(claim, attempt.refusal.outcome)
        return attempt.refusal

    async def _to_home(
        self, vm: str, incarnation: int, request: Request, responder: Responder
    ) -> Optional[Refusal]:
        """Hand an operation to its ticket's home; without the home its fate is unknown."""
        home = self.node.membership.find(vm)
        if home is None or home.incarnation != incarnation or home is self.node.own:
            return unknown(Reason.TICKET_HOME_LOST)
        attempt = await self.peers.hand_on(home, request, responder, home=True)
        if attempt.refusal is not None and not attempt.sent:
            return unknown(Reason.TICKET_HOME_LOST)
        return attempt.refusal

    async def _anywhere(self, request: Request, responder: Responder) -> Attempt:
        """Try this hall, then others, as long as it is certain that nothing ran."""
        attempt = await self.run_here(request, responder)
        if attempt.refusal is not None:
            attempt = await self._elsewhere(attempt, request, responder)
        if attempt.refusal is None:
            self._budget(request.service).succeeded()
            return attempt
        return attempt._replace(refusal=self._with_return(request, attempt.refusal))

    async def _elsewhere(self, attempt: Attempt, request: Request, responder: Responder) -> Attempt:
        for member in self._other_halls(request):
            if not self._may_go_on(attempt, request):
                break
            attempt = await self.peers.hand_on(member, request, responder, home=False)
        return attempt

    def _may_go_on(self, attempt: Attempt, request: Request) -> bool:
        refusal = attempt.refusal
        if refusal is None or not request.body.replayable:
            return False
        if refusal.outcome is Outcome.UNKNOWN:
            return self._repeatable(request) and self._budget(request.service).take()
        return refusal.reason in _ELSEWHERE

    def _repeatable(self, request: Request) -> bool:
        topology = self.node.topology
        return topology is not None and topology.services[request.service].repeatable

    async def run_here(self, request: Request, responder: Responder) -> Attempt:
        """Run a request on this hall's backend servers.

        Returns:
            What came of it; a refusal is certain to be `NOT_RUN` or else `UNKNOWN`.
        """
        admission = self.node.hall.find(request.service)
        if admission is None:
            return Attempt(not_run(Reason.NO_BACKEND_SERVER))
        attempt = Attempt(not_run(Reason.NO_ROOM))
        for _ in range(_MAX_LOCAL_TRIES):
            slot = await self._slot(admission, request)
            if isinstance(slot, Refusal):
                return attempt if request.tried else Attempt(slot)
            attempt = await self._try(admission, slot, request, responder)
            if attempt.refusal is None or not self._may_go_on(attempt, request):
                return attempt
        return attempt

    async def _slot(self, admission: Admission, request: Request) -> Union[Slot, Refusal]:
        now = self.clock.monotonic()
        if request.deadline <= now:
            return not_run(Reason.DEADLINE_PASSED)
        got = admission.acquire(now, frozenset(request.tried))
        if isinstance(got, Slot) or request.tried or got.reason is not Reason.NO_ROOM:
            return got
        return await wait_for_slot(admission, self._longest_wait(request, now), self.clock)

    def _longest_wait(self, request: Request, now: float) -> float:
        topology = self.node.topology
        service = topology.services.get(request.service) if topology else None
        allowed = service.max_wait_ms / 1000 if service else 0.0
        return min(allowed, request.deadline - now)

    async def _try(
        self, admission: Admission, slot: Slot, request: Request, responder: Responder
    ) -> Attempt:
        server = slot.server
        started = self.clock.monotonic()
        request.tried.add(server.address)
        try:
            attempt = await self.backend.run(request, server.address, responder, started)
        finally:
            admission.release(slot, self.clock.monotonic())
        now = self.clock.monotonic()
        self._learn(admission, slot, attempt, now, started)
        return attempt

    def _learn(
        self, admission: Admission, slot: Slot, attempt: Attempt, now: float, started: float
    ) -> None:
        server = slot.server
        if attempt.leaving:
            admission.leaving(server.address, now + LEAVING_S)
        if attempt.shed:
            admission.shed(server, now)
            self.node.metrics.counters["shed"] += 1
        elif attempt.refusal is None:
            admission.succeeded(server, (now - started) * 1000)
        elif not attempt.leaving and attempt.refusal.reason is Reason.BACKEND_FAILED:
            admission.failed(server, now)

    def _other_halls(self, request: Request) -> Sequence[Member]:
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

    def _budget(self, service: str) -> RetryBudget:
        return self.budgets.setdefault(service, RetryBudget())

    def _with_return(self, request: Request, refusal: Refusal) -> Refusal:
        """Say when to come back, where that can help."""
        if refusal.outcome is Outcome.UNKNOWN or refusal.retry_after_ms:
            return refusal
        now = self.clock.monotonic()
        admission = self.node.hall.find(request.service)
        capacity = admission.capacity(now) if admission else 0
        latency = admission.latency_ms() if admission else None
        rate = capacity / ((latency or _SLOT_S * 1000) / 1000)
        come_back = self.come_backs.setdefault(request.service, ComeBack(self.node.rng))
        return refusal._replace(retry_after_ms=come_back.retry_after_ms(now, rate))


def _free_slots(member: Member, service: str) -> float:
    for load in member.loads:
        if load.service == service:
            return load.capacity - load.in_use
    return 0.0


def _fingerprint(request: Request) -> str:
    """Return what tells two different operations under one ticket apart."""
    lengths = [value for name, value in request.headers if name.lower() == "content-length"]
    return f"{request.method} {request.target} {':'.join(lengths)} {hash(request.body.first)}"


async def _replay(answer: Answer, responder: Responder) -> None:
    await responder.start(answer.status, list(answer.headers))
    if answer.body:
        await responder.write(answer.body)
    await responder.finish()
