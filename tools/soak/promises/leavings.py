"""Judges that backend servers that leave, or whose data hall is evacuated, are left alone.

Owns the promises DRAIN and EVAC; each leaving in the ledger names its own, with its bound.
"""

from ..ledger import Attempt
from .evidence import SLACK_S, Evidence, Seen


def left_alone(evidence: Evidence) -> None:
    """Judge that entry VMs in touch send nothing to a server once its bound has passed."""
    by_id = {attempt.request_id: attempt for attempt in evidence.ledger.attempts}
    for request_id, runs in evidence.runs.items():
        attempt = by_id.get(request_id)
        for seen in runs:
            rule = _broken_by(evidence, attempt, seen) if attempt is not None else ""
            if rule:
                what = f"{request_id} reached {seen.server_id} at {seen.at:.2f}"
                evidence.ledger.breaks(rule, what)


def _broken_by(evidence: Evidence, attempt: Attempt, seen: Seen) -> str:
    """Return the promise that a run breaks by where it was; empty for none."""
    for leaving in evidence.ledger.leavings:
        if leaving.server_id != seen.server_id:
            continue
        from_s = leaving.acknowledged_at + leaving.allowed_s + SLACK_S
        in_touch = evidence.in_touch(attempt.vm, leaving.acknowledged_at, seen.at)
        if from_s < seen.at < leaving.until and in_touch:
            return leaving.rule
    return ""
