"""Tests whether entry VMs of two versions of the sources work together on one store.

    python -m tools.rolling_upgrade --other=PATH

PATH is the root of another checkout, for instance a worktree made with `git worktree`. The test
checks that every VM lists all VMs to callers, that deltas go both ways between the versions, that a
changed configuration comes into force at all VMs, and that no VM logs a message or item that it
cannot read. It relies on `entry_vm` for the processes and on the stand-ins for the store and the
backend servers. The exit status is 1 when a check fails.
"""

import asyncio
import contextlib
import functools
import json
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import fire

from standins.consortium_store import StoreStandIn
from standins.scripted_server import ScriptedServer

from .entry_vm import METRICS_PORT, ROOT, EntryVm, free_port, own_address

_CHECK_TIMEOUT_S = 30.0
"""Longest wait for a check to hold: ten times the start of a VM on a busy machine."""

_POLL_INTERVAL_S = 0.05
_HOST = "quotes.example"
_OK = 200
_NOT_FOUND = 404
_MISREAD_EVENTS = ("unreadable", "fault")
"""Log events that show that a VM could not read what another one sent or stored."""


class Check(NamedTuple):
    """Result of one check.

    Args:
        name: The condition that has to hold.
        held: True when it held within the timeout.
        seconds: Time until it held, or until the timeout.
    """

    name: str
    held: bool
    seconds: float


