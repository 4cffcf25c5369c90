"""Judges one day of the soak by what callers and backend servers saw.

Owns the checks and their bounds. Each check reads the ledger and the runs at the stand-ins and
records a broken promise; none looks into a process of the system. A check that has a time bound
leaves out entry VMs that a fault struck shortly before, as the ledger has it. Tests:
`tests/test_soak.py`.
"""

import signal
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import NamedTuple

from standins.scripted_server import Run

from .backend_servers import body_of
from .configuration import BOOK, RATES, ROUTE_TIMEOUT_S
from .ledger import EVERYBODY, Attempt, Broken, End, Ledger, Version
from .world import World

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and will not run."""

_FAULT = HTTPStatus.INTERNAL_SERVER_ERROR
"""Status that no part of the system gives of its own."""

_FORBIDDEN = (400, 401, 403, 404, 413, 431)
"""Statuses that the requests of these callers never deserve on routes that always exist."""

_CONFIGURED_S = 2.0
"""Seconds until a configuration is in force. Bound `ConfigApply` of the platform's example."""

_CONTACT_S = 3.0
"""Seconds without a fault until time bounds hold. Bound `Contact` of the platform's example."""

_OUTER_S = 5.0
"""Seconds by which a fault of the store stretches bounds. Bound `Outer` of the same example."""

_GRACE_S = 6.0
"""Seconds from SIGTERM to the kill. Bound `Grace` of the platform's example."""

_HELD_S = 0.5
"""Seconds beyond a route's timeout until an answer is late. Bound of the platform's rules."""

_LOST_S = 0.2
"""Seconds after which a stop must not cut a request off. Bound `Lost` of the platform's example."""

_REGRESS_S = 0.3
"""Seconds after which an older version must not show again.

Bound `Downgrade` of the platform's example, 0.25 s, and a margin of 0.05 s, which is a guess, never
measured.
"""

_SLACK_S = 0.4
"""Seconds added to bounds for late readings of the soak's own clock. A guess, never measured."""

_MOST_RUNS = 2
"""Runs of one request on a repeatable route: `MaxAttempts` of the routes in `world`."""

_SERVED_PART = 0.8
"""Part of the requests after the last fault that must be served. A guess, never measured."""

_STOP_MARGIN_S = 1.0
"""Seconds beyond the grace that still belong to a stop. Bound of the platform's rules."""

_EXPECTED_ENDS = {int(signal.SIGTERM): 0, int(signal.SIGKILL): -int(signal.SIGKILL)}
"""Exit status of a process by the signal that ended it."""


class Seen(NamedTuple):
    """One run of a request at a backend server."""

    server_id: str
    service: str
    at: float


