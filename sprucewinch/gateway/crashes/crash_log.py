"""Records which backend servers crashed, and which requests they had when they did.

The log holds the recent crashes that this VM and others saw, and the successes that clear a request
of them. Neither the order of reports nor how often they arrive changes the result: each process
crashes once, the requests that any VM had there are merged, and a success clears the crashes before
it, also where a crash is reported later. A server that keeps its id and states no incarnation may
crash again: crashes of such a server further apart than `_MAX_REPORT_GAP_S` are two.

At most `_MAX_CRASHES` are kept and the oldest is evicted, so that callers who crash servers on
purpose cost no memory. The log relies on nothing; `crash_attribution` assesses it.
`test_gateway_crash_attribution` tests this module.
"""

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Optional

_RETENTION_S = 900.0
"""How long a crash is kept, in seconds: a caller may send its request again after minutes."""

_MAX_REPORT_GAP_S = 0.75
"""Longest time between two reports of one crash, in seconds: it allows for the delay of reports and
for a busy VM, and is half of the shortest time in which a server restarts."""

_MAX_CRASHES = 256
"""Crashes that are kept; with the requests of fully loaded servers they take some 0.5 MB."""

_MAX_SUSPECTS = 32
"""Requests that are kept of one crash: more than a server runs and queues at once. The earliest are
kept, because the server had begun to run them."""

_MAX_SUCCESSES = 1024
"""Successes that are kept, the most recent ones."""


class ServerProcess(NamedTuple):
    """One process of a backend server.

    Args:
        server_id: Id of the server.
        incarnation: Number of its process, where the server states it; else 0.
    """

    server_id: str
    incarnation: int = 0


class SuspectRun(NamedTuple):
    """A request's run at a server that crashed during it; monotonic times, in seconds."""

    started: float
    ended: float


class Suspect(NamedTuple):
    """A request that a server had when its process ended.

    Args:
        fingerprint: Fingerprint of the request.
        target_hash: Hash of its target, see `fingerprint.target_hash`.
        what: Its method and path, for operators.
        started: Monotonic time at which it was sent to the server, in seconds.
    """

    fingerprint: bytes
    target_hash: int
    what: str
    started: float


class Crash:
    """The end of one server's process.

    Args:
        process: The process.
        service: Service that it ran.
        at: Monotonic time at which it was first seen, in seconds.

    Attributes:
        suspects: Requests that the server had, by fingerprint.
        seen_by: Names of the VMs that saw it.
    """

    __slots__ = ("at", "process", "seen_by", "service", "suspects")

    def __init__(self, process: ServerProcess, service: str, at: float) -> None:
        self.process = process
        self.service = service
        self.at = at
        self.suspects: dict[bytes, Suspect] = {}
        self.seen_by: set[str] = set()

    def add(self, suspect: Suspect) -> None:
        """Add a request that the server had; of equal requests the first sent counts."""
        held = self.suspects.get(suspect.fingerprint)
        if held is None or suspect.started < held.started:
            self.suspects[suspect.fingerprint] = suspect


