"""Judges where and how often requests ran, whatever struck meanwhile.

Owns the promises TWICE, BUDGET, REFUSED and ROUTE: they have no time bound and excuse nobody.
"""

from ..configuration import BOOK
from .evidence import Evidence

_NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and will not run."""

_MOST_RUNS = 2
"""Runs of one request on a repeatable route: `MaxAttempts` of the routes in `configuration`."""


def at_most_once(evidence: Evidence) -> None:
    """Judge that no booking runs twice, and nothing else more often than its route allows."""
    for attempt in evidence.ledger.attempts:
        count = len(evidence.runs_of(attempt))
        if count > (1 if attempt.route == BOOK else _MOST_RUNS):
            rule = "TWICE" if attempt.route == BOOK else "BUDGET"
            evidence.ledger.breaks(rule, f"{attempt.request_id} ran {count} times")


def refused_never_ran(evidence: Evidence) -> None:
    """Judge that what was refused as not run has not run."""
    for attempt in evidence.ledger.attempts:
        if attempt.status in _NOT_RUN and evidence.runs_of(attempt):
            what = f"{attempt.request_id} ran and got {attempt.status}"
            evidence.ledger.breaks("REFUSED", what)


def right_service(evidence: Evidence) -> None:
    """Judge that requests run only at a service that some version gave their route."""
    for attempt in evidence.ledger.attempts:
        ever = {version.services.get(attempt.route) for version in evidence.ledger.versions}
        for seen in evidence.runs_of(attempt):
            if seen.service not in ever:
                evidence.ledger.breaks("ROUTE", f"{attempt.request_id} ran at {seen.service}")
