"""Outlier ejection: backend servers that are slow or fail while others of their service are not.

Question: may this server get requests, or is it ejected for now? Inputs: the fate of requests here
and failures that other VMs report, the time of answers and the requests that the server held, the
object of each request; monotonic times in seconds.

Rules. A sample is bad when its request failed, or took `_SLOW_TIMES` the service's usual work
although this VM sent the server the same object within `_WARM_S`: an object that is new to a server
takes longer anywhere. Work is the time of an answer less the part spent in the server's queue; a
late answer of a server with a queue is no sample. A server whose bad samples are at least
`_LEAST_BAD` and `_BAD_FOR_EACH_GOOD` for each good one is ejected, for twice as long each time.
After that, the VM that is first in its order tries it alone for `_TRIAL_S`, where one bad sample
ejects it again. At most `_MOST_PART` of a service's servers and `_MOST_PART_OF_REGION` of a
region's are ejected, as the others bear their load and no request may change region beside the
shift cap. Judged beside the service, not by a fixed time, as services differ; by samples of all
VMs, as one alone sees too few.

Shows in: the event `server-ejected`. Tests: `test_gateway_outliers`. Owns the samples; relies on
the registry, and on `peer_reports` for other VMs.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple, Optional

from ..events import EventLog, NoEvents
from .backend_registry import BackendRegistry
from .backend_server import BackendServer
from .peer_reports import (
    FailureReport,
    NoReports,
    ReportSender,
    failure_report,
    names_process,
)

_WINDOW_S = 2.5
"""How long samples count, in seconds."""

_LEAST_BAD = 4
"""Least bad samples in the window of an ejected server."""

_BAD_FOR_EACH_GOOD = 3.0
"""Bad samples for each good one of an ejected server."""

_SLOW_TIMES = 2.5
"""Multiple of its service's usual work that makes a sample slow."""

_LEAST_SAMPLES = 20
"""Samples of a service before its usual work is used."""

_STEP = 0.02
"""Part by which the usual work moves with each sample: a running median."""

_WARM_S = 10.0
"""How long a server is taken to keep an object warm, in seconds."""

_MOST_KEPT = 4000
"""Most pairs of server and object that are kept, so that memory is bounded."""

_FIRST_EJECTION_S = 2.0
"""First ejection of a server, in seconds."""

_MOST_EJECTION_S = 8.0
"""Longest ejection, in seconds."""

_FORGIVEN_S = 15.0
"""Time without an ejection after which the next is a first one again, in seconds."""

_MOST_PART = 0.2
"""Largest part of a service's servers that is ejected at once."""

_MOST_PART_OF_REGION = 0.34
"""The same within a region: a third, so that none is ejected where there are one or two."""

_TRIAL_S = 1.0
"""How long one VM alone tries a server after its ejection, in seconds. Tried by all VMs at once it
got 20 to 30 requests each time."""

_REPORT_PAUSE_S = 0.1
"""Least time between two failure reports on a server, in seconds."""


_MS = 1000
"""Milliseconds in a second."""


class Sample(NamedTuple):
    """How one request ended at a server.

    Args:
        at: Monotonic time, in seconds.
        bad: True when it failed or was slow.
    """

    at: float
    bad: bool


