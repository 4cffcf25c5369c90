"""Rule: what a caller finally gets, and when it may come back.

Question: which status, reason and Retry-After end a request? Inputs: the request with its attempts,
its route if any, why no server served it, a random source; times in seconds. Rule: a server's own
answer is passed on, its own failure too once other servers failed as well. Otherwise 503
with Retry-After promises that the request has not run and never will; as soon as a server may have
run it, it gets 504 or 502, which promise nothing. A reason stands for one status.

Why so: callers repeat requests that must not run twice after a promise only, so a false promise
runs them twice. Retry-After is spread at random here, so that callers that are refused together do
not return together; where a server had no room, `return_times` says when it has.

Constants: `RETRY_AFTER_RANGE_S`, `STARTING_RETRY_AFTER_S`, `NO_MEMORY_RETRY_AFTER_S`, the statuses.
Shows in: event `request`, `outcome` and `status`; counters `requests_…`. Tests:
tests/test_gateway_request_rules.py, tests/test_gateway_pipeline.py, tests/test_formats_gateway.py.

Requests that are known to be unservable, and what each gets today:

- No server is allowed, or all servers are cold past this VM's allowance: 503 `no-server` at once,
  with a Retry-After from the range, which does not look at when the allowance allows one more.
- All servers take nothing by their own word, as they limit themselves or rest: 503 `no-server` at
  once, with the time at which the first one takes a request, one caller after the other. Where all
  leave: 503 `no-server` with a Retry-After from the range, as nobody knows when another comes.
- No server has room: 503 `no-room` after the wait of `room`, with the Retry-After of
  `return_times`, or from the range where nothing is known of the server's times.
- The deadline is over, or less of it is left than any answer takes (`time_left`): 503
  `no-time` at once when nothing was sent, else 504 `timeout` at once.
- No configuration yet: 503 `no-configuration` at once, with a fixed Retry-After.
- Equal requests crash the servers that run them: 503 `crashes-servers` at once, with the time until
  it is tried again, which may be an hour. True, as this one has not run; longer than callers wait,
  so that it invites nobody before.
- Its API key is missing or unknown: 401 `unknown-key` at once, before its body is read; where this
  VM may not know the newest keys, 503 `behind`.
- Its workspace has sent as much as it may: 429 `over-quota`, with the time at which one more may be
  sent. Where no VM that knows can be asked: 503 `no-quota`.
- Its route and its workspace allow no region in common: 503 `no-region` at once.
- No memory for its body: 503 `no-room` at once, with a fixed Retry-After.
"""

import random
from typing import Optional

from ...crashes.held import Held
from ...resources import Route
from ..client_request import Attempt, ClientRequest, RefusalReason, Reply, Verdict

RETRY_AFTER_RANGE_S = (0.25, 0.75)
"""Range of Retry-After when nothing says when there will be room, in seconds: spread, so that
callers refused together do not return together, and late enough that there may be room."""

STARTING_RETRY_AFTER_S = 0.3
"""Retry-After of a VM that has no configuration yet, in seconds."""

NO_MEMORY_RETRY_AFTER_S = 1.0
"""Retry-After of a request whose body finds no memory, in seconds."""

LEAST_TRIAL_RETRY_AFTER_S = 1.0
"""Least Retry-After of a request that crashes servers, in seconds: its trial may be due, and wait
for the store."""

_RETRY_AFTER_DIGITS = 3
"""Decimal places of Retry-After, in seconds: a millisecond."""

SERVICE_UNAVAILABLE = 503
"""HTTP status of a refusal that promises that the request did not run; set by the HTTP standard and
by what callers do with it."""

_STATUS = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.OVER_QUOTA: 429,
    RefusalReason.MALFORMED: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.TIMEOUT: 504,
    RefusalReason.FAILED: 502,
}
"""HTTP status of each reason that is not 503, by the HTTP standard: 502 and 504 promise nothing."""


def passed_on(attempt: Attempt, route: Route) -> Reply:
    """Return the reply that passes a server's own answer on."""
    assert attempt.answer is not None
    return Reply(attempt.answer, None, attempt.answer.status, route=route)


def refused(refusal: RefusalReason, rng: random.Random, route: Optional[Route] = None) -> Reply:
    """Return this VM's own answer for a reason.

    Args:
        refusal: Why no server's answer is passed on.
        rng: Spreads Retry-After; drawn from once for a 503, and not while there is no
            configuration.
        route: Route of the request, if any.
    """
    status = _STATUS.get(refusal, SERVICE_UNAVAILABLE)
    retry_after_s = _retry_after_s(refusal, rng) if status == SERVICE_UNAVAILABLE else None
    return Reply(None, refusal, status, retry_after_s, route)


def refused_until(refusal: RefusalReason, retry_after_s: float) -> Reply:
    """Return this VM's own answer to a request that may come back at a known time.

    Args:
        refusal: Why it is refused.
        retry_after_s: Time from now, in seconds.
    """
    status = _STATUS.get(refusal, SERVICE_UNAVAILABLE)
    return Reply(None, refusal, status, round(retry_after_s, _RETRY_AFTER_DIGITS))


def refused_for_good(refusal: RefusalReason) -> Reply:
    """Return the answer to a request that would be refused again: too large, or malformed."""
    return Reply(None, refusal, _STATUS[refusal])


def refused_for_memory() -> Reply:
    """Return the answer to a request whose body finds no memory."""
    return Reply(None, RefusalReason.NO_ROOM, SERVICE_UNAVAILABLE, NO_MEMORY_RETRY_AFTER_S)


def not_served(
    request: ClientRequest, route: Route, refusal: RefusalReason, rng: random.Random
) -> Reply:
    """Return the final answer of a request that is not sent any more; never a false promise.

    Args:
        request: The request.
        route: Its route.
        refusal: Why it is not sent.
        rng: Spreads Retry-After.
    """
    for attempt in request.attempts:
        if attempt.verdict is Verdict.ANSWERED:
            return passed_on(attempt, route)
    return refused(_true_reason(request, refusal), rng, route)


def without_route(request: ClientRequest, refusal: RefusalReason, rng: random.Random) -> Reply:
    """Return the final answer of a request whose route or workspace is there no longer.

    Args:
        request: The request.
        refusal: Why it is not sent.
        rng: Spreads Retry-After.
    """
    return refused(_true_reason(request, refusal), rng)


def trial_in_s(held: Held, now: float) -> float:
    """Return Retry-After of a request that crashes servers, in seconds: when it is tried again.

    Args:
        held: Why it is refused.
        now: Monotonic time, in seconds.
    """
    return round(max(LEAST_TRIAL_RETRY_AFTER_S, held.retry_after_s(now)), 1)


def stopped(request: ClientRequest, rng: random.Random) -> Reply:
    """Return the final answer of a request that is given up because the process ends."""
    may_run = request.at_server or request.possible_runs()
    return refused(RefusalReason.FAILED if may_run else RefusalReason.STOPPING, rng)


def _true_reason(request: ClientRequest, refusal: RefusalReason) -> RefusalReason:
    """Return a reason whose status promises no more than is certain."""
    timed_out = refusal in (RefusalReason.TIMEOUT, RefusalReason.NO_TIME)
    if request.possible_runs():
        return RefusalReason.TIMEOUT if timed_out else RefusalReason.FAILED
    return RefusalReason.NO_TIME if timed_out else refusal


def _retry_after_s(refusal: RefusalReason, rng: random.Random) -> float:
    if refusal is RefusalReason.NO_CONFIGURATION:
        return STARTING_RETRY_AFTER_S
    return rng.uniform(*RETRY_AFTER_RANGE_S)
