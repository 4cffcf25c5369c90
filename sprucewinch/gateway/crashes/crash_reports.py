"""Messages by which VMs tell each other of crashes and of successes that clear a suspect.

This module owns the two messages and when they are sent. What a VM sees of one crash is sent once,
in one batch, to all VMs. Where a request has lost a server before, the report is sent twice more,
together with the earlier crashes of that request, because a datagram may be lost and the next copy
of the request may arrive at any VM. The cost of a crash grows linearly with the number of VMs, not
with its square. The module relies on `follow_role` for the recipients; `suspects` handles what
arrives. `test_gateway_crash_reports` tests this module.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from ..datagrams import Datagrams
from ..following.follow_role import FollowRole
from ..timing import Timing
from .crash_log import ServerProcess, Suspect

_BATCH_DELAY_S = 0.02
"""Time for which requests that lost one server are collected into one report, in seconds: their
connections end within a millisecond."""

_REPEAT_DELAYS_S = (0.3, 1.0)
"""Delays after which a report on a request that lost a server before is sent again, in seconds: if
a tenth of the datagrams is lost, one VM in 1,000 receives none of the three."""

_MAX_SUSPECTS_PER_MESSAGE = 10
"""Requests in one message, so that it fits in one packet."""

_MAX_SCHEDULED = 256
"""Reports that wait to be sent again; the oldest is dropped first."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """A request that a server had when its process ended.

    Args:
        fingerprint: Fingerprint of the request.
        target_hash: Hash of its target, see `fingerprint.target_hash`.
        what: Its method and path, for operators.
        run_ms: Time from when it was sent to the server until the crash, in milliseconds.
    """

    fingerprint: bytes
    target_hash: int
    what: str
    run_ms: int


class CrashReport(msgspec.Struct, array_like=True, frozen=True, tag="crash"):
    """What one VM saw of the end of a server's process.

    Args:
        seen_by: Names of the VMs that saw it.
        server: Id of the server.
        incarnation: Number of its process; 0 when that is not known.
        service: Service that it ran.
        age_ms: Time since the crash, in milliseconds.
        suspects: Requests of these VMs that the server had.
    """

    seen_by: tuple[str, ...]
    server: str
    incarnation: int
    service: str
    age_ms: int
    suspects: tuple[SuspectRow, ...]


class SuccessReport(msgspec.Struct, array_like=True, frozen=True, tag="well"):
    """A success of a request that was a suspect, or of an equal one.

    Args:
        fingerprint: Fingerprint of the request.
        age_ms: Time since the success, in milliseconds.
    """

    fingerprint: bytes
    age_ms: int


class ObservedCrash(NamedTuple):
    """What VMs saw of a crash.

    Args:
        seen_by: Names of these VMs.
        process: The process that ended.
        service: Service that it ran.
        at: Monotonic time of the crash, in seconds.
        suspects: Requests of these VMs that the server had.
    """

    seen_by: tuple[str, ...]
    process: ServerProcess
    service: str
    at: float
    suspects: tuple[Suspect, ...]

    def report(self, now: float) -> CrashReport:
        """Return the message that is sent at a monotonic time, in seconds."""
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


def observed_crash(report: CrashReport, now: float) -> ObservedCrash:
    """Return the crash that a message reports, in this VM's time.

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
    return ObservedCrash(report.seen_by, process, report.service, at, suspects)


class _ScheduledReport(NamedTuple):
    """A crash that is reported again at a monotonic time, in seconds."""

    at: float
    observed: ObservedCrash


class CrashReporter:
    """Sends what this VM sees of crashes and successes.

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
        earlier: Callable[[ObservedCrash], Sequence[ObservedCrash]],
    ) -> None:
        self.datagrams = datagrams
        self.follow_role = follow_role
        self.timing = timing
        self.earlier = earlier
        self._pending_suspects: dict[ServerProcess, list[Suspect]] = {}
        self._pending_crashes: dict[ServerProcess, ObservedCrash] = {}
        self._scheduled: list[_ScheduledReport] = []
        self._pending_added = asyncio.Event()

    def add(self, observed: ObservedCrash) -> None:
        """Report a crash shortly, together with the other requests that this VM had there."""
        self._pending_crashes.setdefault(observed.process, observed)
        self._pending_suspects.setdefault(observed.process, []).extend(observed.suspects)
        self._pending_added.set()

    def send_success(self, fingerprint: bytes) -> None:
        """Report a success of a request now."""
        self._send(SuccessReport(fingerprint, 0))

    async def run(self) -> None:
        """Send what is due, until cancelled."""
        while True:
            await self._wait()
            self._send_pending()
            self._send_scheduled()

    async def _wait(self) -> None:
        """Wait for a crash, or until a report is due again."""
        next_s = min((due.at for due in self._scheduled), default=None)
        left_s = None if next_s is None else max(0.0, next_s - self.timing.monotonic())
        try:
            async with asyncio.timeout(left_s):
                await self._pending_added.wait()
            await asyncio.sleep(_BATCH_DELAY_S)
        except TimeoutError:
            # Expected: a report is due again.
            return
        self._pending_added.clear()

    def _send_pending(self) -> None:
        now = self.timing.monotonic()
        for process, suspects in self._pending_suspects.items():
            observed = self._pending_crashes[process]._replace(suspects=tuple(suspects))
            self._send_crash(observed, now)
            earlier = self.earlier(observed)
            for crash in earlier:
                self._send_crash(crash, now)
            if earlier:
                observations = (observed, *earlier)
                self._scheduled += [
                    _ScheduledReport(now + pause_s, each)
                    for pause_s in _REPEAT_DELAYS_S
                    for each in observations
                ]
        self._pending_suspects.clear()
        self._pending_crashes.clear()
        del self._scheduled[:-_MAX_SCHEDULED]

    def _send_scheduled(self) -> None:
        now = self.timing.monotonic()
        due = [each for each in self._scheduled if each.at <= now]
        self._scheduled = [each for each in self._scheduled if each.at > now]
        for each in due:
            self._send_crash(each.observed, now)

    def _send_crash(self, observed: ObservedCrash, now: float) -> None:
        for start in range(0, len(observed.suspects), _MAX_SUSPECTS_PER_MESSAGE):
            part = observed.suspects[start : start + _MAX_SUSPECTS_PER_MESSAGE]
            self._send(observed._replace(suspects=part).report(now))

    def _send(self, message: msgspec.Struct) -> None:
        recipients = self.follow_role.recipients(changed=True)
        self.datagrams.send(message, [member.peer_address for member in recipients])


def _ms(seconds: float) -> int:
    return int(max(0.0, seconds) * _MS_PER_S)
