"""The backend servers of one day of the soak, and their life cycle.

Owns the stand-ins, their entries in the store, their crashes and restarts, and the planned work on
them: draining a server, evacuating a data hall. Stopped servers are kept, since `promises` judges
what ran at them. The ledger records from when on a server must not get requests.
"""

import asyncio
import json
import zlib
from collections import Counter
from collections.abc import Iterator

from standins.consortium_store import StoreStandIn
from standins.relay import Relay
from standins.scripted_server import Run, ScriptedServer

from .configuration import DOWNLOADS, ORDERS
from .ledger import Leaving, Ledger
from .wiring import Wiring

_WORK_S = 0.06
"""Time of one request at a backend server, in seconds."""

_SLOTS = 8
"""Requests that a backend server runs at once."""

_DRAIN_S = 2.0
"""Seconds until a draining server gets no requests. Bound `Drain` of the platform's example."""

_EVACUATE_S = 5.0
"""Seconds until an evacuated data hall gets no requests. Bound `Evacuate`, likewise."""

_SERVES_AFTER_DRAIN_S = 1.0
"""Seconds for which a drained server still serves after its bound."""

_MS_PER_S = 1000

_RUN_TO_CRASH_S = 0.04
"""Seconds from the start of a run that crashes its server to the crash."""

_HEARTBEAT_S = 0.7
"""Seconds between two writes of an entry by its server."""

_REPLACEMENT_DELAY_S = 1.0
"""Seconds from a crash to the start of a replacement server."""

_ENTRY_EXPIRY_S = 3.0
"""Seconds from the start of the replacement until the crashed server's entry expires."""

_BASE_START_MS = 1_764_000_000_000
"""Unix time before the start of every server, in milliseconds; only the order of starts counts."""

_WARMUP_S = 1.0
"""Warm-up time of a restarted or replaced server, in seconds."""


_DOWNLOAD_BYTES = 90_000
"""Size of the smallest download; the largest is `_DOWNLOAD_SIZES` times as large."""

_DOWNLOAD_SIZES = 6

_ORDER_WORK_MS = (1400, 2900)
"""Range of the time of an order at a backend server beside `_WORK_S`, in milliseconds."""


def body_of(run: Run) -> bytes:
    """Return the answer body that belongs to one request only."""
    piece = f"answer to {run.request_id} ".encode()
    if not run.target.startswith(f"/{DOWNLOADS}/"):
        return piece * (1 + len(run.request_id) % 7)
    size = _DOWNLOAD_BYTES * (1 + zlib.crc32(piece) % _DOWNLOAD_SIZES)
    return (piece * (size // len(piece) + 1))[:size]


def order_work_s(run: Run) -> float:
    """Return the time that a request takes for being an order, in seconds."""
    if not run.target.startswith(f"/{ORDERS}/"):
        return 0.0
    least, most = _ORDER_WORK_MS
    return (least + zlib.crc32(run.request_id.encode()) % (most - least)) / _MS_PER_S


class SoakServer:
    """One backend server behind a relay.

    Args:
        stand_in: The scripted server.
        service: Name of its service.
        zone: Data hall of the server.
        relay: Relay through which the server is reached.
        process_count: Number of processes so far under the server's id.
    """

    def __init__(
        self,
        stand_in: ScriptedServer,
        service: str,
        zone: str,
        relay: Relay,
        *,
        process_count: int = 1,
    ) -> None:
        self.stand_in = stand_in
        self.service = service
        self.zone = zone
        self.relay = relay
        self.process_count = process_count
        self.sequence = 0

    def entry(self, state: str = "ready", warm_in_s: float = 0.0) -> bytes:
        """Return the server's next entry in the store, as JSON."""
        self.sequence += 1
        row = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.relay.port}",
            "Zone": self.zone,
            "Capacity": _SLOTS,
            "State": state,
            "WarmupLeft": f"{warm_in_s * _MS_PER_S:g}ms",
            "Version": "v1",
            "Sequence": self.sequence,
            "born": _BASE_START_MS + self.process_count,
        }
        return json.dumps(row).encode()


