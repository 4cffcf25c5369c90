"""Judges what callers get whose request met an answer with a status that is none.

Owns the promise STATUS: the caller gets another server's answer or a failure at once; it neither
waits for the route's timeout nor loses its connection.
"""

from http import HTTPStatus

from ..ledger import End
from .evidence import Evidence


def invalid_statuses_fail_at_once(evidence: Evidence) -> None:
    """Judge the requests that met an invalid status at an entry VM that nothing disturbed."""
    ledger = evidence.ledger
    for attempt in ledger.attempts:
        if attempt.request_id not in ledger.invalid_statuses or attempt.end is None:
            continue
        timed_out = attempt.status == HTTPStatus.GATEWAY_TIMEOUT
        if not timed_out and attempt.end is not End.CLOSED:
            continue
        if ledger.undisturbed(attempt.vm, attempt.sent_at, attempt.ended_at):
            what = f"{attempt.request_id} at {attempt.vm} met an invalid status"
            ledger.record_broken("STATUS", f"{what}: {attempt.end}, status {attempt.status}")
