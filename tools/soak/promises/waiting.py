"""Judges how long callers wait for an answer.

Owns the promise HELD, whose bound follows the timeout of the routes.
"""

from ..configuration import timeout_s
from .evidence import SLACK_S, Evidence

_HELD_S = 0.5
"""Seconds after a route's timeout when an answer is late. Bound of the platform's rules."""


def held_no_longer(evidence: Evidence) -> None:
    """Judge that no caller waits much longer than its route's timeout."""
    for attempt in evidence.ledger.attempts:
        if attempt.end is None:
            continue
        limit = timeout_s(attempt.route) + _HELD_S + SLACK_S
        took = attempt.ended_at - attempt.sent_at
        if took > limit and evidence.without_faults(
            attempt.vm, attempt.sent_at, attempt.sent_at + limit
        ):
            waits = [
                wait.waited_s
                for wait in evidence.ledger.waits
                if wait.vm == attempt.vm and attempt.sent_at <= wait.at <= attempt.ended_at
            ]
            what = (
                f"{attempt.request_id} at {attempt.vm} took {took:.2f} s, "
                f"in which that VM waited {sum(waits):.2f} s for a processor"
            )
            evidence.ledger.record_broken("HELD", what)
