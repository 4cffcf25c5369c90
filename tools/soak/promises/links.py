"""Judges that callers of entry VMs without links to backend servers are served.

Owns the promise LINKS.
"""

from http import HTTPStatus

from ..configuration import STANDING_ROUTES
from ..ledger import Attempt, LinkCut
from .evidence import CONTACT_S, Evidence

_SERVED_PART = 2 / 3
"""Requests that such a VM serves for each one that the others serve. Bound of the platform's rules.
"""

_ALLOWED_FAILURES, _ALLOWED_PART = 10, 1 / 50
"""Failures that are allowed in any case: a number, and a part of all attempts. Bounds of the same
rule."""

_RECOVERED_AFTER_S = 1.5
"""Time after a cut from which a VM counts as having links, in seconds."""

_MIN_ATTEMPTS = 10
"""Attempts on each side from which a cut is judged."""


def served_without_links(evidence: Evidence) -> None:
    """Judge that a VM without links serves its callers, from `CONTACT_S` after the loss on."""
    for cut in evidence.ledger.link_cuts:
        own, others = _attempts(evidence, cut)
        if min(len(own), len(others)) < _MIN_ATTEMPTS:
            continue
        failed = sum(attempt.status != HTTPStatus.OK for attempt in own)
        too_many = failed > _ALLOWED_FAILURES + _ALLOWED_PART * len(own)
        if too_many and _served(own) < _SERVED_PART * _served(others):
            what = (
                f"{cut.vm} without links served {_served(own):.2f} of {len(own)}, "
                f"others {_served(others):.2f} of {len(others)}"
            )
            evidence.ledger.record_broken("LINKS", what)


def _attempts(evidence: Evidence, cut: LinkCut) -> tuple[list[Attempt], list[Attempt]]:
    """Return the attempts at the VM of a cut, while others had links, and those at the others."""
    own: list[Attempt] = []
    others: list[Attempt] = []
    for attempt in evidence.ledger.attempts:
        in_time = cut.start + CONTACT_S < attempt.sent_at < cut.end
        if not in_time or attempt.end is None or attempt.route not in STANDING_ROUTES:
            continue
        if not evidence.ledger.vm_undisturbed(attempt.vm, cut.start, attempt.sent_at):
            continue
        linked = _linked(evidence, attempt)
        if attempt.vm == cut.vm and linked:
            own.append(attempt)
        elif attempt.vm in linked:
            others.append(attempt)
    return own, others


def _linked(evidence: Evidence, attempt: Attempt) -> set[str]:
    """Return the VMs that had links and no trouble of their own while an attempt lasted."""
    since, until = attempt.sent_at - _RECOVERED_AFTER_S, attempt.ended_at
    ledger = evidence.ledger
    cut = {c.vm for c in ledger.link_cuts if c.start <= until and since <= c.end}
    vms = {each.vm for each in ledger.attempts}
    return {vm for vm in vms - cut if ledger.vm_undisturbed(vm, since - CONTACT_S, until)}


def _served(attempts: list[Attempt]) -> float:
    return sum(attempt.status == HTTPStatus.OK for attempt in attempts) / len(attempts)
