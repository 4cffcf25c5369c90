"""Decides the final answer to a caller, and when the caller may retry.

A server's own answer is forwarded, and so is its own failure once other servers have failed too.
Otherwise this VM answers. A 503 with Retry-After promises that the request has not run and never
will; once a server may have run it, the answer is 504 or 502, which promise nothing. Each reason
has one status. The inputs are the request with its attempts, its route if any, the reason why no
server served it, and a random source; times are in seconds.

Callers repeat requests that must not run twice only after such a promise, so a false promise would
run them twice. Retry-After is random, so that callers that are refused together do not retry
together; where a server had no room, `return_times` computes it.

The answer is logged in the event `request` as `outcome` and `status`, and counted in `requests_…`.
The tests are in tests/test_gateway_request_rules.py, tests/test_gateway_pipeline.py and
tests/test_formats_gateway.py.

Requests that are known to be unservable get these answers:

- No server is allowed, or all servers are cold and this VM's allowance for them is used up: 503
  `no-server` at once, with a Retry-After from the range; it does not take into account when the
  allowance permits one more.
- All servers have stated that they accept no requests, by a rate limit or a requested pause: 503
  `no-server` at once, with the time at which the first one accepts a request, one caller after the
  other. If all servers are leaving: 503 `no-server` with a Retry-After from the range, as it is not
  known when another one joins.
- No server has room: 503 `no-room` after the wait of `room` or `admission`, with the Retry-After of
  `return_times`, or from the range if the server's latency is not known.
- The deadline has passed, or less time is left than any answer takes (`time_left`): 503 `no-time`
  at once if nothing was sent, otherwise 504 `timeout` at once.
- No configuration yet: 503 `no-configuration` at once, with a fixed Retry-After.
- Equal requests crash the servers that run them: 503 `crashes-servers` at once, with the time until
  the next trial, which may be an hour. The promise holds, as this request has not run; the time is
  longer than callers wait, so it invites no retry before the trial.
- Its API key is missing or unknown: 401 `unknown-key` at once, before its body is read; if this VM
  may not have the newest keys, 503 `behind`.
- Its workspace has used up its quota: 429 `over-quota`, with the time at which one more request may
  be sent. If no VM that owns the quota can be asked: 503 `no-quota`.
- Its route and its workspace have no allowed region in common: 503 `no-region` at once.
- No memory for its body: 503 `no-room` at once, with a fixed Retry-After.
"""

import random
from typing import Optional

from ...crashes.quarantine_entry import QuarantineEntry
from ...resources import Route
from ..client_request import Attempt, ClientRequest, RefusalReason, Reply, Verdict

RETRY_AFTER_RANGE_S = (0.25, 0.75)
"""Range of Retry-After when it is not known when there will be room. It is random so that callers
that are refused together do not retry together, and long enough that there may be room by then."""

STARTING_RETRY_AFTER_S = 0.3
"""Retry-After of a VM that has no configuration yet."""

NO_MEMORY_RETRY_AFTER_S = 1.0
"""Retry-After of a request for whose body there is no memory."""

MIN_TRIAL_RETRY_AFTER_S = 1.0
"""Shortest Retry-After of a request that crashes servers: its trial may be due and still waiting
for the store."""

_RETRY_AFTER_DIGITS = 3
"""Decimal places of Retry-After, which is in seconds: milliseconds."""

SERVICE_UNAVAILABLE = 503
"""HTTP status of a refusal that promises that the request did not run. The HTTP standard defines
it, and callers act on it."""

_STATUS = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.OVER_QUOTA: 429,
    RefusalReason.MALFORMED: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.TIMEOUT: 504,
    RefusalReason.FAILED: 502,
}
"""HTTP status of each reason other than 503, by the HTTP standard; 502 and 504 promise nothing."""


_REFUSED_FOR_GOOD = frozenset(
    _STATUS[reason]
    for reason in (
        RefusalReason.NO_ROUTE,
        RefusalReason.UNKNOWN_KEY,
        RefusalReason.MALFORMED,
        RefusalReason.TOO_LARGE,
    )
)
"""Statuses of requests that are refused before they are sent."""