class VersionedVm(EntryVm):
    """An entry VM that runs the sources of a given checkout.

    Args:
        root: Root of the sources.
        *args: See `EntryVm`.
        **options: See `EntryVm`.
    """

    def __init__(self, root: Path, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.root = root

    @property
    def delta_url(self) -> str:
        """URL at which other VMs request deltas from this one."""
        port = self.table["InternalPorts"][0]
        return f"http://{self.ip}:{port}/v1/delta?after=0"


class UpgradeTest:
    """One run of the test.

    Args:
        other: Root of the other version's sources.
        folder: Folder for the settings files.
        vms: Number of VMs of each version.
    """

    def __init__(self, other: Path, folder: Path, vms: int) -> None:
        self.other = other
        self.folder = folder
        self.count = vms
        self.checks: list[Check] = []
        self.vms: list[VersionedVm] = []

    async def run(self) -> list[Check]:
        """Start all VMs, run the checks in order and return their results."""
        loop = asyncio.get_running_loop()
        self.store = StoreStandIn(loop)
        self.store.put("op/config", _configuration(1, "/rates/"))
        await self._serve(loop)
        timeout = aiohttp.ClientTimeout(total=5)
        session = aiohttp.ClientSession(timeout=timeout)
        async with contextlib.AsyncExitStack() as stack:
            self.session = await stack.enter_async_context(session)
            try:
                await self._start(stack)
                await self._run_checks()
            finally:
                await asyncio.gather(*(vm.kill() for vm in self.vms))
        return self.checks

    async def _serve(self, loop: asyncio.AbstractEventLoop) -> None:
        server = ScriptedServer(loop, "i-0")
        row = {
            "Service": "rates",
            "Address": await _listen(server.accept),
            "Zone": "east-a",
            "Capacity": 6,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Version": "v1",
            "Sequence": 1,
        }
        self.store.put("servers/i-0", json.dumps(row).encode())

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        port = free_port("127.0.0.1")
        roots = [self.other, ROOT] * self.count
        for number, root in enumerate(roots):
            name = f"vm{number}"
            store = await _listen(functools.partial(self.store.accept, name))
            ip = stack.enter_context(own_address())
            self.vms.append(VersionedVm(root, name, ip, store, port, self.folder))
        for vm in self.vms:
            await vm.start()
        await self._check("all VMs are ready", self._all_ready)

    async def _run_checks(self) -> None:
        await self._check("each VM lists all VMs to callers", self._all_named)
        await self._check("all VMs hold the same store revision", self._all_at_same_revision)
        self.store.put("op/config", _configuration(2, "/tariffs/"))
        await self._check("a changed configuration is in force at all VMs", self._all_changed)
        await self._check("each VM serves the changed route", self._all_serve)
        await self._check("each VM answers requests for deltas", self._deltas)
        await self._check("VMs of each version have taken deltas from peers", self._peers_followed)
        await self._check("no VM logged anything that it could not read", self._nothing_misread)

    async def _check(self, name: str, holds: Callable[[], Awaitable[bool]]) -> None:
        began = time.monotonic()
        held = False
        while not held and time.monotonic() - began < _CHECK_TIMEOUT_S:
            held = await holds()
            if not held:
                await asyncio.sleep(_POLL_INTERVAL_S)
        self.checks.append(Check(name, held, round(time.monotonic() - began, 2)))

    async def _get(self, url: str, **headers: str) -> tuple[int, bytes]:
        try:
            async with self.session.get(url, headers=headers) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def _all_ready(self) -> bool:
        return all([(await self._get(vm.ready_url))[0] == _OK for vm in self.vms])

    async def _all_named(self) -> bool:
        path = "/sprucewinch/resolve?Name=x&Region=east&Zone=east-a"
        wanted = {vm.addresses["Front"] for vm in self.vms}
        for vm in self.vms:
            status, body = await self._get(vm.url("Directory", path))
            if status != _OK or set(json.loads(body)["Addresses"]) != wanted:
                return False
        return True

    async def _state(self, vm: VersionedVm) -> dict[str, Any]:
        status, body = await self._get(f"http://{vm.ip}:{METRICS_PORT}/state")
        return json.loads(body) if status == _OK else {}

    async def _all_at_same_revision(self) -> bool:
        states = [await self._state(vm) for vm in self.vms]
        return len({state.get("store_revision") for state in states}) == 1

    async def _all_changed(self) -> bool:
        states = [await self._state(vm) for vm in self.vms]
        return len({state.get("configuration_version") for state in states}) == 1 and all(
            [(await self._ask(vm, "/rates/a"))[0] == _NOT_FOUND for vm in self.vms]
        )

    async def _all_serve(self) -> bool:
        return all([(await self._ask(vm, "/tariffs/a"))[0] == _OK for vm in self.vms])

    async def _ask(self, vm: VersionedVm, path: str) -> tuple[int, bytes]:
        headers = {"Host": _HOST, "X-Request-Id": f"{vm.name}-{time.monotonic_ns()}"}
        return await self._get(vm.url("Front", path), **headers)

    async def _deltas(self) -> bool:
        bodies = [await self._get(vm.delta_url) for vm in self.vms]
        return all(status == _OK and body for status, body in bodies)

    async def _peers_followed(self) -> bool:
        """Write to the store; returns whether VMs of each version have taken deltas from peers."""
        taken = {self.other: 0.0, ROOT: 0.0}
        self.store.put("op/evacuate/none", b"{}")
        await asyncio.sleep(1.0)
        for number, vm in enumerate(self.vms):
            root = ROOT if number % 2 else self.other
            taken[root] += await self._metric(vm, "neighbour_deltas")
        return all(taken.values())

    async def _metric(self, vm: VersionedVm, name: str) -> float:
        _, body = await self._get(f"http://{vm.ip}:{METRICS_PORT}/metrics")
        rows = (line.split() for line in body.decode().splitlines())
        return sum(float(row[1]) for row in rows if row[0] == name)

    async def _nothing_misread(self) -> bool:
        return not self.misread_lines()

    def misread_lines(self) -> list[dict[str, Any]]:
        """Return the log lines of VMs that could not read what another one sent or stored."""
        return [line for vm in self.vms for line in vm.lines if line["event"] in _MISREAD_EVENTS]


def _configuration(version: int, prefix: str) -> bytes:
    route = {
        "Name": "safe",
        "PathPrefix": prefix,
        "RouteType": "safe",
        "Timeout": "3s",
        "Service": "rates",
        "MaxAttempts": 2,
    }
    table = {
        "Version": f"r{version}",
        "Services": [{"Name": "rates", "MaxConnections": 50}],
        "Hosts": [{"Hostname": _HOST, "Paths": [route]}],
    }
    return json.dumps(table).encode()


async def _listen(accept: Callable[[], asyncio.Protocol]) -> str:
    server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def main(other: str, vms: int = 3) -> None:
    """Test a rolling upgrade and print the result of each check.

    Args:
        other: Root of the other version's sources.
        vms: Number of VMs of each version.
    """
    with tempfile.TemporaryDirectory() as folder:
        upgrade = UpgradeTest(Path(other).resolve(), Path(folder), vms)
        checks = asyncio.run(upgrade.run())
    for check in checks:
        print(f"{'held' if check.held else 'FAILED'} after {check.seconds:5.2f} s: {check.name}")
    for line in upgrade.misread_lines():
        print(json.dumps(line))
    sys.exit(0 if all(check.held for check in checks) else 1)


if __name__ == "__main__":
    fire.Fire(main)
