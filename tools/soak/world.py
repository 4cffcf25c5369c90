"""The processes and stand-ins of one day of the soak.

Owns the entry VMs as real processes, the stand-ins of the store and of the backend servers, the
relays between them, and the configuration in force. Starts a process again whenever it has ended.
Whatever is done here is recorded in the ledger with its time; `promises` judges by that.
"""

import asyncio
import contextlib
import functools
import json
import signal
import tempfile
from pathlib import Path
from typing import Any

from standins.consortium_store import StoreStandIn
from standins.relay import Relay
from standins.scripted_server import HEALTH_PATH, Run, ScriptedServer
from tools.entry_vm import EntryVm, Place, free_port, own_address

from .ledger import EVERYBODY, Leaving, Ledger, Struck, Version

HOST = "quotes.example"
ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
SERVICES = ("rates", "booking")
RATES, BOOK = "rates", "book"
ROUTE_TIMEOUT_S = 2.0
"""Timeout of every route, in seconds. A guess, never measured."""

_PROGRAM = "tools/soak_vm.py"
_VMS_PER_ZONE = 1
"""Entry VMs of a data hall. A guess, never measured."""

_SERVERS_PER_ZONE = 2
"""Backend servers of each service in a data hall, so that one may leave."""

_RESTART_S = 0.3
"""Seconds from the end of a process to its next start. A guess, never measured."""

_WORK_S = 0.06
"""Seconds that a backend server works on a request. A guess, never measured."""

_SLOTS = 8
"""Requests that a backend server works on at once. A guess, never measured."""

_CONNECTIONS = 100
"""Connections that a backend server accepts. A guess, never measured."""

_COLD_PER_S = 20.0
"""Requests a second that a cold backend server bears. A guess, never measured."""

_START_S = 30.0
"""Seconds for all entry VMs to become ready on a busy machine. A guess, never measured."""

_POLL_S = 0.05
"""Seconds between looks at a process's readiness."""

_READY_CHECK_S = 1.0
"""Seconds for one look at a process's readiness. A guess, never measured."""

_LAG_LOOK_S = 0.05
"""Seconds between looks at the soak's own clock; shorter than `_LAG_S`."""

_LAG_S = 0.15
"""Seconds of a pause of the soak's own process that strikes all entry VMs. A guess."""

_ENDING = (int(signal.SIGTERM), int(signal.SIGKILL))
"""Signals that end a process."""

_DRAIN_S = 2.0
"""Seconds until a draining server gets no more work. Bound `Drain` of the platform's example."""

_EVACUATE_S = 5.0
"""Seconds until an evacuated data hall gets no more work. Bound `Evacuate`, likewise."""

_LEFT_S = 1.0
"""Seconds that a drained server still serves beyond its bound. A guess, never measured."""

_FIRST_VERSION = 3
"""Number before that of the first configuration; versions need not begin at 1."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


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
    """

    def __init__(self, stand_in: ScriptedServer, service: str, zone: str, link: Relay) -> None:
        self.stand_in = stand_in
        self.service = service
        self.zone = zone
        self.link = link

    def entry(self, state: str = "ready", warm_in_s: float = 0.0) -> bytes:
        """Return its entry in the store."""
        row = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.link.port}",
            "Zone": self.zone,
            "Capacity": _SLOTS,
            "State": state,
            "WarmupLeft": f"{warm_in_s * _MS_PER_S:g}ms",
            "Sequence": 1,
        }
        return json.dumps(row).encode()


