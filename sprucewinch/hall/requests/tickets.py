"""Tickets for operations that must not run twice: decides whether an operation runs now.

The decision needs the ticket, the service and the fingerprint of the request, and the monotonic
time in seconds. A ticket names its home: the entry VM, and the incarnation of it, that issued the
ticket. Only the home may run the operation, once, within the ticket's lifetime. It keeps the
outcome for the retention time after the lifetime and answers each repeat with it. The operation of
a refused ticket never runs later.

This way no failure lets a second process run the operation. The alternatives considered were a
write to the platform for each operation, and an owner chosen by hash and holding a lease
(docs/DESIGN.md, "At most once"). The drawback is that the outcome of an operation is *unknown* when
its home is gone.

The constants are `TICKET_LIFETIME_S`, `OUTCOME_RETENTION_S`, `MAX_TICKETS`,
`MAX_KEPT_ANSWER_BYTES` and `MAX_TICKETS_PER_BATCH`. Refusals are counted by their `ticket-...` and
`already-...` reasons. Tested by `tests.test_tickets`, `tests.test_callers.NotRunIsTrue` and
`tests.test_process_requests`.
"""

import hashlib
import hmac
from collections import OrderedDict, deque
from typing import NamedTuple, Optional, Union

from ...net.outcome import Outcome, Reason, Refusal, not_run, unknown

_SEPARATOR = ":"

_MAC_BYTES = 10
"""Length of a ticket's keyed digest, in bytes: a guess succeeds with a probability of 2**-80."""

MAX_TICKETS_PER_BATCH = 64
"""Maximum number of tickets issued in one answer."""

TICKET_LIFETIME_S = 300.0
"""Time after its issue within which a ticket may be used, in seconds."""

OUTCOME_RETENTION_S = 600.0
"""Time after its lifetime for which the outcome of a ticket is kept, in seconds."""

MAX_TICKETS = 50_000
"""Maximum number of tickets in the table, used or not."""

MAX_KEPT_ANSWER_BYTES = 4 << 20
"""Maximum total size of the bodies of answers kept for repeats, in bytes."""

_RUNNING_RETRY_AFTER_MS = 1000
"""Retry-After for the repeat of an operation that is still running, in milliseconds."""

_MIN_TABLE_FULL_RETRY_AFTER_S = 1.0
"""Lower bound of the Retry-After given while the table is full, in seconds."""


class Ticket(NamedTuple):
    """The parts of a ticket.

    Args:
        vm: Name of the home, an entry VM.
        incarnation: Incarnation of the home.
        number: Number of the ticket; the home numbers its tickets consecutively from 0.
        service: Name of the service that it was issued for.
        mac: Message authentication code in hexadecimal: proves that the home issued the ticket.
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
    """Parse the text of a ticket; returns None when it is malformed."""
    parts = text.split(_SEPARATOR)
    if len(parts) != len(Ticket._fields):
        return None
    vm, incarnation, number, service, mac = parts
    try:
        return Ticket(vm, int(incarnation, 16), int(number, 16), service, mac)
    except ValueError:
        # The request is then refused as `ticket-invalid`.
        return None


class Answer(NamedTuple):
    """A complete answer, kept for repeats of its request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim:
    """The right to run one operation, held by one request.

    `outcome` is None while the operation runs; `answer` is the complete answer while it is kept.

    Args:
        number: Number of the ticket.
        fingerprint: Text that tells apart different operations.
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
        expires_at: Monotonic time at which the lifetime of the tickets ends, in seconds.
        end: Number that follows that of the last ticket.
    """

    expires_at: float
    end: int


