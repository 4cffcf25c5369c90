"""Whole entry VMs on a virtual clock beside an oracle of two limits that hold over the fleet.

The limits are on retries of a service and on requests to a cold backend server. The oracle counts
what arrives at the servers and what callers send, as the platform's rules do. Servers write their
entries at intervals while the store takes writes, and state in health answers how long they stay
cold.
"""

import asyncio
import json
from collections.abc import Iterable
from typing import Any, NamedTuple, Optional

from standins.consortium_store import Fault
from standins.scripted_server import HEALTH_PATH, Run, ScriptedServer, Spoil
from standins.virtual import VirtualLoop, pass_time

from .crash_fleet import CrashFleet, CrashVm
from .gateway_process import CONFIGURATION

SERVICE = "rates"
RATIO, SLACK, WINDOW_S = 0.2, 64.0, 10.0
"""Limit on retries: part of the requests in the window, and a number beyond that."""

COLD_PER_S, COLD_OVER, COLD_SLACK = 9.0, 1.5, 5.0


def cold_limit(cold_per_s: float) -> float:
    """Return the most requests that a cold server may get in a second."""
    return cold_per_s * COLD_OVER + COLD_SLACK


COLD_LIMIT = cold_limit(COLD_PER_S)

_HEARTBEAT_S = 1.5
_WORK_S = 0.1
_START_S = 0.6
"""Time from the start of a VM's process until it takes requests."""

_OBJECTS = 24
_DEADLINE_S = 2.5


class Process(NamedTuple):
    """One process of a backend server.

    Args:
        stand_in: The process.
        hall: Data hall.
        born: Number of the process.
        cold_from: Time since which it is cold, in seconds; infinite for never.
        cold_until: Time until which it is cold.
    """

    stand_in: ScriptedServer
    hall: str
    born: int
    cold_from: float
    cold_until: float

    def most_in_a_second(self, grace_s: float) -> int:
        """Return the most requests that arrived in a second while it was cold.

        Args:
            grace_s: Time for which VMs may not know, in seconds.
        """
        start = self.cold_from + grace_s
        times = [at for at, _ in self.stand_in.arrived if start <= at <= self.cold_until]
        return most_in_window(times, 1.0)


