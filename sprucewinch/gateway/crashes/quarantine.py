"""Rule: which requests are refused, as they crash the servers that run them, and for how long.

Question: may a request be sent now? Inputs: what names it, the requests that are confirmed
(`suspects`, `guilt`), the quarantine that the store holds, monotonic time in seconds.

Load pattern: one request that comes again and again at any VM, while servers come back cold, others
wait for them, VMs start, and some see a part of the evidence only.

Rule: a request that `guilt` confirms is refused at once, at each VM that knows it: by the
reports of others within a quarter of a second, by the store's item within two. Refused
is that request alone: same caller, target and body. A good end of an equal one lets it go at once,
everywhere; so does an operator who removes its item. It is tried again as `held` says, once in the
fleet each time: the VM whose write to the store takes the trial sends it. Once it has ended
`MOST_CRASHES` servers no trial is left. A suspect that is not refused yet goes to servers by its
own order instead of its object's, so that one of several suspects does not meet the others again,
and its equals end one server instead of several.

Reason. Refusing needs certainty, as a proper request that is refused for good is worse than one
more crash; so a trial is kept, and it is one. What must outlast all VMs is in the store.

Shows in: events `request-quarantined`, `request-released`, `quarantine-trial`; outcome
`crashes-servers`; `quarantined` on `/state`. Tests: `test_gateway_quarantine`,
`test_gateway_crashing_requests`. Owns what is held; relies on `suspects` and the store's view.
`quarantine_store` writes for it.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Optional

from ..events import EventLog, NoEvents
from ..resources import CrashEvidence, QuarantinedRequest
from ..servers.backend_server import BackendServer
from ..state.store_view import Change, StoreView
from .crash_log import Crash
from .crash_reports import GoodEndReport
from .fingerprint import NamedRequest, RequestNames
from .guilt import MAX_CRASHES, Judgement
from .held import Held
from .suspects import ConfirmedSuspect, Suspects

_LEAST_TRIALS = 1
"""Trials of a request that ended many servers before any VM could know: each may be wrong once."""

MOST_HELD = 256
"""Requests that are held at once at the most; the one held longest goes, so that callers who send
many cost no memory. 0.2 MB at each VM."""

_GOOD_END_HOLDS_S = 5.0
"""Time after a good end in which a request is not refused on older evidence, in seconds: a VM that
did not know of the good end may still write the item. Several ways through the store."""

_AGE_DIGITS = 3
"""Digits after the point of ages: milliseconds."""


class Quarantine:
    """The requests that this VM refuses, as they crash servers.

    Args:
        store_view: What this VM holds of the store.
        name: Name of this VM.
        id_header: Header that names one attempt of a request.
        monotonic: Source of time, in seconds.
        wall: Time of day, in seconds since the epoch, for operators.
        events: Lines and counters; None for none.

    Attributes:
        suspects: The evidence.
        take_trial: Returns whether this VM may try a request that is held; by default it never may.
        held: Requests that are refused, by fingerprint.
        unwanted: Requests whose items in the store are to be removed, by fingerprint, each with the
            monotonic time until which that counts.
        changed: Set when there is something to judge, or to write to the store.
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
        self.names = RequestNames(id_header)
        self.monotonic = monotonic
        self.wall = wall
        self.events = events or NoEvents()
        self.take_trial: Callable[[Held], Awaitable[bool]] = _never
        self.held: dict[bytes, Held] = {}
        self.unwanted: dict[bytes, float] = {}
        self.changed = asyncio.Event()
        self.suspects = Suspects(name, self.names, monotonic, on_evidence=self.changed.set)
        self._targets: Counter[int] = Counter()
        store_view.listeners.append(self._on_change)

    def refusal(self, request: NamedRequest) -> Optional[Held]:
        """Return why a request is refused; None when it may be sent."""
        if request.on_trial or not (self._targets or self.suspects.wait_for_judgement):
            return None
        self.judge_settled()
        if not self._targets[self.names.target_of(request)]:
            return None
        held = self.held.get(self.names.fingerprint_of(request))
        if held is not None and held.has_lapsed(self.monotonic()):
            self._clear(held.fingerprint, self.monotonic(), "the store has not held it for long")
            return None
        return held

    def judgement(self, request: NamedRequest) -> Judgement:
        """Return how a request stands that is not refused; with no crash when it is no suspect."""
        return self.suspects.judgement(request, self.held)

    def judge_settled(self) -> None:
        """Refuse the requests that are confirmed by now."""
        for confirmed in self.suspects.confirmed(self.held):
            if confirmed.suspect.fingerprint not in self.held:
                self._hold(confirmed)

    def note_crash(
        self, request: NamedRequest, server: BackendServer, started: float, ended: float
    ) -> None:
        """Note that a server's process ended while a request was there; see `Suspects`."""
        self.suspects.note_crash(request, server, started, ended)

    def note_good_end(self, request: NamedRequest) -> None:
        """Note that a request ran to a good end: equal ones have crashed nothing."""
        log = self.suspects.log
        if not self._targets and not log.crashes:
            return
        target = self.names.target_of(request)
        if not self._targets[target] and not log.has_target(target):
            return
        name = self.names.fingerprint_of(request)
        if name not in self.held and log.suspect(name) is None:
            return
        now = self.monotonic()
        self.unwanted[name] = now + _GOOD_END_HOLDS_S
        self._clear(name, now, "it ran to a good end")
        if self.suspects.reporter is not None:
            self.suspects.reporter.send_good_end(name)

    def on_good_end_report(self, report: GoodEndReport, now: float) -> None:
        """Clear a request that ran to a good end at another VM."""
        self._clear(report.fingerprint, now, "it ran to a good end at another VM")

    def trial_begins(self, held: Held) -> None:
        """Note that this VM takes a trial of a request: the hold begins anew."""
        self.held[held.fingerprint] = held._replace(
            request=held.request.on_trial(), since=self.monotonic()
        )

    def _hold(self, confirmed: ConfirmedSuspect) -> None:
        """Refuse a request from now on."""
        suspect, now = confirmed.suspect, self.monotonic()
        crashes = self.suspects.log.crashes_of(suspect.fingerprint)
        witnessed = any(self.suspects.name in crash.seen_by for crash in crashes)
        request = QuarantinedRequest(
            fingerprint=suspect.fingerprint.hex(),
            target_hash=f"{suspect.target_hash:x}",
            what=suspect.what,
            since=round(self.wall(), _AGE_DIGITS),
            crashes=_evidence(crashes, now),
            trials_left=max(_LEAST_TRIALS, MAX_CRASHES - confirmed.judgement.crashes),
        )
        self._put(Held(request, now, witnessed=witnessed))
        self.changed.set()
        self.events.count("requests_quarantined")
        self.events.state(
            "request-quarantined",
            fingerprint=request.fingerprint,
            what=request.what,
            needed=confirmed.judgement.needed,
            crashes=[each._asdict() for each in request.crashes],
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
        self.suspects.log.note_good_end(name, now)
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
        if change.at - self.suspects.log.last_good_end(held.fingerprint) < _GOOD_END_HOLDS_S:
            self.changed.set()
            return
        self._put(held)


def _evidence(crashes: Sequence[Crash], now: float) -> tuple[CrashEvidence, ...]:
    """Return the latest of some crashes, for operators."""
    return tuple(
        CrashEvidence(
            crash.process.server_id,
            crash.process.incarnation,
            tuple(sorted(crash.seen_by)),
            round(now - crash.at, _AGE_DIGITS),
        )
        for crash in crashes[-MAX_CRASHES:]
    )


async def _never(_held: Held) -> bool:
    """Return False: without the store no trial can be taken."""
    return False
