"""All backend servers that this VM knows, grouped by service.

Owns the table of servers, which follows the store's items, and the parts that decide about servers:
cold limit, cold starts, incarnations, lapsed entries, load reports, service and work times. Relies
on `state` for the store's items. The rules are in the modules of those parts; this one calls them.
"""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple, Optional

from ..events import EventLog, NoEvents
from ..membership.known_vms import KnownVms
from ..resources import BackendEntry, Evacuation, RouteConfiguration
from ..settings import Bounds
from ..state.named_state import NamedStateOwner, NamedTable, NameKind
from ..state.outages import StoreOutages
from ..state.store_view import Change, StoreView
from ..statements.load_report import LoadReport
from ..statements.process_statements import ServerProcessId, StatementTable
from .backend_server import BackendServer
from .capacity.service_times import ServiceTimes
from .capacity.usual_load import UsualLoad
from .capacity.work_times import WorkTimes, work_without_queue_s
from .cold_limit import (
    COLD_MARGIN_S,
    ColdLimit,
    ColdPart,
    ColdReason,
    ColdStart,
    ColdStarts,
    service_rule,
)
from .incarnations import Incarnations, Succession
from .lapsed_entries import LapsedEntries
from .load_reports import LoadReports
from .peer_reports import NoReports, ReportSender
from .usability import not_offered_reason

_UNREADABLE_KEPT_S = 60.0
"""Time for which a server's data is kept while its entry cannot be read, in seconds. The server
writes its entry again within seconds; if it were treated as a new one, it would count as cold and
get a few requests a second instead of its share."""

UNPROVEN_S = 1.0
"""Time for which a server that is listed at the start is unproven, in seconds: long enough for the
answers of other VMs, and for a health check and the report on it."""

_TIME_DIGITS = 3
"""Decimal places of a time in seconds, which give it to the millisecond."""


class _Unreadable(NamedTuple):
    """A server whose entry cannot be read, and the monotonic time since when, in seconds."""

    server: BackendServer
    since: float


