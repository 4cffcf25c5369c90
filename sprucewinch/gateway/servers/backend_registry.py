"""All backend servers that this machine knows, and how much it may send there."""

import math
from collections.abc import Callable, Iterable
from typing import Optional

from ..._hash import hash64
from ..resources import Backend, Evacuation, RouteConfiguration
from ..settings import Bounds
from ..state.outages import RETURN_S, StoreOutages
from ..state.store_view import Beliefs, Change
from .backend_server import Server
from .service_times import ServiceTimes

COLD_MARGIN_S = 0.5
"""How much longer than it says a backend server counts as cold, in seconds."""

_COLD_SAFETY = 0.8
_COLD_WEIGHT = 0.2
_COLD_WORTH = 0.5
"""Part of the requests to a service's cold servers that have to be answered for more to be sent."""

_COLD_TRIALS = 2
"""Requests a second, all machines together, that try a cold server whose like answer too late."""

_COLD_KEPT = 64
"""Most times of requests that are kept for a server's cold allowance; a guess, never measured."""

_TELL_CROWDED_S = 0.2
"""Pause between telling other machines that the same server is crowded, in seconds."""


class ServerBook:
    """All backend servers, kept in step with what is believed.

    Args:
        beliefs: What this machine believes.
        bounds: The fleet's figures.
        name: Name of this machine.
        regions: Region of each data hall.
        outages: When the store was out of reach.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        bounds: Bounds,
        name: str,
        regions: dict[str, str],
        outages: StoreOutages,
    ) -> None:
        self.beliefs = beliefs
        self.bounds = bounds
        self.name = name
        self.regions = regions
        self.outages = outages
        self.generation = 0
        self.times = ServiceTimes()
        self.cold_answered: dict[str, float] = {}
        self.tell_crowded: Callable[[str, int, int], None] = lambda _id, _running, _waiting: None
        self.now = 0.0
        self.settled = False
        self.unsure: list[Server] = []
        self.servers: dict[str, Server] = {}
        self.by_service: dict[str, tuple[Server, ...]] = {}
        beliefs.listeners.append(self._learn)

    def usable(self, service: str) -> tuple[Server, ...]:
        """Return the servers of a service that may get new requests, paused ones included."""
        return self.by_service.get(service, ())

    def machines(self) -> int:
        """Return how many machines may share the fleet's limits, rather too many than too few."""
        return max(1, len(self.beliefs.members))

    def cold_allowance(self, server: Server) -> int:
        """Return how many requests this machine may send a cold server in a second."""
        configuration = self.beliefs.configuration
        rule = configuration.services.get(server.backend.service) if configuration else None
        if rule is None or rule.cold_per_s <= 0:
            return server.backend.capacity
        bound = rule.cold_per_s * self.bounds.cold_over + self.bounds.cold_slack
        fleet = math.floor(_COLD_SAFETY * bound)
        if self.cold_answered.get(server.backend.service, 1.0) < _COLD_WORTH:
            fleet = min(fleet, _COLD_TRIALS)
        every, left_over = divmod(fleet, self.machines())
        return every + (self._rank(server.backend) < left_over)

    def comes_first(self, server: Server) -> bool:
        """Tell whether this machine is the one that tries a server before the others do."""
        return self._rank(server.backend) == 0

    def answered(self, server: Server, seconds: float, now: float) -> None:
        """Note an answer of a server's own and the time it took, in seconds."""
        server.succeeded(seconds, now)
        self.times.answered(server.backend.service, seconds)

    def tried_cold(self, server: Server, answered: bool) -> None:
        """Note whether a request that was sent to a cold server was answered in time.

        Where a cold server works longer on a new object than routes hold their requests, whatever
        is sent there is lost: then a few requests try, and the others go elsewhere.
        """
        service = server.backend.service
        held = self.cold_answered.get(service, 1.0)
        self.cold_answered[service] = held + _COLD_WEIGHT * (float(answered) - held)

    def told_load(self, server: Server, running: int, waiting: int, now: float) -> None:
        """Take over what a server says of its load; others are told when it is crowded."""
        part = self.times.crowded_part(server.backend.service)
        crowded = server.told_load(running, waiting, now, part)
        if crowded and now - server.told_others_at >= _TELL_CROWDED_S:
            server.told_others_at = now
            self.tell_crowded(server.backend.id, running, waiting)

    def heard_crowded(self, server_id: str, running: int, waiting: int, now: float) -> None:
        """Take over what a server told another machine of its load."""
        server = self.servers.get(server_id)
        if server is not None:
            server.heard_load(running, waiting, now)

    def most_load(self, server: Server, timeout_s: Optional[float]) -> float:
        """Return the load up to which a server takes another request of a route.

        Args:
            server: The server.
            timeout_s: Longest time that the route holds a request, in seconds; None for no limit.
        """
        service = server.backend.service
        return server.backend.capacity * self.times.turns(service, server.latency_s, timeout_s)

    def take(self, server: Server, now: float) -> None:
        """Count a request that is about to be sent."""
        server.in_flight += 1
        server.started.append(now)
        server.cold_sent.append(now)
        if len(server.cold_sent) > _COLD_KEPT:
            server.cold_sent.popleft()

    def release(self, server: Server, started: float) -> None:
        """Note that a request that was sent at some time is over."""
        server.in_flight -= 1
        server.started.remove(started)
        server.call_next()

    def _rank(self, backend: Backend) -> int:
        """Return how many machines come before this one at a cold server: its region's first."""
        region = self.regions.get(backend.zone, "")
        draws = {
            member.name: (member.region != region, hash64(f"{backend.id}|{member.name}"))
            for member in self.beliefs.members.values()
        }
        own = draws.get(self.name)
        if own is None:
            return len(draws) + 1
        return sum(draw < own for draw in draws.values())

    def _learn(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.times.learn_aims(change.after)
            return
        if isinstance(change.before, Evacuation) and change.after is None:
            self._chill(change.before.zone)
        if isinstance(change.after, Backend):
            self._update(change.after)
        elif isinstance(change.before, Backend) and change.after is None:
            self._lose(change.before)
        self._rebuild()

    def _lose(self, backend: Backend) -> None:
        """Drop a server whose entry is gone, or keep it while its entry may only have lapsed."""
        server = self.servers.get(backend.id)
        if server is None:
            return
        if not backend.draining and self.outages.entries_may_have_lapsed(self.now):
            server.missing_until = self.now + RETURN_S
        else:
            del self.servers[backend.id]

    def drop_missing(self, now: float) -> None:
        """Drop servers whose entries have not come back in time after an outage of the store."""
        overdue = [
            server.backend.id
            for server in self.servers.values()
            if server.missing_until is not None and server.missing_until <= now
        ]
        for server_id in overdue:
            del self.servers[server_id]
        if overdue:
            self._rebuild()

    def _update(self, backend: Backend) -> None:
        server = self.servers.get(backend.id)
        new = server is None
        if server is None:
            server = self.servers[backend.id] = Server(backend)
        server.backend = backend
        server.missing_until = None
        left = backend.warm_in_s
        if new and self.settled:
            left = max(left, self._warmup_s(backend.service))
            if self.outages.entries_may_have_lapsed(self.now):
                self.unsure.append(server)
        if left > 0:
            server.cold_until = max(server.cold_until, self.now + left + COLD_MARGIN_S)

    def _chill(self, zone: str) -> None:
        """Count a data hall's servers as cold: it is taken back after an evacuation."""
        for server in self.servers.values():
            if server.backend.zone == zone:
                left = self._warmup_s(server.backend.service)
                server.cold_until = max(server.cold_until, self.now + left + COLD_MARGIN_S)
                self.unsure.append(server)

    def health_path(self, service: str) -> str:
        """Return the path on which a service's servers say how they are; empty for none."""
        configuration = self.beliefs.configuration
        rule = configuration.services.get(service) if configuration else None
        return rule.health_path if rule else ""

    def _warmup_s(self, service: str) -> float:
        configuration = self.beliefs.configuration
        rule = configuration.services.get(service) if configuration else None
        return rule.warmup_s if rule else 3.0

    def _rebuild(self) -> None:
        self.generation += 1
        self.by_service = {}
        for service, servers in _grouped(self.servers.values()).items():
            self.by_service[service] = tuple(
                server
                for server in servers
                if not server.backend.draining and server.backend.zone not in self.beliefs.evacuated
            )


def _grouped(servers: Iterable[Server]) -> dict[str, list[Server]]:
    groups: dict[str, list[Server]] = {}
    for server in servers:
        groups.setdefault(server.backend.service, []).append(server)
    return groups
