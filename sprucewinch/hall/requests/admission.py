"""The rule on admission: which backend server runs a request now, or why none does.

Inputs: for each server of the service the slots that this VM may use, the slots in use, and the
monotonic times in seconds until which it is paused, leaving or cold; the servers that the request
has tried.
The rule: draining, leaving, paused and tried servers are skipped. Of the others the one with
the smallest used part of its slots takes the request; ties are broken at random. A cold server
counts as having one slot. A freed slot goes to the request that waits longest.
Why: each slot belongs to one VM (`slots`), so the choice needs no message from another VM. Counting
on a server's own refusals alone would make overload the usual way to find the limit
(docs/DESIGN.md, "Requests").
Constants: `SHED_PAUSE_S`, `FAIL_PAUSE_S`, `COLD_S`, `MAX_WAITING` and `_LATENCY_WEIGHT` below, all
guesses.
Where it shows: refusals counted as `no-room` or `no-backend-server`, the counter `shed`.
Tests: `tests.test_admission`.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Optional, Union

from ...net.outcome import Reason, Refusal, not_run

SHED_PAUSE_S = 0.25
"""Time for which a backend server that shed a request gets no new one, in seconds."""

FAIL_PAUSE_S = 1.0
"""Time for which a backend server that could not be reached gets no request, in seconds."""

COLD_S = 3.0
"""Time for which a server that was unreachable gets one request at once, in seconds, counted from
the end of its pause."""

MAX_WAITING = 64
"""Most requests of one service that wait for a slot at this VM."""

_LATENCY_WEIGHT = 0.1
"""Weight of the newest request in a server's mean time, in [0, 1]."""

_COLD_SLOTS = 1
"""Slots of a cold server: the smallest number that still shows whether it answers."""


class ServerState:
    """The state of one backend server of this hall, as this entry VM knows it.

    Times are monotonic, in seconds.

    Args:
        address: `IP:PORT`.
        service: Its service.
    """

    __slots__ = (
        "address",
        "heard_leaving_until",
        "in_use",
        "latency_ms",
        "leaving_until",
        "paused_until",
        "service",
        "warm_from",
    )

    def __init__(self, address: str, service: str) -> None:
        self.address = address
        self.service = service
        self.in_use = 0
        self.paused_until = 0.0
        self.leaving_until = 0.0
        self.heard_leaving_until = 0.0
        self.warm_from = float("-inf")
        self.latency_ms: Optional[float] = None

    def is_open(self, now: float) -> bool:
        """Return whether the server takes new requests: it is neither paused nor leaving."""
        return self.paused_until <= now and not self.is_leaving(now)

    def is_leaving(self, now: float) -> bool:
        """Return whether the server is marked as leaving, by this VM's own knowledge or not."""
        return max(self.leaving_until, self.heard_leaving_until) > now

    def allowed(self, usable: int, now: float) -> int:
        """Return how many of the usable slots may be in use now; fewer while it is cold."""
        if now - self.warm_from >= COLD_S:
            return usable
        return min(usable, _COLD_SLOTS)

    def record_latency(self, latency_ms: float) -> None:
        """Record a complete answer and the time it took, in milliseconds."""
        if self.latency_ms is None:
            self.latency_ms = latency_ms
        self.latency_ms += _LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def mark_shed(self, now: float) -> None:
        """Pause the server after it refused a request because it had no room."""
        self.paused_until = now + SHED_PAUSE_S

    def mark_failed(self, now: float) -> None:
        """Pause the server after it could not be reached; it is cold afterwards."""
        self.paused_until = now + FAIL_PAUSE_S
        self.warm_from = self.paused_until

    def mark_leaving(self, until: float) -> None:
        """Give the server no new request until a time, as it reports to this VM that it leaves."""
        self.leaving_until = max(self.leaving_until, until)

    def mark_heard_leaving(self, until: float) -> None:
        """Do the same on a report of another VM or of the platform's list; see `Admission`."""
        self.heard_leaving_until = max(self.heard_leaving_until, until)


class Slot:
    """A slot of a backend server, held by one request until it is released."""

    __slots__ = ("released", "server")

    def __init__(self, server: ServerState) -> None:
        self.server = server
        self.released = False


Waiter = Callable[[Slot], bool]
"""Takes a freed slot; returns False when the request has gone and the slot is free again."""


