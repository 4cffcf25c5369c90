"""Admission to backend servers: chooses the server that runs a request, or says why none can.

The decision needs, for each server of the service, the slots that this VM may use, the slots in
use, and the monotonic times in seconds until which the server is paused, leaving or cold; and the
servers that the request has already tried. Draining, leaving, paused and tried servers are skipped.
Of the others, the server with the lowest ratio of slots in use to slots allowed gets the request;
ties are broken at random. A cold server is allowed one slot. A freed slot goes to the request that
has waited longest.

Each slot belongs to one VM (`slots`), so the choice needs no message from another VM. With the
servers' own refusals as the only limit, servers would be overloaded routinely, because the limit
would only be found by exceeding it (docs/DESIGN.md, "Requests").

The constants are `SHED_PAUSE_S`, `FAIL_PAUSE_S`, `COLD_PERIOD_S`, `MAX_WAITING_REQUESTS` and
`_LATENCY_WEIGHT`. Refusals are counted as `no-room` or `no-backend-server`; the counter `shed`
counts requests that servers refused because they were at capacity. Tested by
`tests.test_admission`.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Optional, Union

from ...net.outcome import Reason, Refusal, not_run

SHED_PAUSE_S = 0.25
"""Pause of a backend server that refused a request because it was at capacity, in seconds."""

FAIL_PAUSE_S = 1.0
"""Pause of a backend server that could not be reached, in seconds."""

COLD_PERIOD_S = 3.0
"""Time after the pause of an unreachable server in which it is cold, in seconds: it runs at most
one request of this VM at a time."""

MAX_WAITING_REQUESTS = 64
"""Maximum number of requests of one service that wait for a slot at this VM."""

_LATENCY_WEIGHT = 0.1
"""Weight of the latest request in the moving average of a server's latency, in [0, 1]."""

_COLD_SLOTS = 1
"""Slots of a cold server: the smallest number with which it still shows whether it answers."""


class ServerState:
    """The state of one backend server of this hall, as this entry VM knows it.

    `in_use` counts the slots that requests of this VM hold. `latency_ms` is the moving average of
    the latency in milliseconds, None until a request was answered. `paused_until`, `leaving_until`,
    `reported_leaving_until` and `cold_from` are monotonic times in seconds. The cold period begins
    at `cold_from` and lasts `COLD_PERIOD_S`.

    Args:
        address: `IP:PORT`.
        service: Name of its service.
    """

    __slots__ = (
        "address",
        "reported_leaving_until",
        "in_use",
        "latency_ms",
        "leaving_until",
        "paused_until",
        "service",
        "cold_from",
    )

    def __init__(self, address: str, service: str) -> None:
        self.address = address
        self.service = service
        self.in_use = 0
        self.paused_until = 0.0
        self.leaving_until = 0.0
        self.reported_leaving_until = 0.0
        self.cold_from = float("-inf")
        self.latency_ms: Optional[float] = None

    def is_open(self, now: float) -> bool:
        """Return whether the server accepts new requests: it is neither paused nor leaving."""
        return self.paused_until <= now and not self.is_leaving(now)

    def is_leaving(self, now: float) -> bool:
        """Return whether a mark as leaving, of either kind, has not ended yet."""
        return max(self.leaving_until, self.reported_leaving_until) > now

    def slot_limit(self, usable_slots: int, now: float) -> int:
        """Return how many slots this VM may use now: the usable ones, fewer while it is cold."""
        if now - self.cold_from >= COLD_PERIOD_S:
            return usable_slots
        return min(usable_slots, _COLD_SLOTS)

    def record_latency(self, latency_ms: float) -> None:
        """Record the latency of a complete answer, in milliseconds."""
        if self.latency_ms is None:
            self.latency_ms = latency_ms
        self.latency_ms += _LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def mark_shed(self, now: float) -> None:
        """Pause the server after it refused a request because it was at capacity."""
        self.paused_until = now + SHED_PAUSE_S

    def mark_failed(self, now: float) -> None:
        """Pause the server after it could not be reached; it is cold afterwards."""
        self.paused_until = now + FAIL_PAUSE_S
        self.cold_from = self.paused_until

    def mark_leaving(self, until: float) -> None:
        """Mark the server as leaving until a time, after its own report or the platform's list."""
        self.leaving_until = max(self.leaving_until, until)

    def mark_leaving_by_peer(self, until: float) -> None:
        """Mark the server as leaving until a time, after the report of another VM."""
        self.reported_leaving_until = max(self.reported_leaving_until, until)


class Slot:
    """A slot of a backend server, held by one request until it is released."""

    __slots__ = ("released", "server")

    def __init__(self, server: ServerState) -> None:
        self.server = server
        self.released = False


Waiter = Callable[[Slot], bool]
"""Takes a freed slot; returns False, and the slot stays free, when its request no longer waits."""


