"""The rule on tickets: whether an operation that must not run twice runs now under its ticket.

Inputs: the ticket, the service and the fingerprint of the request, and the monotonic time in
seconds.
The rule: a ticket names one entry VM and one incarnation of it, its home. Only the home may run the
operation, once, within the ticket's lifetime. It keeps the outcome for the retention after that and
answers each repeat with it; a ticket that was refused never runs later.
Why: no failure lets a second process run the operation. A write to the
platform for each operation and an owner by hash with a lease were weighed (docs/DESIGN.md, "At most
once"). The drawback: when the home is gone, its operations are *unknown*.
Constants: `LIFETIME_S`, `RETENTION_S`, `MAX_OPEN`, `KEPT_ANSWER_BYTES` and `MAX_BATCH` below, all
guesses.
Where it shows: refusals counted by their `ticket-...` and `already-...` reasons.
Tests: `tests.test_tickets`, `tests.test_callers.NotRunIsTrue`, `tests.test_process_requests`.
"""

import hashlib
import hmac
from collections import OrderedDict, deque
from typing import NamedTuple, Optional, Union

from ...net.outcome import Outcome, Reason, Refusal, not_run, unknown

_SEPARATOR = ":"

_MAC_BYTES = 10
"""Length of a ticket's keyed digest, in bytes: a guessed digest is right once in 2**80 times."""

MAX_BATCH = 64
"""Most tickets issued in one answer."""

LIFETIME_S = 300.0
"""Time within which a ticket may be used, in seconds."""

RETENTION_S = 600.0
"""Time after the lifetime for which a ticket's outcome is kept, in seconds."""

MAX_OPEN = 50_000
"""Most tickets kept at once."""

KEPT_ANSWER_BYTES = 4 << 20
"""Most bytes of answers kept for repeats."""

_RUNNING_RETRY_AFTER_MS = 1000
"""Retry-After of an operation that still runs, in milliseconds."""

_SHORTEST_TABLE_WAIT_S = 1.0
"""Shortest Retry-After of a full table, in seconds."""


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
        numbers = (f"{self.incarnation:x}", f"{self.number:x}")
        return _SEPARATOR.join((self.vm, *numbers, self.service, self.mac))


def parse_ticket(text: str) -> Optional[Ticket]:
    """Parse a ticket's text; None when it is no ticket."""
    parts = text.split(_SEPARATOR)
    if len(parts) != len(Ticket._fields):
        return None
    vm, incarnation, number, service, mac = parts
    try:
        return Ticket(vm, int(incarnation, 16), int(number, 16), service, mac)
    except ValueError:
        # None is the result for any text that is no ticket; callers refuse it as `ticket-invalid`.
        return None


class Answer(NamedTuple):
    """A complete answer, kept for repeats of its request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim:
    """The right to run one operation, held by one request.

    Args:
        number: The ticket's number.
        fingerprint: Text that differs for a different operation.
    """

    __slots__ = ("answer", "fingerprint", "number", "outcome")

    def __init__(self, number: int, fingerprint: str) -> None:
        self.number = number
        self.fingerprint = fingerprint
        self.outcome: Optional[Outcome] = None
        self.answer: Optional[Answer] = None


class _Batch(NamedTuple):
    """Tickets issued in one answer.

    Args:
        expires_at: Monotonic time at which their lifetime ends, in seconds.
        end: Number after that of its last ticket.
    """

    expires_at: float
    end: int


class _AnswerCache:
    """The answers kept for repeats; beyond its limit the oldest are dropped.

    Args:
        limit_bytes: Most bytes of bodies.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.kept_bytes = 0
        self.claims: OrderedDict[int, Claim] = OrderedDict()

    def keep(self, claim: Claim, answer: Answer) -> None:
        """Keep the answer of a claim that has none yet."""
        claim.answer = answer
        self.claims[claim.number] = claim
        self.kept_bytes += len(answer.body)
        while self.kept_bytes > self.limit_bytes:
            self.drop(next(iter(self.claims)))

    def drop(self, number: int) -> None:
        """Drop the answer of a ticket's number, if one is kept."""
        claim = self.claims.pop(number, None)
        if claim is not None and claim.answer is not None:
            self.kept_bytes -= len(claim.answer.body)
            claim.answer = None


class TicketBook:
    """Issues tickets and keeps the outcome of each.

    Args:
        vm: Name of this entry VM.
        incarnation: Incarnation of this process.
        key: Secret of this process; never leaves it.
        lifetime_s: Time within which a ticket may be used, in seconds.
        retention_s: Time after that for which its outcome is kept, in seconds.
        max_open: Most tickets kept at once.
        answer_bytes: Most bytes of answers kept.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        key: bytes,
        *,
        lifetime_s: float = LIFETIME_S,
        retention_s: float = RETENTION_S,
        max_open: int = MAX_OPEN,
        answer_bytes: int = KEPT_ANSWER_BYTES,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self.retention_s = retention_s
        self.max_open = max_open
        self.claims: dict[int, Claim] = {}
        self._key = key
        self._batches: deque[_Batch] = deque()
        self._issued = 0
        self._forgotten = 0
        self._answers = _AnswerCache(answer_bytes)

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
            return not_run(Reason.TICKET_TABLE_FULL, int(max(wait, _SHORTEST_TABLE_WAIT_S) * 1000))
        start = self._issued
        self._issued += count
        self._batches.append(_Batch(now + self.lifetime_s, self._issued))
        return [str(self._ticket(number, service)) for number in range(start, self._issued)]

    def is_home(self, ticket: Ticket) -> bool:
        """Return whether this process is a ticket's home."""
        return ticket.vm == self.vm and ticket.incarnation == self.incarnation

    def claim(
        self, ticket: Ticket, service: str, fingerprint: str, now: float
    ) -> Union[Claim, Answer, Refusal]:
        """Claim the right to run an operation.

        Args:
            ticket: A ticket whose home is this process.
            service: Service of the request.
            fingerprint: Text that differs for a different operation.
            now: Monotonic time, in seconds.

        Returns:
            A claim, which must be settled; the answer of the earlier run; or a refusal.
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
        """Refuse a ticket for good, if its operation has not run.

        Args:
            ticket: A ticket whose home is this process.
            now: Monotonic time, in seconds.

        Returns:
            True when its operation certainly has not run and never runs later.
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
        """Record the outcome of a claim; the first record stands.

        Args:
            claim: The claim.
            outcome: Its outcome; `NOT_RUN` only when that is certain. The ticket stays used.
            answer: The complete answer, when it is small enough to keep.
        """
        if claim.outcome is not None:
            return
        claim.outcome = outcome
        if answer is not None and claim.number in self.claims:
            self._answers.keep(claim, answer)

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
            return unknown(Reason.ALREADY_RUNNING, _RUNNING_RETRY_AFTER_MS)
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
                self.claims.pop(self._forgotten, None)
                self._answers.drop(self._forgotten)
                self._forgotten += 1
            self._batches.popleft()
