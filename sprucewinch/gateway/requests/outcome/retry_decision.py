"""Decides whether a request is retried after an attempt, and why.

The inputs are the request with its attempts, its route, and the last attempt. A server's own answer
is final unless it reports a failure of the server and the route is repeatable. A request that may
have run is retried only if its route is repeatable and allows one more run; one that did not run
may be retried on any route.

A retry after bytes were sent takes one retry from the budget. An unreachable server costs none, as
it got no work. Servers that crashed refuse connections at once, so the next one is tried as long as
little time was spent on unreachable ones. Their number is bounded as well, so that a service whose
servers are all gone is refused at once; `choice.server_selection` tries fewer when none is usable.
A server that left before it got a byte costs none and does not count as an attempt: it is not
offered again, so there are at most as many of these as servers. After `MAX_CONSECUTIVE_CRASHES`
crashes in a row the next server is not tried, as it may crash too.

Running a request twice that must not run twice is worse than failing it, and retries that grow with
failures overload a fleet that is already loaded. The budget is checked last, so that it is spent
only on retries that take place: a decision says that it costs one, and `without_budget` gives the
decision when none is left. Neither holds state.

Decisions are logged in the event `request` as `sends` and `outcome`, and counted in
`repeats_after_…`. The tests are in tests/test_gateway_request_rules.py,
tests/test_gateway_pipeline.py (`SpoiltAnswers`, `Repeats`, `OwnFailures`, `Departures`) and
tests/test_gateway_quarantine.py (`Refusals`).
"""

import enum
from typing import NamedTuple, Optional

from ...resources import Route
from ..client_request import (
    NOT_OFFERED,
    QUARANTINED,
    STOPPING,
    TIMED_OUT,
    Attempt,
    ClientRequest,
    RefusalReason,
    Verdict,
)

MAX_UNREACHABLE_S = 1.0
"""Time spent on unreachable servers from which no further one is tried, in seconds: a caller whose
servers are silent and not refusing is told before long."""

MAX_UNREACHABLE_SERVERS = 16
"""Largest number of unreachable servers that one request tries."""

MAX_CONSECUTIVE_CRASHES = 2
"""Number of servers in a row, at this VM or others, that crash while they run a request or an equal
one, from which it is not retried here. One crash is usually caused by another request; two in a row
are with a probability of 3 in 100 (`crashes.crash_attribution`)."""

SERVER_FAILED_STATUS = 500
"""Lowest HTTP status that reports a failure of the server, by the HTTP standard."""


class RetryReason(enum.Enum):
    """Why a request is retried or not."""

    SERVER_ANSWERED = "server-answered"
    """The server's own answer reports no failure."""
    FAILURE_IS_FINAL = "failure-is-final"
    """The server failed, and the route is not repeatable or allows no more runs."""
    SERVER_FAILED = "server-failed"
    """The server failed, and another one may be tried."""
    TIME_IS_UP = "time-is-up"
    """The attempt ended at the end of the request's hold time."""
    MAY_HAVE_RUN = "may-have-run"
    """The request may have run, and the route is not repeatable or allows no more runs."""
    NOT_OFFERED = "not-offered"
    """The server left before a byte was sent, and another one may be available."""
    UNREACHABLE = "unreachable"
    """The server could not be reached, and another one may be reachable."""
    TOO_MANY_UNREACHABLE = "too-many-unreachable"
    """Too many servers could not be reached, or too much time was spent on them."""
    TOO_MANY_ATTEMPTS = "too-many-attempts"
    """The request was sent more often than the route lets it run."""
    NOT_ANSWERED = "not-answered"
    """The request was sent and not answered, and may be retried."""
    MAY_CRASH_ANOTHER = "may-crash-another"
    """Servers crashed while they ran the request, and the next one may crash too."""
    BUDGET_SPENT = "budget-spent"
    """The request may be retried, but this VM's retry budget is used up."""


class RetryDecision(NamedTuple):
    """Whether a request is retried.

    Args:
        retry: True when it is retried.
        reason: Why it is retried or not.
        refusal: Why the request ends with an answer of this VM's own; None when it is retried or
            the server's own answer is forwarded.
        uses_budget: True when the retry is taken from the retry budget.
    """

    retry: bool
    reason: RetryReason
    refusal: Optional[RefusalReason] = None
    uses_budget: bool = False


