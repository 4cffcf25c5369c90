"""Rule: which requests are refused, as they crash the servers that run them, and for how long.

Question: may a request be sent now? Inputs: what names it, the evidence (`crash_log`), the rule of
`guilt`, the quarantine that the store holds, monotonic time in seconds.

Load pattern: one request that comes again and again at any VM, while servers come back cold, others
wait for them, VMs start, and some see a part of the evidence only.

Rule: a request that `guilt` finds guilty is refused at once, at each VM that knows it: by the
reports of others within `SETTLE_S` and a tenth of a second, by the store's item within two. Refused
is that request alone: same caller, target and body. A good end of an equal one lets it go at once,
everywhere; so does an operator who removes its item. It is tried again as `held` says, once in the
fleet each time: the VM whose write to the store takes the trial sends it. No trial is left once it
has ended `MOST_CRASHES` servers. A suspect that is not refused yet goes to servers by its own order
instead of its object's, so that one of several suspects does not meet the others again, and its
equals end one server instead of several.

Reason. Refusing needs certainty, as a proper request that is refused for good is worse than one
more crash; so a trial is kept, and it is one. What must outlast all VMs is in the store.

Shows in: events `request-quarantined`, `request-released`, `quarantine-trial`; outcome
`crashes-servers`; `quarantined` on `/state`. Tests: `test_gateway_quarantine`,
`test_gateway_crashing_requests`. Owns what is held; relies on `crash_log`, `guilt` and the store's
view. `quarantine_store` writes for it.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Optional, Protocol

from ..events import EventLog, NoEvents
from ..resources import CrashEvidence, QuarantinedRequest
from ..servers.backend_server import BackendServer
from ..state.store_view import Change, StoreView
from .crash_log import Crash, CrashLog, ServerProcess, Suspect
from .crash_reports import CrashReport, GoodEndReport, SeenCrash, seen_crash
from .fingerprint import fingerprint, target_hash
from .guilt import CRASHES, MOST_CRASHES, Judgement, judge
from .held import Held

_LEAST_TRIALS = 1
"""Trials of a request that ended many servers before any VM could know: each may be wrong once."""

MOST_HELD = 256
"""Requests that are held at once at the most; the one held longest goes, so that callers who send
many cost no memory. 0.2 MB at each VM (worked out)."""

SETTLE_S = 0.15
"""Age from which a crash counts, in seconds: what VMs saw of it is joined by then. Judged sooner, a
request that was there by chance could be known for one crash more than the one that did it. Two
ways between regions of 35 ms and the time in which a report is gathered; worked out."""

_GOOD_END_HOLDS_S = 5.0
"""Time after a good end in which a request is not refused on older evidence, in seconds: a VM that
did not know of the good end may still write the item. Several ways through the store; a guess."""

_MOST_WHAT = 100
"""Characters of a request's method and path that operators are shown."""

_AGE_DIGITS = 3
"""Digits after the point of ages: milliseconds."""


class NamedRequest(Protocol):
    """What names a request; see `fingerprint`."""

    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    target_hash: Optional[int]
    fingerprint: Optional[bytes]
    on_trial: bool


class _Unjudged(NamedTuple):
    """Crashes of a request that are to be judged: monotonic times, in seconds."""

    first: float
    last: float


class Reporter(Protocol):
    """Tells other VMs what this one sees."""

    def add(self, seen: SeenCrash) -> None:
        """Report a crash."""

    def send_good_end(self, fingerprint: bytes) -> None:
        """Report a good end."""