class Promises:
    """Judges one day.

    Args:
        world: The day.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.ledger: Ledger = world.ledger
        self.runs: dict[str, list[Seen]] = {}

    def answered(self, attempt: Attempt, body: bytes, headers: Mapping[str, str]) -> None:
        """Judge an answer as it comes."""
        if attempt.status == HTTPStatus.OK:
            run = Run(attempt.request_id, "", "", b"", {}, 0.0)
            signature = headers.get("X-Response-Signature", "")
            if body != body_of(run) or not signature.endswith(f".{attempt.request_id}"):
                self.ledger.breaks("MIXED", f"{attempt.request_id} got {body[:60]!r}")
        elif attempt.status in _FORBIDDEN and attempt.route in (RATES, BOOK):
            self.ledger.breaks("DENIED", f"{attempt.request_id} got {attempt.status}")
        elif attempt.status == _FAULT and "X-Response-Signature" not in headers:
            self.ledger.breaks("FAULT", f"{attempt.request_id} at {attempt.vm} got {_FAULT:d}")
        elif attempt.status == HTTPStatus.SERVICE_UNAVAILABLE and "Retry-After" not in headers:
            self.ledger.breaks("COME BACK", f"{attempt.request_id} is not told when to come back")

    def judge(self) -> list[Broken]:
        """Judge the whole day; returns all promises that were broken."""
        self.runs = self._gather_runs()
        for check in (
            self._at_most_once,
            self._refused_never_ran,
            self._right_service,
            self._in_force,
            self._never_older,
            self._left_alone,
            self._nothing_cut_off,
            self._held_no_longer,
            self._no_end_of_its_own,
            self._recovers,
        ):
            check()
        return self.ledger.broken

    def _gather_runs(self) -> dict[str, list[Seen]]:
        runs: dict[str, list[Seen]] = defaultdict(list)
        for server in self.world.backends.ever():
            for run in server.stand_in.runs:
                seen = Seen(server.stand_in.server_id, server.service, run.at)
                runs[run.request_id].append(seen)
        return runs

    def _at_most_once(self) -> None:
        for attempt in self.ledger.attempts:
            count = len(self.runs.get(attempt.request_id, ()))
            if count > (1 if attempt.route == BOOK else _MOST_RUNS):
                rule = "TWICE" if attempt.route == BOOK else "BUDGET"
                self.ledger.breaks(rule, f"{attempt.request_id} ran {count} times")

    def _refused_never_ran(self) -> None:
        for attempt in self.ledger.attempts:
            if attempt.status in NOT_RUN and attempt.request_id in self.runs:
                what = f"{attempt.request_id} ran and got {attempt.status}"
                self.ledger.breaks("REFUSED", what)

    def _right_service(self) -> None:
        for attempt, seen in self._attempts_with_runs():
            ever = {version.services.get(attempt.route) for version in self.ledger.versions}
            if seen.service not in ever:
                self.ledger.breaks("ROUTE", f"{attempt.request_id} ran at {seen.service}")

    def _in_force(self) -> None:
        for attempt in self.ledger.attempts:
            start = attempt.sent_at - _CONTACT_S - _OUTER_S
            if not self.ledger.undisturbed(attempt.vm, start, attempt.sent_at):
                continue
            allowed = [v.services.get(attempt.route) for v in self._may_be_in_force(attempt)]
            for seen in self.runs.get(attempt.request_id, ()):
                if seen.service not in allowed:
                    what = f"{attempt.request_id} of {attempt.route} ran at {seen.service}"
                    self.ledger.breaks("CONFIG", f"{what}, allowed {allowed}")
            if attempt.status == HTTPStatus.NOT_FOUND and None not in allowed:
                self.ledger.breaks("CONFIG", f"{attempt.request_id} got 404, allowed {allowed}")

    def _may_be_in_force(self, attempt: Attempt) -> Iterable[Version]:
        """Return the versions that may decide an attempt at an entry VM in touch."""
        versions = self.ledger.versions
        ends = [later.acknowledged_at for later in versions[1:]] + [float("inf")]
        late = _CONFIGURED_S + _SLACK_S
        return [
            version
            for version, end in zip(versions, ends, strict=True)
            if attempt.sent_at <= end + late and version.acknowledged_at <= attempt.ended_at
        ]

    def _never_older(self) -> None:
        for vm in self.world.vms:
            attempts = [a for a in self.ledger.attempts if a.vm == vm and a.end is End.ANSWERED]
            ends = [at for at, _ in self.ledger.ends[vm]] + [float("inf")]
            start = float("-inf")
            for end in ends:
                life = [a for a in attempts if a.sent_at > start and a.ended_at < end]
                self._grows(sorted(life, key=lambda a: a.ended_at))
                start = end

    def _grows(self, life: list[Attempt]) -> None:
        """Judge the attempts of one process, in the order in which they ended."""
        shown: list[tuple[float, int]] = []
        for attempt in life:
            floor = max((n for at, n in shown if at + _REGRESS_S < attempt.sent_at), default=0)
            fitting = self._fitting(attempt)
            if fitting and max(fitting) < floor:
                what = f"{attempt.request_id} fits {max(fitting)}, shown {floor}"
                self.ledger.breaks("REGRESS", what)
            if fitting:
                shown.append((attempt.ended_at, min(fitting)))

    def _fitting(self, attempt: Attempt) -> list[int]:
        """Return the numbers of the versions that would handle an attempt as it was."""
        seen = self.runs.get(attempt.request_id, ())
        service = seen[0].service if seen else None
        if not seen and attempt.status != HTTPStatus.NOT_FOUND:
            return []
        return [
            version.number
            for version in self.ledger.versions
            if version.services.get(attempt.route) == service
        ]

    def _left_alone(self) -> None:
        by_id = {attempt.request_id: attempt for attempt in self.ledger.attempts}
        for request_id, runs in self.runs.items():
            attempt = by_id.get(request_id)
            for seen in runs:
                if attempt is not None and self._too_late(attempt, seen):
                    what = f"{request_id} reached {seen.server_id} at {seen.at:.2f}"
                    self.ledger.breaks(self._too_late(attempt, seen), what)

    def _too_late(self, attempt: Attempt, seen: Seen) -> str:
        """Return the promise that a run breaks by where it was; empty for none."""
        for leaving in self.ledger.leavings:
            if leaving.server_id != seen.server_id:
                continue
            from_s = leaving.acknowledged_at + leaving.allowed_s + _SLACK_S
            start = leaving.acknowledged_at - _CONTACT_S - _OUTER_S
            in_touch = self.ledger.undisturbed(attempt.vm, start, seen.at)
            if from_s < seen.at < leaving.until and in_touch:
                return leaving.rule
        return ""

    def _nothing_cut_off(self) -> None:
        """Judge planned stops: an entry VM that has read a request answers it."""
        for attempt in self.ledger.attempts:
            if attempt.end is not End.CLOSED or not self._stopping(attempt):
                continue
            start = attempt.sent_at - _CONTACT_S
            if not self._unstruck(attempt.vm, start, attempt.ended_at):
                continue
            ran = attempt.request_id in self.runs
            if ran or attempt.ended_at - attempt.sent_at > _LOST_S + _SLACK_S:
                took = attempt.ended_at - attempt.sent_at
                what = f"{attempt.request_id} at {attempt.vm}: closed after {took:.2f} s, ran {ran}"
                self.ledger.breaks("LOST", what)

    def _stopping(self, attempt: Attempt) -> bool:
        stops = (at for at, n in self.ledger.signalled[attempt.vm] if n == signal.SIGTERM)
        return any(
            attempt.ended_at >= at > attempt.sent_at - _GRACE_S - _STOP_MARGIN_S for at in stops
        )

    def _unstruck(self, vm: str, start: float, end: float) -> bool:
        """Return whether nothing but planned work struck an entry VM itself; the store may fail."""
        return not any(
            struck.scope in (vm, EVERYBODY)
            and struck.start <= end
            and struck.end >= start
            and not struck.planned
            and struck.what != "start"
            for struck in self.ledger.struck
        )

    def _held_no_longer(self) -> None:
        limit = ROUTE_TIMEOUT_S + _HELD_S + _SLACK_S
        for attempt in self.ledger.attempts:
            if attempt.end is None:
                continue
            took = attempt.ended_at - attempt.sent_at
            start = attempt.sent_at - _CONTACT_S
            if took > limit and self._unstruck(attempt.vm, start, attempt.sent_at + limit):
                what = f"{attempt.request_id} at {attempt.vm} took {took:.2f} s"
                self.ledger.breaks("HELD", what)

    def _no_end_of_its_own(self) -> None:
        for vm, ends in self.ledger.ends.items():
            for at, status in ends:
                signals = [n for sent_at, n in self.ledger.signalled[vm] if sent_at <= at]
                expected = [_EXPECTED_ENDS[n] for n in signals if n in _EXPECTED_ENDS]
                if status == -signal.SIGTERM and self._starting(vm, at):
                    continue
                if status not in expected:
                    self.ledger.breaks("ENDS", f"{vm} ended by itself with status {status}")
        for vm, signalled in self.ledger.signalled.items():
            self._stops_in_time(vm, signalled)

    def _starting(self, vm: str, at: float) -> bool:
        """Return whether an entry VM was starting: signal handlers are not set from the start."""
        starts = (s for s in self.ledger.struck if s.what == "start" and s.scope == vm)
        return any(s.start <= at <= s.end + _SLACK_S for s in starts)

    def _stops_in_time(self, vm: str, signalled: list[tuple[float, int]]) -> None:
        for sent_at, number in signalled:
            after = [at for at, _ in self.ledger.ends[vm] if at >= sent_at]
            late = sent_at + _GRACE_S + _SLACK_S
            if number != signal.SIGTERM or not self._unstruck(vm, sent_at - _CONTACT_S, late):
                continue
            if late < self.world.loop.time() and (not after or after[0] > late):
                self.ledger.breaks("GRACE", f"{vm} was still there {_GRACE_S} s after SIGTERM")

    def _recovers(self) -> None:
        last = [
            attempt
            for attempt in self.ledger.attempts
            if attempt.sent_at > self.ledger.quiet_from and attempt.route in (RATES, BOOK)
        ]
        served = sum(attempt.status == HTTPStatus.OK for attempt in last)
        if not last or served < _SERVED_PART * len(last):
            others = Counter(
                f"{a.status or a.end} at {a.vm}"
                for a in last
                if a.status != HTTPStatus.OK and a.end
            )
            what = f"{served} of {len(last)} served after the last trouble; {dict(others)}"
            self.ledger.breaks("RECOVER", what)

    def _attempts_with_runs(self) -> Iterable[tuple[Attempt, Seen]]:
        for attempt in self.ledger.attempts:
            for seen in self.runs.get(attempt.request_id, ()):
                yield attempt, seen
