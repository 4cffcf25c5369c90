"""Decides whether a request crashes the backend servers that run it.

The question is whether a request that is sent again and again crashes the servers, or was only
present when they crashed. The evidence is, since the last success of an equal request: its runs at
servers that crashed, the crashes at which it was absent, and which other requests were present at
each crash. Times are monotonic, in seconds.

Two loads have to be told apart. In one, a single request crashes each server that runs it, beside
hundreds of requests that were present by chance. In the other, servers crash for reasons of their
own, one at a time, in series or a whole data hall at once, under requests that did nothing.

A request is refused after `MIN_CRASHES` consecutive runs that ended in a crash: each began after
the one before had ended, with a tolerance of `_SKEW_S`. A crash at which another request was
present that is refused already does not count. One more crash is needed for each incident in which
servers of the same service crashed without the request, and one more while another request was
present at all of the same crashes; `_MAX_EXTRA_CRASHES` in total.

One success clears a request, so a popular one never comes near the limit. Overlapping runs count
once, because servers that crash together have a common cause of their own. Where one of twelve
servers crashes every second and a request runs for half a second, a request that lost one server
and is retried at the next loses that one by chance in 3 of 100 cases: twice in a row is 1 in 1,000,
and the crashes without it raise the number that is needed. Of six requests that lost one of twelve
servers together with the crashing one, one in twenty meets it at the next two servers as well; the
next copy that runs alone tells them apart. Callers and operators tolerate up to six crashes, so the
limit stays below that.

A decision appears in the event `request-quarantined`. `test_gateway_crash_attribution` tests this
module. It holds no state and relies on what `crash_log` holds.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from .crash_log import Crash, CrashLog, SuspectRun

MIN_CRASHES = 3
"""Consecutive crashes under a request after which it is refused: what operators tolerate of one
request."""

MAX_CRASHES = 6
"""Servers that may crash under one request, its trials included, unless an operator releases it:
what operators tolerate, and three retries more. Copies in transit during the decision do not count.
"""

_MAX_EXTRA_CRASHES = 2
"""Upper bound on the crashes needed beyond `MIN_CRASHES`; it leaves one trial."""

_SKEW_S = 0.04
"""Error of times reported by another VM, in seconds: a report is on its way for up to 35 ms, so its
crash appears that much later than one that this VM saw itself."""

_MAX_INCIDENT_GAP_S = 0.25
"""Longest time between two crashes of one incident, in seconds: a data hall that loses power loses
all its servers within that time."""


class Assessment(NamedTuple):
    """The evidence against a request, as counts.

    Args:
        crashes: Consecutive runs of it that ended in a crash.
        needed: Number of such runs from which it is refused.
    """

    crashes: int
    needed: int

    @property
    def must_refuse(self) -> bool:
        """Whether the request has to be refused."""
        return self.crashes >= self.needed


def assess(
    log: CrashLog,
    fingerprint: bytes,
    refused: Collection[bytes] = (),
    *,
    until: float = float("inf"),
) -> Assessment:
    """Count the evidence against a request.

    Args:
        log: The known crashes and successes.
        fingerprint: Fingerprint of the request.
        refused: Fingerprints of requests that are refused already.
        until: Monotonic time of the last crash that counts, in seconds.

    Returns:
        The crashes under the request and how many are needed; no crashes when it is no suspect.
    """
    crashes = [
        crash
        for crash in log.crashes_of(fingerprint)
        if crash.at <= until and not _is_attributed(crash, fingerprint, refused)
    ]
    if not crashes:
        return Assessment(0, MIN_CRASHES)
    runs = [SuspectRun(crash.suspects[fingerprint].started, crash.at) for crash in crashes]
    crash_times_without = [
        crash.at
        for crash in _crashes_without(log, fingerprint, crashes, until)
        if not _is_attributed(crash, fingerprint, refused)
    ]
    extra = count_incidents(crash_times_without) + _has_co_suspect(fingerprint, crashes)
    return Assessment(count_consecutive(runs), MIN_CRASHES + min(_MAX_EXTRA_CRASHES, extra))


def _is_attributed(crash: Crash, fingerprint: bytes, refused: Collection[bytes]) -> bool:
    """Return whether a crash is attributed to another request that is refused already."""
    return any(name in refused for name in crash.suspects if name != fingerprint)


def _has_co_suspect(fingerprint: bytes, crashes: Sequence[Crash]) -> bool:
    """Return whether another request was present at all of some crashes."""
    shared = set(crashes[0].suspects)
    for crash in crashes[1:]:
        shared &= crash.suspects.keys()
    return bool(shared - {fingerprint})


def _crashes_without(
    log: CrashLog, fingerprint: bytes, crashes: Sequence[Crash], until: float
) -> list[Crash]:
    """Return the crashes of the same services from which a request was absent."""
    services = {crash.service for crash in crashes}
    since = min(crash.suspects[fingerprint].started for crash in crashes)
    return [
        crash
        for crash in log.crashes
        if crash.service in services
        and since <= crash.at <= until
        and fingerprint not in crash.suspects
    ]


def count_consecutive(runs: Iterable[SuspectRun]) -> int:
    """Return the most runs that can follow each other, each begun after the one before had ended.

    The allowed skew must not make servers that crash together count as consecutive.
    """
    count, ended = 0, float("-inf")
    for run in sorted(runs, key=lambda each: (each.ended, each.started)):
        if min(run.started + _SKEW_S, run.ended - _SKEW_S) >= ended:
            count, ended = count + 1, run.ended
    return count


def count_incidents(crashes: Iterable[float]) -> int:
    """Return the number of incidents, each of crashes at most `_MAX_INCIDENT_GAP_S` apart."""
    count, last = 0, float("-inf")
    for at in sorted(crashes):
        if at - last > _MAX_INCIDENT_GAP_S:
            count += 1
        last = at
    return count
