"""Judges how processes end: only by a signal, in time, and without cutting requests off.

Owns the promises LOST, ENDS and GRACE. Their bounds count from the signals in the ledger.
"""

import signal
from collections import Counter
from http import HTTPStatus
from math import inf
from typing import Optional

from ..configuration import timeout_s
from ..ledger import START, Attempt, End, Ledger
from .evidence import CONTACT_S, GRACE_S, SLACK_S, Evidence

_LOST_S = 0.2
"""Age in seconds from which a stop may not cut a request off. Bound `Lost` of the example."""

_STOP_MARGIN_S = 1.0
"""Seconds after the grace that still belong to a stop. Bound of the platform's rules."""

_CUT_OFF = (End.CLOSED, End.UNREAD)
"""Ends of attempts whose connection closed without their answer."""

_MAY_HAVE_RUN = (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)
"""Statuses that an entry VM gives in the place of a server's answer."""

_EXCUSED_UNTIL_S = 3.0
"""Time from SIGTERM until which a request may be sent whose server is still at work in the last
part of the grace, in seconds. Bound of the platform's rules."""

_LAST_PART = 1 / 6
"""That part of the grace. Bound of the platform's rules."""

_MAX_CLOSED = 3
"""Number of connections that an entry VM may close in calm with a request that ran. Bound of the
platform's rules."""

_FAILED = 1
"""Exit status of a process that cannot start."""

_EXPECTED_ENDS = {int(signal.SIGTERM): 0, int(signal.SIGKILL): -int(signal.SIGKILL)}
"""Exit status of a process by the signal that ended it."""


def nothing_cut_off(evidence: Evidence) -> None:
    """Judge planned stops: an entry VM that has read a request answers it.

    One behind another on its connection counts as read once it has run.
    """
    for attempt in evidence.ledger.attempts:
        if attempt.end not in _CUT_OFF or not _stopping(evidence.ledger, attempt):
            continue
        if not evidence.without_faults(attempt.vm, attempt.sent_at, attempt.ended_at):
            continue
        ran = bool(evidence.runs_of(attempt))
        took = attempt.ended_at - attempt.whole_at
        if ran or (took > _LOST_S + SLACK_S and not attempt.behind):
            what = f"{attempt.request_id} at {attempt.vm}: closed after {took:.2f} s, ran {ran}"
            evidence.ledger.record_broken("LOST", what)


def breaks_off_no_work(evidence: Evidence) -> None:
    """Judge planned stops by both sides: an entry VM answers for no server that is at work.

    The exceptions are those of the platform's rules.
    """
    for attempt in evidence.ledger.attempts:
        if attempt.status not in _MAY_HAVE_RUN or not _stopping(evidence.ledger, attempt):
            continue
        if not evidence.without_faults(attempt.vm, attempt.sent_at, attempt.ended_at):
            continue
        stopped_at = _stopped_at(evidence.ledger, attempt)
        if stopped_at is None or _without_links(evidence.ledger, attempt):
            continue
        at_work = [seen for seen in evidence.runs_of(attempt) if seen.at_work(attempt.ended_at)]
        if at_work and not _excused(attempt, stopped_at):
            whole_s, ended_s, began_s = (
                at - stopped_at for at in (attempt.whole_at, attempt.ended_at, at_work[0].at)
            )
            what = (
                f"{attempt.request_id} at {attempt.vm}: whole {whole_s:.2f} s after SIGTERM, "
                f"{attempt.status} at {ended_s:.2f} s, while {at_work[0].server_id} was at work "
                f"since {began_s:.2f} s"
            )
            evidence.ledger.record_broken("LOST", what)


def _excused(attempt: Attempt, stopped_at: float) -> bool:
    """Return whether the rules excuse that a server's work was broken off."""
    if attempt.ended_at - attempt.sent_at >= timeout_s(attempt.route):
        return True
    late = attempt.ended_at >= stopped_at + GRACE_S * (1 - _LAST_PART)
    return late and attempt.whole_at - stopped_at <= _EXCUSED_UNTIL_S