class Quarantine:
    """What this VM knows of requests that crash servers.

    Args:
        store_view: What this VM holds of the store.
        name: Name of this VM.
        id_header: Header that names one attempt of a request.
        monotonic: Source of time, in seconds.
        wall: Time of day, in seconds since the epoch, for operators.
        events: Lines and counters; None for none.

    Attributes:
        reporter: Tells other VMs; None while there are none.
        take_trial: Returns whether this VM may try a request that is held; by default it never may.
        held: Requests that are refused, by fingerprint.
        unwanted: Requests whose items in the store are to be removed, by fingerprint, each with the
            monotonic time until which that counts.
        changed: Set when there is something to write to the store.
    """

    def __init__(
        self,
        store_view: StoreView,
        name: str,
        id_header: str,
        *,
        monotonic: Callable[[], float],
        wall: Callable[[], float],
        events: Optional[EventLog] = None,
    ) -> None:
        self.name = name
        self.id_header = id_header
        self.monotonic = monotonic
        self.wall = wall
        self.events = events or NoEvents()
        self.log = CrashLog()
        self.reporter: Optional[Reporter] = None
        self.take_trial: Callable[[Held], Awaitable[bool]] = _never
        self.held: dict[bytes, Held] = {}
        self.unwanted: dict[bytes, float] = {}
        self.changed = asyncio.Event()
        self._unjudged: dict[bytes, _Unjudged] = {}
        self._targets: Counter[int] = Counter()
        store_view.listeners.append(self._on_change)

    def refusal(self, request: NamedRequest) -> Optional[Held]:
        """Return why a request is refused; None when it may be sent."""
        if request.on_trial or not (self._targets or self._unjudged):
            return None
        self.judge_settled()
        if not self._targets[self._target(request)]:
            return None
        return self.held.get(self.fingerprint(request))

    def judgement(self, request: NamedRequest) -> Judgement:
        """Return how a request stands; with no crash when it is no suspect."""
        if not self.log.crashes or not self.log.has_target(self._target(request)):
            return Judgement(0, CRASHES)
        return judge(self.log, self.fingerprint(request), self.held)

    def fingerprint(self, request: NamedRequest) -> bytes:
        """Return what names a request and all equal ones; digested once for each request."""
        if request.fingerprint is None:
            request.fingerprint = fingerprint(
                request.method,
                request.host,
                request.target,
                request.headers,
                request.body,
                id_header=self.id_header,
            )
        return request.fingerprint

    def note_crash(
        self, request: NamedRequest, server: BackendServer, started: float, ended: float
    ) -> None:
        """Note that a server's process ended while a request was there.

        Args:
            request: The request.
            server: The server.
            started: Monotonic time at which it was sent there, in seconds.
            ended: Monotonic time at which its connection ended, in seconds.
        """
        what = f"{request.method} {request.path}"[:_MOST_WHAT]
        target = self._target(request)
        suspect = Suspect(self.fingerprint(request), target, what, started)
        backend = server.backend
        process = ServerProcess(backend.id, backend.incarnation or 0)
        seen = SeenCrash((self.name,), process, backend.service, ended, (suspect,))
        self._add(seen)
        if self.reporter is not None:
            self.reporter.add(seen)
        self._judge_later(seen)

    def note_good_end(self, request: NamedRequest) -> None:
        """Note that a request ran to a good end: equal ones have crashed nothing."""
        if not self._targets and not self.log.crashes:
            return
        target = self._target(request)
        if not self._targets[target] and not self.log.has_target(target):
            return
        name = self.fingerprint(request)
        if name not in self.held and self.log.suspect(name) is None:
            return
        now = self.monotonic()
        self.unwanted[name] = now + _GOOD_END_HOLDS_S
        self._clear(name, now, "it ran to a good end")
        if self.reporter is not None:
            self.reporter.send_good_end(name)

    def on_crash_report(self, report: CrashReport, now: float) -> None:
        """Join what another VM saw of a crash."""
        seen = seen_crash(report, now)
        self._add(seen)
        self._judge_later(seen)

    def on_good_end_report(self, report: GoodEndReport, now: float) -> None:
        """Clear a request that ran to a good end at another VM."""
        self._clear(report.fingerprint, now, "it ran to a good end at another VM")

    def earlier(self, seen: SeenCrash) -> list[SeenCrash]:
        """Return the latest other crashes of the requests of a crash, each with these alone."""
        found: dict[ServerProcess, SeenCrash] = {}
        for suspect in seen.suspects:
            for crash in self.log.crashes_of(suspect.fingerprint)[-MOST_CRASHES:]:
                if crash.process != seen.process:
                    known = found.get(crash.process, _told(crash))
                    there = crash.suspects[suspect.fingerprint]
                    found[crash.process] = known._replace(suspects=(*known.suspects, there))
        return list(found.values())

    def trial_begins(self, held: Held) -> None:
        """Note that this VM has taken a trial of a request: the hold begins anew."""
        request = held.request
        taken = request._replace(trials=request.trials + 1, trials_left=request.trials_left - 1)
        self.held[held.fingerprint] = held._replace(request=taken, since=self.monotonic())

    def _target(self, request: NamedRequest) -> int:
        if request.target_hash is None:
            request.target_hash = target_hash(request.method, request.host, request.target)
        return request.target_hash

    def _add(self, seen: SeenCrash) -> None:
        suspects = {suspect.fingerprint: suspect for suspect in seen.suspects}
        self.log.add(seen.process, seen.service, seen.at, suspects, seen.seen_by)

    def judge_settled(self) -> None:
        """Refuse the requests that are guilty by crashes of which all reports have come."""
        now = self.monotonic()
        until = now - SETTLE_S
        due = [
            (name, crashes) for name, crashes in self._unjudged.items() if crashes.first <= until
        ]
        for name, crashes in due:
            del self._unjudged[name]
            if crashes.last > until:
                self._unjudged[name] = _Unjudged(crashes.last, crashes.last)
            judgement = judge(self.log, name, self.held, until=until)
            suspect = self.log.suspect(name)
            if suspect is not None and name not in self.held and judgement.is_guilty:
                self._hold(suspect, judgement, now)

    def settles_in_s(self) -> Optional[float]:
        """Return the time until a request is to be judged, in seconds; None when none is."""
        if not self._unjudged:
            return None
        first = min(crashes.first for crashes in self._unjudged.values())
        return max(0.0, first + SETTLE_S - self.monotonic())

    def _judge_later(self, seen: SeenCrash) -> None:
        """Judge the requests of a crash once other VMs' reports of it have come."""
        for suspect in seen.suspects:
            if self.log.crash_count(suspect.fingerprint) < CRASHES:
                continue
            before = self._unjudged.get(suspect.fingerprint, _Unjudged(seen.at, seen.at))
            self._unjudged[suspect.fingerprint] = _Unjudged(
                min(before.first, seen.at), max(before.last, seen.at)
            )
            self.changed.set()

    def _hold(self, suspect: Suspect, judgement: Judgement, now: float) -> None:
        """Refuse a request from now on."""
        crashes = judge(self.log, suspect.fingerprint, self.held).crashes
        witnessed = any(
            self.name in crash.seen_by for crash in self.log.crashes_of(suspect.fingerprint)
        )
        request = QuarantinedRequest(
            fingerprint=suspect.fingerprint.hex(),
            target_hash=f"{suspect.target_hash:x}",
            what=suspect.what,
            since=round(self.wall(), _AGE_DIGITS),
            crashes=self._evidence(suspect.fingerprint, now),
            trials_left=max(_LEAST_TRIALS, MOST_CRASHES - crashes),
        )
        self._put(Held(request, now, witnessed=witnessed))
        self.changed.set()
        self.events.count("requests_quarantined")
        self.events.state(
            "request-quarantined",
            fingerprint=request.fingerprint,
            what=request.what,
            needed=judgement.needed,
            crashes=[each._asdict() for each in request.crashes],
        )

    def _evidence(self, name: bytes, now: float) -> tuple[CrashEvidence, ...]:
        """Return the latest crashes that a request is a suspect of."""
        return tuple(
            CrashEvidence(
                crash.process.server_id,
                crash.process.incarnation,
                tuple(sorted(crash.seen_by)),
                round(now - crash.at, _AGE_DIGITS),
            )
            for crash in self.log.crashes_of(name)[-MOST_CRASHES:]
        )

    def _put(self, held: Held) -> None:
        if held.fingerprint not in self.held:
            self._targets[int(held.request.target_hash, 16)] += 1
        self.held[held.fingerprint] = held
        if len(self.held) > MOST_HELD:
            oldest = min(self.held.values(), key=lambda each: each.since)
            self._drop(oldest.fingerprint)

    def _drop(self, name: bytes) -> Optional[Held]:
        held = self.held.pop(name, None)
        if held is not None:
            target = int(held.request.target_hash, 16)
            self._targets[target] -= 1
            if not self._targets[target]:
                del self._targets[target]
        return held

    def _clear(self, name: bytes, now: float, why: str) -> None:
        """Let a request go, and forget the evidence against it."""
        self.log.note_good_end(name, now)
        if self._drop(name) is not None:
            self.changed.set()
            self.events.state("request-released", fingerprint=name.hex(), why=why)

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, QuarantinedRequest):
            self._learn(change.after, change)
        elif isinstance(change.before, QuarantinedRequest) and change.after is None:
            self._clear(bytes.fromhex(change.before.fingerprint), change.at, "its item was removed")

    def _learn(self, request: QuarantinedRequest, change: Change) -> None:
        """Take up what the store holds of a request, unless it has just run to a good end."""
        held = Held(request, change.at, change.revision)
        if change.at - self.log.last_good_end(held.fingerprint) < _GOOD_END_HOLDS_S:
            self.changed.set()
            return
        self._put(held)


def _told(crash: Crash) -> SeenCrash:
    """Return what is told of a crash, without the requests that were there."""
    return SeenCrash(tuple(sorted(crash.seen_by)), crash.process, crash.service, crash.at, ())


async def _never(_held: Held) -> bool:
    """Return False: without the store no trial can be taken."""
    return False
