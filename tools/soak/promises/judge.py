"""All checks at the end of a day.

Owns the list of checks; `answers` judges each answer as soon as it arrives.
"""

from collections.abc import Callable

from ..ledger import Broken
from .configuration import in_force, never_older
from .crashing import rarely_forwarded
from .evidence import Evidence
from .large_answers import lost_ones_come_back, memory_is_bounded
from .leavings import no_requests_after_bound
from .limits import cold_servers_are_spared, retries_within_budget
from .links import served_without_links
from .recovery import recovers
from .runs import at_most_once, refused_never_ran, right_service
from .statements import follows_statements
from .status_lines import invalid_statuses_fail_at_once
from .stops import (
    breaks_off_no_work,
    closes_no_connection,
    no_end_of_its_own,
    nothing_cut_off,
    stops_in_time,
)
from .waiting import held_no_longer
from .workspaces import known_keys, own_name, within_limits

_CHECKS: tuple[Callable[[Evidence], None], ...] = (
    at_most_once,
    refused_never_ran,
    right_service,
    in_force,
    never_older,
    no_requests_after_bound,
    nothing_cut_off,
    breaks_off_no_work,
    closes_no_connection,
    held_no_longer,
    no_end_of_its_own,
    stops_in_time,
    recovers,
    rarely_forwarded,
    own_name,
    known_keys,
    within_limits,
    follows_statements,
    lost_ones_come_back,
    memory_is_bounded,
    invalid_statuses_fail_at_once,
    served_without_links,
    cold_servers_are_spared,
    retries_within_budget,
)


def judge(evidence: Evidence) -> list[Broken]:
    """Run all checks on a day, and return every broken promise, those of answers included."""
    for check in _CHECKS:
        check(evidence)
    return evidence.ledger.broken