def _stopped_at(ledger: Ledger, attempt: Attempt) -> Optional[float]:
    """Return when the process that took an attempt first got SIGTERM; None if it did not."""
    started = max((at for at, _ in ledger.ends[attempt.vm] if at <= attempt.sent_at), default=-inf)
    signals = (at for at, number in ledger.signalled[attempt.vm] if number == signal.SIGTERM)
    return min((at for at in signals if started < at <= attempt.ended_at), default=None)


def _without_links(ledger: Ledger, attempt: Attempt) -> bool:
    """Return whether the entry VM of an attempt lost its links to servers near it."""
    return any(
        cut.vm == attempt.vm
        and cut.start <= attempt.ended_at
        and attempt.sent_at <= cut.end + CONTACT_S
        for cut in ledger.link_cuts
    )


def closes_no_connection(evidence: Evidence) -> None:
    """Judge that VMs in touch close no connections on which a request has run without an answer."""
    closed = Counter(
        attempt.vm
        for attempt in evidence.ledger.attempts
        if attempt.end in _CUT_OFF
        and evidence.runs_of(attempt)
        and evidence.in_touch(attempt.vm, attempt.sent_at, attempt.ended_at)
    )
    for vm, count in closed.items():
        if count > _MAX_CLOSED:
            what = f"{vm} closed {count} connections in calm without the answer of what ran"
            evidence.ledger.record_broken("LOST", what)


def _stopping(ledger: Ledger, attempt: Attempt) -> bool:
    """Return whether an attempt ended while its entry VM stopped as planned."""
    stops = (at for at, number in ledger.signalled[attempt.vm] if number == signal.SIGTERM)
    return any(attempt.ended_at >= at > attempt.sent_at - GRACE_S - _STOP_MARGIN_S for at in stops)


def no_end_of_its_own(evidence: Evidence) -> None:
    """Judge that each process ended by a signal that it got, with the exit status for it."""
    ledger = evidence.ledger
    for vm, ends in ledger.ends.items():
        for at, status in ends:
            if status == -signal.SIGTERM and _starting(ledger, vm, at):
                continue
            if status == _FAILED and _could_not_start(ledger, vm, at):
                continue
            signals = [number for sent_at, number in ledger.signalled[vm] if sent_at <= at]
            if status not in [_EXPECTED_ENDS[n] for n in signals if n in _EXPECTED_ENDS]:
                ledger.record_broken(
                    "ENDS", f"{vm} ended with status {status}, which no signal explains"
                )


def _starting(ledger: Ledger, vm: str, at: float) -> bool:
    """Return whether an entry VM was starting, when its signal handlers may not be set yet."""
    starts = (s for s in ledger.troubles if s.what == START and s.scope == vm)
    return any(s.start <= at <= s.end + SLACK_S for s in starts)


def _could_not_start(ledger: Ledger, vm: str, at: float) -> bool:
    """Return whether an entry VM ended in a start that may have met unreadable settings."""
    return any(
        span.what == START
        and span.scope == vm == unreadable.vm
        and span.start <= at <= span.end + SLACK_S
        and unreadable.start <= at
        and span.start <= unreadable.end
        for span in ledger.troubles
        for unreadable in ledger.unreadable_settings
    )


def stops_in_time(evidence: Evidence) -> None:
    """Judge that a process has ended within its grace after SIGTERM."""
    ledger = evidence.ledger
    for vm, signalled in ledger.signalled.items():
        for sent_at, number in signalled:
            late = sent_at + GRACE_S + SLACK_S
            if number != signal.SIGTERM or not evidence.without_faults(vm, sent_at, late):
                continue
            after = [at for at, _ in ledger.ends[vm] if at >= sent_at]
            if late < evidence.ended_at and (not after or after[0] > late):
                ledger.record_broken("GRACE", f"{vm} was still running {GRACE_S} s after SIGTERM")