_PROMISES_NOT_RUN = (SERVICE_UNAVAILABLE, _STATUS[RefusalReason.OVER_QUOTA])
"""Statuses of this system's own answers that promise that the request has not run and never will.
"""


def promises_not_run(status: int) -> bool:
    """Return whether an entry VM's own answer of a status promises that the request did not run."""
    return status in _PROMISES_NOT_RUN or status in _REFUSED_FOR_GOOD


def forwarded(attempt: Attempt, route: Route) -> Reply:
    """Return the reply that forwards a server's own answer."""
    assert attempt.answer is not None
    return Reply(attempt.answer, None, attempt.answer.status, route=route)


def refused(refusal: RefusalReason, rng: random.Random, route: Optional[Route] = None) -> Reply:
    """Return this VM's own answer for a reason.

    Args:
        refusal: Why no server's answer is forwarded.
        rng: Source of a random Retry-After; used once for a 503, except while there is no
            configuration.
        route: Route of the request, if any.
    """
    status = _STATUS.get(refusal, SERVICE_UNAVAILABLE)
    retry_after_s = _retry_after_s(refusal, rng) if status == SERVICE_UNAVAILABLE else None
    return Reply(None, refusal, status, retry_after_s, route)


def refused_with_retry_after(refusal: RefusalReason, retry_after_s: float) -> Reply:
    """Return this VM's own answer to a request that may be retried at a known time.

    Args:
        refusal: Why it is refused.
        retry_after_s: Time from now, in seconds.
    """
    status = _STATUS.get(refusal, SERVICE_UNAVAILABLE)
    return Reply(None, refusal, status, round(retry_after_s, _RETRY_AFTER_DIGITS))


def refused_for_good(refusal: RefusalReason) -> Reply:
    """Return the answer to a request that a retry cannot help: it is too large or malformed."""
    return Reply(None, refusal, _STATUS[refusal])


def refused_for_lack_of_memory() -> Reply:
    """Return the answer to a request for whose body there is no memory."""
    return Reply(None, RefusalReason.NO_ROOM, SERVICE_UNAVAILABLE, NO_MEMORY_RETRY_AFTER_S)


def not_served(
    request: ClientRequest, route: Route, refusal: RefusalReason, rng: random.Random
) -> Reply:
    """Return the final answer of a request that is not sent again; it never promises too much.

    Args:
        request: The request.
        route: Its route.
        refusal: Why it is not sent.
        rng: Source of a random Retry-After.
    """
    for attempt in request.attempts:
        if attempt.verdict is Verdict.ANSWERED:
            return forwarded(attempt, route)
    return refused(_certain_reason(request, refusal), rng, route)


def without_route(request: ClientRequest, refusal: RefusalReason, rng: random.Random) -> Reply:
    """Return the final answer of a request whose route or workspace no longer exists.

    Args:
        request: The request.
        refusal: Why it is not sent.
        rng: Source of a random Retry-After.
    """
    return refused(_certain_reason(request, refusal), rng)


def trial_in_s(entry: QuarantineEntry, now: float) -> float:
    """Return the Retry-After of a request that crashes servers, in seconds: when its trial is due.

    Args:
        entry: Its quarantine.
        now: Monotonic time, in seconds.
    """
    return round(max(MIN_TRIAL_RETRY_AFTER_S, entry.retry_after_s(now)), 1)


def stopped(request: ClientRequest, rng: random.Random) -> Reply:
    """Return the final answer of a request that is abandoned because the process ends."""
    reason = RefusalReason.FAILED if request.may_have_run else RefusalReason.STOPPING
    return refused(reason, rng)


def _certain_reason(request: ClientRequest, refusal: RefusalReason) -> RefusalReason:
    """Return the reason for the refusal whose status promises no more than is certain."""
    timed_out = refusal in (RefusalReason.TIMEOUT, RefusalReason.NO_TIME)
    if request.possible_runs():
        return RefusalReason.TIMEOUT if timed_out else RefusalReason.FAILED
    return RefusalReason.NO_TIME if timed_out else refusal


def _retry_after_s(refusal: RefusalReason, rng: random.Random) -> float:
    if refusal is RefusalReason.NO_CONFIGURATION:
        return STARTING_RETRY_AFTER_S
    return rng.uniform(*RETRY_AFTER_RANGE_S)
