"""Judges which version of the configuration decided a request.

Owns two promises. CONFIG: a version is in force in time at entry VMs in touch with the store.
REGRESS: no process applies an older version after a newer one; no fault is an excuse for it.
"""

from collections.abc import Iterable
from http import HTTPStatus

from ..ledger import Attempt, End, Version
from .evidence import SLACK_S, Evidence

CONFIGURED_S = 2.0
"""Seconds until a configuration is in force. Bound `ConfigApply` of the platform's example."""

_REGRESS_S = 0.3
"""Seconds after which an older version must not be applied again.

Bound `Downgrade` of the platform's example, 0.25 s, and a margin of 0.05 s.
"""


def in_force(evidence: Evidence) -> None:
    """Judge that entry VMs in touch with the store decide by a version that may be in force."""
    for attempt in evidence.ledger.attempts:
        if not evidence.in_touch(attempt.vm, attempt.sent_at, attempt.sent_at):
            continue
        versions = may_be_in_force(evidence.ledger.versions, attempt)
        allowed = [version.services.get(attempt.route) for version in versions]
        for seen in evidence.runs_of(attempt):
            if seen.service not in allowed:
                what = f"{attempt.request_id} of {attempt.route} ran at {seen.service}"
                evidence.ledger.record_broken("CONFIG", f"{what}, allowed {allowed}")
        if attempt.status == HTTPStatus.NOT_FOUND and None not in allowed:
            evidence.ledger.record_broken(
                "CONFIG", f"{attempt.request_id} got 404, allowed {allowed}"
            )


def may_be_in_force(versions: list[Version], attempt: Attempt) -> Iterable[Version]:
    """Return the versions that may decide an attempt at an entry VM in touch with the store."""
    ends = [later.acknowledged_at for later in versions[1:]] + [float("inf")]
    late = CONFIGURED_S + SLACK_S
    return [
        version
        for version, end in zip(versions, ends, strict=True)
        if attempt.sent_at <= end + late and version.acknowledged_at <= attempt.ended_at
    ]


def never_older(evidence: Evidence) -> None:
    """Judge that no process reverts to an older version."""
    answered = [a for a in evidence.ledger.attempts if a.end is End.ANSWERED]
    for vm in {attempt.vm: None for attempt in answered}:
        start = float("-inf")
        for end in [at for at, _ in evidence.ledger.ends[vm]] + [float("inf")]:
            life = [a for a in answered if a.vm == vm and a.sent_at > start and a.ended_at < end]
            _judge_process(evidence, sorted(life, key=lambda attempt: attempt.ended_at))
            start = end


def _judge_process(evidence: Evidence, life: list[Attempt]) -> None:
    """Judge the attempts at one process, in the order in which they ended."""
    shown: list[tuple[float, int]] = []
    for attempt in life:
        floor = max((n for at, n in shown if at + _REGRESS_S < attempt.sent_at), default=0)
        fitting = _versions_that_fit(evidence, attempt)
        if fitting and max(fitting) < floor:
            what = f"{attempt.request_id} fits {max(fitting)}, shown {floor}"
            evidence.ledger.record_broken("REGRESS", what)
        if fitting:
            shown.append((attempt.ended_at, min(fitting)))


def _versions_that_fit(evidence: Evidence, attempt: Attempt) -> list[int]:
    """Return the numbers of the versions under which an attempt would end as it did."""
    seen = evidence.runs_of(attempt)
    service = seen[0].service if seen else None
    if not seen and attempt.status != HTTPStatus.NOT_FOUND:
        return []
    return [
        version.number
        for version in evidence.ledger.versions
        if version.services.get(attempt.route) == service
    ]
