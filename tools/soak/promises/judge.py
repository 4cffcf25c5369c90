"""All checks at the end of a day.

Owns the list of checks; `answers` judges each answer as soon as it arrives.
"""

from collections.abc import Callable

from ..ledger import Broken
from .configuration import in_force, never_older
from .crashing import sent_on_rarely
from .evidence import Evidence
from .leavings import left_alone
from .recovery import recovers
from .runs import at_most_once, refused_never_ran, right_service
from .statements import keeps_statements
from .stops import no_end_of_its_own, nothing_cut_off, stops_in_time
from .waiting import held_no_longer
from .workspaces import known_keys, own_name, within_limits

_CHECKS: tuple[Callable[[Evidence], None], ...] = (
    at_most_once,
    refused_never_ran,
    right_service,
    in_force,
    never_older,
    left_alone,
    nothing_cut_off,
    held_no_longer,
    no_end_of_its_own,
    stops_in_time,
    recovers,
    sent_on_rarely,
    own_name,
    known_keys,
    within_limits,
    keeps_statements,
)


def judge(evidence: Evidence) -> list[Broken]:
    """Run all checks on a day, and return every broken promise, those of answers included."""
    for check in _CHECKS:
        check(evidence)
    return evidence.ledger.broken
