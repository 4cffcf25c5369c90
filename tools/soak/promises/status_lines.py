"""Judges what callers get whose request met an answer with a status that is none.

Owns the promise STATUS: the caller gets another server's answer or a failure at once; it neither
waits for the route's timeout nor loses its connection. An entry VM that lost its links to backend
servers meanwhile is excused, as the server that it asked next may have been silent.
"""

from http import HTTPStatus

from ..ledger import Attempt, End, Ledger
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
        if _had_links(ledger, attempt) and ledger.undisturbed(
            attempt.vm, attempt.sent_at, attempt.ended_at
        ):
            what = f"{attempt.request_id} at {attempt.vm} met an invalid status"
            ledger.record_broken("STATUS", f"{what}: {attempt.end}, status {attempt.status}")


def _had_links(ledger: Ledger, attempt: Attempt) -> bool:
    """Return whether the VM of an attempt had its links to backend servers all the time."""
    return not any(
        cut.vm == attempt.vm and cut.start <= attempt.ended_at and cut.end >= attempt.sent_at
        for cut in ledger.link_cuts
    )
