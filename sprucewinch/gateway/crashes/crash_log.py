"""Evidence: which backend servers crashed, and which requests were there when they did.

Owns the crashes that this VM and others have seen of late and the good ends that clear a request of
them. The order in which reports arrive, or how often, changes nothing: a crash is one for each
process, the requests that any VM had there are joined, and a good end clears what came before it,
also where the report of that comes later. A server that keeps its id and states no incarnation may
crash again: crashes of such a server further apart than `_ONE_CRASH_S` are two.

Bounded by `_MOST_CRASHES`, of which the oldest goes, so that callers who crash servers on purpose
cost no memory. Relies on nothing; `guilt` judges by it. Tests: `test_gateway_guilt`.
"""

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Optional

_KEPT_S = 900.0
"""How long a crash counts, in seconds: a caller may come back after minutes."""

_ONE_CRASH_S = 0.75
"""Time between two reports of one crash at the most, in seconds: the way of reports, and a VM that
was busy; half of what a server takes at the least to start again."""

_MOST_CRASHES = 256
"""Crashes that are kept at the most. With the requests of full servers they take some 0.5 MB."""

_MOST_REQUESTS = 32
"""Requests that are kept of one crash: more than a server runs and queues at once. Those that came
first are kept, as the server had begun to run them."""

_MOST_GOOD_ENDS = 1024
"""Good ends that are kept at the most, the newest."""


class ServerProcess(NamedTuple):
    """One process of a backend server.

    Args:
        server_id: Id of the server.
        incarnation: Which process it is, where the server states it; else 0.
    """

    server_id: str
    incarnation: int = 0


class SuspectRun(NamedTuple):
    """A request's stay at a server whose process ended meanwhile; monotonic times, in seconds."""

    started: float
    ended: float


class Suspect(NamedTuple):
    """A request that was at a server when its process ended.

    Args:
        fingerprint: Names the request.
        target_hash: Hash of what it is for, see `fingerprint.target_hash`.
        what: Its method and path, for operators.
        started: Monotonic time at which it was sent there, in seconds.
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
        suspects: Requests that were there, by fingerprint.
        seen_by: VMs that saw it.
    """

    __slots__ = ("at", "process", "seen_by", "service", "suspects")

    def __init__(self, process: ServerProcess, service: str, at: float) -> None:
        self.process = process
        self.service = service
        self.at = at
        self.suspects: dict[bytes, Suspect] = {}
        self.seen_by: set[str] = set()

    def add(self, suspect: Suspect) -> None:
        """Join a request that was there; of equal ones the first counts."""
        held = self.suspects.get(suspect.fingerprint)
        if held is None or suspect.started < held.started:
            self.suspects[suspect.fingerprint] = suspect


class CrashLog:
    """The crashes and good ends that count."""

    def __init__(self) -> None:
        self.crashes: deque[Crash] = deque()
        self._good_ends: OrderedDict[bytes, float] = OrderedDict()
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
        """Join what VMs saw of a crash.

        Args:
            process: The process that ended.
            service: Service that it ran.
            at: Monotonic time of the crash, in seconds.
            suspects: Their requests there, by fingerprint.
            seen_by: Names of these VMs.
        """
        crash = self._find(process, at) or self._begin(process, service, at)
        crash.at = min(crash.at, at)
        crash.seen_by.update(seen_by)
        for suspect in suspects.values():
            if self._good_ends.get(suspect.fingerprint, float("-inf")) < at:
                crash.add(suspect)
                self._index(crash, suspect)
        while len(crash.suspects) > _MOST_REQUESTS:
            last = max(crash.suspects.values(), key=lambda suspect: suspect.started)
            self._clear(crash, last.fingerprint)
        self._forget_old(at)

    def note_good_end(self, fingerprint: bytes, at: float) -> None:
        """Clear a request of all crashes before it, or an equal one, ran to a good end.

        Args:
            fingerprint: Names the request.
            at: Monotonic time of the good end, in seconds.
        """
        at = max(at, self._good_ends.pop(fingerprint, float("-inf")))
        self._good_ends[fingerprint] = at
        if len(self._good_ends) > _MOST_GOOD_ENDS:
            self._good_ends.popitem(last=False)
        for crash in list(self._by_request.get(fingerprint, ())):
            if crash.at <= at:
                self._clear(crash, fingerprint)

    def is_same(self, crash: Crash, process: ServerProcess, at: float) -> bool:
        """Return whether a crash is that of a process at some time."""
        if crash.process != process:
            return False
        return process.incarnation != 0 or abs(crash.at - at) <= _ONE_CRASH_S

    def last_good_end(self, fingerprint: bytes) -> float:
        """Return when an equal request last ran to a good end, as monotonic time in seconds."""
        return self._good_ends.get(fingerprint, float("-inf"))

    def crash_count(self, fingerprint: bytes) -> int:
        """Return of how many crashes a request is a suspect."""
        return len(self._by_request.get(fingerprint, ()))

    def crashes_of(self, fingerprint: bytes) -> list[Crash]:
        """Return the crashes that a request is a suspect of, the earliest first."""
        return sorted(self._by_request.get(fingerprint, ()), key=lambda crash: crash.at)

    def has_target(self, target_hash: int) -> bool:
        """Return whether some suspect is for this target."""
        return target_hash in self._targets

    def suspect(self, fingerprint: bytes) -> Optional[Suspect]:
        """Return what is known of a request that is a suspect; None when it is none."""
        crashes = self._by_request.get(fingerprint)
        return crashes[0].suspects[fingerprint] if crashes else None

    def _find(self, process: ServerProcess, at: float) -> Optional[Crash]:
        """Return the crash of a process at a time; None when it is not known yet."""
        for crash in self._by_process.get(process, ()):
            if self.is_same(crash, process, at):
                return crash
        return None

    def _begin(self, process: ServerProcess, service: str, at: float) -> Crash:
        crash = Crash(process, service, at)
        self.crashes.append(crash)
        self._by_process.setdefault(process, []).append(crash)
        return crash

    def _index(self, crash: Crash, suspect: Suspect) -> None:
        crashes = self._by_request.setdefault(suspect.fingerprint, [])
        if crash not in crashes:
            crashes.append(crash)
        self._targets[suspect.target_hash].add(suspect.fingerprint)

    def _clear(self, crash: Crash, fingerprint: bytes) -> None:
        """Forget that a request is a suspect of a crash."""
        suspect = crash.suspects.pop(fingerprint)
        crashes = self._by_request[fingerprint]
        crashes.remove(crash)
        if crashes:
            return
        del self._by_request[fingerprint]
        names = self._targets[suspect.target_hash]
        names.discard(fingerprint)
        if not names:
            del self._targets[suspect.target_hash]

    def _forget_old(self, now: float) -> None:
        while self.crashes:
            oldest = self.crashes[0]
            if len(self.crashes) <= _MOST_CRASHES and now - oldest.at < _KEPT_S:
                return
            for fingerprint in list(oldest.suspects):
                self._clear(oldest, fingerprint)
            self.crashes.popleft()
            crashes = self._by_process[oldest.process]
            crashes.remove(oldest)
            if not crashes:
                del self._by_process[oldest.process]
