"""The backend servers of one day of the soak, and how they come and go.

Owns the stand-ins, their entries in the store, and the planned work on them: draining a server,
evacuating a data hall. Servers that have gone are kept, since `promises` judges what ran at them.
When a server has to be left alone is recorded in the ledger.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Iterator

from standins.consortium_store import StoreStandIn
from standins.relay import Relay
from standins.scripted_server import Run, ScriptedServer

from .ledger import Leaving, Ledger
from .wiring import Wiring

_WORK_S = 0.06
"""Seconds that a backend server works on a request. A guess, never measured."""

_SLOTS = 8
"""Requests that a backend server works on at once. A guess, never measured."""

_DRAIN_S = 2.0
"""Seconds until a draining server gets no more work. Bound `Drain` of the platform's example."""

_EVACUATE_S = 5.0
"""Seconds until an evacuated data hall gets no more work. Bound `Evacuate`, likewise."""

_LEFT_S = 1.0
"""Seconds that a drained server still serves beyond its bound. A guess, never measured."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_CRASH_AFTER_S = 0.04
"""Seconds that a run which crashes its server takes. A guess, never measured."""

_HEARTBEAT_S = 0.7
"""Seconds between two writings of an entry by its server."""

_BACK_AFTER_S = 1.0
"""Seconds until another server takes the place of one that crashed. A guess, never measured."""

_LAPSES_AFTER_S = 3.0
"""Seconds more until the entry of one that crashed lapses. A guess, never measured."""

_FIRST_BORN_MS = 1_764_000_000_000
"""Unix time before the start of every server, in milliseconds; only the order of starts counts."""

_COLD_AGAIN_S = 1.0
"""Seconds for which a server that starts again is cold. A guess, never measured."""


def body_of(run: Run) -> bytes:
    """Return the body that only one request may get."""
    return f"answer to {run.request_id} ".encode() * (1 + len(run.request_id) % 7)


class SoakServer:
    """One backend server behind a relay.

    Args:
        stand_in: The server.
        service: Its service.
        zone: Its data hall.
        link: The relay before it.
        lives: How many processes it has had under its id.
    """

    def __init__(
        self, stand_in: ScriptedServer, service: str, zone: str, link: Relay, *, lives: int = 1
    ) -> None:
        self.stand_in = stand_in
        self.service = service
        self.zone = zone
        self.link = link
        self.lives = lives

    def entry(self, state: str = "ready", warm_in_s: float = 0.0) -> bytes:
        """Return its entry in the store."""
        row = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.link.port}",
            "Zone": self.zone,
            "Capacity": _SLOTS,
            "State": state,
            "WarmupLeft": f"{warm_in_s * _MS_PER_S:g}ms",
            "Version": "v1",
            "Sequence": 1,
            "born": _FIRST_BORN_MS + self.lives,
        }
        return json.dumps(row).encode()


class BackendServers:
    """All backend servers of a day; `running` holds those that have not left, by their ids.

    Each run for a target in `sick` crashes its server.

    Args:
        store: The store that lists them.
        wiring: Makes the way to each.
        ledger: Record of the day.
    """

    def __init__(self, store: StoreStandIn, wiring: Wiring, ledger: Ledger) -> None:
        self.running: dict[str, SoakServer] = {}
        self._gone: list[SoakServer] = []
        self.sick: set[str] = set()
        self._evacuations: Counter[str] = Counter()
        self._work: set[asyncio.Task] = set()
        self._numbers = 0
        self._store = store
        self._wiring = wiring
        self._ledger = ledger

    def ever(self) -> Iterator[SoakServer]:
        """Return all that have run in the day."""
        yield from self.running.values()
        yield from self._gone

    async def add(self, service: str, zone: str, *, cold_s: float = 0.0) -> SoakServer:
        """Add a backend server, cold for some seconds."""
        loop = asyncio.get_running_loop()
        self._numbers += 1
        stand_in = _stand_in(loop, f"i-{self._numbers}", cold_s)
        link = await self._wiring.behind_relay(stand_in.accept)
        server = self.running[stand_in.server_id] = SoakServer(stand_in, service, zone, link)
        stand_in.on_run = lambda run: self._on_run(server, run)
        self._store.put(_key(server), server.entry(warm_in_s=cold_s))
        return server

    async def drain(self, server: SoakServer) -> None:
        """Let a backend server leave: it says so, serves on for a while, and ends."""
        self._goes(server)
        self._store.put(_key(server), server.entry(state="draining"))
        self._leave_alone(server, _DRAIN_S, float("inf"), "DRAIN")
        await asyncio.sleep(_DRAIN_S + _LEFT_S)
        self._store.remove(_key(server))
        server.link.cut()

    async def leave_by_word(self, server: SoakServer, header: str, for_s: float) -> None:
        """Let a backend server say in its answers alone that it leaves, and end.

        Args:
            server: The server; its entry is written again and says ready.
            header: The header in which it says so.
            for_s: How long it serves on, in seconds.
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
        """Let a backend server end without draining; its entry goes."""
        self._goes(server)
        server.link.cut()
        self._store.remove(_key(server))

    async def start_again(self, server: SoakServer, down_s: float, *, silent: bool) -> None:
        """Let a backend server die and start again under its id, knowing nothing of before.

        Args:
            server: The server.
            down_s: How long none of its processes runs, in seconds.
            silent: True when connections to the process before are not reset until the next runs.
        """
        self._goes(server)
        if silent:
            server.link.freeze()
        else:
            server.link.cut()
        server.stand_in.reset()
        await asyncio.sleep(down_s)
        loop = asyncio.get_running_loop()
        stand_in = _stand_in(loop, server.stand_in.server_id, _COLD_AGAIN_S)
        server.link.target = await self._wiring.listen(stand_in.accept)
        server.link.cut()
        server.link.thaw()
        server.link.mend()
        again = SoakServer(
            stand_in, server.service, server.zone, server.link, lives=server.lives + 1
        )
        self.running[stand_in.server_id] = again
        stand_in.on_run = lambda run: self._on_run(again, run)
        self._store.put(_key(again), again.entry(warm_in_s=_COLD_AGAIN_S))

    async def spoil_entry(self, server: SoakServer, value: bytes, for_s: float) -> None:
        """Let another writer write over the entry of a backend server, which writes it anew."""
        self._store.put(_key(server), value)
        await asyncio.sleep(for_s)
        if self.running.get(server.stand_in.server_id) is server:
            self._store.put(_key(server), server.entry())

    async def evacuate(self, zone: str, for_s: float) -> None:
        """Send nothing to a data hall's backend servers for some time.

        Evacuations of one hall may overlap; the last one takes it back.
        """
        self._evacuations[zone] += 1
        self._store.put(f"op/evacuate/{zone}", b"{}")
        until = asyncio.get_running_loop().time() + for_s
        for server in self.running.values():
            if server.zone == zone:
                self._leave_alone(server, _EVACUATE_S, until, "EVAC")
        await asyncio.sleep(for_s)
        self._evacuations[zone] -= 1
        if not self._evacuations[zone]:
            self._store.remove(f"op/evacuate/{zone}")

    def _on_run(self, server: SoakServer, run: Run) -> None:
        if run.target in self.sick:
            loop = asyncio.get_running_loop()
            loop.call_later(_CRASH_AFTER_S, self._crash_under, server, run.target)

    def _crash_under(self, server: SoakServer, target: str) -> None:
        """End a server's process under a request; it says nothing, and another one follows."""
        if self.running.get(server.stand_in.server_id) is not server:
            return
        self._goes(server)
        server.link.refuse()
        server.stand_in.reset()
        self._ledger.crashes[target].append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._replace(server))
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    async def _replace(self, server: SoakServer) -> None:
        await asyncio.sleep(_BACK_AFTER_S)
        await self.add(server.service, server.zone, cold_s=_COLD_AGAIN_S)
        await asyncio.sleep(_LAPSES_AFTER_S)
        self._store.remove(_key(server))

    def _goes(self, server: SoakServer) -> None:
        self._gone.append(self.running.pop(server.stand_in.server_id))

    def _leave_alone(self, server: SoakServer, allowed_s: float, until: float, rule: str) -> None:
        now = asyncio.get_running_loop().time()
        leaving = Leaving(server.stand_in.server_id, now, allowed_s, until, rule)
        self._ledger.leavings.append(leaving)


def _key(server: SoakServer) -> str:
    return f"servers/{server.stand_in.server_id}"


def _stand_in(loop: asyncio.AbstractEventLoop, server_id: str, cold_s: float) -> ScriptedServer:
    """Return a process of a backend server, cold for some seconds."""
    stand_in = ScriptedServer(loop, server_id, work_s=_WORK_S, slots=_SLOTS)
    stand_in.answer_of = body_of
    stand_in.turn_cold(cold_s)
    return stand_in
