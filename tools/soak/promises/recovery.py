"""Judges that the deployment recovers after the last trouble of a day.

Owns the promise RECOVER.
"""

from collections import Counter
from http import HTTPStatus

from ..configuration import STANDING_ROUTES
from .evidence import Evidence

_SERVED_PART = 0.8
"""Fraction of the requests after the last trouble that must be served."""


def recovers(evidence: Evidence) -> None:
    """Judge that most requests on standing routes are served at the end of the day."""
    ledger = evidence.ledger
    last = [
        attempt
        for attempt in ledger.attempts
        if attempt.sent_at > ledger.quiet_from and attempt.route in STANDING_ROUTES
    ]
    served = sum(attempt.status == HTTPStatus.OK for attempt in last)
    if not last or served < _SERVED_PART * len(last):
        others = Counter(
            f"{a.status or a.end} at {a.vm}" for a in last if a.status != HTTPStatus.OK and a.end
        )
        what = f"{served} of {len(last)} served after the last trouble; {dict(others)}"
        ledger.record_broken("RECOVER", what)
