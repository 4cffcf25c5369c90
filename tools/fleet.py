"""A local fleet of the own interface: stand-ins and daemons as separate processes on loopback.

This module owns the processes, their settings files and logs, and ends every process that it
started. The demo and the process tests use it. It relies on `standins.platform` and
`standins.backend`.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import tomli_w

from sprucewinch.config.configuration import Configuration

from .ports import free_ports

TOKEN = "demo-token-for-loopback-only"
"""Operators' token of all daemons; not a secret, since they listen on loopback only."""

_CONDITION_TIMEOUT_S = 30.0
"""Default time that `wait_until` waits for a condition."""

_STOP_TIMEOUT_S = 15.0
"""Longest time that a daemon may take to shut down after SIGTERM."""


class Vm(NamedTuple):
    """An entry VM of the fleet; `caller`, `peer` and `operators` are addresses of its listeners."""

    name: str
    hall: str
    region: str
    caller: str
    peer: str
    operators: str


class Fleet:
    """Starts and ends the processes; as a context manager, it kills all of them on exit.

    Args:
        configuration: Deployment that the daemons run.
        vms_per_hall: Entry VMs in each data hall.
        work_ms: Mean service time of a request at a backend server, by service, in milliseconds.
        seed: Seed of the stand-ins.
    """

    def __init__(
        self,
        configuration: Configuration,
        *,
        vms_per_hall: int = 1,
        work_ms: dict[str, float] | None = None,
        seed: int = 1,
    ) -> None:
        self.configuration = configuration
        self.work_ms = work_ms or {}
        self.seed = seed
        self.folder = Path(tempfile.mkdtemp(prefix="sprucewinch-"))
        self.processes: dict[str, subprocess.Popen] = {}
        ports = iter(free_ports(1 + 3 * vms_per_hall * len(configuration.hall)))
        self.platform = f"127.0.0.1:{next(ports)}"
        self.vms: dict[str, Vm] = {}
        for hall in configuration.hall:
            for number in range(1, vms_per_hall + 1):
                addresses = [f"127.0.0.1:{next(ports)}" for _ in range(3)]
                vm = Vm(f"{hall.name}-vm{number}", hall.name, hall.region, *addresses)
                self.vms[vm.name] = vm

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.kill_all()

    def start_standins(self) -> None:
        """Start the platform and all backend servers, one process for each data hall."""
        rows = ";".join(vm.peer for vm in self.vms.values())
        port = self.platform.rpartition(":")[2]
        self._spawn("platform", "standins.platform", f"--port={port}", f"--vms={rows}")
        for hall in self.configuration.hall:
            pools = [pool for pool in self.configuration.pool if pool.hall == hall.name]
            text = "|".join(
                f"{self.work_ms.get(pool.service, 10.0)},{pool.slots},{','.join(pool.servers)}"
                for pool in pools
                if pool.servers
            )
            self._spawn(
                f"backend-{hall.name}", "standins.backend", f"--pools={text}", f"--seed={self.seed}"
            )

    def start_daemons(self, names: Iterable[str] | None = None) -> None:
        """Start the named daemons; all by default."""
        for name in names if names is not None else self.vms:
            self.start_daemon(name)

    def start_daemon(self, name: str, **changes: Any) -> None:
        """Start one daemon; `changes` override single settings."""
        vm = self.vms[name]
        settings: dict[str, Any] = {
            "vm": vm.name,
            "hall": vm.hall,
            "region": vm.region,
            "caller_address": vm.caller,
            "peer_address": vm.peer,
            "operators_address": vm.operators,
            "operators_token": TOKEN,
            "platform_address": self.platform,
            "peers": [v.peer for v in self.vms.values() if v.name != name],
            **changes,
        }
        path = self.folder / f"{name}.toml"
        path.write_bytes(tomli_w.dumps(settings).encode())
        self._spawn(name, "sprucewinch.daemon", f"--settings={path}")

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONPATH": os.getcwd()}
        command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=environment
        )
        log.close()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL and wait for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop_daemons(self) -> dict[str, int]:
        """Shut down all daemons with SIGTERM.

        Returns:
            Exit statuses by name; -1 for a daemon that did not end within `_STOP_TIMEOUT_S`.
        """
        running = {n: p for n, p in self.processes.items() if n in self.vms}
        for process in running.values():
            process.send_signal(signal.SIGTERM)
        statuses = {}
        for name, process in running.items():
            try:
                statuses[name] = process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                statuses[name] = -1
        return statuses

    def kill_all(self) -> None:
        """Kill all processes that still run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def log_of(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")


async def wait_until(
    check: Callable[[], Any],
    what: str,
    *,
    longest_s: float = _CONDITION_TIMEOUT_S,
    every_s: float = 0.05,
) -> Any:
    """Poll a check until it returns a true value, and return that value.

    A connection error during a check counts as a false value.

    Args:
        check: Called for each poll; returns an awaitable.
        what: The condition as a noun phrase, for the error message.
        longest_s: Timeout, in seconds.
        every_s: Interval between polls, in seconds.

    Raises:
        TimeoutError: When no check returned a true value in time.
    """
    import asyncio

    until = time.monotonic() + longest_s
    while True:
        try:
            if result := await check():
                return result
        except (aiohttp.ClientError, OSError):
            pass
        if time.monotonic() > until:
            raise TimeoutError(f"timed out after {longest_s} s waiting for {what}")
        await asyncio.sleep(every_s)


class Operator:
    """Client of the operators' port of one daemon, under an operator's name."""

    def __init__(self, session: aiohttp.ClientSession, vm: Vm, name: str = "demo") -> None:
        self.session = session
        self.vm = vm
        self.headers = {"authorization": f"Bearer {TOKEN}", "sprucewinch-operator": name}

    async def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Make a call; returns the status and the decoded JSON body."""
        url = f"http://{self.vm.operators}{path}"
        async with self.session.request(method, url, json=body, headers=self.headers) as response:
            return response.status, await response.json()

    async def get(self, path: str) -> Any:
        """Make a GET call; returns the decoded JSON body, whatever the status."""
        return (await self.call("GET", path))[1]
