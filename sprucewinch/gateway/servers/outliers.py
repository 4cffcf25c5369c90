"""Outlier ejection: keeps requests away from servers that are slow or fail while others do not.

Each request to a server gives a sample. It is bad if the request failed, or if its work took
`_SLOW_FACTOR` times the service's usual work although the object was warm there, as this VM had
sent it there shortly before (`sent_objects`); the first request for an object takes longer on any
server. Work is the time of an answer less the part spent in the server's queue. A request that
timed out at a server with a queue gives no sample. Failures that other VMs report count as bad
samples too.

Where servers state their pace, the work is divided by it first: the fleet places requests by the
pace, and a server that is slow by its own statement is no outlier. The pace may have changed while
the server worked, so a request is slow there from `_PACED_SLOW_FACTOR` on. About 3 in 100 requests
take far longer than others at any server, and reports on these alone would eject good servers in a
large fleet: a slow request gives no sample unless the server's request before it, at this VM, was
slow too.

A server is ejected when its samples within `_WINDOW_S` hold at least `_MIN_BAD_SAMPLES` bad ones
and `_MIN_BAD_PER_GOOD` bad ones for each good one. Each ejection lasts twice as long as the one
before, up to `_MAX_EJECTION_S`. After it, the VM that is first in the server's order tries the
server alone for `_TRIAL_S`, in which one bad sample ejects it again. At most
`_MAX_EJECTED_FRACTION` of a service's servers and `_MAX_EJECTED_FRACTION_OF_REGION` of those in one
region are ejected at once: the others must bear their load, and no request may change region beyond
the shift cap.

Servers are compared with their service and not with a fixed time, as services differ. The samples
of all VMs count, as one VM alone sees too few.

Owns the samples, ejections and usual times of work; inputs are the ends of this VM's requests with
their object, time and the requests that the server held, and monotonic times in seconds. Relies on
the registry, and on `peer_reports` for other VMs. Ejections show in the event `server-ejected`.
Tests: `test_gateway_outliers`.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Optional

from ..events import EventLog, NoEvents
from ..state.named_state import NamedStateOwner, NamedTable, NameKind
from .backend_registry import BackendRegistry
from .backend_server import BackendServer
from .capacity.work_times import work_without_queue_s
from .peer_reports import (
    FailureReport,
    NoReports,
    ReportSender,
    failure_report,
    names_process,
)
from .sent_objects import SentObjects

_WINDOW_S = 2.5
"""Time for which a sample counts, in seconds."""

_MIN_BAD_SAMPLES = 4
"""Bad samples within the window that are needed for an ejection."""

_MIN_BAD_PER_GOOD = 3.0
"""Bad samples for each good one that are needed for an ejection."""

_SLOW_FACTOR = 2.5
"""Multiple of a service's usual work beyond which a request is slow."""

_PACED_SLOW_FACTOR = 4.0
"""The same where servers state their pace: above the 2.5 times by which a change of pace slows work
down, and below the five times by which a faulty server does."""

_MIN_SAMPLES = 20
"""Samples of a service that are needed before its usual work is used."""

_MEDIAN_STEP = 0.02
"""Part by which each sample moves the usual work, which is a running median."""

_FIRST_EJECTION_S = 2.0
"""Time of a server's first ejection, in seconds."""

_MAX_EJECTION_S = 8.0
"""Longest ejection, in seconds."""

_EJECTION_RESET_S = 15.0
"""Time since the last ejection after which the next one counts as the first, in seconds."""

_MAX_EJECTED_FRACTION = 0.2
"""Largest part of a service's servers that may be ejected at once."""

_MAX_EJECTED_FRACTION_OF_REGION = 0.34
"""The same within a region: a third, so that none is ejected in a region with one or two."""

_TRIAL_S = 1.0
"""Time for which one VM alone tries a server after its ejection, in seconds. When all VMs tried it
at once, it got 20 to 30 requests each time."""

