"""Tracks the requests that servers had when they crashed, and when the evidence is assessed.

This module owns the evidence of one VM, from its own requests and from the reports of others, and
the set of requests that are to be assessed again. A crash counts once it is older than
`MIN_CRASH_AGE_S`. Evaluated sooner, a request that was present by chance could be known for one
crash more than the request that caused it, and be refused in its place. The module relies on
`crash_log` to merge the evidence and on `crash_attribution` to assess it; `quarantine` refuses the
requests that are confirmed. `test_gateway_quarantine` and `test_gateway_crash_reports` test this
module.
"""

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, Optional, Protocol

from ..servers.backend_server import BackendServer
from .crash_attribution import MAX_CRASHES, MIN_CRASHES, Assessment, assess
from .crash_log import Crash, CrashLog, ServerProcess, Suspect
from .crash_reports import CrashReport, ObservedCrash, observed_crash
from .fingerprint import FingerprintedRequest, Fingerprinter

MIN_CRASH_AGE_S = 0.15
"""Age from which a crash counts, in seconds: two transits of 35 ms between regions and the delay of
a batch of reports, roughly doubled for safety."""

_MAX_WHAT_CHARS = 100
"""Length of the method and path that are shown to operators, in characters."""


class ConfirmedSuspect(NamedTuple):
    """A request that is confirmed to crash servers.

    Args:
        suspect: The request.
        assessment: The evidence that confirms it.
    """

    suspect: Suspect
    assessment: Assessment


class _Unassessed(NamedTuple):
    """Crashes of a request that are to be assessed: monotonic times, in seconds."""

    first: float
    last: float


class Reporter(Protocol):
    """Reports to other VMs what this one sees."""

    def add(self, observed: ObservedCrash) -> None:
        """Report a crash."""

    def send_success(self, fingerprint: bytes) -> None:
        """Report a success."""


class Suspects:
    """The evidence of one VM.

    Args:
        name: Name of this VM.
        fingerprinter: Computes the fingerprints of requests.
        monotonic: Source of time, in seconds.
        on_evidence: Called when a request is to be assessed.

    Attributes:
        reporter: Reports to other VMs; None while there is no other VM.
    """

    def __init__(
        self,
        name: str,
        fingerprinter: Fingerprinter,
        monotonic: Callable[[], float],
        *,
        on_evidence: Callable[[], None],
    ) -> None:
        self.name = name
        self.fingerprinter = fingerprinter
        self.monotonic = monotonic
        self.log = CrashLog()
        self.reporter: Optional[Reporter] = None
        self.on_evidence = on_evidence
        self._unassessed: dict[bytes, _Unassessed] = {}

    @property
    def has_unassessed(self) -> bool:
        """Whether a request is to be assessed."""
        return bool(self._unassessed)

    def record_crash(
        self, request: FingerprintedRequest, server: BackendServer, started: float, ended: float
    ) -> None:
        """Record that a server's process ended while it had a request.

        Args:
            request: The request.
            server: The server.
            started: Monotonic time at which it was sent to the server, in seconds.
            ended: Monotonic time at which its connection ended, in seconds.
        """
        what = f"{request.method} {request.path}"[:_MAX_WHAT_CHARS]
        fingerprinter = self.fingerprinter
        suspect = Suspect(
            fingerprinter.fingerprint_of(request), fingerprinter.target_of(request), what, started
        )
        backend = server.backend
        process = ServerProcess(backend.id, backend.incarnation or 0)
        observed = ObservedCrash((self.name,), process, backend.service, ended, (suspect,))
        self._add(observed)
        if self.reporter is not None:
            self.reporter.add(observed)

    def on_crash_report(self, report: CrashReport, now: float) -> None:
        """Merge what another VM saw of a crash."""
        self._add(observed_crash(report, now))

    def earlier(self, observed: ObservedCrash) -> list[ObservedCrash]:
        """Return the latest other crashes of a crash's requests, with these alone as suspects."""
        found: dict[Crash, list[Suspect]] = {}
        for suspect in observed.suspects:
            for crash in self.log.crashes_of(suspect.fingerprint)[-MAX_CRASHES:]:
                if not self.log.is_crash_of(crash, observed.process, observed.at):
                    found.setdefault(crash, []).append(crash.suspects[suspect.fingerprint])
        return [_observation(crash, suspects) for crash, suspects in found.items()]

    def assessment(self, request: FingerprintedRequest, refused: Collection[bytes]) -> Assessment:
        """Return the evidence against a request; with no crashes when it is no suspect.

        Args:
            request: The request.
            refused: Fingerprints of requests that are refused already.
        """
        if not self.log.crashes or not self.log.has_target(self.fingerprinter.target_of(request)):
            return Assessment(0, MIN_CRASHES)
        return assess(self.log, self.fingerprinter.fingerprint_of(request), refused)

    def confirmed(self, refused: Collection[bytes]) -> list[ConfirmedSuspect]:
        """Return the requests that are confirmed by crashes older than `MIN_CRASH_AGE_S`.

        Args:
            refused: Fingerprints of requests that are refused already.
        """
        until = self.monotonic() - MIN_CRASH_AGE_S
        due = [key for key, crashes in self._unassessed.items() if crashes.first <= until]
        found = []
        for fingerprint in due:
            last = self._unassessed.pop(fingerprint).last
            if last > until:
                self._unassessed[fingerprint] = _Unassessed(last, last)
            assessment = assess(self.log, fingerprint, refused, until=until)
            suspect = self.log.suspect(fingerprint)
            if suspect is not None and assessment.must_refuse:
                found.append(ConfirmedSuspect(suspect, assessment))
        return found

    def next_assessment_in_s(self) -> Optional[float]:
        """Return the time until the next assessment, in seconds; None when none is due."""
        if not self._unassessed:
            return None
        first = min(crashes.first for crashes in self._unassessed.values())
        return max(0.0, first + MIN_CRASH_AGE_S - self.monotonic())

    def _add(self, observed: ObservedCrash) -> None:
        """Merge a crash, and have its requests assessed once the reports of other VMs are in."""
        suspects = {suspect.fingerprint: suspect for suspect in observed.suspects}
        self.log.add(observed.process, observed.service, observed.at, suspects, observed.seen_by)
        for fingerprint in suspects:
            if self.log.crash_count(fingerprint) < MIN_CRASHES:
                continue
            before = self._unassessed.get(fingerprint, _Unassessed(observed.at, observed.at))
            first, last = min(before.first, observed.at), max(before.last, observed.at)
            self._unassessed[fingerprint] = _Unassessed(first, last)
            self.on_evidence()


def _observation(crash: Crash, suspects: Sequence[Suspect]) -> ObservedCrash:
    """Return the report of a crash, with some of its suspects."""
    seen_by = tuple(sorted(crash.seen_by))
    return ObservedCrash(seen_by, crash.process, crash.service, crash.at, tuple(suspects))