class World:
    """All of one day."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.ledger = Ledger()
        self.store = StoreStandIn(self.loop)
        self.servers: dict[str, SoakServer] = {}
        self.gone_servers: dict[str, SoakServer] = {}
        self.vms: dict[str, EntryVm] = {}
        self.store_links: dict[str, Relay] = {}
        self.services = {RATES: "rates", BOOK: "booking"}
        self.ready: set[str] = set()
        self._version = _FIRST_VERSION
        self._numbers = 0
        self._closing = False
        self._tasks: list[asyncio.Task] = []
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start everything and wait until all entry VMs are ready."""
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        for zone in ZONES:
            for service in SERVICES:
                for _ in range(_SERVERS_PER_ZONE):
                    await self.add_server(service, zone)
        self.configure()
        port = free_port("127.0.0.1")
        for number, zone in enumerate(z for z in ZONES for _ in range(_VMS_PER_ZONE)):
            await self._add_vm(f"vm{number}", zone, port)
        self._tasks.append(self.loop.create_task(self._watch_own_lag()))
        self._tasks += [self.loop.create_task(self._supervise(vm)) for vm in self.vms.values()]

    async def stop(self) -> None:
        """End everything."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self.vms.values():
            await vm.kill()
        await self._stack.aclose()

    async def _listen(self, accept) -> int:
        server = await self.loop.create_server(accept, "127.0.0.1", 0)
        self._stack.callback(server.close)
        return server.sockets[0].getsockname()[1]

    async def _relay(self, target: int) -> Relay:
        relay = Relay(free_port("127.0.0.1"), target)
        await relay.start()
        self._stack.push_async_callback(relay.stop)
        return relay

    async def _add_vm(self, name: str, zone: str, peer_port: int) -> None:
        link = await self._relay(await self._listen(functools.partial(self.store.accept, name)))
        self.store_links[name] = link
        self.vms[name] = EntryVm(
            name,
            self._stack.enter_context(own_address()),
            f"127.0.0.1:{link.port}",
            peer_port,
            self.folder,
            place=Place(zone, ZONES),
            program=_PROGRAM,
        )

    async def add_server(self, service: str, zone: str, *, cold_s: float = 0.0) -> SoakServer:
        """Add a backend server, cold for some seconds."""
        self._numbers += 1
        stand_in = ScriptedServer(self.loop, f"i-{self._numbers}", work_s=_WORK_S, slots=_SLOTS)
        stand_in.answer_of = body_of
        stand_in.turn_cold(cold_s)
        link = await self._relay(await self._listen(stand_in.accept))
        server = self.servers[stand_in.server_id] = SoakServer(stand_in, service, zone, link)
        self.store.put(f"servers/{stand_in.server_id}", server.entry(warm_in_s=cold_s))
        return server

    async def drain_server(self, server: SoakServer) -> None:
        """Let a backend server leave: it says so, serves on for a while, and ends."""
        server_id = server.stand_in.server_id
        self.gone_servers[server_id] = self.servers.pop(server_id)
        self.store.put(f"servers/{server_id}", server.entry(state="draining"))
        self._leaves(server_id, _DRAIN_S, float("inf"), "DRAIN")
        await asyncio.sleep(_DRAIN_S + _LEFT_S)
        self.store.remove(f"servers/{server_id}")
        server.link.cut()

    def crash_server(self, server: SoakServer) -> None:
        """Let a backend server end without draining; its entry goes."""
        server_id = server.stand_in.server_id
        self.gone_servers[server_id] = self.servers.pop(server_id)
        server.link.cut()
        self.store.remove(f"servers/{server_id}")

    def _leaves(self, server_id: str, allowed_s: float, until: float, rule: str) -> None:
        now = self.loop.time()
        self.ledger.leavings.append(Leaving(server_id, now, allowed_s, until, rule))

    async def evacuate(self, zone: str, for_s: float) -> None:
        """Send nothing to a data hall's backend servers for some time."""
        self.store.put(f"op/evacuate/{zone}", b"{}")
        until = self.loop.time() + for_s
        for server_id, server in self.servers.items():
            if server.zone == zone:
                self._leaves(server_id, _EVACUATE_S, until, "EVAC")
        await asyncio.sleep(for_s)
        self.store.remove(f"op/evacuate/{zone}")

    def configure(self) -> None:
        """Write a new version of the configuration."""
        self._version += 1
        self.store.put("op/config", json.dumps(self._configuration()).encode())
        version = Version(self._version, self.loop.time(), dict(self.services))
        self.ledger.versions.append(version)

    def _configuration(self) -> dict[str, Any]:
        rules = [
            {
                "Name": name,
                "MaxConnections": _CONNECTIONS,
                "HealthPath": HEALTH_PATH,
                "Warmup": "1s",
                "ColdPerS": _COLD_PER_S,
            }
            for name in SERVICES
        ]
        paths = [_path(name, service) for name, service in self.services.items()]
        return {
            "Version": f"r{self._version}",
            "Services": rules,
            "Limits": {"IdleTimeout": "15000ms"},
            "Hosts": [{"Hostname": HOST, "Paths": paths}],
        }

    async def _supervise(self, vm: EntryVm) -> None:
        """Start an entry VM again whenever it has ended."""
        while not self._closing:
            started_at = self.loop.time()
            await vm.start()
            await self._until_ready(vm, started_at)
            status = await vm.ended()
            self.ready.discard(vm.name)
            self.ledger.ends[vm.name].append((self.loop.time(), status))
            await asyncio.sleep(_RESTART_S)

    async def _until_ready(self, vm: EntryVm, started_at: float) -> None:
        """Count a start as a trouble until the entry VM is ready."""
        host, port = vm.addresses["Ready"].split(":")
        while vm.running:
            await asyncio.sleep(_POLL_S)
            if not vm.running:
                break
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_READY_CHECK_S):
                    if await _says_ready(host, int(port)):
                        self.ready.add(vm.name)
                        break
        self.ledger.struck.append(Struck("start", vm.name, started_at, self.loop.time()))

    async def until_all_ready(self) -> bool:
        """Wait until every entry VM is ready and none is stopping; False when that takes too long.

        On a busy machine a start may take many times as long as on a quiet one.
        """
        try:
            async with asyncio.timeout(_START_S):
                while not all(self._is_up(vm) for vm in self.vms.values()):
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            return False
        return True

    def _is_up(self, vm: EntryVm) -> bool:
        signals = [at for at, n in self.ledger.signalled[vm.name] if n in _ENDING]
        ends = [at for at, _ in self.ledger.ends[vm.name]]
        stopping = bool(signals) and max(signals) > max(ends, default=float("-inf"))
        return vm.name in self.ready and not stopping

    async def _watch_own_lag(self) -> None:
        """Record when the soak's own process stands still, as a trouble of all entry VMs."""
        while True:
            before = self.loop.time()
            await asyncio.sleep(_LAG_LOOK_S)
            now = self.loop.time()
            if now - before > _LAG_S:
                self.ledger.struck.append(Struck("own lag", EVERYBODY, before, now))

    def signal(self, vm: EntryVm, number: signal.Signals) -> None:
        """Send a signal to an entry VM's process, if it runs."""
        if vm.running:
            self.ledger.signalled[vm.name].append((self.loop.time(), int(number)))
            vm.signal(number)


def _path(name: str, service: str) -> dict[str, Any]:
    return {
        "Name": name,
        "PathPrefix": f"/{name}/",
        "RouteType": "unsafe" if name == BOOK else "safe",
        "Timeout": f"{ROUTE_TIMEOUT_S:g}s",
        "Service": service,
        "MaxAttempts": 1 if name == BOOK else 2,
        "SessionAffinity": True,
    }


async def _says_ready(host: str, port: int) -> bool:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"GET /sprucewinch/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    finally:
        writer.close()
