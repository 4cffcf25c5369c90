"""Judges large answers: lost ones are fetched again, and unread ones fill no entry VM's memory.

Owns the promises DOWNLOAD and MEMORY.
"""

from http import HTTPStatus

from ..configuration import DOWNLOADS
from .evidence import Evidence

_MAX_FAILED_PART = 0.25
"""Fraction of the lost downloads that may fail all the same, as retries have a budget."""

_MAX_FAILED = 1
"""Number of lost downloads that may always fail."""

_MAX_GROWTH_MB = 100.0
"""Memory in MiB that callers who do not read may cost an entry VM: a third of what it has."""


def lost_ones_come_back(evidence: Evidence) -> None:
    """Judge that a download whose answer a server lost is fetched from another one."""
    came_back = []
    for attempt in evidence.ledger.attempts:
        runs = sorted(evidence.runs_of(attempt), key=lambda run: run.at)
        if attempt.route != DOWNLOADS or attempt.end is None or not runs or not runs[0].lost:
            continue
        if any(run.lost for run in runs[1:]):
            continue
        if evidence.without_faults(attempt.vm, attempt.sent_at, attempt.ended_at):
            came_back.append(attempt.status == HTTPStatus.OK)
    failed = came_back.count(False)
    if failed > max(_MAX_FAILED, _MAX_FAILED_PART * len(came_back)):
        what = f"{failed} of {len(came_back)} downloads whose answer was lost did not come back"
        evidence.ledger.record_broken("DOWNLOAD", what)


def memory_is_bounded(evidence: Evidence) -> None:
    """Judge that callers who read slowly or not at all cost an entry VM bounded memory."""
    for use in evidence.ledger.memory:
        if use.most_mb - use.before_mb > _MAX_GROWTH_MB:
            what = f"{use.vm} grew from {use.before_mb:.0f} to {use.most_mb:.0f} MiB"
            evidence.ledger.record_broken("MEMORY", what)
