"""Judges that draining backend servers and those of an evacuated data hall get no requests.

Owns the promises DRAIN and EVAC; each `Leaving` in the ledger names its promise and bound.
"""

from ..ledger import Attempt
from .evidence import SLACK_S, Evidence, Seen


def no_requests_after_bound(evidence: Evidence) -> None:
    """Judge that entry VMs in touch with the store send a server nothing after its bound."""
    by_id = {attempt.request_id: attempt for attempt in evidence.ledger.attempts}
    for request_id, runs in evidence.runs.items():
        attempt = by_id.get(request_id)
        for seen in runs:
            rule = _broken_by(evidence, attempt, seen) if attempt is not None else ""
            if rule:
                what = f"{request_id} reached {seen.server_id} at {seen.at:.2f}"
                evidence.ledger.record_broken(rule, what)


def _broken_by(evidence: Evidence, attempt: Attempt, seen: Seen) -> str:
    """Return the promise that a run breaks by reaching its server; empty for none."""
    for leaving in evidence.ledger.leavings:
        if leaving.server_id != seen.server_id:
            continue
        from_s = leaving.acknowledged_at + leaving.allowed_s + SLACK_S
        in_touch = evidence.in_touch(attempt.vm, leaving.acknowledged_at, seen.at)
        if from_s < seen.at < leaving.until and in_touch:
            return leaving.rule
    return ""
