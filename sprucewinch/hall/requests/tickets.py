"""Tickets: at most one run of an operation that must not run twice.

A ticket names one entry VM and one incarnation of it, its home. Only the home may dispatch the
operation, and it remembers every ticket it has seen until the ticket has expired. Whatever is
lost, cut off or replaced, no second process can run the operation; what is given up is an answer
better than *unknown* when the home itself is gone.
"""

import hashlib
import hmac
from collections import OrderedDict, deque
from typing import NamedTuple, Optional, Union

from ...net.outcome import Outcome, Reason, Refusal, not_run, unknown

_SEPARATOR = ":"
_MAC_BYTES = 10
_FIELDS = 5
MAX_BATCH = 64
"""Most tickets given out in one answer."""


class Ticket(NamedTuple):
    """The parts of a ticket.

    Args:
        vm: Home entry VM.
        incarnation: Incarnation of the home.
        number: Grows with every ticket of that incarnation.
        service: Service it was issued for.
        mac: Proof that the home issued it.
    """

    vm: str
    incarnation: int
    number: int
    service: str
    mac: str

    def __str__(self) -> str:
        return _SEPARATOR.join((self.vm, f"{self.incarnation:x}", f"{self.number:x}", *self[3:]))


def parse_ticket(text: str) -> Optional[Ticket]:
    """Parse a ticket's text; None when it is no ticket."""
    parts = text.split(_SEPARATOR)
    if len(parts) != _FIELDS:
        return None
    try:
        return Ticket(parts[0], int(parts[1], 16), int(parts[2], 16), parts[3], parts[4])
    except ValueError:
        return None


