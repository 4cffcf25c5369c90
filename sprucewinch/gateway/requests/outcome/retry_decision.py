"""Rule: whether a request is sent again after an attempt, and why.

Question: is the attempt's end final, or may another server be tried? Inputs: the request with its
attempts, its route, the last attempt. Rule: a server's own answer is final unless it says that the
server failed and the route is repeatable. A request that may have run is sent again only where its
route is repeatable and allows one more run; one that was not run may be sent again on any route. A
retry after bytes were sent costs one of the retry budget; a server that could not be reached costs
none, as it got no work, but only a few are tried. One that left before it got a byte costs nothing
and is not counted: it is offered no more, so there are as many of these as servers at most. After
`MOST_CRASHES_OF_A_TRY` crashes in a row the next server is not tried: it may crash too.

Why so: a repeat of a request that must not run twice is worse than a failure, and retries that grow
with failures bring a loaded fleet down. The budget is asked last, so that it is spent on retries
that take place; a decision says that it costs one, and `without_budget` is the decision when none
is left. Neither holds state.

Constants: `MAX_UNREACHABLE`, `MOST_CRASHES_OF_A_TRY`, `SERVER_FAILED_STATUS`, each with its ground
below it.
Shows in: event `request`, `sends` and `outcome`; counters `repeats_after_…`. Tests:
tests/test_gateway_request_rules.py, tests/test_gateway_pipeline.py (`SpoiltAnswers`, `Repeats`,
`OwnFailures`, `Departures`), tests/test_gateway_quarantine.py (`Refusals`).
"""

import enum
from typing import NamedTuple, Optional

from ...resources import Route
from ..client_request import (
    NOT_OFFERED,
    QUARANTINED,
    TIMED_OUT,
    UNREACHABLE,
    Attempt,
    ClientRequest,
    RefusalReason,
    Verdict,
)

MAX_UNREACHABLE = 3
"""How many servers that cannot be reached one request tries."""

MOST_CRASHES_OF_A_TRY = 2
"""Servers that may crash under a request, at this VM or others, before a crash is its end here: one
crash is most often another request's, two in a row are with 3 in 100 (in `crashes.guilt`)."""

SERVER_FAILED_STATUS = 500
"""Lowest HTTP status that states a failure of the server, by the HTTP standard."""


class RetryReason(enum.Enum):
    """Why a request is sent again or not."""

    SERVER_ANSWERED = "server-answered"
    """The server's own answer is no failure."""
    FAILURE_IS_FINAL = "failure-is-final"
    """The server failed, and the route is not repeatable or the request has run often enough."""
    SERVER_FAILED = "server-failed"
    """The server failed, and another one may be tried."""
    TIME_IS_UP = "time-is-up"
    """The attempt ended at the time until which the request is held."""
    MAY_HAVE_RUN = "may-have-run"
    """It may have run, and the route is not repeatable or it has run often enough."""
    NOT_OFFERED = "not-offered"
    """The server left before a byte was sent, and another one may be offered."""
    UNREACHABLE = "unreachable"
    """The server could not be reached, and another one may be."""
    TOO_MANY_UNREACHABLE = "too-many-unreachable"
    """As many servers as one request tries could not be reached."""
    TOO_MANY_ATTEMPTS = "too-many-attempts"
    """It was sent more often than the route lets it run."""
    NOT_ANSWERED = "not-answered"
    """It was sent and not answered, and may be sent again."""
    MAY_CRASH_ANOTHER = "may-crash-another"
    """Servers crashed under it, and the next one may."""
    BUDGET_SPENT = "budget-spent"
    """It might be sent again, but this VM has no retry left."""


class RetryDecision(NamedTuple):
    """Whether a request is sent again.

    Args:
        again: True when it is sent again.
        reason: Why.
        refusal: Why it ends, when it ends with an answer of this VM's own; None when it is sent
            again or the server's own answer is passed on.
        costs_retry: True when sending it again takes one of the retry budget.
    """

    again: bool
    reason: RetryReason
    refusal: Optional[RefusalReason] = None
    costs_retry: bool = False


