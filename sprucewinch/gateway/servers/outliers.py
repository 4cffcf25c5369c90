"""Outlier ejection: backend servers that are slow or fail while others of their service are not.

A sample is bad when its request failed, or took several times what the service usually takes
although this VM had sent the server the same object shortly before: an object that is new to a
server takes longer anywhere. VMs tell each other of bad samples, as one alone sees too few. An
ejected server's objects go to the next in their order; after a while it is tried again. Never more
than a part of a service is ejected, as the others have to bear its load.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple, Optional

from ..events import EventLog, NoEvents
from .backend_registry import BackendRegistry
from .backend_server import BackendServer
from .peer_reports import FailureReport, NoReports, ReportSender

_WINDOW_S = 2.5
"""How long samples count, in seconds."""

_LEAST_BAD = 4
_BAD_FOR_EACH_GOOD = 3.0
_SLOW_TIMES = 2.5
"""How many times the usual work of its service makes a sample slow."""

_LEAST_SAMPLES = 20
"""Samples of a service before its usual work is trusted."""

_STEP = 0.02
"""Part by which the usual work moves with each sample: a running median."""

_WARM_S = 10.0
"""How long a server is taken to keep an object warm, in seconds."""

_MOST_KEPT = 4000
_FIRST_EJECTION_S = 2.0
_MOST_EJECTION_S = 8.0
_FORGIVEN_S = 15.0
"""Time without an ejection after which the next is a first one again, in seconds."""

_MOST_PART = 0.2
"""Largest part of a service's servers that is ejected at once."""

_MOST_PART_OF_REGION = 0.34
"""The same within a region: ejections move objects to other servers there, not to other regions."""

_TRIAL_S = 1.0
"""How long one VM alone tries a server after its ejection, in seconds."""

_TELL_S = 0.1


class Sample(NamedTuple):
    """One request's fate at a server, as monotonic time in seconds and a verdict."""

    at: float
    bad: bool


class ServerHistory:
    """What speaks for and against one server."""

    __slots__ = ("ejected_until", "ejections", "samples", "told_at")

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque()
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.told_at = float("-inf")

    def add(self, sample: Sample) -> None:
        """Keep a sample, and drop those that no longer count."""
        self.samples.append(sample)
        while self.samples[0].at < sample.at - _WINDOW_S:
            self.samples.popleft()

    def stands_out(self) -> bool:
        """Tell whether bad samples outweigh good ones."""
        bad = sum(sample.bad for sample in self.samples)
        good = len(self.samples) - bad
        return bad >= _LEAST_BAD and bad >= _BAD_FOR_EACH_GOOD * good

    def on_trial(self, now: float) -> bool:
        """Tell whether its ejection is over and it has not proved itself yet."""
        return 0.0 <= now - self.ejected_until < _TRIAL_S

    def eject(self, now: float) -> None:
        """Eject the server, twice as long as the last time."""
        if now - self.ejected_until > _FORGIVEN_S:
            self.ejections = 0
        pause_s = min(_MOST_EJECTION_S, _FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s
        self.samples.clear()


class OutlierDetector:
    """Judges the servers of a book.

    Args:
        registry: Backend servers.
        reports: Sends failure reports to other VMs; None to send none.
        events: Takes a line for each ejection; None for none.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        reports: Optional[ReportSender] = None,
        events: Optional[EventLog] = None,
    ) -> None:
        self.registry = registry
        self.reports = reports or NoReports()
        self.events = events or NoEvents()
        self.records: dict[str, ServerHistory] = {}
        self.typical_s: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self._sent: OrderedDict[tuple[str, str], float] = OrderedDict()

    def answered(
        self, server: BackendServer, key: str, seconds: float, held: int, now: float
    ) -> None:
        """Note an answer of a server's own.

        Args:
            server: The server.
            key: Object of the request; empty when it has none.
            seconds: How long the answer took.
            held: Requests that the server held when it answered, as it said; 0 when it did not.
            now: Monotonic time, in seconds.
        """
        if not key or not self._kept_warm(server.backend.id, key, now):
            return
        slots = server.backend.capacity
        work_s = seconds * slots / max(slots, held)
        self._sample(server, self._is_slow(server.backend.service, work_s), now)

    def failed(self, server: BackendServer, now: float, *, late: bool = False) -> None:
        """Note a request that failed at a server.

        Args:
            server: The server.
            now: Monotonic time, in seconds.
            late: It was given up for its time; no fault of a server where others wait too.
        """
        if not late or server.load(now) <= server.backend.capacity:
            self._sample(server, True, now)

    def on_failure_report(self, report: FailureReport, now: float) -> None:
        """Count a failure that another VM has seen.

        Args:
            report: The other VM's report.
            now: Monotonic time, in seconds.
        """
        server = self.registry.servers.get(report.server)
        if server is not None:
            self._add(server, Sample(now, True))

    def ejected(self, server: BackendServer, now: float) -> bool:
        """Tell whether a server is to get nothing for now."""
        record = self.records.get(server.backend.id)
        if record is None:
            return False
        if record.on_trial(now):
            return not self.registry.tries_first(server)
        return now < record.ejected_until

    def forget(self) -> None:
        """Drop what is known of servers that are gone."""
        servers = self.registry.servers
        self.records = {name: r for name, r in self.records.items() if name in servers}

    def _kept_warm(self, server_id: str, key: str, now: float) -> bool:
        """Tell whether a server had this object lately; from now on it has."""
        before = self._sent.pop((server_id, key), float("-inf"))
        self._sent[server_id, key] = now
        if len(self._sent) > _MOST_KEPT:
            self._sent.popitem(last=False)
        return now - before <= _WARM_S

    def _is_slow(self, service: str, work_s: float) -> bool:
        typical_s = self.typical_s.get(service, work_s)
        count = self.counts.get(service, 0)
        self.counts[service] = count + 1
        self.typical_s[service] = typical_s * (1 + _STEP if work_s > typical_s else 1 - _STEP)
        return count >= _LEAST_SAMPLES and work_s > _SLOW_TIMES * typical_s

    def _sample(self, server: BackendServer, bad: bool, now: float) -> None:
        record = self._add(server, Sample(now, bad))
        if bad and now - record.told_at >= _TELL_S:
            record.told_at = now
            self.reports.send_failure(FailureReport(server.backend.id))

    def _add(self, server: BackendServer, sample: Sample) -> ServerHistory:
        record = self.records.setdefault(server.backend.id, ServerHistory())
        if sample.at < record.ejected_until:
            return record
        record.add(sample)
        caught = sample.bad and record.on_trial(sample.at)
        if (caught or record.stands_out()) and self._may_eject(server, sample.at):
            record.eject(sample.at)
            self.events.state(
                "server-ejected",
                server=server.backend.id,
                for_s=round(record.ejected_until - sample.at, 1),
                usual_ms=round(1000 * self.typical_s.get(server.backend.service, 0.0), 1),
            )
        return record

    def _may_eject(self, server: BackendServer, now: float) -> bool:
        regions = self.registry.regions
        region = regions.get(server.backend.hall)
        servers = self.registry.usable(server.backend.service)
        near = [each for each in servers if regions.get(each.backend.hall) == region]
        return self._fits(servers, _MOST_PART, now) and self._fits(near, _MOST_PART_OF_REGION, now)

    def _fits(self, servers: Sequence[BackendServer], part: float, now: float) -> bool:
        """Tell whether one more of some servers may be ejected."""
        out = sum(self.ejected(server, now) for server in servers)
        return out + 1 <= part * len(servers)
