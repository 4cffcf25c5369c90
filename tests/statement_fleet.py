"""Callers of a fleet whose backend servers state limits, that they are leaving, or ask for a pause.

Owns the requests that arrive at each server, by VM, and the bounds as the servers see them.
"""

import asyncio
from bisect import bisect_left
from collections.abc import Iterable

from standins.scripted_server import ScriptedServer
from standins.virtual import VirtualLoop, pass_time

from .crash_fleet import Callers, CrashFleet

WINDOW_S = 4.0
"""Window of the bound on the requests to a server, in seconds."""

OBJECTS = 24
CALLS_PER_S = 80.0


class StatementFleet:
    """A fleet under a steady load: 80 requests a second on 24 objects, VM after VM.

    Args:
        fleet: The fleet, ready.
        calls_per_s: Requests a second.
    """

    def __init__(self, fleet: CrashFleet, *, calls_per_s: float = CALLS_PER_S) -> None:
        self.fleet = fleet
        self.callers = SteadyCallers(fleet, pause_s=1.0 / calls_per_s)
        self.work = asyncio.create_task(self.callers.run())

    @classmethod
    async def start(
        cls, loop: VirtualLoop, *, vms: int = 4, servers: int = 8, calls_per_s: float = CALLS_PER_S
    ) -> "StatementFleet":
        """Return a fleet under load whose servers have their objects warm."""
        fleet = await CrashFleet(loop, vms=vms, servers=servers).ready()
        fleet_under_load = cls(fleet, calls_per_s=calls_per_s)
        await pass_time(4.0)
        return fleet_under_load

    @property
    def now(self) -> float:
        """Return the virtual time, in seconds."""
        return self.fleet.loop.time()

    def servers(self) -> list[ScriptedServer]:
        """Return the servers, the one with the most requests first."""
        return sorted(self.fleet.servers.values(), key=lambda s: -len(s.arrivals))

    def served(self, since: float, until: float) -> float:
        """Return the part of the requests sent from `since` to `until` that a server answered."""
        rows = [row for row in self.callers.rows if since <= row[0] < until]
        return sum(row[2] == 200 for row in rows) / max(1, len(rows))


class SteadyCallers(Callers):
    """Callers that ask VM after VM for one of 24 objects, and record how each request ended.

    Attributes:
        rows: For each request: when it was sent and how long it took, in seconds, its status, and
            the time in seconds after which its caller may return, None for no time.
    """

    def __init__(self, fleet: CrashFleet, *, pause_s: float) -> None:
        super().__init__(fleet, pause_s=pause_s)
        self.rows: list[tuple[float, float, int, float | None]] = []

    async def _ask(self, number: int, target: str) -> None:
        sent = self.fleet.loop.time()
        reply = await self.fleet.ask(number, target, key=f"lane-{number % OBJECTS}")
        took_s = self.fleet.loop.time() - sent
        self.rows.append((sent, took_s, reply.status, reply.retry_after_s))


def sent_after_statement(
    fleet: CrashFleet, server: ScriptedServer, since: float, bound_s: float
) -> int:
    """Return the requests from VMs to which a server stated something longer ago than a bound.

    Args:
        fleet: The fleet.
        server: The server, which states it in all answers from `since` on.
        since: Virtual time, in seconds.
        bound_s: Time from the first such answer to a VM, in seconds.
    """
    first_told_at: dict[str, float] = {}
    for answer in server.answered:
        vm = fleet.asked.get(answer.request_id)
        if vm is not None and answer.at >= since:
            first_told_at.setdefault(vm, answer.at)
    return sum(
        at > first_told_at.get(fleet.asked.get(request_id, ""), float("inf")) + bound_s
        for at, request_id in server.arrived
    )


def sent_in_pauses(fleet: CrashFleet, server: ScriptedServer) -> int:
    """Return the requests beyond two that a server got from a VM that it asked for a pause.

    They are counted from half a second after each refusal to the end of the pause.
    """
    excess = 0
    for answer in server.answered:
        vm = fleet.asked.get(answer.request_id)
        if answer.rest_s is None or vm is None:
            continue
        in_pause = sum(
            answer.at + 0.5 < at < answer.at + answer.rest_s and fleet.asked.get(request_id) == vm
            for at, request_id in server.arrived
        )
        excess = max(excess, in_pause - 2)
    return excess


def most_in_window(arrivals: Iterable[float], since: float, until: float = float("inf")) -> int:
    """Return the largest number of arrivals in any window that begins from `since` to `until`."""
    times = sorted(at for at in arrivals if since <= at < until)
    return max(
        (bisect_left(times, at + WINDOW_S) - index for index, at in enumerate(times)), default=0
    )


def allowed(limit_per_s: float) -> float:
    """Return the maximum number of requests that a server with a limit may get in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def broken_bounds(**figures: tuple[float, str, float]) -> list[str]:
    """Return the figures that exceed their bounds.

    Args:
        **figures: Each figure, `<=` or `>=`, and its bound.
    """
    return [
        f"{name}: {found:.2f}, bound {sign} {bound:.2f}"
        for name, (found, sign, bound) in figures.items()
        if (found > bound if sign == "<=" else found < bound)
    ]
