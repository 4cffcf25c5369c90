"""All backend servers that this VM knows, grouped by service.

Owns the table of servers, kept in step with the store, and the parts that decide about them: cold
limit, cold starts, incarnations, lapsed entries, load reports, service times. Relies on `state` for
the store's items; the rules stand in the parts' modules, this one only calls them.
"""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple, Optional

from ..resources import BackendEntry, Evacuation, RouteConfiguration
from ..settings import Bounds
from ..state.outages import StoreOutages
from ..state.store_view import Change, StoreView
from ..statements.process_statements import ServerProcessId, StatementTable
from .backend_server import BackendServer
from .capacity.service_times import ServiceTimes
from .cold_limit import ColdLimit, ColdStart, ColdStarts
from .incarnations import Incarnations, Succession
from .lapsed_entries import LapsedEntries
from .load_reports import LoadReports
from .peer_reports import NoReports, ReportSender
from .usability import not_offered_reason

_SPOILT_KEPT_S = 60.0
"""Time for which what is known of a server is kept while its entry cannot be read, in seconds. The
server writes its entry anew within seconds; taken for a new one, it would count as cold and get a
few requests a second instead of its share."""


class _Spoilt(NamedTuple):
    """A server whose entry cannot be read, and the monotonic time since when, in seconds."""

    server: BackendServer
    since: float