class Admission:
    """Allocates the slots of one service that this entry VM may use.

    A server is marked as leaving after its own report to this VM or its entry in the platform's
    list (`mark_leaving`), or after the report of another VM (`mark_leaving_by_peer`). A marked
    server gets no new request. Only marks of the first kind are reported to other VMs: if two VMs
    reported marks that they have from each other, they would renew them without end.

    Args:
        usable_slots: Returns the usable slots of a backend server (`IP:PORT`) at a monotonic time
            in seconds.
        rng: Source of randomness for ties.
        max_waiting: Maximum number of requests that wait for a slot.
    """

    def __init__(
        self,
        usable_slots: Callable[[str, float], int],
        rng: random.Random,
        *,
        max_waiting: int = MAX_WAITING_REQUESTS,
    ) -> None:
        self.usable_slots = usable_slots
        self.rng = rng
        self.max_waiting = max_waiting
        self.servers: dict[str, ServerState] = {}
        self.drained: frozenset[str] = frozenset()
        self.waiting: deque[Waiter] = deque()

    def set_servers(self, service: str, addresses: Iterable[str]) -> None:
        """Set the list of backend servers; requests that run on removed servers continue."""
        previous = self.servers
        self.servers = {a: previous.get(a) or ServerState(a, service) for a in addresses}

    def capacity(self, now: float) -> int:
        """Return the number of usable slots of all open servers at this time."""
        return sum(self.usable_slots(s.address, now) for s in self._open_servers(now))

    def in_use(self) -> int:
        """Return the number of slots in use."""
        return sum(server.in_use for server in self.servers.values())

    def latency_ms(self) -> Optional[float]:
        """Return the mean of the servers' latencies, in milliseconds; None while none is known."""
        measured = [s.latency_ms for s in self.servers.values() if s.latency_ms is not None]
        return sum(measured) / len(measured) if measured else None

    def acquire(self, now: float, exclude: frozenset[str] = frozenset()) -> Union[Slot, Refusal]:
        """Take a slot of the open server with the lowest utilization, without waiting.

        Args:
            now: Monotonic time, in seconds.
            exclude: Backend servers that this request has already tried.

        Returns:
            A slot; or a refusal: `NO_BACKEND_SERVER` when no server is left that is open and not
            excluded, `NO_ROOM` when all slots that may be used are in use.
        """
        open_servers = [s for s in self._open_servers(now) if s.address not in exclude]
        if not open_servers:
            return not_run(Reason.NO_BACKEND_SERVER)
        best = self._least_used(open_servers, now)
        if best is None:
            return not_run(Reason.NO_ROOM)
        best.in_use += 1
        return Slot(best)

    def wait(self, waiter: Waiter) -> bool:
        """Add a waiter to the queue for a free slot; returns False when the queue is full."""
        if len(self.waiting) >= self.max_waiting:
            return False
        self.waiting.append(waiter)
        return True

    def stop_waiting(self, waiter: Waiter) -> None:
        """Remove a waiter from the queue; has no effect when it is no longer there."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def release(self, slot: Slot, now: float) -> None:
        """Release a slot and give it to the request that has waited longest, if one waits."""
        if slot.released:
            return
        slot.released = True
        slot.server.in_use -= 1
        self.serve_waiting(now)

    def serve_waiting(self, now: float) -> None:
        """Give free slots to waiting requests, in order of arrival."""
        while self.waiting:
            slot = self.acquire(now)
            if isinstance(slot, Refusal):
                return
            if not self.waiting.popleft()(slot):
                slot.released = True
                slot.server.in_use -= 1

    def mark_leaving(self, address: str, until: float) -> None:
        """Mark a server as leaving, after its own report or its entry in the platform's list.

        Args:
            address: `IP:PORT` of the server; an unknown one is ignored.
            until: Monotonic time at which the mark ends, in seconds. The later of this time and
                that of an earlier mark holds.
        """
        server = self.servers.get(address)
        if server is not None:
            server.mark_leaving(until)

    def mark_leaving_by_peer(self, address: str, until: float) -> None:
        """Mark a server that another VM reports as leaving; arguments as for `mark_leaving`."""
        server = self.servers.get(address)
        if server is not None:
            server.mark_leaving_by_peer(until)

    def leaving_servers(self, now: float) -> list[str]:
        """Return the addresses of the servers that are to be reported to other VMs as leaving."""
        return [s.address for s in self.servers.values() if s.leaving_until > now]

    def _open_servers(self, now: float) -> list[ServerState]:
        return [
            server
            for server in self.servers.values()
            if server.address not in self.drained and server.is_open(now)
        ]

    def _least_used(self, servers: list[ServerState], now: float) -> Optional[ServerState]:
        best: Optional[ServerState] = None
        lowest_key = (1.0, 0.0)
        for server in servers:
            slot_limit = server.slot_limit(self.usable_slots(server.address, now), now)
            if server.in_use >= slot_limit:
                continue
            key = (server.in_use / slot_limit, self.rng.random())
            if best is None or key < lowest_key:
                best, lowest_key = server, key
        return best