class BackendRegistry(NamedStateOwner):
    """All backend servers, updated with the store's items as this VM holds them.

    Args:
        store_view: What this VM holds of the store.
        bounds: The bounds that apply to the whole fleet.
        name: Name of this VM.
        regions: Region of each data hall.
        outages: Records when the store was unreachable.
        reports: Sends overload reports to other VMs; None to send none.

    Attributes:
        events: Logs which servers count as cold, and why.
        known_vms: The VMs among which the fleet's limits are divided.
        doubts_until: Monotonic time from which no server is doubted or unproven, in seconds.
        doubts_listed: True while servers that are listed at the start are unproven; see
            `start_doubts`.
    """

    def __init__(
        self,
        store_view: StoreView,
        bounds: Bounds,
        name: str,
        regions: dict[str, str],
        outages: StoreOutages,
        reports: Optional[ReportSender] = None,
    ) -> None:
        self.events: EventLog = NoEvents()
        self.store_view = store_view
        self.regions = regions
        self.generation = 0
        self.to_probe: list[BackendServer] = []
        self.servers: dict[str, BackendServer] = {}
        self.by_service: dict[str, tuple[BackendServer, ...]] = {}
        self.statement_table = StatementTable(on_leaving=self._regroup)
        self.times = ServiceTimes()
        self.work_times = WorkTimes()
        self.usual_loads: dict[str, UsualLoad] = {}
        self.lapsed_entries = LapsedEntries(outages)
        self.known_vms = KnownVms(name, store_view)
        self.cold_limit = ColdLimit(store_view, self.known_vms, bounds, regions)
        self.cold_starts = ColdStarts(store_view, self.lapsed_entries)
        self.incarnations = Incarnations()
        self.load_reports = LoadReports(self.servers, self.times, reports or NoReports())
        self.on_restart: list[Callable[[BackendServer], None]] = []
        self._unreadable: dict[str, _Unreadable] = {}
        self._failed_addresses: set[str] = set()
        self.doubts_until = float("-inf")
        self.doubts_listed = False
        store_view.listeners.append(self._on_change)

    def named_tables(self) -> Iterable[NamedTable]:
        """Return what is learned by route and service; see `NamedStateOwner`."""
        yield NamedTable("work_times_by_route", NameKind.ROUTE, self.work_times.by_route)
        yield NamedTable("work_times", NameKind.SERVICE, self.work_times.by_service)
        yield NamedTable("usual_loads", NameKind.SERVICE, self.usual_loads)
        yield NamedTable("typical_times", NameKind.SERVICE, self.times.typical_s)
        yield NamedTable("low_quantiles", NameKind.SERVICE, self.times.low_quantiles_s)
        yield NamedTable("answer_counts", NameKind.SERVICE, self.times.answer_counts)
        answered = self.cold_limit.answered_fraction
        yield NamedTable("cold_answers", NameKind.SERVICE, answered)

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the fleet's bounds."""
        self.cold_limit.set_bounds(bounds)

    def count_new_as_cold(self) -> None:
        """Count servers that appear from now on as cold; those listed at the start are not new."""
        self.cold_starts.count_new_as_cold()

    def offered(self, service: str) -> tuple[BackendServer, ...]:
        """Return the offered servers of a service, including those that are skipped for now."""
        return self.by_service.get(service, ())

    def offers(self, server: BackendServer, service: str) -> bool:
        """Return whether a server is still offered, which includes one that is skipped for now.

        Args:
            server: The server.
            service: The service for which it was selected.
        """
        return server in self.offered(service)

    def vm_count(self) -> int:
        """Return how many VMs may share the fleet's limits; a high count is the safe side."""
        return self.known_vms.count()

    def record_success(self, server: BackendServer, seconds: float, now: float) -> None:
        """Record an answer that the server itself gave, and the time it took, in seconds."""
        server.record_success(seconds, now)
        self.times.record_success(server.backend.service, seconds)

    def record_load(
        self,
        server: BackendServer,
        running: int,
        waiting: int,
        now: float,
        pace: Optional[float] = None,
    ) -> None:
        """Record the load and pace that a server states; see `LoadReports.record_load`."""
        self.load_reports.record_load(server, running, waiting, now, pace)

    def record_told_load(
        self, server: BackendServer, held: int, pace: Optional[float], at: float
    ) -> bool:
        """Record what a server stated to another VM; see `LoadReports.record_told_load`."""
        return self.load_reports.record_told_load(server, held, pace, at)

    def record_work(
        self, server: BackendServer, route: str, seconds: float, load: Optional[LoadReport]
    ) -> None:
        """Record the time of an answer that a server gave while it was not cold.

        Args:
            server: The server.
            route: Name of the request's route.
            seconds: Time that the answer took, in seconds.
            load: Load that the server stated with it; None if it stated none.
        """
        backend = server.backend
        held, pace = (load.held, load.pace) if load is not None else (0, None)
        work_s = work_without_queue_s(seconds, backend.capacity, held)
        self.work_times.record(route, backend.service, work_s, pace)

    def take(self, server: BackendServer, now: float) -> None:
        """Count a request that is about to be sent at a monotonic time, in seconds."""
        server.in_flight += 1
        server.started.append(now)
        server.cold_sends.record(now)

    def cold_allowance(self, server: BackendServer, now: float) -> int:
        """Return how many requests this VM may send a server that is limited as a cold one.

        Args:
            server: The server.
            now: Monotonic time, in seconds.
        """
        return self.cold_limit.part(server.backend, now).requests

    def start_sending(
        self, server: BackendServer, started: float, now: float, request_id: str
    ) -> bool:
        """Count a request from its first byte on, instead of from the start of its attempt.

        Args:
            server: The server.
            started: Monotonic time at which the attempt started, in seconds.
            now: Monotonic time, in seconds.
            request_id: The request's id, for the log.

        Returns:
            False, and nothing counted, when the server is limited as a cold one and may get no
            further request.
        """
        server.cold_sends.remove(started)
        if not server.limited_as_cold(now):
            server.cold_sends.record(now)
            return True
        part = self.cold_limit.part(server.backend, now)
        if not server.cold_allowed(now, part.requests):
            return False
        server.cold_sends.record(now)
        self._log_cold_send(server, part, request_id)
        return True

    def _log_cold_send(self, server: BackendServer, part: ColdPart, request_id: str) -> None:
        """Log a request to a server that is limited as a cold one, and what allowed it."""
        self.events.count(f"cold_sends_{part.reason.value}")
        self.events.state(
            "cold-send",
            server=server.backend.id,
            id=request_id,
            why=part.reason.value,
            part=part.requests,
            sent=len(server.cold_sends.sent_at),
            vms=self.vm_count(),
        )

    def release(self, server: BackendServer, started: float) -> None:
        """Record the end of a request that was sent at a monotonic time, in seconds."""
        server.in_flight -= 1
        server.started.remove(started)
        server.room.wake_next()

    def count_as_cold(
        self, server: BackendServer, until: float, reason: ColdReason, now: float
    ) -> None:
        """Count a server as cold, unless it counts as cold for longer already.

        Args:
            server: The server.
            until: Monotonic time until which it is cold, in seconds.
            reason: What says so.
            now: Monotonic time, in seconds.
        """
        if until <= max(server.cold_until, now):
            return
        if not server.cold(now):
            self.events.state(
                "server-cold",
                server=server.backend.id,
                why=reason.value,
                for_s=round(until - now, _TIME_DIGITS),
            )
        server.cold_until = until

    def address_failed(self, address: str) -> None:
        """Record that no connection to an address could be established."""
        self._failed_addresses.add(address)

    def address_reached(self, address: str, now: float) -> None:
        """Record that a connection was established; after failures a new process may answer.

        A server that cannot be asked, as its service has no health path, is not doubted.

        Args:
            address: `IP:PORT`.
            now: Monotonic time, in seconds.
        """
        if address not in self._failed_addresses:
            return
        self._failed_addresses.discard(address)
        for server in self.servers.values():
            rule = service_rule(self.store_view, server.backend.service)
            if server.backend.address == address and rule is not None and rule.health_path:
                server.doubted_until = now + rule.warmup_s + COLD_MARGIN_S
                self.doubts_until = max(self.doubts_until, server.doubted_until)

    def prove_listed(self) -> None:
        """Record that servers listed at the start are as their entries and other VMs say."""
        self.doubts_listed = False
        for server in self.servers.values():
            server.unproven_until = float("-inf")

    def drop_lapsed(self, now: float) -> None:
        """Drop servers whose entries did not return in time after an outage of the store."""
        overdue = [
            server.backend.id
            for server in self.servers.values()
            if server.drop_at is not None and server.drop_at <= now
        ]
        for server_id in overdue:
            del self.servers[server_id]
        if overdue:
            self._regroup()

    def accept_outdated_entries(self, now: float) -> None:
        """Accept entries of lower incarnations that have lasted; see `incarnations`."""
        self.incarnations.forget_old(now)
        self._unreadable = {
            n: s for n, s in self._unreadable.items() if now - s.since < _UNREADABLE_KEPT_S
        }
        accepted = self.incarnations.accept_outdated(now)
        for backend in accepted:
            self._forget_process(backend.id)
            self._hold_entry(backend, now)
        if accepted:
            self._regroup()

    def forget_old(self, now: float) -> None:
        """Drop VMs and statements of servers that are long gone; part of the regular sweep."""
        held = {ServerProcessId.of(server.backend) for server in self.servers.values()}
        self.statement_table.forget_old(held, now)
        self.known_vms.forget_old(now)
        self._failed_addresses &= {server.backend.address for server in self.servers.values()}

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.times.set_latency_targets(change.after)
            self.work_times.set_routes(change.after)
            return
        if isinstance(change.before, Evacuation) and change.after is None:
            self._count_hall_as_cold(change.before.hall, change.at)
        if isinstance(change.after, BackendEntry):
            self._update(change.after, change)
        elif isinstance(change.before, BackendEntry) and change.unreadable:
            self._withdraw(change.before.id, change.at)
        elif isinstance(change.before, BackendEntry) and change.after is None:
            self._remove(change.before, change.at, lost=change.lost)
        self._regroup()

    def _remove(self, backend: BackendEntry, now: float, *, lost: bool) -> None:
        """Drop a server whose entry was removed, or keep it while its entry may have lapsed."""
        self.incarnations.entry_removed(backend.id, now)
        server = self.servers.get(backend.id)
        if server is None:
            return
        server.drop_at = self.lapsed_entries.kept_until(backend, now, lost=lost)
        if server.drop_at is None:
            del self.servers[backend.id]

    def _withdraw(self, server_id: str, now: float) -> None:
        """Stop offering a server whose entry exists but cannot be read.

        Its data is kept, as the same process may return with its next entry.
        """
        self.incarnations.entry_unreadable(server_id)
        server = self.servers.pop(server_id, None)
        if server is not None:
            self._unreadable[server_id] = _Unreadable(server, now)

    def _update(self, backend: BackendEntry, change: Change) -> None:
        succession = self.incarnations.classify(backend, change.at)
        if succession is Succession.OUTDATED:
            self.store_view.on_unreadable(
                change.key, "written by an earlier process of the server; ignored"
            )
            return
        if succession is Succession.FOREIGN:
            self.store_view.on_unreadable(
                change.key, "states no incarnation, although its server has stated one"
            )
            self._withdraw(backend.id, change.at)
            return
        if succession is Succession.LATER:
            self._forget_process(backend.id)
        self._hold_entry(backend, change.at)

    def _forget_process(self, server_id: str) -> None:
        """Forget a server whose process has ended: another one has started under its id."""
        unreadable = self._unreadable.pop(server_id, None)
        server = self.servers.pop(server_id, None) or (unreadable.server if unreadable else None)
        if server is not None:
            for listener in self.on_restart:
                listener(server)

    def _hold_entry(self, backend: BackendEntry, now: float) -> None:
        """Store a server's entry, and keep the data of its process if it is known."""
        unreadable = self._unreadable.pop(backend.id, None)
        server = self.servers.get(backend.id) or (unreadable.server if unreadable else None)
        new = server is None
        if server is None:
            server = BackendServer(backend)
        self.servers[backend.id] = server
        # The row outlives the entry, and the first entry may lack the incarnation of a later one.
        server.stated = self.statement_table.rows.setdefault(
            ServerProcessId.of(backend), server.stated
        )
        server.backend = backend
        server.usual_load = self.usual_loads.setdefault(backend.service, UsualLoad())
        server.drop_at = None
        if new and self.doubts_listed and not self.cold_starts.counts_new_as_cold:
            server.unproven_until = now + UNPROVEN_S
            self.doubts_until = max(self.doubts_until, server.unproven_until)
        self._apply_cold_start(server, self.cold_starts.on_entry(backend, now, new=new), now)

    def _count_hall_as_cold(self, hall: str, now: float) -> None:
        """Count a data hall's servers as cold after its evacuation has ended."""
        for server in self.servers.values():
            if server.backend.hall == hall:
                start = self.cold_starts.on_evacuation_end(server.backend, now)
                self._apply_cold_start(server, start, now)

    def _apply_cold_start(self, server: BackendServer, start: ColdStart, now: float) -> None:
        if start.probe:
            self.to_probe.append(server)
        self.count_as_cold(server, start.cold_until, start.reason, now)

    def _regroup(self) -> None:
        self.generation += 1
        self.by_service = _offered_by_service(self.servers.values(), self.store_view.evacuated)


def _offered_by_service(
    servers: Iterable[BackendServer], evacuated: Collection[str]
) -> dict[str, tuple[BackendServer, ...]]:
    """Return the servers that are offered to requests, by service."""
    groups: dict[str, list[BackendServer]] = {}
    for server in servers:
        group = groups.setdefault(server.backend.service, [])
        leaving = server.stated.leaving_since is not None
        if not_offered_reason(server.backend, evacuated, leaving=leaving) is None:
            group.append(server)
    return {service: tuple(group) for service, group in groups.items()}
