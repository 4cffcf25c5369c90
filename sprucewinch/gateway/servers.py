"""What this machine knows of each backend server, and how much it may send there."""

import asyncio
import bisect
import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, Optional

from .._hash import hash64
from .beliefs import Beliefs, Change, Evacuation
from .model import Backend, Bounds, RouteConfiguration
from .outages import RETURN_S, StoreOutages

COLD_MARGIN_S = 0.5
"""How much longer than it says a backend server counts as cold, in seconds."""

_COLD_WINDOW_S = 1.15
"""Window of the cold limit at one machine: a second, and what differs between send and arrival."""

_COLD_SAFETY = 0.8
_LOAD_HALF_LIFE_S = 0.6
_CROWDED_PART = 0.34
"""Waiting requests for each slot beyond which a server is crowded."""

_SHRINK = 0.7
_SHRINK_PAUSE_S = 0.2
_GROWTH = 0.5
_FIRST_PAUSE_S = 0.5
_MOST_PAUSE_S = 4.0
_LATENCY_WEIGHT = 0.2
_SILENT_S = 0.4
"""Time without any answer after which a server with requests counts as silent, in seconds."""

_SILENT_LATENCIES = 3.0


class Waiter(NamedTuple):
    """A request that waits for room at a backend server.

    Args:
        rank: Its rank, 0 the most urgent.
        turn: Done with True when it may look for room, with False when it lost its place.
    """

    rank: int
    turn: "asyncio.Future[bool]"

    def order(self) -> int:
        """Return what waiting requests are sorted by."""
        return self.rank


class Server:
    """One incarnation of a backend server, as this machine sees it.

    Args:
        backend: The store's entry.
    """

    __slots__ = (
        "_others",
        "_others_at",
        "answered_at",
        "backend",
        "cold_sent",
        "cold_until",
        "failures",
        "in_flight",
        "latency_s",
        "missing_until",
        "paused_until",
        "seed",
        "shrunk_at",
        "started",
        "waiters",
        "window",
    )

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.seed = hash64(backend.id) & 0xFFFFFFFF
        self.in_flight = 0
        self.cold_until = float("-inf")
        self.cold_sent: deque[float] = deque()
        self.paused_until = float("-inf")
        self.failures = 0
        self.latency_s: Optional[float] = None
        self.answered_at = float("-inf")
        self.started: list[float] = []
        self.waiters: list[Waiter] = []
        self.window = float(backend.capacity)
        self.shrunk_at = float("-inf")
        self.missing_until: Optional[float] = None
        self._others = 0.0
        self._others_at = float("-inf")

    def silent(self, now: float) -> bool:
        """Tell whether it holds a request for long and has answered none meanwhile."""
        if not self.started:
            return False
        patience = max(_SILENT_S, _SILENT_LATENCIES * (self.latency_s or 0.0))
        return now - max(self.started[0], self.answered_at) > patience

    def cold(self, now: float) -> bool:
        """Tell whether it still counts as cold."""
        return now < self.cold_until

    def load(self, now: float) -> float:
        """Return the requests that it probably holds now, those of other machines included."""
        age = max(0.0, self.told_age_s(now))
        return self.in_flight + self._others * 0.5 ** (age / _LOAD_HALF_LIFE_S)

    def told_age_s(self, now: float) -> float:
        """Return the age of its own word on its load, in seconds."""
        return now - self._others_at

    def told_load(self, running: int, waiting: int, now: float) -> None:
        """Take over what it says of its load."""
        self._others = max(0.0, running + waiting - self.in_flight)
        self._others_at = now
        if waiting > _CROWDED_PART * self.backend.capacity:
            self.crowded(now)
        else:
            grown = self.window + _GROWTH / self.window
            self.window = min(float(self.backend.capacity), grown)

    def crowded(self, now: float) -> None:
        """Send it less at a time: too many of its requests wait, those of all machines together."""
        if now - self.shrunk_at >= _SHRINK_PAUSE_S:
            self.shrunk_at = now
            self.window = max(1.0, self.window * _SHRINK)

    def succeeded(self, seconds: float, now: float) -> None:
        """Note an answer of its own and the time it took."""
        self.answered_at = now
        self.failures = 0
        self.paused_until = float("-inf")
        held = self.latency_s
        self.latency_s = seconds if held is None else held + _LATENCY_WEIGHT * (seconds - held)

    def failed(self, now: float) -> None:
        """Note that it could not be reached or broke off; it rests, longer each time."""
        self.failures += 1
        pause = min(_MOST_PAUSE_S, _FIRST_PAUSE_S * 2 ** (self.failures - 1))
        self.paused_until = now + pause

    def pause(self, until: float) -> None:
        """Leave it alone until some time."""
        self.paused_until = max(self.paused_until, until)

    async def wait_for_room(self, longest_s: float, rank: int) -> bool:
        """Wait until a request here is over; the most urgent goes first, then who came first.

        Args:
            longest_s: Longest wait, in seconds.
            rank: The request's rank, 0 the most urgent.

        Returns:
            False when as many wait as the server has slots and none of them is less urgent, or
            when a more urgent request took the place.
        """
        if len(self.waiters) >= self.backend.capacity and not self._displace(rank):
            return False
        waiter = Waiter(rank, asyncio.get_running_loop().create_future())
        bisect.insort(self.waiters, waiter, key=Waiter.order)
        try:
            async with asyncio.timeout(longest_s):
                return await waiter.turn
        except TimeoutError:
            return True
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def _displace(self, rank: int) -> bool:
        """Let a less urgent request stop waiting, the one that came last; False when none is."""
        last = self.waiters[-1]
        if last.rank <= rank:
            return False
        self.waiters.pop()
        if not last.turn.done():
            last.turn.set_result(False)
        return True

    def call_next(self) -> None:
        """Let the most urgent waiting request look for room."""
        while self.waiters:
            turn = self.waiters.pop(0).turn
            if not turn.done():
                turn.set_result(True)
                return

    def more_urgent_waits(self, rank: int) -> bool:
        """Tell whether a request that is more urgent than a rank waits for room here."""
        return bool(self.waiters) and self.waiters[0].rank < rank

    def cold_allowed(self, now: float, allowance: int) -> bool:
        """Tell whether one more request may be sent while it is cold."""
        while self.cold_sent and self.cold_sent[0] <= now - _COLD_WINDOW_S:
            self.cold_sent.popleft()
        return len(self.cold_sent) < allowance


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
        every, left_over = divmod(fleet, self.machines())
        return every + (self._rank(server.backend) < left_over)

    def take(self, server: Server, now: float) -> None:
        """Count a request that is about to be sent."""
        server.in_flight += 1
        server.started.append(now)
        server.cold_sent.append(now)
        if len(server.cold_sent) > 64:
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
