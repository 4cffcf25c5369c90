"""Judges that VMs follow the statements of servers: limits, leaving and `Retry-After`.

Owns the promises LIMIT and REST, and DRAIN for a server that states in its answers that it is
leaving. All are judged by the server's own record: what arrived, and what each answer stated to
which VM. Any trouble of a VM since the statement excuses it; an outage of the store does not.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterator
from typing import NamedTuple

from standins.scripted_server import Answered, ScriptedServer

from .evidence import CONTACT_S, SLACK_S, Evidence

_WINDOW_S = 4.0
"""Window of a limit, in seconds; this and the next four values are from the platform's pages."""

_LIMIT_FACTOR = 1.5
"""Factor by which a window may exceed a limit."""

_LIMIT_SLACK = 5
"""Further requests that may exceed it."""

_TOLD_S = 0.5
"""Seconds from a statement until it binds the VM that got it."""

_MAX_IN_REST = 2
"""Maximum number of requests that a VM may send in a rest."""

_DRAIN_S = 2.0
"""Seconds from a server's statement that it is leaving until the VM told sends nothing.

Bound `Drain` of the platform's example.
"""


class Arrival(NamedTuple):
    """One request that arrived at a server.

    Args:
        at: Time of arrival, in seconds.
        vm: Entry VM that forwarded it.
        sent_at: When the caller sent it, in seconds.
    """

    at: float
    vm: str
    sent_at: float


def follows_statements(evidence: Evidence) -> None:
    """Judge what each server stated of limits, rests and leaving."""
    attempts = {attempt.request_id: attempt for attempt in evidence.ledger.attempts}
    vm_of = {request_id: attempt.vm for request_id, attempt in attempts.items()}
    for server in evidence.stand_ins:
        arrivals = [
            Arrival(at, attempts[request_id].vm, attempts[request_id].sent_at)
            for at, request_id in server.arrived
            if request_id in attempts
        ]
        _judge_leaving(evidence, server, arrivals, vm_of)
        _judge_rests(evidence, server, arrivals, vm_of)
        _judge_limits(evidence, server, arrivals, vm_of)


def _judge_leaving(
    evidence: Evidence, server: ScriptedServer, arrivals: list[Arrival], vm_of: dict[str, str]
) -> None:
    told = _first_told(server.answered, vm_of, lambda answer: answer.leaving)
    for arrival in arrivals:
        since = told.get(arrival.vm, float("inf"))
        late_s = arrival.sent_at - since - _DRAIN_S - SLACK_S
        if late_s > 0 and evidence.ledger.vm_undisturbed(arrival.vm, since, arrival.at):
            what = f"{server.server_id} got a request sent {late_s:.2f} s late by {arrival.vm}"
            evidence.ledger.record_broken("DRAIN", what)


def _judge_rests(
    evidence: Evidence, server: ScriptedServer, arrivals: list[Arrival], vm_of: dict[str, str]
) -> None:
    for answer in server.answered:
        vm = vm_of.get(answer.request_id)
        if answer.rest_s is None or vm is None:
            continue
        end = answer.at + answer.rest_s
        sent = [a.at for a in arrivals if a.vm == vm and answer.at + _TOLD_S < a.at < end]
        if len(sent) > _MAX_IN_REST and evidence.ledger.vm_undisturbed(vm, answer.at, end):
            what = f"{server.server_id} got {len(sent)} requests in its rest from {vm}"
            evidence.ledger.record_broken("REST", what)


def _judge_limits(
    evidence: Evidence, server: ScriptedServer, arrivals: list[Arrival], vm_of: dict[str, str]
) -> None:
    for phase in _phases(server.answered):
        told = _first_told(phase, vm_of, lambda _: True)
        counted = sorted(
            arrival.at
            for arrival in arrivals
            if phase[0].at + CONTACT_S <= arrival.at <= phase[-1].at
            and told.get(arrival.vm, float("inf")) + _TOLD_S <= arrival.at
            and evidence.ledger.vm_undisturbed(arrival.vm, phase[0].at, arrival.at)
        )
        bound = _LIMIT_FACTOR * _WINDOW_S * max(a.limit_per_s or 0.0 for a in phase) + _LIMIT_SLACK
        for index, start in enumerate(counted):
            count = bisect_right(counted, start + _WINDOW_S) - index
            if count > bound:
                what = f"{server.server_id} got {count} in {_WINDOW_S} s, allowed are {bound:g}"
                evidence.ledger.record_broken("LIMIT", what)
                break


def _phases(answers: list[Answered]) -> Iterator[list[Answered]]:
    """Yield the sequences of consecutive answers that state the same limit."""
    phase: list[Answered] = []
    for answer in answers:
        if phase and answer.limit_per_s != phase[-1].limit_per_s:
            yield phase
            phase = []
        if answer.limit_per_s is not None:
            phase.append(answer)
    if phase:
        yield phase


def _first_told(
    answers: list[Answered], vm_of: dict[str, str], states: Callable[[Answered], bool]
) -> dict[str, float]:
    """Return when each VM got its first answer for which `states` is true."""
    told: dict[str, float] = {}
    for answer in answers:
        vm = vm_of.get(answer.request_id)
        if vm is not None and states(answer):
            told.setdefault(vm, answer.at)
    return told