class BackendServers:
    """All backend servers of a day.

    Args:
        store: Store that lists the servers.
        wiring: Creates the listener and the relay of each server.
        ledger: Record of the day.

    Attributes:
        running: Servers that have neither left nor crashed, by their ids.
        crashing_targets: Targets whose requests crash each server that runs them.
    """

    def __init__(self, store: StoreStandIn, wiring: Wiring, ledger: Ledger) -> None:
        self.running: dict[str, SoakServer] = {}
        self._gone: list[SoakServer] = []
        self.crashing_targets: set[str] = set()
        self._evacuations: Counter[str] = Counter()
        self._work: set[asyncio.Task] = set()
        self._numbers = 0
        self._store = store
        self._wiring = wiring
        self._ledger = ledger

    def all_servers(self) -> Iterator[SoakServer]:
        """Yield all servers of the day, stopped ones included."""
        yield from self.running.values()
        yield from self._gone

    async def add(self, service: str, zone: str, *, cold_s: float = 0.0) -> SoakServer:
        """Start a backend server that warms up for some seconds, and list it in the store."""
        loop = asyncio.get_running_loop()
        self._numbers += 1
        stand_in = _stand_in(loop, f"i-{self._numbers}", cold_s)
        relay = await self._wiring.behind_relay(stand_in.accept)
        server = self.running[stand_in.server_id] = SoakServer(stand_in, service, zone, relay)
        stand_in.on_run = lambda run: self._on_run(server, run)
        self._store.put(_key(server), server.entry(warm_in_s=cold_s))
        return server

    async def drain(self, server: SoakServer) -> None:
        """Drain a backend server: its entry says so, it serves for a while longer and stops."""
        self._retire(server)
        self._store.put(_key(server), server.entry(state="draining"))
        self._expect_no_requests(server, _DRAIN_S, float("inf"), "DRAIN")
        await asyncio.sleep(_DRAIN_S + _SERVES_AFTER_DRAIN_S)
        self._store.remove(_key(server))
        server.relay.cut()

    async def leave_by_header(self, server: SoakServer, header: str, for_s: float) -> None:
        """Let a backend server state only in its answers that it is leaving, then stop.

        Args:
            server: The server; it keeps writing an entry that says ready.
            header: Header of the statement.
            for_s: Time that it serves beyond the drain bound, in seconds.
        """
        server.stand_in.says[header] = "1"
        until = asyncio.get_running_loop().time() + for_s + _DRAIN_S
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(_HEARTBEAT_S)
            if self.running.get(server.stand_in.server_id) is not server:
                return
            self._store.put(_key(server), server.entry())
        self.crash(server)

    def crash(self, server: SoakServer) -> None:
        """Stop a backend server without draining, and remove its entry."""
        self._retire(server)
        server.relay.cut()
        self._store.remove(_key(server))

    def turn_cold(self, server: SoakServer, cold_s: float, *, writes: bool) -> None:
        """Let a running backend server turn cold for some seconds, and write so if it can."""
        server.stand_in.turn_cold(cold_s)
        if writes:
            self._store.put(_key(server), server.entry(warm_in_s=cold_s))

    def write_entries(self) -> None:
        """Let all running servers write their entries, as they do at intervals."""
        for server in self.running.values():
            left_ms = server.stand_in.warmup_left_ms() or 0
            self._store.put(_key(server), server.entry(warm_in_s=left_ms / _MS_PER_S))

    async def restart(
        self, server: SoakServer, down_s: float, *, silent: bool, writes: bool = True
    ) -> None:
        """Kill a backend server and start it again under its id, without any earlier state.

        Args:
            server: The server.
            down_s: Time between the two processes, in seconds.
            silent: True to reset connections to the killed process only when the next one runs.
            writes: True if the next process can write its entry.
        """
        self._retire(server)
        if silent:
            server.relay.freeze()
        else:
            server.relay.cut()
        server.stand_in.reset()
        await asyncio.sleep(down_s)
        loop = asyncio.get_running_loop()
        stand_in = _stand_in(loop, server.stand_in.server_id, _WARMUP_S)
        server.relay.target = await self._wiring.listen(stand_in.accept)
        server.relay.cut()
        server.relay.thaw()
        server.relay.mend()
        again = SoakServer(
            stand_in,
            server.service,
            server.zone,
            server.relay,
            process_count=server.process_count + 1,
        )
        self.running[stand_in.server_id] = again
        stand_in.on_run = lambda run: self._on_run(again, run)
        if writes:
            self._store.put(_key(again), again.entry(warm_in_s=_WARMUP_S))

    async def overwrite_entry(self, server: SoakServer, value: bytes, for_s: float) -> None:
        """Overwrite the entry of a backend server, which writes it again after some seconds."""
        self._store.put(_key(server), value)
        await asyncio.sleep(for_s)
        if self.running.get(server.stand_in.server_id) is server:
            self._store.put(_key(server), server.entry())

    async def evacuate(self, zone: str, for_s: float) -> None:
        """Evacuate a data hall for some seconds: its backend servers get no requests.

        Evacuations of one data hall may overlap; the hall is restored when the last one ends.
        """
        self._evacuations[zone] += 1
        self._store.put(f"op/evacuate/{zone}", b"{}")
        until = asyncio.get_running_loop().time() + for_s
        for server in self.running.values():
            if server.zone == zone:
                self._expect_no_requests(server, _EVACUATE_S, until, "EVAC")
        await asyncio.sleep(for_s)
        self._evacuations[zone] -= 1
        if not self._evacuations[zone]:
            self._store.remove(f"op/evacuate/{zone}")

    def _on_run(self, server: SoakServer, run: Run) -> None:
        if run.target in self.crashing_targets:
            loop = asyncio.get_running_loop()
            loop.call_later(_RUN_TO_CRASH_S, self._crash_under_request, server, run.target)

    def _crash_under_request(self, server: SoakServer, target: str) -> None:
        """Crash a server under a request, without an answer, and start a replacement."""
        if self.running.get(server.stand_in.server_id) is not server:
            return
        self._retire(server)
        server.relay.refuse()
        server.stand_in.reset()
        self._ledger.crashes[target].append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._replace(server))
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    async def _replace(self, server: SoakServer) -> None:
        await asyncio.sleep(_REPLACEMENT_DELAY_S)
        await self.add(server.service, server.zone, cold_s=_WARMUP_S)
        await asyncio.sleep(_ENTRY_EXPIRY_S)
        self._store.remove(_key(server))

    def _retire(self, server: SoakServer) -> None:
        self._gone.append(self.running.pop(server.stand_in.server_id))

    def _expect_no_requests(
        self, server: SoakServer, allowed_s: float, until: float, rule: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        leaving = Leaving(server.stand_in.server_id, now, allowed_s, until, rule)
        self._ledger.leavings.append(leaving)


def _key(server: SoakServer) -> str:
    return f"servers/{server.stand_in.server_id}"


def _stand_in(loop: asyncio.AbstractEventLoop, server_id: str, cold_s: float) -> ScriptedServer:
    """Return a process of a backend server that warms up for some seconds."""
    stand_in = ScriptedServer(loop, server_id, work_s=_WORK_S, slots=_SLOTS)
    stand_in.answer_of = body_of
    stand_in.more_work_s = order_work_s
    stand_in.turn_cold(cold_s)
    return stand_in
