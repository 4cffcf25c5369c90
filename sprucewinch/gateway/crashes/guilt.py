"""Rule: whether a request crashes the backend servers that run it.

Question: is this request, which comes again and again, what ends the servers, or was it only there?
Inputs: its stays at servers whose processes ended, and the crashes at which it was not there, since
the last good end of an equal request; which other requests were there; monotonic times in seconds.

Load pattern: one request that ends each server that runs it, beside hundreds that were there by
chance; and servers that die by themselves, alone, in series or a data hall at a time, under
requests that have done nothing.

Rule: it is refused after `CRASHES` of its stays, each of which began after the one before had
ended, but for `_SKEW_S`. A crash at which a refused request was there does not count. One more is
needed for each time at which servers of the same service crashed without it, and one more while
another request was at all of the same crashes; `_MOST_MORE` in all.

Reason. One good end clears a request, so a popular one is never near the limit. Stays that overlap
count once, as servers that die together have a cause of their own. A request that lost one server
and is sent to the next dies there by chance with 3 in 100, where one of twelve servers dies every
second and it runs half a second: twice in a row is 1 in 1,000, and the deaths without it raise what
is needed. Of six requests that lose one of twelve servers with the sick one, one in twenty meets it
at the next two as well; the next copy that runs alone tells them apart. Callers and operators bear
up to six crashes, so the limit stays below.

Shows in: event `request-quarantined`. Tests: `test_gateway_guilt`. Owns nothing; relies on what
`crash_log` holds.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from .crash_log import Crash, CrashLog, SuspectRun

CRASHES = 3
"""Servers that end under a request, one after the other, before it is refused: what operators
bear of one request."""

MOST_CRASHES = 6
"""Servers that may end under one request, its trials included, unless an operator lets it go: what
operators bear, and three retries beyond. Copies that are on their way while it is judged are not
counted."""

_MOST_MORE = 2
"""Crashes beyond `CRASHES` that are needed at the most, which leaves one trial."""

_SKEW_S = 0.04
"""Error of times that another VM has reported, in seconds: a report is on its way for up to 35 ms,
and a crash seems as much later than this VM's own."""

_TOGETHER_S = 0.25
"""Crashes closer to each other than that count as one time, in seconds: a data hall that loses
power ends its servers within it."""


class Judgement(NamedTuple):
    """How a request stands.

    Args:
        crashes: Servers that ended under it, one after the other.
        needed: Crashes from which it is refused.
    """

    crashes: int
    needed: int

    @property
    def is_guilty(self) -> bool:
        """True when it is refused."""
        return self.crashes >= self.needed


def judge(
    log: CrashLog,
    fingerprint: bytes,
    refused: Collection[bytes] = (),
    *,
    until: float = float("inf"),
) -> Judgement:
    """Return how a request stands by the evidence.

    Args:
        log: The evidence.
        fingerprint: Names the request.
        refused: Other requests that are refused already.
        until: Monotonic time of the last crash that counts, in seconds.
    """
    crashes = [
        crash
        for crash in log.crashes_of(fingerprint)
        if crash.at <= until and not _explained(crash, fingerprint, refused)
    ]
    if not crashes:
        return Judgement(0, CRASHES)
    runs = [SuspectRun(crash.suspects[fingerprint].started, crash.at) for crash in crashes]
    without = [
        crash.at
        for crash in _without(log, fingerprint, crashes, until)
        if not _explained(crash, fingerprint, refused)
    ]
    more = times(without) + _has_companion(fingerprint, crashes)
    return Judgement(in_a_row(runs), CRASHES + min(_MOST_MORE, more))


def _explained(crash: Crash, fingerprint: bytes, refused: Collection[bytes]) -> bool:
    """Return whether another request that is refused was at a crash."""
    return any(name in refused for name in crash.suspects if name != fingerprint)


def _has_companion(fingerprint: bytes, crashes: Sequence[Crash]) -> bool:
    """Return whether another request was at all of some crashes."""
    shared = set(crashes[0].suspects)
    for crash in crashes[1:]:
        shared &= crash.suspects.keys()
    return bool(shared - {fingerprint})


def _without(
    log: CrashLog, fingerprint: bytes, crashes: Sequence[Crash], until: float
) -> list[Crash]:
    """Return the crashes of servers of the same services at which a request was not."""
    services = {crash.service for crash in crashes}
    since = min(crash.suspects[fingerprint].started for crash in crashes)
    return [
        crash
        for crash in log.crashes
        if crash.service in services
        and since <= crash.at <= until
        and fingerprint not in crash.suspects
    ]


def in_a_row(runs: Iterable[SuspectRun]) -> int:
    """Return how many runs there were at most, each begun after the one before had ended.

    With the skew that is allowed, servers that end together must not count as one after the other.
    """
    count, ended = 0, float("-inf")
    for run in sorted(runs, key=lambda each: (each.ended, each.started)):
        if min(run.started + _SKEW_S, run.ended - _SKEW_S) >= ended:
            count, ended = count + 1, run.ended
    return count


def times(crashes: Iterable[float]) -> int:
    """Return at how many times there were crashes; those close together are one."""
    count, last = 0, float("-inf")
    for at in sorted(crashes):
        if at - last > _TOGETHER_S:
            count += 1
        last = at
    return count