class ServerHistory:
    """The samples and ejections of one server."""

    __slots__ = ("ejected_until", "ejections", "reported_at", "samples")

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque()
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.reported_at = float("-inf")

    def add(self, sample: Sample) -> None:
        """Keep a sample, and drop those that no longer count."""
        self.samples.append(sample)
        while self.samples[0].at < sample.at - _WINDOW_S:
            self.samples.popleft()

    def stands_out(self) -> bool:
        """Return whether bad samples outweigh good ones."""
        bad = sum(sample.bad for sample in self.samples)
        good = len(self.samples) - bad
        return bad >= _LEAST_BAD and bad >= _BAD_FOR_EACH_GOOD * good

    def on_trial(self, now: float) -> bool:
        """Return whether its ejection has just ended, so that only one VM tries it."""
        return 0.0 <= now - self.ejected_until < _TRIAL_S

    def eject(self, now: float) -> None:
        """Eject the server, twice as long as the last time."""
        if now - self.ejected_until > _FORGIVEN_S:
            self.ejections = 0
        pause_s = min(_MOST_EJECTION_S, _FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s
        self.samples.clear()


class TypicalWork:
    """What requests of each service take at a server that has no queue: a running median."""

    __slots__ = ("_counts", "_seconds")

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def seconds(self, service: str) -> float:
        """Return the usual work of a service, in seconds; 0 when not known."""
        return self._seconds.get(service, 0.0)

    def is_slow(self, service: str, work_s: float) -> bool:
        """Return whether a request took far longer than usual; it counts towards what is usual.

        Args:
            service: The service.
            work_s: Work of the request, in seconds.
        """
        typical_s = self._seconds.get(service, work_s)
        count = self._counts.get(service, 0)
        self._counts[service] = count + 1
        self._seconds[service] = typical_s * (1 + _STEP if work_s > typical_s else 1 - _STEP)
        return count >= _LEAST_SAMPLES and work_s > _SLOW_TIMES * typical_s


class SentObjects:
    """Which objects this VM recently sent to which server."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(self, server_id: str, key: str, now: float) -> bool:
        """Note that a server got an object.

        Args:
            server_id: Id of the server.
            key: The object.
            now: Monotonic time, in seconds.

        Returns:
            True when the server had the object shortly before and keeps it warm.
        """
        before = self._sent.pop((server_id, key), float("-inf"))
        self._sent[server_id, key] = now
        if len(self._sent) > _MOST_KEPT:
            self._sent.popitem(last=False)
        return now - before <= _WARM_S

    def forget(self, server_id: str) -> None:
        """Forget what a server got: its process has ended, and the next one keeps nothing warm."""
        self._sent = OrderedDict(
            (pair, at) for pair, at in self._sent.items() if pair[0] != server_id
        )

    def is_warm(self, server_id: str, key: str, now: float) -> bool:
        """Return whether a server got an object lately, so that it keeps it warm.

        Args:
            server_id: Id of the server.
            key: The object.
            now: Monotonic time, in seconds.
        """
        return now - self._sent.get((server_id, key), float("-inf")) <= _WARM_S


class OutlierDetector:
    """Judges the servers of the registry.

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
        self.typical_work = TypicalWork()
        self.sent_objects = SentObjects()
        registry.on_restart.append(self._forget)

    def record_success(
        self, server: BackendServer, key: str, seconds: float, held: int, now: float
    ) -> None:
        """Note an answer of a server's own.

        Args:
            server: The server.
            key: Object of the request; empty when it has none.
            seconds: How long the answer took.
            held: Requests that the server held when it answered, as it reports; 0 if it reports
                none.
            now: Monotonic time, in seconds.
        """
        if not key or not self.sent_objects.record(server.backend.id, key, now):
            return
        slots = server.backend.capacity
        work_s = seconds * slots / max(slots, held)
        self._sample(server, self.typical_work.is_slow(server.backend.service, work_s), now)

    def record_failure(self, server: BackendServer, now: float, *, late: bool = False) -> None:
        """Note a request that failed at a server.

        Args:
            server: The server.
            now: Monotonic time, in seconds.
            late: True when its time ran out; that is no sample if other requests wait there too.
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
        if server is not None and names_process(report, server.backend):
            self._add(server, Sample(now, True))

    def ejected(self, server: BackendServer, now: float) -> bool:
        """Return whether a server gets nothing for now, as it is ejected or another VM tries it."""
        record = self.records.get(server.backend.id)
        if record is None:
            return False
        if record.on_trial(now):
            return not self.registry.cold_limit.tries_first(server.backend)
        return now < record.ejected_until

    def drop_gone(self) -> None:
        """Drop the records of servers that are gone."""
        servers = self.registry.servers
        self.records = {name: r for name, r in self.records.items() if name in servers}

    def _forget(self, server: BackendServer) -> None:
        """Forget samples and objects of a process that has ended."""
        self.records.pop(server.backend.id, None)
        self.sent_objects.forget(server.backend.id)

    def _sample(self, server: BackendServer, bad: bool, now: float) -> None:
        record = self._add(server, Sample(now, bad))
        if bad and now - record.reported_at >= _REPORT_PAUSE_S:
            record.reported_at = now
            self.reports.send_failure(failure_report(server.backend))

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
                usual_ms=round(_MS * self.typical_work.seconds(server.backend.service), 1),
            )
        return record

    def _may_eject(self, server: BackendServer, now: float) -> bool:
        regions = self.registry.regions
        region = regions.get(server.backend.hall)
        servers = self.registry.usable(server.backend.service)
        near = [each for each in servers if regions.get(each.backend.hall) == region]
        return self._fits(servers, _MOST_PART, now) and self._fits(near, _MOST_PART_OF_REGION, now)

    def _fits(self, servers: Sequence[BackendServer], part: float, now: float) -> bool:
        """Return whether one more of some servers may be ejected."""
        out = sum(self.ejected(server, now) for server in servers)
        return out + 1 <= part * len(servers)