class LimitFleet(CrashFleet):
    """Entry VMs, their store, and servers that fail, turn cold and start again.

    Args:
        loop: The loop.
        vms: Number of VMs.
        servers: Number of backend servers.
        seed: Seed of the VMs' randomness.
        cold_per_s: Requests a second that a cold server can handle, by the configuration.

    Attributes:
        cold_limit: Most requests that a cold server may get in a second.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        *,
        vms: int = 4,
        servers: int = 8,
        seed: int = 1,
        cold_per_s: float = COLD_PER_S,
    ) -> None:
        self.cold_limit = cold_limit(cold_per_s)
        self.processes: dict[str, Process] = {}
        self.ended: list[Process] = []
        self.sequences: dict[str, int] = {}
        self.fails = 0.0
        self.failing = Spoil.LOST
        self.requests: list[float] = []
        self.statuses: list[tuple[float, int]] = []
        self.asks: dict[str, set[asyncio.Task]] = {}
        self.down: set[int] = set()
        self.writes_entries = True
        super().__init__(loop, vms=vms, servers=servers, seed=seed)
        rule = {**CONFIGURATION["Services"][0], "HealthPath": HEALTH_PATH, "ColdPerS": cold_per_s}
        configuration = {**CONFIGURATION, "Services": [rule]}
        self.store.put("op/config", json.dumps(configuration).encode())

    def _serve(self, address: str, hall: str) -> None:
        server_id = f"i-{next(self._names)}"
        self.addresses[server_id] = address
        self._start_process(server_id, hall, 1, 0.0)
        self.loop.create_task(self._beat(server_id))

    def _start_process(self, server_id: str, hall: str, born: int, cold_s: float) -> None:
        stand_in = ScriptedServer(self.loop, server_id, work_s=_WORK_S)
        stand_in.spoil_of = self._spoil
        stand_in.turn_cold(cold_s)
        now = self.loop.time()
        cold_from = now if cold_s else float("inf")
        self.servers[server_id] = stand_in
        self.processes[server_id] = Process(stand_in, hall, born, cold_from, now + cold_s)
        self.loop.listen(self.addresses[server_id], stand_in.accept)
        self.write_entry(server_id)

    def _spoil(self, _run: Run) -> Spoil:
        return self.failing if self.rng.random() < self.fails else Spoil.NONE

    async def _beat(self, server_id: str) -> None:
        await pass_time(self.rng.random() * _HEARTBEAT_S)
        while True:
            self.write_entry(server_id)
            await pass_time(_HEARTBEAT_S)

    def write_entry(self, server_id: str) -> None:
        """Write a server's entry, if the store takes it."""
        if self.store.fault is not Fault.NONE or not self.writes_entries:
            return
        if server_id not in self.processes:
            return
        process = self.processes[server_id]
        self.sequences[server_id] = self.sequences.get(server_id, 0) + 1
        row = {
            "Service": SERVICE,
            "Address": self.addresses[server_id],
            "Zone": process.hall,
            "Capacity": 6,
            "State": "ready",
            "WarmupLeft": f"{process.stand_in.warmup_left_ms() or 0}ms",
            "Version": "v1",
            "Sequence": self.sequences[server_id],
            "born": process.born,
        }
        self.store.put(f"servers/{server_id}", json.dumps(row).encode())

    def turn_cold(self, server_id: str, seconds: float = 3.0) -> None:
        """Let a running server turn cold; it writes so if the store takes it."""
        process, now = self.processes[server_id], self.loop.time()
        process.stand_in.turn_cold(seconds)
        self.processes[server_id] = process._replace(cold_from=now, cold_until=now + seconds)
        self.write_entry(server_id)

    async def start_server_again(self, server_id: str, down_s: float, cold_s: float = 3.0) -> None:
        """End a server and start a cold process under its id and address."""
        process = self.processes.pop(server_id)
        self.ended.append(process)
        self.loop.listeners.pop(self.addresses[server_id], None)
        process.stand_in.reset()
        await pass_time(down_s)
        self._start_process(server_id, process.hall, process.born + 1, cold_s)

    def kill_vm(self, number: int) -> None:
        """Kill a VM with the requests that it holds."""
        self.vms[number].kill()
        self.down.add(number)
        for task in tuple(self.asks.get(self.vms[number].name, ())):
            task.cancel()

    async def restart_vm(self, number: int, down_s: float = _START_S) -> None:
        """Kill a VM and start its process again."""
        self.kill_vm(number)
        await pass_time(down_s)
        self.start_vm(number)

    def start_vm(self, number: int) -> None:
        """Start a VM's process that was killed."""
        self.vms[number] = CrashVm(self, number)
        self.by_address = {vm.address: vm for vm in self.vms}
        self.down.discard(number)

    async def traffic(self, per_s: float, seconds: float, *, objects: int = _OBJECTS) -> None:
        """Let callers send requests for a while, each to a VM that takes some."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            self.send_one(objects)
            await pass_time(1.0 / per_s)

    def send_one(self, objects: int = _OBJECTS, number: Optional[int] = None) -> None:
        """Send one request to a VM, any that takes some by default."""
        up = [n for n in range(len(self.vms)) if n not in self.down and self.takes(n)]
        if number is None or number not in up:
            if not up:
                return
            number = self.rng.choice(up)
        self.requests.append(self.loop.time())
        name = self.vms[number].name
        task = self.loop.create_task(self._ask_and_count(number, self.rng.randrange(objects)))
        self.asks.setdefault(name, set()).add(task)
        task.add_done_callback(self.asks[name].discard)

    def takes(self, number: int) -> bool:
        """Return whether a VM is ready."""
        return self.vms[number].gateway.ready()

    async def _ask_and_count(self, number: int, key: int) -> None:
        reply = await self.ask(number, f"/rates/{key}", key=f"lane-{key}")
        self.statuses.append((self.loop.time(), reply.status))

    def retries_over_limit(self) -> float:
        """Return by how much repeats of requests exceed their limit at most; 0 or less is kept."""
        firsts: set[str] = set()
        repeats: list[float] = []
        for at, request_id in sorted(self._arrivals()):
            if request_id in firsts:
                repeats.append(at)
            firsts.add(request_id)
        starts = sorted({at - WINDOW_S for at in repeats} | set(repeats))
        return max((self._over_at(start, repeats) for start in starts), default=-SLACK)

    def most_repeats(self) -> int:
        """Return the most repeats within the window."""
        firsts: set[str] = set()
        repeats = []
        for at, request_id in sorted(self._arrivals()):
            if request_id in firsts:
                repeats.append(at)
            firsts.add(request_id)
        return most_in_window(repeats, WINDOW_S)

    def _over_at(self, start: float, repeats: list[float]) -> float:
        requests = max(
            _count(self.requests, start + shift, start + shift + WINDOW_S)
            for shift in (0.0, -WINDOW_S, -WINDOW_S / 2)
        )
        return _count(repeats, start, start + WINDOW_S) - (RATIO * requests + SLACK)

    def _arrivals(self) -> Iterable[tuple[float, str]]:
        for process in (*self.ended, *self.processes.values()):
            yield from process.stand_in.arrived

    def most_at_cold_servers(self, grace_s: float) -> int:
        """Return the most requests in a second at any cold server; see `Process`."""
        processes = (*self.ended, *self.processes.values())
        return max(process.most_in_a_second(grace_s) for process in processes)

    def served(self, after: float = 0.0) -> float:
        """Return which part of the answers after a time were a success."""
        statuses = [status for at, status in self.statuses if at >= after]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


def most_in_window(times: list[float], window_s: float) -> int:
    """Return the most of some times within a window."""
    times = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def _count(times: list[float], start: float, end: float) -> int:
    return sum(start <= at < end for at in times)


async def ready(loop: VirtualLoop, **options: Any) -> LimitFleet:
    """Return a fleet whose VMs know each other."""
    fleet = LimitFleet(loop, **options)
    await pass_time(6.0)
    return fleet
