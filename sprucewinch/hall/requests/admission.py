"""Admission: which backend server runs a request, or why none does now."""

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Optional, Union

from ...net.outcome import Reason, Refusal, not_run

SHED_PAUSE_S = 0.25
"""How long a backend server that shed a request is left alone."""

FAIL_PAUSE_S = 1.0
"""How long a backend server that could not be reached is left alone."""

COLD_S = 3.0
"""How long a backend server that starts afresh is given fewer requests."""


class ServerState:
    """What this entry VM knows of one backend server of its hall.

    Args:
        address: `IP:PORT`.
        service: Its service.
    """

    __slots__ = (
        "address",
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
        self.warm_from = float("-inf")
        self.latency_ms: Optional[float] = None


class Slot:
    """A slot of a backend server, held by one request until it is released."""

    __slots__ = ("released", "server")

    def __init__(self, server: ServerState) -> None:
        self.server = server
        self.released = False


Waiter = Callable[[Slot], bool]
"""Takes a freed slot; returns False when the request has gone and the slot is free again."""

_LATENCY_WEIGHT = 0.1


class Admission:
    """Gives out the slots of one service that this entry VM may use.

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
        max_waiting: int = 64,
    ) -> None:
        self.usable = usable
        self.rng = rng
        self.max_waiting = max_waiting
        self.servers: dict[str, ServerState] = {}
        self.drained: frozenset[str] = frozenset()
        self.waiting: deque[Waiter] = deque()

    def set_servers(self, service: str, addresses: Iterable[str]) -> None:
        """Take over the list of backend servers; requests on removed ones go on."""
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
        """Leave the queue; no matter whether the waiter is still in it."""
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

    def succeeded(self, server: ServerState, latency_ms: float) -> None:
        """Note a complete answer and the time it took, in milliseconds."""
        if server.latency_ms is None:
            server.latency_ms = latency_ms
        server.latency_ms += _LATENCY_WEIGHT * (latency_ms - server.latency_ms)

    def shed(self, server: ServerState, now: float) -> None:
        """Note that a backend server refused a request for want of room."""
        server.paused_until = now + SHED_PAUSE_S

    def failed(self, server: ServerState, now: float) -> None:
        """Note that a backend server could not be reached; it comes back cold."""
        server.paused_until = now + FAIL_PAUSE_S
        server.warm_from = server.paused_until

    def leaving(self, address: str, until: float) -> None:
        """Note that a backend server takes no new work until some time."""
        server = self.servers.get(address)
        if server is not None:
            server.leaving_until = max(server.leaving_until, until)

    def leaving_servers(self, now: float) -> list[str]:
        """Return the backend servers that said themselves that they are leaving."""
        return [s.address for s in self.servers.values() if s.leaving_until > now]

    def _open(self, now: float) -> list[ServerState]:
        return [
            server
            for server in self.servers.values()
            if server.address not in self.drained
            and server.paused_until <= now
            and server.leaving_until <= now
        ]

    def _least_used(self, servers: list[ServerState], now: float) -> Optional[ServerState]:
        best: Optional[ServerState] = None
        least = (1.0, 0.0)
        for server in servers:
            allowed = self._allowed(server, now)
            if server.in_use >= allowed:
                continue
            key = (server.in_use / allowed, self.rng.random())
            if best is None or key < least:
                best, least = server, key
        return best

    def _allowed(self, server: ServerState, now: float) -> int:
        usable = self.usable(server.address, now)
        if now - server.warm_from >= COLD_S:
            return usable
        return min(usable, 1)
