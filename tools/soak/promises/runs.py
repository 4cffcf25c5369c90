"""Judges where and how often requests ran, whatever faults occurred meanwhile.

Owns the promises TWICE, BUDGET, REFUSED and ROUTE, which have no time bound and which no fault
excuses.
"""

from ..configuration import ONCE
from .evidence import Evidence

_NOT_RUN = (408, 421, 429, 503)
"""Statuses which state that a request has not run and will not run."""

_MAX_RUNS = 2
"""Maximum runs of a request on a repeatable route: `MaxAttempts` in `configuration`."""


def at_most_once(evidence: Evidence) -> None:
    """Judge that no booking runs twice, and nothing else more often than its route allows."""
    for attempt in evidence.ledger.attempts:
        count = len(evidence.runs_of(attempt))
        if count > (1 if attempt.route in ONCE else _MAX_RUNS):
            rule = "TWICE" if attempt.route in ONCE else "BUDGET"
            evidence.ledger.record_broken(rule, f"{attempt.request_id} ran {count} times")


def refused_never_ran(evidence: Evidence) -> None:
    """Judge that requests refused as not run have not run."""
    for attempt in evidence.ledger.attempts:
        if attempt.status in _NOT_RUN and evidence.runs_of(attempt):
            what = f"{attempt.request_id} ran and got {attempt.status}"
            evidence.ledger.record_broken("REFUSED", what)


def right_service(evidence: Evidence) -> None:
    """Judge that requests run only at a service which some version assigns to their route."""
    for attempt in evidence.ledger.attempts:
        ever = {version.services.get(attempt.route) for version in evidence.ledger.versions}
        for seen in evidence.runs_of(attempt):
            if seen.service not in ever:
                evidence.ledger.record_broken(
                    "ROUTE", f"{attempt.request_id} ran at {seen.service}"
                )
