"""Outcomes of a request: the three outcomes, the reasons of refusals and their HTTP statuses.

Owns the values that callers, operators and other VMs read; `docs/OPERATORS.md` explains each
reason. Relies on nothing. The modules that refuse requests decide which refusal a request gets.
"""

import enum
from typing import NamedTuple


class Outcome(enum.Enum):
    """What is known about whether a request has run, as told with its final answer."""

    ANSWERED = "answered"
    """The backend server's complete answer was sent."""
    NOT_RUN = "not-run"
    """It is certain that no byte of the request reached a backend server that could run it."""
    UNKNOWN = "unknown"
    """The request may have run."""


class Reason(enum.Enum):
    """Reason why a request or look-up was refused; see `docs/OPERATORS.md`."""

    NO_CONFIGURATION = "no-configuration"
    NO_SUCH_SERVICE = "no-such-service"
    UNKNOWN_CLIENT = "unknown-client"
    NO_ENTRY_VM = "no-entry-vm"
    NO_ROOM = "no-room"
    NO_BACKEND_SERVER = "no-backend-server"
    LINK_FULL = "link-full"
    LEAVING = "leaving"
    DEADLINE_PASSED = "deadline-passed"
    MALFORMED = "malformed"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_TABLE_FULL = "ticket-table-full"
    TICKET_HOME_LOST = "ticket-home-lost"
    TICKET_REUSED = "ticket-reused"
    ALREADY_RUNNING = "already-running"
    ALREADY_RAN = "already-ran"
    ALREADY_REFUSED = "already-refused"
    BACKEND_FAILED = "backend-failed"
    BACKEND_TIMEOUT = "backend-timeout"
    PEER_FAILED = "peer-failed"
    CALLER_LEFT = "caller-left"
    OVERLOADED_VM = "overloaded-vm"


class Refusal(NamedTuple):
    """A refusal, returned in place of a result inside the system.

    Args:
        outcome: `NOT_RUN` or `UNKNOWN`.
        reason: Reason of the refusal.
        retry_after_ms: Wait before a retry, in milliseconds; 0 when a retry cannot help.
    """

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0


def not_run(reason: Reason, retry_after_ms: int = 0) -> Refusal:
    """Build the refusal of a request that certainly did not run."""
    return Refusal(Outcome.NOT_RUN, reason, retry_after_ms)


def unknown(reason: Reason, retry_after_ms: int = 0) -> Refusal:
    """Build the refusal of a request that may have run."""
    return Refusal(Outcome.UNKNOWN, reason, retry_after_ms)


_STATUS = {
    Reason.NO_SUCH_SERVICE: 404,
    Reason.UNKNOWN_CLIENT: 404,
    Reason.MALFORMED: 400,
    Reason.TICKET_REQUIRED: 428,
    Reason.TICKET_INVALID: 409,
    Reason.TICKET_EXPIRED: 409,
    Reason.TICKET_REUSED: 409,
    Reason.ALREADY_RUNNING: 409,
    Reason.ALREADY_RAN: 409,
    Reason.ALREADY_REFUSED: 409,
    Reason.DEADLINE_PASSED: 504,
    Reason.BACKEND_TIMEOUT: 504,
    Reason.BACKEND_FAILED: 502,
    Reason.PEER_FAILED: 502,
    Reason.TICKET_HOME_LOST: 502,
}
"""HTTP status of each reason that does not use `_UNAVAILABLE`."""

_UNAVAILABLE = 503
"""HTTP status of all other reasons."""


def http_status(refusal: Refusal) -> int:
    """Return the HTTP status that carries a refusal to a caller."""
    return _STATUS.get(refusal.reason, _UNAVAILABLE)