class BackendRegistry:
    """All backend servers, kept in step with the store's items as held here.

    Args:
        store_view: What this VM holds of the store.
        bounds: The fleet's figures.
        name: Name of this VM.
        regions: Region of each data hall.
        outages: When the store was out of reach.
        reports: Sends overload reports to other VMs; None to send none.
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
        self.store_view = store_view
        self.regions = regions
        self.generation = 0
        self.to_probe: list[BackendServer] = []
        self.servers: dict[str, BackendServer] = {}
        self.by_service: dict[str, tuple[BackendServer, ...]] = {}
        self.statement_table = StatementTable(on_leaving=self._regroup)
        self.times = ServiceTimes()
        self.lapsed_entries = LapsedEntries(outages)
        self.cold_limit = ColdLimit(store_view, bounds, name, regions)
        self.cold_starts = ColdStarts(store_view, self.lapsed_entries)
        self.incarnations = Incarnations()
        self.load_reports = LoadReports(self.servers, self.times, reports or NoReports())
        self.on_restart: list[Callable[[BackendServer], None]] = []
        self._spoilt: dict[str, _Spoilt] = {}
        store_view.listeners.append(self._on_change)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures of the fleet from now on."""
        self.cold_limit.set_bounds(bounds)

    def settle(self) -> None:
        """Count servers that appear from now on as cold: those of the start are not new."""
        self.cold_starts.count_new_as_cold()

    def usable(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that may get new requests, paused ones included."""
        return self.by_service.get(service, ())

    def offers(self, server: BackendServer, service: str) -> bool:
        """Return whether a server of a service may still get new requests, a paused one included.

        Args:
            server: The server.
            service: Service that it was chosen for.
        """
        return server in self.usable(service)

    def vm_count(self) -> int:
        """Return how many VMs may share the fleet's limits, rather too many than too few."""
        return self.cold_limit.vm_count()

    def record_success(self, server: BackendServer, seconds: float, now: float) -> None:
        """Record a server's own answer and the time it took, in seconds."""
        server.record_success(seconds, now)
        self.times.record_success(server.backend.service, seconds)

    def record_load(self, server: BackendServer, running: int, waiting: int, now: float) -> None:
        """Keep the load that a server states; report it to other VMs when it is overloaded."""
        self.load_reports.record_load(server, running, waiting, now)

    def take(self, server: BackendServer, now: float) -> None:
        """Count a request that is about to be sent."""
        server.in_flight += 1
        server.started.append(now)
        server.cold_sends.record(now)

    def release(self, server: BackendServer, started: float) -> None:
        """Note that a request that was sent at some time is over."""
        server.in_flight -= 1
        server.started.remove(started)
        server.room.wake_next()

    def drop_lapsed(self, now: float) -> None:
        """Drop servers whose entries have not come back in time after an outage of the store."""
        overdue = [
            server.backend.id
            for server in self.servers.values()
            if server.gone_at is not None and server.gone_at <= now
        ]
        for server_id in overdue:
            del self.servers[server_id]
        if overdue:
            self._regroup()

    def take_up_standing(self, now: float) -> None:
        """Believe entries of lower incarnations that have stood for long; see `incarnations`."""
        self.incarnations.forget_old(now)
        self._spoilt = {n: s for n, s in self._spoilt.items() if now - s.since < _SPOILT_KEPT_S}
        believed = self.incarnations.standing(now)
        for backend in believed:
            self._end(backend.id)
            self._put(backend, now)
        if believed:
            self._regroup()

    def forget_told(self, now: float) -> None:
        """Forget what was told of servers that are gone for long; for the regular sweep."""
        held = {ServerProcessId.of(server.backend) for server in self.servers.values()}
        self.statement_table.forget_old(held, now)

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.times.set_latency_targets(change.after)
            return
        if isinstance(change.before, Evacuation) and change.after is None:
            self._return_hall(change.before.hall, change.at)
        if isinstance(change.after, BackendEntry):
            self._update(change.after, change)
        elif isinstance(change.before, BackendEntry) and change.spoilt:
            self._withdraw(change.before.id, change.at)
        elif isinstance(change.before, BackendEntry) and change.after is None:
            self._remove(change.before, change.at)
        self._regroup()

    def _remove(self, backend: BackendEntry, now: float) -> None:
        """Drop a server whose entry is gone, or keep it while its entry may only have lapsed."""
        self.incarnations.left(backend.id, now)
        server = self.servers.get(backend.id)
        if server is None:
            return
        server.gone_at = self.lapsed_entries.kept_until(backend, now)
        if server.gone_at is None:
            del self.servers[backend.id]

    def _withdraw(self, server_id: str, now: float) -> None:
        """Offer a server no more, whose entry is there and cannot be read.

        What is known of it is kept aside: the same process may come back with its next entry.
        """
        self.incarnations.spoilt(server_id)
        server = self.servers.pop(server_id, None)
        if server is not None:
            self._spoilt[server_id] = _Spoilt(server, now)

    def _update(self, backend: BackendEntry, change: Change) -> None:
        succession = self.incarnations.judge(backend, change.at)
        if succession is Succession.OUTDATED:
            self.store_view.on_unreadable(change.key, "an earlier process wrote it; ignored")
            return
        if succession is Succession.FOREIGN:
            self.store_view.on_unreadable(change.key, "no incarnation, though its server states it")
            self._withdraw(backend.id, change.at)
            return
        if succession is Succession.LATER:
            self._end(backend.id)
        self._put(backend, change.at)

    def _end(self, server_id: str) -> None:
        """Forget a server whose process has ended, as another one has started under its id."""
        spoilt = self._spoilt.pop(server_id, None)
        server = self.servers.pop(server_id, None) or (spoilt.server if spoilt else None)
        if server is not None:
            for listener in self.on_restart:
                listener(server)

    def _put(self, backend: BackendEntry, now: float) -> None:
        """Hold a server's entry, with what is known of its process."""
        spoilt = self._spoilt.pop(backend.id, None)
        server = self.servers.get(backend.id) or (spoilt.server if spoilt else None)
        new = server is None
        if server is None:
            server = BackendServer(backend)
        self.servers[backend.id] = server
        # The row outlasts the entry; an entry may also name its process later than the first one.
        server.stated = self.statement_table.rows.setdefault(
            ServerProcessId.of(backend), server.stated
        )
        server.backend = backend
        server.gone_at = None
        _mark(server, self.cold_starts.on_entry(backend, now, new=new), self.to_probe)

    def _return_hall(self, hall: str, now: float) -> None:
        """Count a data hall's servers as cold: its evacuation has ended."""
        for server in self.servers.values():
            if server.backend.hall == hall:
                _mark(
                    server, self.cold_starts.on_evacuation_end(server.backend, now), self.to_probe
                )

    def _regroup(self) -> None:
        self.generation += 1
        self.by_service = _offered(self.servers.values(), self.store_view.evacuated)


def _mark(server: BackendServer, start: ColdStart, to_probe: list[BackendServer]) -> None:
    server.cold_until = max(server.cold_until, start.cold_until)
    if start.probe:
        to_probe.append(server)


def _offered(
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