class Admission:
    """Gives out the slots of one service that this entry VM may use.

    A server that leaves is marked on its own report to this VM (`leaving`) or on the report of
    others (`heard_leaving`). Both marks keep new requests away. Only the first kind is listed for
    other VMs: two VMs that listed marks of each other would renew them without end.

    Args:
        usable: Returns the usable slots of a backend server at a time.
        rng: Source of randomness for ties.
        max_waiting: Most requests that wait for a slot.
    """

    def __init__(
        self,
        usable: Callable[[str, float], int],
        rng: random.Random,
        *,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self.usable = usable
        self.rng = rng
        self.max_waiting = max_waiting
        self.servers: dict[str, ServerState] = {}
        self.drained: frozenset[str] = frozenset()
        self.waiting: deque[Waiter] = deque()

    def set_servers(self, service: str, addresses: Iterable[str]) -> None:
        """Set the list of backend servers; requests on removed ones go on."""
        kept = self.servers
        self.servers = {a: kept.get(a) or ServerState(a, service) for a in addresses}

    def capacity(self, now: float) -> int:
        """Return the slots that could be used at this time."""
        return sum(self.usable(s.address, now) for s in self._open(now))

    def in_use(self) -> int:
        """Return the slots in use."""
        return sum(server.in_use for server in self.servers.values())

    def latency_ms(self) -> Optional[float]:
        """Return the recent mean time of a request, in milliseconds; None when unmeasured."""
        measured = [s.latency_ms for s in self.servers.values() if s.latency_ms is not None]
        return sum(measured) / len(measured) if measured else None

    def acquire(self, now: float, exclude: frozenset[str] = frozenset()) -> Union[Slot, Refusal]:
        """Take a slot now.

        Args:
            now: Monotonic time, in seconds.
            exclude: Backend servers that this request has already tried.

        Returns:
            A slot, or a refusal when every usable slot is taken or no server is open.
        """
        open_servers = [s for s in self._open(now) if s.address not in exclude]
        if not open_servers:
            return not_run(Reason.NO_BACKEND_SERVER)
        best = self._least_used(open_servers, now)
        if best is None:
            return not_run(Reason.NO_ROOM)
        best.in_use += 1
        return Slot(best)

    def wait(self, waiter: Waiter) -> bool:
        """Queue for the next free slot; returns False when the queue is full."""
        if len(self.waiting) >= self.max_waiting:
            return False
        self.waiting.append(waiter)
        return True

    def stop_waiting(self, waiter: Waiter) -> None:
        """Leave the queue; without effect when the waiter is no longer in it."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def release(self, slot: Slot, now: float) -> None:
        """Give a slot back, to the longest waiting request if there is one."""
        if slot.released:
            return
        slot.released = True
        slot.server.in_use -= 1
        self.serve_waiting(now)

    def serve_waiting(self, now: float) -> None:
        """Give free slots to waiting requests, in the order they came."""
        while self.waiting:
            free = self.acquire(now)
            if isinstance(free, Refusal):
                return
            if not self.waiting.popleft()(free):
                free.released = True
                free.server.in_use -= 1

    def leaving(self, address: str, until: float) -> None:
        """Mark a backend server that reported to this VM that it is leaving.

        Args:
            address: The server; an unknown one is ignored.
            until: Monotonic time at which the mark ends, in seconds; a later end stays.
        """
        server = self.servers.get(address)
        if server is not None:
            server.mark_leaving(until)

    def heard_leaving(self, address: str, until: float) -> None:
        """Mark a backend server that others report as leaving; arguments as of `leaving`."""
        server = self.servers.get(address)
        if server is not None:
            server.mark_heard_leaving(until)

    def leaving_servers(self, now: float) -> list[str]:
        """Return the backend servers that reported to this VM that they are leaving."""
        return [s.address for s in self.servers.values() if s.leaving_until > now]

    def _open(self, now: float) -> list[ServerState]:
        return [
            server
            for server in self.servers.values()
            if server.address not in self.drained and server.is_open(now)
        ]

    def _least_used(self, servers: list[ServerState], now: float) -> Optional[ServerState]:
        best: Optional[ServerState] = None
        least = (1.0, 0.0)
        for server in servers:
            allowed = server.allowed(self.usable(server.address, now), now)
            if server.in_use >= allowed:
                continue
            key = (server.in_use / allowed, self.rng.random())
            if best is None or key < least:
                best, least = server, key
        return best