_REPORT_PAUSE_S = 0.1
"""Shortest time between two failure reports on a server, in seconds."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


class Sample(NamedTuple):
    """How one request ended at a server.

    Args:
        at: Monotonic time of the end, in seconds.
        bad: True if the request failed or was slow.
    """

    at: float
    bad: bool


class ServerHistory:
    """The samples and ejections of one server."""

    __slots__ = ("ejected_until", "ejections", "reported_at", "samples", "slow_before")

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque()
        self.slow_before = False
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.reported_at = float("-inf")

    def add(self, sample: Sample) -> None:
        """Keep a sample, and drop those that no longer count."""
        self.samples.append(sample)
        while self.samples[0].at < sample.at - _WINDOW_S:
            self.samples.popleft()

    def is_outlier(self) -> bool:
        """Return whether its bad samples suffice for an ejection."""
        bad = sum(sample.bad for sample in self.samples)
        good = len(self.samples) - bad
        return bad >= _MIN_BAD_SAMPLES and bad >= _MIN_BAD_PER_GOOD * good

    def in_trial(self, now: float) -> bool:
        """Return whether its ejection ended within `_TRIAL_S`, so that only one VM tries it."""
        return 0.0 <= now - self.ejected_until < _TRIAL_S

    def eject(self, now: float) -> None:
        """Eject the server, twice as long as the last time."""
        if now - self.ejected_until > _EJECTION_RESET_S:
            self.ejections = 0
        ejection_s = min(_MAX_EJECTION_S, _FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + ejection_s
        self.samples.clear()


class TypicalWork:
    """The usual work of each service: a running median of times without queueing."""

    __slots__ = ("sample_counts", "typical_s")

    def __init__(self) -> None:
        self.typical_s: dict[str, float] = {}
        self.sample_counts: dict[str, int] = {}

    def seconds(self, service: str) -> float:
        """Return the usual work of a service, in seconds; 0 if not known."""
        return self.typical_s.get(service, 0.0)

    def is_slow(self, service: str, work_s: float, factor: float = _SLOW_FACTOR) -> bool:
        """Return whether a request took far longer than usual, and update the usual work with it.

        Args:
            service: The service.
            work_s: Work of the request, in seconds.
            factor: Multiple of the usual work beyond which it is slow.
        """
        typical_s = self.typical_s.get(service, work_s)
        count = self.sample_counts.get(service, 0)
        self.sample_counts[service] = count + 1
        self.typical_s[service] = typical_s * (
            1 + _MEDIAN_STEP if work_s > typical_s else 1 - _MEDIAN_STEP
        )
        return count >= _MIN_SAMPLES and work_s > factor * typical_s


class OutlierDetector(NamedStateOwner):
    """Decides which servers of the registry are ejected.

    Args:
        registry: Backend servers.
        reports: Sends failure reports to other VMs; None to send none.
        events: Logs each ejection; None to log none.
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
        self.histories: dict[str, ServerHistory] = {}
        self.typical_work = TypicalWork()
        self.sent_objects = SentObjects()
        registry.on_restart.append(self._forget_process)

    def record_success(
        self,
        server: BackendServer,
        key: str,
        seconds: float,
        held: int,
        now: float,
        pace: Optional[float] = None,
    ) -> None:
        """Record an answer that the server itself gave.

        Args:
            server: The server.
            key: Key of the request's object; empty if it has none.
            seconds: Time that the answer took, in seconds.
            held: Requests that the server held when it answered, as it states; 0 if it states none.
            now: Monotonic time, in seconds.
            pace: Pace that the server stated with the answer; None if it stated none.
        """
        if not key or not self.sent_objects.record(server.backend.id, key, now):
            return
        service = server.backend.service
        work_s = work_without_queue_s(seconds, server.backend.capacity, held)
        if pace is None:
            self._record_sample(server, self.typical_work.is_slow(service, work_s), now)
            return
        slow = self.typical_work.is_slow(service, work_s / pace, _PACED_SLOW_FACTOR)
        history = self.histories.setdefault(server.backend.id, ServerHistory())
        slow_before, history.slow_before = history.slow_before, slow
        if slow_before or not slow:
            self._record_sample(server, slow, now)

    def record_failure(self, server: BackendServer, now: float, *, late: bool = False) -> None:
        """Record a request that failed at a server.

        Args:
            server: The server.
            now: Monotonic time, in seconds.
            late: True if the request timed out; that is no sample if others wait at the server.
        """
        if not late or server.load(now) <= server.backend.capacity:
            self._record_sample(server, True, now)

    def on_failure_report(self, report: FailureReport, now: float) -> None:
        """Count a failure that another VM has seen.

        Args:
            report: The other VM's report.
            now: Monotonic time, in seconds.
        """
        server = self.registry.servers.get(report.server)
        if server is not None and names_process(report, server.backend):
            self._add_sample(server, Sample(now, True))

    def ejected(self, server: BackendServer, now: float) -> bool:
        """Return whether a server is ejected, or is being tried by another VM only."""
        history = self.histories.get(server.backend.id)
        if history is None:
            return False
        if history.in_trial(now):
            return not self.registry.cold_limit.tries_first(server.backend)
        return now < history.ejected_until

    def named_tables(self) -> Iterable[NamedTable]:
        """Return the usual work by service; see `NamedStateOwner`."""
        work = self.typical_work
        yield NamedTable("typical_work", NameKind.SERVICE, work.typical_s)
        yield NamedTable("typical_work_samples", NameKind.SERVICE, work.sample_counts)

    def drop_removed(self) -> None:
        """Drop the histories of servers that are no longer in the registry."""
        servers = self.registry.servers
        self.histories = {name: r for name, r in self.histories.items() if name in servers}

    def _forget_process(self, server: BackendServer) -> None:
        """Forget the samples and objects of a process that has ended."""
        self.histories.pop(server.backend.id, None)
        self.sent_objects.forget(server.backend.id)

    def _record_sample(self, server: BackendServer, bad: bool, now: float) -> None:
        history = self._add_sample(server, Sample(now, bad))
        if bad and now - history.reported_at >= _REPORT_PAUSE_S:
            history.reported_at = now
            self.reports.send_failure(failure_report(server.backend))

    def _add_sample(self, server: BackendServer, sample: Sample) -> ServerHistory:
        history = self.histories.setdefault(server.backend.id, ServerHistory())
        if sample.at < history.ejected_until:
            return history
        history.add(sample)
        failed_trial = sample.bad and history.in_trial(sample.at)
        if (failed_trial or history.is_outlier()) and self._may_eject(server, sample.at):
            history.eject(sample.at)
            self.events.state(
                "server-ejected",
                server=server.backend.id,
                for_s=round(history.ejected_until - sample.at, 1),
                usual_ms=round(_MS_PER_S * self.typical_work.seconds(server.backend.service), 1),
            )
        return history

    def _may_eject(self, server: BackendServer, now: float) -> bool:
        regions = self.registry.regions
        region = regions.get(server.backend.hall)
        servers = self.registry.offered(server.backend.service)
        in_region = [each for each in servers if regions.get(each.backend.hall) == region]
        return self._may_eject_another(
            servers, _MAX_EJECTED_FRACTION, now
        ) and self._may_eject_another(in_region, _MAX_EJECTED_FRACTION_OF_REGION, now)

    def _may_eject_another(self, servers: Sequence[BackendServer], part: float, now: float) -> bool:
        """Return whether one more server can be ejected without exceeding a part of all given."""
        ejected_count = sum(self.ejected(server, now) for server in servers)
        return ejected_count + 1 <= part * len(servers)
