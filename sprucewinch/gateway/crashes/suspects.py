"""Requests that were at servers when they crashed, and when they are judged.

Owns this VM's evidence: what its own requests and the reports of others show, and which requests
are to be judged anew. A crash counts from the age of `SETTLE_S` on: judged sooner, a request that
was there by chance could be known for one crash more than the one that did it, and be refused in
its place. Relies on `crash_log` to join the evidence, on `guilt` for the verdict; `quarantine`
refuses those that are confirmed. Tests: `test_gateway_quarantine`, `test_gateway_crash_reports`.
"""

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, Optional, Protocol

from ..servers.backend_server import BackendServer
from .crash_log import Crash, CrashLog, ServerProcess, Suspect
from .crash_reports import CrashReport, SeenCrash, seen_crash
from .fingerprint import NamedRequest, RequestNames
from .guilt import MAX_CRASHES, MIN_CRASHES, Judgement, judge

SETTLE_S = 0.15
"""Age from which a crash counts, in seconds: two ways between regions of 35 ms and the time in
which a report is gathered, twice as long for safety."""

_MOST_WHAT = 100
"""Characters of a request's method and path that operators are shown."""


class ConfirmedSuspect(NamedTuple):
    """A request that crashes servers.

    Args:
        suspect: The request.
        judgement: By what it is confirmed.
    """

    suspect: Suspect
    judgement: Judgement


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


class Suspects:
    """The evidence of one VM.

    Args:
        name: Name of this VM.
        names: Names requests.
        monotonic: Source of time, in seconds.
        on_evidence: Called when a request is to be judged.

    Attributes:
        reporter: Tells other VMs; None while there are none.
    """

    def __init__(
        self,
        name: str,
        names: RequestNames,
        monotonic: Callable[[], float],
        *,
        on_evidence: Callable[[], None],
    ) -> None:
        self.name = name
        self.names = names
        self.monotonic = monotonic
        self.log = CrashLog()
        self.reporter: Optional[Reporter] = None
        self.on_evidence = on_evidence
        self._unjudged: dict[bytes, _Unjudged] = {}

    @property
    def has_unjudged(self) -> bool:
        """True while a request is to be judged."""
        return bool(self._unjudged)

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
        names = self.names
        suspect = Suspect(names.fingerprint_of(request), names.target_of(request), what, started)
        backend = server.backend
        process = ServerProcess(backend.id, backend.incarnation or 0)
        seen = SeenCrash((self.name,), process, backend.service, ended, (suspect,))
        self._add(seen)
        if self.reporter is not None:
            self.reporter.add(seen)

    def on_crash_report(self, report: CrashReport, now: float) -> None:
        """Join what another VM saw of a crash."""
        self._add(seen_crash(report, now))

    def earlier(self, seen: SeenCrash) -> list[SeenCrash]:
        """Return the latest other crashes of the requests of a crash, each with these alone."""
        found: dict[Crash, list[Suspect]] = {}
        for suspect in seen.suspects:
            for crash in self.log.crashes_of(suspect.fingerprint)[-MAX_CRASHES:]:
                if not self.log.is_same(crash, seen.process, seen.at):
                    found.setdefault(crash, []).append(crash.suspects[suspect.fingerprint])
        return [_told(crash, suspects) for crash, suspects in found.items()]

    def judgement(self, request: NamedRequest, refused: Collection[bytes]) -> Judgement:
        """Return how a request stands now; with no crash when it is no suspect.

        Args:
            request: The request.
            refused: Requests that are refused already.
        """
        if not self.log.crashes or not self.log.has_target(self.names.target_of(request)):
            return Judgement(0, MIN_CRASHES)
        return judge(self.log, self.names.fingerprint_of(request), refused)

    def confirmed(self, refused: Collection[bytes]) -> list[ConfirmedSuspect]:
        """Return the requests that are confirmed by crashes of which all reports have come.

        Args:
            refused: Requests that are refused already.
        """
        until = self.monotonic() - SETTLE_S
        due = [name for name, crashes in self._unjudged.items() if crashes.first <= until]
        found = []
        for name in due:
            last = self._unjudged.pop(name).last
            if last > until:
                self._unjudged[name] = _Unjudged(last, last)
            judgement = judge(self.log, name, refused, until=until)
            suspect = self.log.suspect(name)
            if suspect is not None and judgement.must_refuse:
                found.append(ConfirmedSuspect(suspect, judgement))
        return found

    def settles_in_s(self) -> Optional[float]:
        """Return the time until a request is to be judged, in seconds; None when none is."""
        if not self._unjudged:
            return None
        first = min(crashes.first for crashes in self._unjudged.values())
        return max(0.0, first + SETTLE_S - self.monotonic())

    def _add(self, seen: SeenCrash) -> None:
        """Join a crash, and have its requests judged once other VMs' reports have come."""
        suspects = {suspect.fingerprint: suspect for suspect in seen.suspects}
        self.log.add(seen.process, seen.service, seen.at, suspects, seen.seen_by)
        for name in suspects:
            if self.log.crash_count(name) < MIN_CRASHES:
                continue
            before = self._unjudged.get(name, _Unjudged(seen.at, seen.at))
            first, last = min(before.first, seen.at), max(before.last, seen.at)
            self._unjudged[name] = _Unjudged(first, last)
            self.on_evidence()


def _told(crash: Crash, suspects: Sequence[Suspect]) -> SeenCrash:
    """Return what is told of a crash and some of the requests that were there."""
    seen_by = tuple(sorted(crash.seen_by))
    return SeenCrash(seen_by, crash.process, crash.service, crash.at, tuple(suspects))