class Answer(NamedTuple):
    """A complete answer kept so that a caller's repeated request can be given it again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim:
    """The right to run one operation, held by one request.

    Args:
        number: The ticket's number.
        fingerprint: What the request looked like.
    """

    __slots__ = ("answer", "fingerprint", "number", "outcome")

    def __init__(self, number: int, fingerprint: str) -> None:
        self.number = number
        self.fingerprint = fingerprint
        self.outcome: Optional[Outcome] = None
        self.answer: Optional[Answer] = None


class _Batch(NamedTuple):
    expires_at: float
    end: int


class TicketBook:
    """Issues tickets and remembers what became of them.

    Args:
        vm: Name of this entry VM.
        incarnation: Incarnation of this process.
        key: Secret of this process; never leaves it.
        lifetime_s: How long a ticket may be used, in seconds.
        retention_s: How long after that its fate is remembered, in seconds.
        max_open: Most tickets remembered at once.
        answer_bytes: Most bytes of answers kept.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        key: bytes,
        *,
        lifetime_s: float = 300.0,
        retention_s: float = 600.0,
        max_open: int = 50_000,
        answer_bytes: int = 4 << 20,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self.retention_s = retention_s
        self.max_open = max_open
        self.answer_bytes = answer_bytes
        self.claims: dict[int, Claim] = {}
        self._key = key
        self._batches: deque[_Batch] = deque()
        self._issued = 0
        self._forgotten = 0
        self._kept: OrderedDict[int, int] = OrderedDict()
        self._kept_bytes = 0

    def issue(self, service: str, count: int, now: float) -> Union[list[str], Refusal]:
        """Issue tickets.

        Args:
            service: Service they are for.
            count: How many, from 1 to `MAX_BATCH`.
            now: Monotonic time, in seconds.

        Returns:
            The tickets' texts, or a refusal when the table is full.
        """
        self._forget(now)
        if self._issued - self._forgotten + count > self.max_open:
            wait = self._batches[0].expires_at + self.retention_s - now
            return not_run(Reason.TICKET_TABLE_FULL, int(max(wait, 1.0) * 1000))
        start = self._issued
        self._issued += count
        self._batches.append(_Batch(now + self.lifetime_s, self._issued))
        return [str(self._ticket(number, service)) for number in range(start, self._issued)]

    def is_home(self, ticket: Ticket) -> bool:
        """Tell whether this process is a ticket's home."""
        return ticket.vm == self.vm and ticket.incarnation == self.incarnation

    def claim(
        self, ticket: Ticket, service: str, fingerprint: str, now: float
    ) -> Union[Claim, Answer, Refusal]:
        """Claim the right to run an operation.

        Args:
            ticket: A ticket whose home is this process.
            service: Service of the request.
            fingerprint: What the request looks like.
            now: Monotonic time, in seconds.

        Returns:
            A claim, which must be settled; the answer of the run that took place before; or a
            refusal.
        """
        if not self._genuine(ticket):
            return not_run(Reason.TICKET_INVALID)
        if ticket.service != service:
            return unknown(Reason.TICKET_REUSED)
        self._forget(now)
        if ticket.number < self._forgotten:
            return unknown(Reason.TICKET_EXPIRED)
        claim = self.claims.get(ticket.number)
        if claim is not None:
            return self._repeated(claim, fingerprint)
        if self._expired(ticket.number, now):
            return not_run(Reason.TICKET_EXPIRED)
        claim = self.claims[ticket.number] = Claim(ticket.number, fingerprint)
        return claim

    def close(self, ticket: Ticket, now: float) -> bool:
        """Make sure that a ticket is never run from now on, if it has not been run.

        Args:
            ticket: A ticket whose home is this process.
            now: Monotonic time, in seconds.

        Returns:
            True when its operation has certainly not run and never will.
        """
        if not self._genuine(ticket):
            return True
        self._forget(now)
        if ticket.number < self._forgotten:
            return False
        claim = self.claims.get(ticket.number)
        if claim is None:
            claim = self.claims[ticket.number] = Claim(ticket.number, "")
            self.settle(claim, Outcome.NOT_RUN)
        return claim.outcome is Outcome.NOT_RUN

    def settle(self, claim: Claim, outcome: Outcome, answer: Optional[Answer] = None) -> None:
        """Record what became of a claim; the first record stands.

        Args:
            claim: The claim.
            outcome: Its outcome; `NOT_RUN` only when that is certain. The ticket stays used.
            answer: The complete answer, when it is small enough to keep.
        """
        if claim.outcome is not None:
            return
        claim.outcome = outcome
        if answer is not None and claim.number in self.claims:
            self._keep(claim, answer)

    def _ticket(self, number: int, service: str) -> Ticket:
        return Ticket(self.vm, self.incarnation, number, service, self._mac(number, service))

    def _mac(self, number: int, service: str) -> str:
        text = f"{number:x}{_SEPARATOR}{service}".encode()
        return hashlib.blake2s(text, key=self._key, digest_size=_MAC_BYTES).hexdigest()

    def _genuine(self, ticket: Ticket) -> bool:
        known = self.is_home(ticket) and 0 <= ticket.number < self._issued
        mac = self._mac(ticket.number, ticket.service)
        return known and hmac.compare_digest(mac.encode(), ticket.mac.encode())

    def _repeated(self, claim: Claim, fingerprint: str) -> Union[Answer, Refusal]:
        if claim.outcome is Outcome.NOT_RUN:
            return not_run(Reason.ALREADY_REFUSED)
        if claim.fingerprint != fingerprint:
            return unknown(Reason.TICKET_REUSED)
        if claim.outcome is None:
            return unknown(Reason.ALREADY_RUNNING, 1000)
        return claim.answer or unknown(Reason.ALREADY_RAN)

    def _expired(self, number: int, now: float) -> bool:
        return any(batch.end > number and batch.expires_at <= now for batch in self._batches)

    def _forget(self, now: float) -> None:
        """Drop tickets whose retention has ended; a running operation is never dropped."""
        while self._batches and self._batches[0].expires_at + self.retention_s <= now:
            end = self._batches[0].end
            while self._forgotten < end:
                claim = self.claims.get(self._forgotten)
                if claim is not None and claim.outcome is None:
                    return
                self._drop(self._forgotten)
                self._forgotten += 1
            self._batches.popleft()

    def _drop(self, number: int) -> None:
        self.claims.pop(number, None)
        self._kept_bytes -= self._kept.pop(number, 0)

    def _keep(self, claim: Claim, answer: Answer) -> None:
        size = len(answer.body)
        claim.answer = answer
        self._kept[claim.number] = size
        self._kept_bytes += size
        while self._kept_bytes > self.answer_bytes:
            number, dropped = self._kept.popitem(last=False)
            self._kept_bytes -= dropped
            self.claims[number].answer = None