_SERVER_ANSWERED = RetryDecision(False, RetryReason.SERVER_ANSWERED)
_FAILURE_IS_FINAL = RetryDecision(False, RetryReason.FAILURE_IS_FINAL)
_SERVER_FAILED = RetryDecision(True, RetryReason.SERVER_FAILED, uses_budget=True)
_TIME_IS_UP = RetryDecision(False, RetryReason.TIME_IS_UP, RefusalReason.TIMEOUT)
_MAY_HAVE_RUN = RetryDecision(False, RetryReason.MAY_HAVE_RUN, RefusalReason.FAILED)
_NOT_OFFERED = RetryDecision(True, RetryReason.NOT_OFFERED)
_UNREACHABLE = RetryDecision(True, RetryReason.UNREACHABLE)
_TOO_MANY_UNREACHABLE = RetryDecision(
    False, RetryReason.TOO_MANY_UNREACHABLE, RefusalReason.NO_SERVER
)
_TOO_MANY_ATTEMPTS = RetryDecision(False, RetryReason.TOO_MANY_ATTEMPTS, RefusalReason.NO_ROOM)
_MAY_CRASH_ANOTHER = RetryDecision(False, RetryReason.MAY_CRASH_ANOTHER, RefusalReason.FAILED)
_NOT_ANSWERED = RetryDecision(True, RetryReason.NOT_ANSWERED, uses_budget=True)

_WITHOUT_BUDGET = {
    Verdict.ANSWERED: RetryDecision(False, RetryReason.BUDGET_SPENT),
    Verdict.NOT_RUN: RetryDecision(False, RetryReason.BUDGET_SPENT, RefusalReason.NO_ROOM),
    Verdict.UNKNOWN: RetryDecision(False, RetryReason.BUDGET_SPENT, RefusalReason.FAILED),
}


def decide_retry(request: ClientRequest, route: Route, attempt: Attempt) -> RetryDecision:
    """Return whether a request is retried, provided that the retry budget allows it.

    Args:
        request: The request, whose attempts include the last one.
        route: Its route.
        attempt: Its last attempt.
    """
    if attempt.verdict is Verdict.ANSWERED:
        return _after_answer(request, route, attempt)
    if attempt.cause == TIMED_OUT:
        return _TIME_IS_UP
    if attempt.verdict is Verdict.UNKNOWN and not _may_run_again(request, route):
        return _MAY_HAVE_RUN
    if not attempt.may_have_arrived:
        return _after_unsent_attempt(request, attempt)
    if sum(earlier.may_have_arrived for earlier in request.attempts) > route.max_attempts:
        return _TOO_MANY_ATTEMPTS
    return _NOT_ANSWERED


def after_crash(crashes: int, *, on_trial: bool) -> Optional[RetryDecision]:
    """Return the decision on a request whose server crashed; None where `decide_retry` decides.

    Args:
        crashes: Number of servers in a row that crashed while they ran it or equal requests.
        on_trial: True when it was sent although equal requests have crashed servers.
    """
    return _MAY_CRASH_ANOTHER if on_trial or crashes >= MAX_CONSECUTIVE_CRASHES else None


def without_budget(attempt: Attempt) -> RetryDecision:
    """Return the decision on a request that may be retried when the retry budget is used up."""
    return _WITHOUT_BUDGET[attempt.verdict]


def _after_answer(request: ClientRequest, route: Route, attempt: Attempt) -> RetryDecision:
    assert attempt.answer is not None
    if attempt.answer.status < SERVER_FAILED_STATUS:
        return _SERVER_ANSWERED
    return _SERVER_FAILED if _may_run_again(request, route) else _FAILURE_IS_FINAL


def _after_unsent_attempt(request: ClientRequest, attempt: Attempt) -> RetryDecision:
    if attempt.cause in (NOT_OFFERED, QUARANTINED, STOPPING):
        # The request starts again from the first step: another server may be available, and a
        # request that is quarantined, or too late for a stop, is refused there.
        return _NOT_OFFERED
    unreachable = request.unreachable_attempts()
    spent_s = sum(earlier.seconds for earlier in unreachable)
    if len(unreachable) < MAX_UNREACHABLE_SERVERS and spent_s < MAX_UNREACHABLE_S:
        return _UNREACHABLE
    return _TOO_MANY_UNREACHABLE


def _may_run_again(request: ClientRequest, route: Route) -> bool:
    return route.repeatable and request.possible_runs() < route.max_attempts