class _AnswerCache:
    """The answers kept for repeats; the oldest are evicted when the limit is exceeded.

    Args:
        max_bytes: Maximum total size of the bodies, in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.kept_bytes = 0
        self.claims: OrderedDict[int, Claim] = OrderedDict()

    def keep(self, claim: Claim, answer: Answer) -> None:
        """Store the answer of a claim that has none yet."""
        claim.answer = answer
        self.claims[claim.number] = claim
        self.kept_bytes += len(answer.body)
        while self.kept_bytes > self.max_bytes:
            self.drop(next(iter(self.claims)))

    def drop(self, number: int) -> None:
        """Drop the answer kept for a ticket, if any."""
        claim = self.claims.pop(number, None)
        if claim is not None and claim.answer is not None:
            self.kept_bytes -= len(claim.answer.body)
            claim.answer = None


class TicketTable:
    """Issues tickets and keeps the outcome of each.

    Args:
        vm: Name of this entry VM.
        incarnation: Incarnation of this process.
        key: Secret key of this process, which never leaves it.
        lifetime_s: Time after its issue within which a ticket may be used, in seconds.
        retention_s: Time after the lifetime for which the outcome is kept, in seconds.
        max_tickets: Maximum number of tickets in the table.
        max_answer_bytes: Maximum total size of the bodies of kept answers, in bytes.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        key: bytes,
        *,
        lifetime_s: float = TICKET_LIFETIME_S,
        retention_s: float = OUTCOME_RETENTION_S,
        max_tickets: int = MAX_TICKETS,
        max_answer_bytes: int = MAX_KEPT_ANSWER_BYTES,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self.retention_s = retention_s
        self.max_tickets = max_tickets
        self.claims: dict[int, Claim] = {}
        self._key = key
        self._batches: deque[_Batch] = deque()
        self._next_number = 0
        self._first_kept = 0
        self._answers = _AnswerCache(max_answer_bytes)

    def issue(self, service: str, count: int, now: float) -> Union[list[str], Refusal]:
        """Issue tickets.

        Args:
            service: Name of the service that the tickets are for.
            count: Number of tickets, from 1 to `MAX_TICKETS_PER_BATCH`.
            now: Monotonic time, in seconds.

        Returns:
            The texts of the tickets; or a refusal, with a Retry-After, when the table is full.
        """
        self._drop_past_retention(now)
        if self._next_number - self._first_kept + count > self.max_tickets:
            wait = self._batches[0].expires_at + self.retention_s - now
            return not_run(
                Reason.TICKET_TABLE_FULL, int(max(wait, _MIN_TABLE_FULL_RETRY_AFTER_S) * 1000)
            )
        start = self._next_number
        self._next_number += count
        self._batches.append(_Batch(now + self.lifetime_s, self._next_number))
        return [str(self._ticket(number, service)) for number in range(start, self._next_number)]

    def is_home(self, ticket: Ticket) -> bool:
        """Return whether this process is the home of a ticket."""
        return ticket.vm == self.vm and ticket.incarnation == self.incarnation

    def claim(
        self, ticket: Ticket, service: str, fingerprint: str, now: float
    ) -> Union[Claim, Answer, Refusal]:
        """Claim the right to run the operation of a ticket.

        Args:
            ticket: A ticket whose home is this process.
            service: Name of the service that is requested.
            fingerprint: Text that tells apart different operations.
            now: Monotonic time, in seconds.

        Returns:
            A claim, which the caller must settle; the answer of the earlier run; or a refusal.
        """
        if not self._is_authentic(ticket):
            return not_run(Reason.TICKET_INVALID)
        if ticket.service != service:
            return unknown(Reason.TICKET_REUSED)
        self._drop_past_retention(now)
        if ticket.number < self._first_kept:
            return unknown(Reason.TICKET_EXPIRED)
        claim = self.claims.get(ticket.number)
        if claim is not None:
            return self._answer_repeat(claim, fingerprint)
        if self._is_expired(ticket.number, now):
            return not_run(Reason.TICKET_EXPIRED)
        claim = self.claims[ticket.number] = Claim(ticket.number, fingerprint)
        return claim

    def close(self, ticket: Ticket, now: float) -> bool:
        """Invalidate a ticket if its operation has not run, so that it never runs.

        Args:
            ticket: A ticket whose home is this process.
            now: Monotonic time, in seconds.

        Returns:
            True when the operation certainly has not run and never will.
        """
        if not self._is_authentic(ticket):
            return True
        self._drop_past_retention(now)
        if ticket.number < self._first_kept:
            return False
        claim = self.claims.get(ticket.number)
        if claim is None:
            claim = self.claims[ticket.number] = Claim(ticket.number, "")
            self.settle(claim, Outcome.NOT_RUN)
        return claim.outcome is Outcome.NOT_RUN

    def settle(self, claim: Claim, outcome: Outcome, answer: Optional[Answer] = None) -> None:
        """Record the outcome of a claim, unless one is recorded already.

        Args:
            claim: The claim.
            outcome: Outcome of the operation; `NOT_RUN` only when that is certain. The ticket
                remains used in any case.
            answer: The complete answer, if it is small enough to be kept.
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

    def _is_authentic(self, ticket: Ticket) -> bool:
        known = self.is_home(ticket) and 0 <= ticket.number < self._next_number
        mac = self._mac(ticket.number, ticket.service)
        return known and hmac.compare_digest(mac.encode(), ticket.mac.encode())

    def _answer_repeat(self, claim: Claim, fingerprint: str) -> Union[Answer, Refusal]:
        if claim.outcome is Outcome.NOT_RUN:
            return not_run(Reason.ALREADY_REFUSED)
        if claim.fingerprint != fingerprint:
            return unknown(Reason.TICKET_REUSED)
        if claim.outcome is None:
            return unknown(Reason.ALREADY_RUNNING, _RUNNING_RETRY_AFTER_MS)
        return claim.answer or unknown(Reason.ALREADY_RAN)

    def _is_expired(self, number: int, now: float) -> bool:
        return any(batch.end > number and batch.expires_at <= now for batch in self._batches)

    def _drop_past_retention(self, now: float) -> None:
        """Drop tickets past their retention time, up to the first whose operation still runs."""
        while self._batches and self._batches[0].expires_at + self.retention_s <= now:
            end = self._batches[0].end
            while self._first_kept < end:
                claim = self.claims.get(self._first_kept)
                if claim is not None and claim.outcome is None:
                    return
                self.claims.pop(self._first_kept, None)
                self._answers.drop(self._first_kept)
                self._first_kept += 1
            self._batches.popleft()
