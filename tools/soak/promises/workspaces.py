"""Judges workspaces: the name under which requests ran, their keys, and their limits.

Owns the promises UNASKED, KEY and QUOTA. Only KEY is limited to VMs in touch with the store, since
a revoked key may go on working elsewhere; the other two always hold.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from http import HTTPStatus

from ..configuration import QUOTA_OVER, QUOTA_SLACK, WORKSPACES, first_key
from ..ledger import Version
from .configuration import CONFIGURED_S, may_be_in_force
from .evidence import SLACK_S, Evidence

_WINDOW_S = 5.0
"""Window of a limit, in seconds. Bound `QuotaWindow` of the platform's example."""


def own_name(evidence: Evidence) -> None:
    """Judge that requests ran under the name of their key's workspace, and without the key."""
    for attempt in evidence.ledger.attempts:
        for seen in evidence.runs_of(attempt):
            if seen.workspace != workspace_of(attempt.key) or seen.key_shown:
                what = f"{attempt.request_id} ran as {seen.workspace!r}"
                evidence.ledger.record_broken("UNASKED", what)


def known_keys(evidence: Evidence) -> None:
    """Judge that VMs in touch with the store accept no revoked key and refuse no valid one."""
    for attempt in evidence.ledger.attempts:
        if not attempt.key:
            continue
        versions = may_be_in_force(evidence.ledger.versions, attempt)
        known = [attempt.key in version.keys for version in versions]
        in_touch = evidence.in_touch(attempt.vm, attempt.sent_at, attempt.sent_at)
        if in_touch and evidence.runs_of(attempt) and not any(known):
            evidence.ledger.record_broken("KEY", f"{attempt.request_id} ran under a revoked key")
        if in_touch and attempt.status == HTTPStatus.UNAUTHORIZED and all(known):
            evidence.ledger.record_broken("KEY", f"{attempt.request_id} got 401 with a valid key")


def within_limits(evidence: Evidence) -> None:
    """Judge that no workspace exceeded its limit in any window, over all VMs."""
    times: dict[str, list[float]] = defaultdict(list)
    for attempt in evidence.ledger.attempts:
        if evidence.runs_of(attempt):
            times[workspace_of(attempt.key)].append(attempt.sent_at)
    for name, sent in times.items():
        if name:
            _judge_limit(evidence, name, sorted(sent))


def _judge_limit(evidence: Evidence, name: str, sent: list[float]) -> None:
    for index, start in enumerate(sent):
        count = bisect_right(sent, start + _WINDOW_S) - index
        rate = max(_rates(evidence.ledger.versions, name, start))
        bound = (rate * _WINDOW_S + rate) * (1 + QUOTA_OVER) + QUOTA_SLACK
        if count > bound:
            evidence.ledger.record_broken(
                "QUOTA",
                f"{name} ran {count} in {_WINDOW_S} s, allowed are {bound:g}",
            )
            return


def _rates(versions: list[Version], name: str, start: float) -> Iterator[float]:
    """Yield the limits of a workspace that may apply within a window.

    A lowered limit applies one window after it is in force everywhere.
    """
    ends = [later.acknowledged_at for later in versions[1:]] + [float("inf")]
    late = CONFIGURED_S + _WINDOW_S + SLACK_S
    for version, end in zip(versions, ends, strict=True):
        if version.acknowledged_at <= start + _WINDOW_S and start <= end + late:
            yield version.rates_per_s.get(name, float("inf"))


def workspace_of(key: str) -> str:
    """Return the workspace of an API key; empty for none."""
    return next((name for name in WORKSPACES if key.startswith(first_key(name))), "")
