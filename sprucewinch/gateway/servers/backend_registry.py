"""All backend servers that this VM knows, and how much it may send there."""

import math
from collections.abc import Iterable
from typing import Optional

from ..._hash import hash64
from ..resources import BackendEntry, Evacuation, RouteConfiguration
from ..settings import Bounds
from ..state.outages import LAPSED_ENTRY_GRACE_S, StoreOutages
from ..state.store_view import Change, StoreView
from .backend_server import BackendServer
from .peer_reports import NoReports, OverloadReport, ReportSender
from .service_times import ServiceTimes

COLD_MARGIN_S = 0.5
"""How much longer than it says a backend server counts as cold, in seconds."""

_COLD_SAFETY = 0.8
_COLD_WEIGHT = 0.2
_COLD_WORTH = 0.5
"""Part of the requests to a service's cold servers that have to be answered for more to be sent."""

_COLD_TRIALS = 2
"""Requests a second, all VMs together, that try a cold server whose like answer too late."""

_COLD_KEPT = 64
"""Most times of requests that are kept for a server's cold allowance; a guess, never measured."""

_TELL_CROWDED_S = 0.2
"""Pause between telling other VMs that the same server is crowded, in seconds."""


class BackendRegistry:
    """All backend servers, kept in step with what is believed.

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
        self.bounds = bounds
        self.name = name
        self.regions = regions
        self.outages = outages
        self.generation = 0
        self.times = ServiceTimes()
        self.cold_success: dict[str, float] = {}
        self.reports = reports or NoReports()
        self.settled = False
        self.to_probe: list[BackendServer] = []
        self.servers: dict[str, BackendServer] = {}
        self.by_service: dict[str, tuple[BackendServer, ...]] = {}
        store_view.listeners.append(self._learn)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures of the fleet from now on."""
        self.bounds = bounds

    def settle(self) -> None:
        """Count servers that appear from now on as cold: those of the start are not new."""
        self.settled = True

    def usable(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that may get new requests, paused ones included."""
        return self.by_service.get(service, ())

    def vm_count(self) -> int:
        """Return how many VMs may share the fleet's limits, rather too many than too few."""
        return max(1, len(self.store_view.members))

    def cold_allowance(self, server: BackendServer) -> int:
        """Return how many requests this VM may send a cold server in a second."""
        configuration = self.store_view.configuration
        rule = configuration.services.get(server.backend.service) if configuration else None
        if rule is None or rule.cold_per_s <= 0:
            return server.backend.capacity
        bound = rule.cold_per_s * self.bounds.cold_over + self.bounds.cold_slack
        fleet = math.floor(_COLD_SAFETY * bound)
        if self.cold_success.get(server.backend.service, 1.0) < _COLD_WORTH:
            fleet = min(fleet, _COLD_TRIALS)
        every, left_over = divmod(fleet, self.vm_count())
        return every + (self._rank(server.backend) < left_over)

    def tries_first(self, server: BackendServer) -> bool:
        """Tell whether this VM is the one that tries a server before the others do."""
        return self._rank(server.backend) == 0

    def answered(self, server: BackendServer, seconds: float, now: float) -> None:
        """Note an answer of a server's own and the time it took, in seconds."""
        server.succeeded(seconds, now)
        self.times.answered(server.backend.service, seconds)

    def record_cold_attempt(self, server: BackendServer, answered: bool) -> None:
        """Note whether a request that was sent to a cold server was answered in time.

        Where a cold server works longer on a new object than routes hold their requests, whatever
        is sent there is lost: then a few requests try, and the others go elsewhere.
        """
        service = server.backend.service
        held = self.cold_success.get(service, 1.0)
        self.cold_success[service] = held + _COLD_WEIGHT * (float(answered) - held)

    def record_load(self, server: BackendServer, running: int, waiting: int, now: float) -> None:
        """Take over what a server says of its load; others are told when it is crowded."""
        part = self.times.overload_queue_ratio(server.backend.service)
        crowded = server.record_load(running, waiting, now, part)
        if crowded and now - server.overload_reported_at >= _TELL_CROWDED_S:
            server.overload_reported_at = now
            self.reports.send_overload(OverloadReport(server.backend.id, running, waiting))

    def on_overload_report(self, report: OverloadReport, now: float) -> None:
        """Use a server's load figure that another VM passes on.

        Args:
            report: The other VM's report.
            now: Monotonic time, in seconds.
        """
        server = self.servers.get(report.server)
        if server is not None:
            server.record_reported_load(report.running, report.waiting, now)

    def load_limit(self, server: BackendServer, timeout_s: Optional[float]) -> float:
        """Return the load up to which a server takes another request of a route.

        Args:
            server: The server.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        service = server.backend.service
        return server.backend.capacity * self.times.queue_turns(
            service, server.latency_s, timeout_s
        )

    def take(self, server: BackendServer, now: float) -> None:
        """Count a request that is about to be sent."""
        server.in_flight += 1
        server.started.append(now)
        server.cold_sent_at.append(now)
        if len(server.cold_sent_at) > _COLD_KEPT:
            server.cold_sent_at.popleft()

    def release(self, server: BackendServer, started: float) -> None:
        """Note that a request that was sent at some time is over."""
        server.in_flight -= 1
        server.started.remove(started)
        server.wake_next()

    def _rank(self, backend: BackendEntry) -> int:
        """Return how many VMs come before this one at a cold server: its region's first."""
        region = self.regions.get(backend.hall, "")
        draws = {
            member.name: (member.region != region, hash64(f"{backend.id}|{member.name}"))
            for member in self.store_view.members.values()
        }
        own = draws.get(self.name)
        if own is None:
            return len(draws) + 1
        return sum(draw < own for draw in draws.values())

    def _learn(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.times.set_latency_targets(change.after)
            return
        if isinstance(change.before, Evacuation) and change.after is None:
            self._chill(change.before.hall, change.at)
        if isinstance(change.after, BackendEntry):
            self._update(change.after, change.at)
        elif isinstance(change.before, BackendEntry) and change.after is None:
            self._lose(change.before, change.at)
        self._rebuild()

    def _lose(self, backend: BackendEntry, now: float) -> None:
        """Drop a server whose entry is gone, or keep it while its entry may only have lapsed."""
        server = self.servers.get(backend.id)
        if server is None:
            return
        if not backend.draining and self.outages.entries_may_have_lapsed(now):
            server.gone_at = now + LAPSED_ENTRY_GRACE_S
        else:
            del self.servers[backend.id]

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
            self._rebuild()

    def _update(self, backend: BackendEntry, now: float) -> None:
        server = self.servers.get(backend.id)
        new = server is None
        if server is None:
            server = self.servers[backend.id] = BackendServer(backend)
        server.backend = backend
        server.gone_at = None
        left = backend.cold_for_s
        if new and self.settled:
            left = max(left, self._warmup_s(backend.service))
            if self.outages.entries_may_have_lapsed(now):
                self.to_probe.append(server)
        if left > 0:
            server.cold_until = max(server.cold_until, now + left + COLD_MARGIN_S)

    def _chill(self, hall: str, now: float) -> None:
        """Count a data hall's servers as cold: it is taken back after an evacuation."""
        for server in self.servers.values():
            if server.backend.hall == hall:
                left = self._warmup_s(server.backend.service)
                server.cold_until = max(server.cold_until, now + left + COLD_MARGIN_S)
                self.to_probe.append(server)

    def health_path(self, service: str) -> str:
        """Return the path on which a service's servers say how they are; empty for none."""
        configuration = self.store_view.configuration
        rule = configuration.services.get(service) if configuration else None
        return rule.health_path if rule else ""

    def _warmup_s(self, service: str) -> float:
        configuration = self.store_view.configuration
        rule = configuration.services.get(service) if configuration else None
        return rule.warmup_s if rule else 3.0

    def _rebuild(self) -> None:
        self.generation += 1
        self.by_service = {}
        for service, servers in _grouped(self.servers.values()).items():
            self.by_service[service] = tuple(
                server
                for server in servers
                if not server.backend.draining
                and server.backend.hall not in self.store_view.evacuated
            )


def _grouped(servers: Iterable[BackendServer]) -> dict[str, list[BackendServer]]:
    groups: dict[str, list[BackendServer]] = {}
    for server in servers:
        groups.setdefault(server.backend.service, []).append(server)
    return groups