class CrashLog:
    """The crashes and successes that count as evidence."""

    def __init__(self) -> None:
        self.crashes: deque[Crash] = deque()
        self._successes: OrderedDict[bytes, float] = OrderedDict()
        self._by_process: dict[ServerProcess, list[Crash]] = {}
        self._by_request: dict[bytes, list[Crash]] = {}
        self._targets: defaultdict[int, set[bytes]] = defaultdict(set)

    def add(
        self,
        process: ServerProcess,
        service: str,
        at: float,
        suspects: Mapping[bytes, Suspect],
        seen_by: Iterable[str],
    ) -> None:
        """Merge what VMs saw of a crash.

        Args:
            process: The process that ended.
            service: Service that it ran.
            at: Monotonic time of the crash, in seconds.
            suspects: The requests that these VMs had at the server, by fingerprint.
            seen_by: Names of these VMs.
        """
        crash = self._find(process, at) or self._create(process, service, at)
        crash.at = min(crash.at, at)
        crash.seen_by.update(seen_by)
        for suspect in suspects.values():
            if self._successes.get(suspect.fingerprint, float("-inf")) < at:
                crash.add(suspect)
                self._index(crash, suspect)
        while len(crash.suspects) > _MAX_SUSPECTS:
            last = max(crash.suspects.values(), key=lambda suspect: suspect.started)
            self._remove_suspect(crash, last.fingerprint)
        self._evict_old(at)

    def record_success(self, fingerprint: bytes, at: float) -> None:
        """Record a success of a request, which clears it of all earlier crashes.

        Args:
            fingerprint: Fingerprint of the request.
            at: Monotonic time of the success, in seconds.
        """
        at = max(at, self._successes.pop(fingerprint, float("-inf")))
        self._successes[fingerprint] = at
        if len(self._successes) > _MAX_SUCCESSES:
            self._successes.popitem(last=False)
        for crash in list(self._by_request.get(fingerprint, ())):
            if crash.at <= at:
                self._remove_suspect(crash, fingerprint)

    def is_crash_of(self, crash: Crash, process: ServerProcess, at: float) -> bool:
        """Return whether a crash is the one of a process at a monotonic time, in seconds."""
        if crash.process != process:
            return False
        return process.incarnation != 0 or abs(crash.at - at) <= _MAX_REPORT_GAP_S

    def last_success(self, fingerprint: bytes) -> float:
        """Return the monotonic time of an equal request's last success, in seconds.

        It is minus infinity when none is known.
        """
        return self._successes.get(fingerprint, float("-inf"))

    def crash_count(self, fingerprint: bytes) -> int:
        """Return the number of crashes of which a request is a suspect."""
        return len(self._by_request.get(fingerprint, ()))

    def crashes_of(self, fingerprint: bytes) -> list[Crash]:
        """Return the crashes of which a request is a suspect, the earliest first."""
        return sorted(self._by_request.get(fingerprint, ()), key=lambda crash: crash.at)

    def has_target(self, target_hash: int) -> bool:
        """Return whether some suspect has this target."""
        return target_hash in self._targets

    def suspect(self, fingerprint: bytes) -> Optional[Suspect]:
        """Return a suspect by its fingerprint; None when the request is no suspect."""
        crashes = self._by_request.get(fingerprint)
        return crashes[0].suspects[fingerprint] if crashes else None

    def _find(self, process: ServerProcess, at: float) -> Optional[Crash]:
        """Return the crash of a process at a time; None when it is not known."""
        for crash in self._by_process.get(process, ()):
            if self.is_crash_of(crash, process, at):
                return crash
        return None

    def _create(self, process: ServerProcess, service: str, at: float) -> Crash:
        crash = Crash(process, service, at)
        self.crashes.append(crash)
        self._by_process.setdefault(process, []).append(crash)
        return crash

    def _index(self, crash: Crash, suspect: Suspect) -> None:
        crashes = self._by_request.setdefault(suspect.fingerprint, [])
        if crash not in crashes:
            crashes.append(crash)
        self._targets[suspect.target_hash].add(suspect.fingerprint)

    def _remove_suspect(self, crash: Crash, fingerprint: bytes) -> None:
        """Remove a request from the suspects of a crash."""
        suspect = crash.suspects.pop(fingerprint)
        crashes = self._by_request[fingerprint]
        crashes.remove(crash)
        if crashes:
            return
        del self._by_request[fingerprint]
        fingerprints = self._targets[suspect.target_hash]
        fingerprints.discard(fingerprint)
        if not fingerprints:
            del self._targets[suspect.target_hash]

    def _evict_old(self, now: float) -> None:
        while self.crashes:
            oldest = self.crashes[0]
            if len(self.crashes) <= _MAX_CRASHES and now - oldest.at < _RETENTION_S:
                return
            for fingerprint in list(oldest.suspects):
                self._remove_suspect(oldest, fingerprint)
            self.crashes.popleft()
            crashes = self._by_process[oldest.process]
            crashes.remove(oldest)
            if not crashes:
                del self._by_process[oldest.process]