_PASS_ON = RetryDecision(False, RetryReason.SERVER_ANSWERED)
_PASS_FAILURE_ON = RetryDecision(False, RetryReason.FAILURE_IS_FINAL)
_AFTER_FAILURE = RetryDecision(True, RetryReason.SERVER_FAILED, costs_retry=True)
_TIME_IS_UP = RetryDecision(False, RetryReason.TIME_IS_UP, RefusalReason.TIMEOUT)
_MAY_HAVE_RUN = RetryDecision(False, RetryReason.MAY_HAVE_RUN, RefusalReason.FAILED)
_NOT_OFFERED = RetryDecision(True, RetryReason.NOT_OFFERED)
_UNREACHABLE = RetryDecision(True, RetryReason.UNREACHABLE)
_TOO_MANY_UNREACHABLE = RetryDecision(
    False, RetryReason.TOO_MANY_UNREACHABLE, RefusalReason.NO_SERVER
)
_TOO_MANY_ATTEMPTS = RetryDecision(False, RetryReason.TOO_MANY_ATTEMPTS, RefusalReason.NO_ROOM)
_MAY_CRASH_ANOTHER = RetryDecision(False, RetryReason.MAY_CRASH_ANOTHER, RefusalReason.FAILED)
_NOT_ANSWERED = RetryDecision(True, RetryReason.NOT_ANSWERED, costs_retry=True)

_WITHOUT_BUDGET = {
    Verdict.ANSWERED: RetryDecision(False, RetryReason.BUDGET_SPENT),
    Verdict.NOT_RUN: RetryDecision(False, RetryReason.BUDGET_SPENT, RefusalReason.NO_ROOM),
    Verdict.UNKNOWN: RetryDecision(False, RetryReason.BUDGET_SPENT, RefusalReason.FAILED),
}


def decide_retry(request: ClientRequest, route: Route, attempt: Attempt) -> RetryDecision:
    """Return whether a request is sent again, as far as the retry budget allows it.

    Args:
        request: The request, the attempt included.
        route: Its route.
        attempt: Its last attempt.
    """
    if attempt.verdict is Verdict.ANSWERED:
        return _after_answer(request, route, attempt)
    if attempt.verdict is Verdict.UNKNOWN:
        if attempt.why == TIMED_OUT:
            return _TIME_IS_UP
        if not _may_run_again(request, route):
            return _MAY_HAVE_RUN
    if not attempt.arrived:
        return _after_no_byte(request, attempt)
    if sum(earlier.arrived for earlier in request.attempts) > route.max_attempts:
        return _TOO_MANY_ATTEMPTS
    return _NOT_ANSWERED


def after_crash(crashes: int, *, on_trial: bool) -> Optional[RetryDecision]:
    """Return the decision on a request whose server crashed; None where the others decide.

    Args:
        crashes: Servers that crashed under it and equal ones, one after the other.
        on_trial: True when it was sent although equal ones have crashed servers.
    """
    return _MAY_CRASH_ANOTHER if on_trial or crashes >= MOST_CRASHES_OF_A_TRY else None


def without_budget(attempt: Attempt) -> RetryDecision:
    """Return the decision on a request that would cost a retry when none is left."""
    return _WITHOUT_BUDGET[attempt.verdict]


def _after_answer(request: ClientRequest, route: Route, attempt: Attempt) -> RetryDecision:
    assert attempt.answer is not None
    if attempt.answer.status < SERVER_FAILED_STATUS:
        return _PASS_ON
    return _AFTER_FAILURE if _may_run_again(request, route) else _PASS_FAILURE_ON


def _after_no_byte(request: ClientRequest, attempt: Attempt) -> RetryDecision:
    if attempt.why in (NOT_OFFERED, QUARANTINED):
        # Looked at anew: another server may be offered, and one in quarantine is refused there.
        return _NOT_OFFERED
    unreached = sum(earlier.why == UNREACHABLE for earlier in request.attempts)
    return _UNREACHABLE if unreached < MAX_UNREACHABLE else _TOO_MANY_UNREACHABLE


def _may_run_again(request: ClientRequest, route: Route) -> bool:
    return route.repeatable and request.possible_runs() < route.max_attempts
