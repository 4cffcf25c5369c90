"""The real program of the folder `platform/` as a process, beside stand-ins in the test."""

import asyncio
import functools
import json
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any, Optional

import aiohttp

from standins.consortium_store import StoreStandIn
from standins.scripted_server import ScriptedServer

ROOT = Path(__file__).resolve().parent.parent
HOST = "quotes.example"
_START_S = 30.0
_POLL_S = 0.02
_TOLD_LINES = 5

CONFIGURATION: dict[str, Any] = {
    "Version": "r3",
    "Services": [{"Name": "rates", "MaxConnections": 50, "Warmup": "3s", "ColdPerS": 9.0}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "IdleTimeout": "15000ms"},
    "Hosts": [
        {
            "Hostname": HOST,
            "Paths": [
                {
                    "Name": "safe",
                    "PathPrefix": "/rates/",
                    "RouteType": "safe",
                    "Timeout": "3s",
                    "Service": "rates",
                    "MaxAttempts": 2,
                    "SessionAffinity": True,
                },
                {
                    "Name": "once",
                    "PathPrefix": "/book/",
                    "RouteType": "unsafe",
                    "Timeout": "3s",
                    "Service": "rates",
                },
            ],
        }
    ],
}


def free_port(ip: str) -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class GatewayProcess:
    """One entry VM as a process.

    Args:
        number: Its number, from 1; it gets a loopback address of its own.
        store: Address of the store.
        peer_port: Port between entry VMs.
        folder: Where its settings file is laid.
    """

    def __init__(self, number: int, store: str, peer_port: int, folder: str) -> None:
        self.ip = f"127.0.0.{20 + number}"
        self.name = f"vm{number}"
        ports = {name: free_port(self.ip) for name in ("Front", "Ready", "Directory")}
        self.addresses = {name: f"{self.ip}:{port}" for name, port in ports.items()}
        self.settings = Path(folder) / f"{self.name}.settings"
        table = {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": "east-a",
            "Region": "east",
            "Zones": {"east-a": "east"},
            "Listen": self.addresses,
            "InternalPorts": [peer_port, peer_port],
            "Limits": {"MemoryMb": 300, "MaxFds": 1024},
            "Bounds": {"Contact": "3000ms", "Grace": "6s", "ttl_max": "5s", "BudgetSlack": 60},
            "Platform": {"Address": store},
        }
        self.settings.write_text(json.dumps(table))
        self.process: Optional[asyncio.subprocess.Process] = None
        self.lines: list[dict[str, Any]] = []
        self._reader: Optional[asyncio.Task] = None

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/main.py",
            cwd=ROOT,
            env={**os.environ, "SPRUCEWINCH_CONFIG": str(self.settings)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self) -> int:
        """Return the exit status, once all lines are read."""
        assert self.process is not None and self._reader is not None
        status = await self.process.wait()
        await self._reader
        return status

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.ended()


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """A test with real processes, a store and backend servers."""

    machines = 1
    servers = 2

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = StoreStandIn(loop)
        self.store_address = await self._listen(self.store.accept)
        self.backends = [ScriptedServer(loop, f"i-{n}") for n in range(self.servers)]
        for backend in self.backends:
            await self._list(backend, await self._listen(backend.accept))
        self.store.put("op/config", json.dumps(CONFIGURATION).encode())
        port = free_port("127.0.0.1")
        self.vms = []
        for number in range(1, self.machines + 1):
            accept = functools.partial(self.store.accept, f"vm{number}")
            store = await self._listen(accept)
            self.vms.append(GatewayProcess(number, store, port, self.folder.name))
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20))
        self.addAsyncCleanup(self.session.close)
        for vm in self.vms:
            self.addAsyncCleanup(vm.kill)
            await vm.start()
        for vm in self.vms:
            await self.until(lambda vm=vm: self.ready(vm), f"{vm.name} to be ready")

    async def _listen(self, accept) -> str:
        server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _list(self, backend: ScriptedServer, address: str) -> None:
        row = {
            "Service": "rates",
            "Address": address,
            "Zone": "east-a",
            "Capacity": 6,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Sequence": 1,
        }
        self.store.put(f"servers/{backend.server_id}", json.dumps(row).encode())

    async def until(self, condition, what: str) -> None:
        """Wait until an asynchronous condition holds."""
        try:
            async with asyncio.timeout(_START_S):
                while not await condition():
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            told = {vm.name: vm.lines[-_TOLD_LINES:] for vm in self.vms}
            self.fail(f"waited in vain for {what}; last lines: {told}")

    async def ready(self, vm: GatewayProcess) -> bool:
        """Tell whether a machine says that it is ready."""
        url = f"http://{vm.addresses['Ready']}/sprucewinch/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def named(self, vm: GatewayProcess) -> set[str]:
        """Return the addresses that a machine's directory names."""
        url = (
            f"http://{vm.addresses['Directory']}/sprucewinch/resolve?Name=x&Region=east&Zone=east-a"
        )
        async with self.session.get(url) as response:
            if response.status != 200:
                return set()
            return set((await response.json())["Addresses"])

    async def ask(
        self, vm: GatewayProcess, path: str, request_id: str, method: str = "GET", **options: Any
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request and return status, body and headers."""
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline-Ms": "5000",
            "Cookie": "X-Affinity-Key=7",
        }
        url = f"http://{vm.addresses['Front']}{path}"
        async with self.session.request(method, url, headers=headers, **options) as response:
            named = {name.lower(): value for name, value in response.headers.items()}
            return response.status, await response.read(), named

    def runs(self, request_id: str) -> int:
        """Return how often a request has run."""
        return sum(r.request_id == request_id for b in self.backends for r in b.runs)
