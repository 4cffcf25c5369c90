"""What VMs tell each other of crashes: which servers ended under which requests, and good ends.

Owns the two messages, and when they are sent: what a VM sees of one crash goes out together, to all
VMs, once. Where a request has lost a server before, it goes out twice more, with the earlier
crashes of that request, as a datagram may be lost and the next copy may come at any VM. The cost of
a crash grows with the fleet and not with its square. Relies on `follow_role` for the recipients;
`suspects` takes up what arrives. Tests: `test_gateway_crash_reports`.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from ..datagrams import Datagrams
from ..following.follow_role import FollowRole
from ..timing import Timing
from .crash_log import ServerProcess, Suspect

_GATHER_S = 0.02
"""Time for which requests that lost one server are gathered into one report, in seconds: their
connections end within a millisecond."""

_REPEATS_S = (0.3, 1.0)
"""Times after a report at which one on a request that lost a server before is sent again, in
seconds: with a tenth of the datagrams lost, one VM in 1,000 gets none of three."""

_MOST_SUSPECTS = 10
"""Requests in one message, so that it fits one packet."""

_MOST_WAITING = 256
"""Reports that wait for being sent again at the most; the oldest goes first."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """A request that was at a server when its process ended.

    Args:
        fingerprint: Names the request.
        target_hash: Hash of what it is for.
        what: Its method and path, for operators.
        run_ms: How long before the crash it was sent there, in milliseconds.
    """

    fingerprint: bytes
    target_hash: int
    what: str
    run_ms: int


class CrashReport(msgspec.Struct, array_like=True, frozen=True, tag="crash"):
    """What one VM saw of the end of a server's process.

    Args:
        seen_by: VMs that saw it.
        server: Id of the server.
        incarnation: Which process it was; 0 when that is not known.
        service: Service that it ran.
        age_ms: Time since the crash, in milliseconds.
        suspects: The VM's requests there.
    """

    seen_by: tuple[str, ...]
    server: str
    incarnation: int
    service: str
    age_ms: int
    suspects: tuple[SuspectRow, ...]


class GoodEndReport(msgspec.Struct, array_like=True, frozen=True, tag="well"):
    """A request that was a suspect, or an equal one, ran to a good end.

    Args:
        fingerprint: Names the request.
        age_ms: Time since then, in milliseconds.
    """

    fingerprint: bytes
    age_ms: int


class SeenCrash(NamedTuple):
    """What VMs saw of a crash.

    Args:
        seen_by: Names of these VMs.
        process: The process that ended.
        service: Service that it ran.
        at: Monotonic time of the crash, in seconds.
        suspects: Their requests there.
    """

    seen_by: tuple[str, ...]
    process: ServerProcess
    service: str
    at: float
    suspects: tuple[Suspect, ...]

    def report(self, now: float) -> CrashReport:
        """Return the message, at a monotonic time in seconds."""
        rows = [
            SuspectRow(s.fingerprint, s.target_hash, s.what, _ms(self.at - s.started))
            for s in self.suspects
        ]
        process = self.process
        return CrashReport(
            self.seen_by,
            process.server_id,
            process.incarnation,
            self.service,
            _ms(now - self.at),
            tuple(rows),
        )


def seen_crash(report: CrashReport, now: float) -> SeenCrash:
    """Return what a message tells, in this VM's time.

    Args:
        report: The message.
        now: Monotonic time of its arrival, in seconds.
    """
    at = now - report.age_ms / _MS_PER_S
    suspects = tuple(
        Suspect(row.fingerprint, row.target_hash, row.what, at - row.run_ms / _MS_PER_S)
        for row in report.suspects
    )
    process = ServerProcess(report.server, report.incarnation)
    return SeenCrash(report.seen_by, process, report.service, at, suspects)


class _Due(NamedTuple):
    """A crash to be reported at a monotonic time, in seconds."""

    at: float
    seen: SeenCrash


class CrashReporter:
    """Sends what this VM sees.

    Args:
        datagrams: The endpoint between VMs.
        follow_role: Chooses the recipients.
        timing: Sources of time and randomness.
        earlier: Returns the earlier crashes of a crash's requests; a report with some is repeated.
    """

    def __init__(
        self,
        datagrams: Datagrams,
        follow_role: FollowRole,
        timing: Timing,
        *,
        earlier: Callable[[SeenCrash], Sequence[SeenCrash]],
    ) -> None:
        self.datagrams = datagrams
        self.follow_role = follow_role
        self.timing = timing
        self.earlier = earlier
        self._gathered: dict[ServerProcess, list[Suspect]] = {}
        self._crashes: dict[ServerProcess, SeenCrash] = {}
        self._due: list[_Due] = []
        self._seen = asyncio.Event()

    def add(self, seen: SeenCrash) -> None:
        """Report a crash soon, with the other requests that this VM had there."""
        self._crashes.setdefault(seen.process, seen)
        self._gathered.setdefault(seen.process, []).extend(seen.suspects)
        self._seen.set()

    def send_good_end(self, fingerprint: bytes) -> None:
        """Report a good end of a request now."""
        self._send(GoodEndReport(fingerprint, 0))

    async def run(self) -> None:
        """Send what is due, until cancelled."""
        while True:
            await self._wait()
            self._send_gathered()
            self._send_due()

    async def _wait(self) -> None:
        """Wait for a crash, or until a report is to be sent again."""
        next_s = min((due.at for due in self._due), default=None)
        left_s = None if next_s is None else max(0.0, next_s - self.timing.monotonic())
        try:
            async with asyncio.timeout(left_s):
                await self._seen.wait()
            await asyncio.sleep(_GATHER_S)
        except TimeoutError:
            # No error: a report is due again.
            return
        self._seen.clear()

    def _send_gathered(self) -> None:
        now = self.timing.monotonic()
        for process, suspects in self._gathered.items():
            seen = self._crashes[process]._replace(suspects=tuple(suspects))
            self._send_crash(seen, now)
            earlier = self.earlier(seen)
            for crash in earlier:
                self._send_crash(crash, now)
            if earlier:
                told = (seen, *earlier)
                self._due += [_Due(now + pause_s, each) for pause_s in _REPEATS_S for each in told]
        self._gathered.clear()
        self._crashes.clear()
        del self._due[:-_MOST_WAITING]

    def _send_due(self) -> None:
        now = self.timing.monotonic()
        due = [each for each in self._due if each.at <= now]
        self._due = [each for each in self._due if each.at > now]
        for each in due:
            self._send_crash(each.seen, now)

    def _send_crash(self, seen: SeenCrash, now: float) -> None:
        for start in range(0, len(seen.suspects), _MOST_SUSPECTS):
            part = seen.suspects[start : start + _MOST_SUSPECTS]
            self._send(seen._replace(suspects=part).report(now))

    def _send(self, message: msgspec.Struct) -> None:
        recipients = self.follow_role.recipients(changed=True)
        self.datagrams.send(message, [member.peer_address for member in recipients])


def _ms(seconds: float) -> int:
    return int(max(0.0, seconds) * _MS_PER_S)
