"""Decides which requests are refused because they crash servers, and for how long.

The quarantine decides whether a request may be sent now, from the request's fingerprint,
the requests that are confirmed to crash servers (`suspects`, `crash_attribution`), the quarantined
requests in the store, and monotonic time in seconds.

The load that it is for is one request that is sent again and again, to any VM, while crashed
servers come back cold, other requests wait for them, VMs start, and some VMs see only a part of the
evidence.

A request that `crash_attribution` confirms is refused at once at each VM that knows of it: within a
quarter of a second through the reports of other VMs, within two seconds through the item in the
store. Only that request is refused: the same caller, target and body. A success of an equal request
releases it at once at all VMs; so does an operator who removes its item. It is tried again after
the times that `quarantine_entry` states, once in the whole fleet each time: the VM whose write to
the store takes the trial sends the request. Once it has crashed `MAX_CRASHES` servers no trial is
left. A suspect that is not refused yet is ranked among the servers by its own fingerprint instead
of by its object's key, so that one of several suspects does not meet the others again, and copies
of it crash one server instead of several.

A refusal needs certainty, because refusing a harmless request for good is worse than one more
crash; so one trial is always kept. What must survive the loss of all VMs is in the store.

The decisions appear in the events `request-quarantined`, `request-released` and `quarantine-trial`,
the outcome `crashes-servers`, and `quarantined` on `/state`. `test_gateway_quarantine` and
`test_gateway_crashing_requests` test this module. It owns the entries and relies on `suspects` and
on the view of the store; `quarantine_store` writes to the store for it.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Optional

from ..events import EventLog, NoEvents
from ..resources import CrashEvidence, QuarantinedRequest
from ..servers.backend_server import BackendServer
from ..state.store_view import Change, StoreView
from .crash_attribution import MAX_CRASHES, Assessment
from .crash_log import Crash
from .crash_reports import SuccessReport
from .fingerprint import FingerprintedRequest, Fingerprinter
from .quarantine_entry import QuarantineEntry
from .suspects import ConfirmedSuspect, Suspects

_MIN_TRIALS = 1
"""Trials of a request that crashed many servers before any VM could know of it: the decision to
refuse it may be wrong."""

MAX_QUARANTINED = 256
"""Requests that are quarantined at once; the oldest is evicted, so that callers who send many such
requests cost no memory. They take 0.2 MB at each VM."""

_SUCCESS_VALID_S = 5.0
"""Time after a success in which stored items do not quarantine the request again, in seconds:
several times the delay through the store, as a VM that missed the success may still write the item.
"""

_AGE_DIGITS = 3
"""Decimal places of times and ages in seconds: milliseconds."""


class Quarantine:
    """The requests that this VM refuses because they crash servers.

    Args:
        store_view: What this VM holds of the store.
        name: Name of this VM.
        id_header: Header that identifies one attempt of a request.
        monotonic: Source of time, in seconds.
        wall: Source of wall-clock time, in seconds since the epoch, for operators.
        events: Takes events and counters; None for none.

    Attributes:
        suspects: The evidence.
        take_trial: Returns whether this VM may try a quarantined request; by default it may not.
        entries: Requests that are refused, by fingerprint.
        pending_removals: Requests whose items are to be removed from the store, by fingerprint,
            each with the monotonic time until which that applies, in seconds.
        changed: Set when evidence is to be assessed, or the store is to be written.
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
        self.fingerprinter = Fingerprinter(id_header)
        self.monotonic = monotonic
        self.wall = wall
        self.events = events or NoEvents()
        self.take_trial: Callable[[QuarantineEntry], Awaitable[bool]] = _refuse_trial
        self.entries: dict[bytes, QuarantineEntry] = {}
        self.pending_removals: dict[bytes, float] = {}
        self.changed = asyncio.Event()
        self.suspects = Suspects(name, self.fingerprinter, monotonic, on_evidence=self.changed.set)
        self._targets: Counter[int] = Counter()
        store_view.listeners.append(self._on_change)

    def refusal(self, request: FingerprintedRequest) -> Optional[QuarantineEntry]:
        """Return the entry by which a request is refused; None when it may be sent."""
        if request.on_trial or not (self._targets or self.suspects.has_unassessed):
            return None
        self.assess_due()
        if not self._targets[self.fingerprinter.target_of(request)]:
            return None
        entry = self.entries.get(self.fingerprinter.fingerprint_of(request))
        if entry is not None and entry.has_expired(self.monotonic()):
            self._release(
                entry.fingerprint, self.monotonic(), "it has not been in the store for too long"
            )
            return None
        return entry

    def assessment(self, request: FingerprintedRequest) -> Assessment:
        """Return the evidence against a request that is not refused.

        It holds no crashes when the request is no suspect.
        """
        return self.suspects.assessment(request, self.entries)

    def assess_due(self) -> None:
        """Quarantine the requests that are confirmed to crash servers by now."""
        for confirmed in self.suspects.confirmed(self.entries):
            if confirmed.suspect.fingerprint not in self.entries:
                self._quarantine(confirmed)

    def record_crash(
        self, request: FingerprintedRequest, server: BackendServer, started: float, ended: float
    ) -> None:
        """Record that a server's process ended while it had a request; see `Suspects`."""
        self.suspects.record_crash(request, server, started, ended)

    def record_success(self, request: FingerprintedRequest) -> None:
        """Record a success of a request, which clears all equal requests."""
        log = self.suspects.log
        if not self._targets and not log.crashes:
            return
        target = self.fingerprinter.target_of(request)
        if not self._targets[target] and not log.has_target(target):
            return
        fingerprint = self.fingerprinter.fingerprint_of(request)
        if fingerprint not in self.entries and log.suspect(fingerprint) is None:
            return
        now = self.monotonic()
        self.pending_removals[fingerprint] = now + _SUCCESS_VALID_S
        self._release(fingerprint, now, "it succeeded")
        if self.suspects.reporter is not None:
            self.suspects.reporter.send_success(fingerprint)

    def on_success_report(self, report: SuccessReport, now: float) -> None:
        """Clear a request that succeeded at another VM."""
        self._release(report.fingerprint, now, "it succeeded at another VM")

    def begin_trial(self, entry: QuarantineEntry) -> None:
        """Record that this VM takes a trial of a request: its refusal begins anew."""
        self.entries[entry.fingerprint] = entry._replace(
            request=entry.request.on_trial(), since=self.monotonic()
        )

    def _quarantine(self, confirmed: ConfirmedSuspect) -> None:
        """Refuse a request from now on, and tell operators."""
        suspect, now = confirmed.suspect, self.monotonic()
        crashes = self.suspects.log.crashes_of(suspect.fingerprint)
        witnessed = any(self.suspects.name in crash.seen_by for crash in crashes)
        request = QuarantinedRequest(
            fingerprint=suspect.fingerprint.hex(),
            target_hash=f"{suspect.target_hash:x}",
            what=suspect.what,
            since=round(self.wall(), _AGE_DIGITS),
            crashes=_evidence(crashes, now),
            trials_left=max(_MIN_TRIALS, MAX_CRASHES - confirmed.assessment.crashes),
        )
        self._put(QuarantineEntry(request, now, witnessed=witnessed))
        self.changed.set()
        self.events.count("requests_quarantined")
        self.events.state(
            "request-quarantined",
            fingerprint=request.fingerprint,
            what=request.what,
            needed=confirmed.assessment.needed,
            crashes=[each._asdict() for each in request.crashes],
        )

    def _put(self, entry: QuarantineEntry) -> None:
        if entry.fingerprint not in self.entries:
            self._targets[int(entry.request.target_hash, 16)] += 1
        self.entries[entry.fingerprint] = entry
        if len(self.entries) > MAX_QUARANTINED:
            oldest = min(self.entries.values(), key=lambda each: each.since)
            self._remove(oldest.fingerprint)

    def _remove(self, fingerprint: bytes) -> Optional[QuarantineEntry]:
        entry = self.entries.pop(fingerprint, None)
        if entry is not None:
            target = int(entry.request.target_hash, 16)
            self._targets[target] -= 1
            if not self._targets[target]:
                del self._targets[target]
        return entry

    def _release(self, fingerprint: bytes, now: float, why: str) -> None:
        """Release a request, and drop the evidence against it."""
        self.suspects.log.record_success(fingerprint, now)
        if self._remove(fingerprint) is not None:
            self.changed.set()
            self.events.state("request-released", fingerprint=fingerprint.hex(), why=why)

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, QuarantinedRequest):
            self._on_stored(change.after, change)
        elif isinstance(change.before, QuarantinedRequest) and change.lost:
            self._write_again(change.before, change.at)
        elif isinstance(change.before, QuarantinedRequest) and change.after is None:
            self._release(
                bytes.fromhex(change.before.fingerprint), change.at, "its item was removed"
            )

    def _write_again(self, request: QuarantinedRequest, now: float) -> None:
        """Go on refusing a request whose item the store has lost; store followers write it."""
        held = self.entries.get(bytes.fromhex(request.fingerprint))
        if held is not None:
            self.entries[held.fingerprint] = held._replace(since=now, revision=0)
            self.changed.set()

    def _on_stored(self, request: QuarantinedRequest, change: Change) -> None:
        """Quarantine a request that the store holds, unless it has just succeeded."""
        entry = QuarantineEntry(request, change.at, change.revision)
        if change.at - self.suspects.log.last_success(entry.fingerprint) < _SUCCESS_VALID_S:
            self.changed.set()
            return
        self._put(entry)


def _evidence(crashes: Sequence[Crash], now: float) -> tuple[CrashEvidence, ...]:
    """Return the latest of some crashes, as operators see them."""
    return tuple(
        CrashEvidence(
            crash.process.server_id,
            crash.process.incarnation,
            tuple(sorted(crash.seen_by)),
            round(now - crash.at, _AGE_DIGITS),
        )
        for crash in crashes[-MAX_CRASHES:]
    )


async def _refuse_trial(_held: QuarantineEntry) -> bool:
    """Return False: no trial can be taken without the store."""
    return False
