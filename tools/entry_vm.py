"""One entry VM on the consortium's platform as a real process, controlled by signals and files.

This module owns the process, its settings file and the log lines that it writes. The process
tests, the soak and the rolling-upgrade test use it. The metrics are on a fixed port, so each VM
needs a loopback address of its own, which `own_address` claims. The settings use the platform's
names, since the process reads them as the platform writes them. The process is not restarted
automatically: callers do that.
"""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Mapping
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any, NamedTuple, Optional

from .ports import claimed_address, free_ports

ROOT = Path(__file__).resolve().parent.parent
"""Root of the repository and working directory of the processes."""

PROGRAM = "platform/main.py"
METRICS_PORT = 9464
"""TCP port of the metrics, as in `deploy/system.toml`."""

_READY_PATH = "/sprucewinch/readyz"
_LISTENERS = ("Front", "Ready", "Directory")
"""Listeners of an entry VM, by their names in the settings."""

_MEMORY_MB = 300
"""Memory limit in the settings, in MiB, as in the platform's example."""

_MAX_DESCRIPTORS = 1024
"""Limit on file descriptors in the settings, the usual default limit of a process."""


class Place(NamedTuple):
    """Location of an entry VM.

    Args:
        zone: Its data hall.
        zones: Region of each data hall.
    """

    zone: str
    zones: Mapping[str, str]


_SINGLE_HALL_PLACE = Place("east-a", {"east-a": "east"})
"""Location of an entry VM in a deployment with one data hall."""


def free_port(ip: str) -> int:
    """Return a port of a loopback address that no program is bound to."""
    return free_ports(1, ip)[0]


def own_address() -> AbstractContextManager[str]:
    """Claim a loopback address for one VM; no other run gets it until the context ends."""
    return claimed_address(METRICS_PORT)


_BOUNDS = {
    "Contact": "3000ms",
    "Grace": "6s",
    "ttl_max": "5s",
    "BudgetSlack": 60,
    "ConfigApply": "2000ms",
    "QuotaWindow": "5s",
    "QuotaOver": 0.1,
    "QuotaSlack": 20,
}
"""Limits that the fleet as a whole keeps, as in the platform's example."""


class EntryVm:
    """One entry VM.

    Args:
        name: Its name.
        ip: Loopback address that only this VM uses, as claimed by `own_address`.
        store: Address of the store.
        peer_port: Port on which entry VMs talk to each other.
        folder: Folder of the settings file.
        place: Data hall of the VM, and the region of each data hall.
        program: Program to start, relative to the root.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        store: str,
        peer_port: int,
        folder: Path,
        *,
        place: Place = _SINGLE_HALL_PLACE,
        program: str = PROGRAM,
    ) -> None:
        self.name = name
        self.ip = ip
        self.program = program
        self.root = ROOT
        self.zones = dict(place.zones)
        self.zone = place.zone
        ports = free_ports(len(_LISTENERS), ip)
        self.addresses = {name: f"{ip}:{p}" for name, p in zip(_LISTENERS, ports, strict=True)}
        self.settings = Path(folder) / f"{name}.settings"
        self.table = self._table(store, peer_port)
        self.lay_settings(self.table)
        self.process: Optional[asyncio.subprocess.Process] = None
        self.lines: list[dict[str, Any]] = []
        self._reader: Optional[asyncio.Task] = None

    def _table(self, store: str, peer_port: int) -> dict[str, Any]:
        return {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": self.zones[self.zone],
            "Zones": self.zones,
            "Listen": self.addresses,
            "InternalPorts": [peer_port, peer_port],
            "Limits": {"MemoryMb": _MEMORY_MB, "MaxFds": _MAX_DESCRIPTORS},
            "Bounds": dict(_BOUNDS),
            "Platform": {"Address": store},
        }

    def lay_settings(self, table: Mapping[str, Any]) -> None:
        """Write the settings file."""
        self.settings.write_text(json.dumps(table), encoding="utf-8")

    def url(self, listener: str, path: str) -> str:
        """Return a URL at one of the listeners."""
        return f"http://{self.addresses[listener]}{path}"

    @property
    def ready_url(self) -> str:
        """URL of the readiness check."""
        return self.url("Ready", _READY_PATH)

    @property
    def running(self) -> bool:
        """True while the process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def fate(self) -> str:
        """State of the process, worded for failure messages."""
        if self.process is None:
            return "not started"
        if self.running:
            return "running"
        return f"ended with exit status {self.process.returncode}"

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            self.program,
            cwd=self.root,
            env={
                **os.environ,
                "PYTHONPATH": str(self.root),
                "SPRUCEWINCH_CONFIG": str(self.settings),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            self.lines.append(json.loads(line))

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal.

        This uses `os.kill` instead of `Process.send_signal`. The latter polls the process: if it
        has just ended, the poll reaps it before the event loop can, and `ended` returns 255.

        Raises:
            ProcessLookupError: When the process has ended.
        """
        assert self.process is not None
        if not self.running:
            raise ProcessLookupError
        os.kill(self.process.pid, number)

    async def ended(self) -> int:
        """Wait for the process to end and for all its lines to be read; returns the exit status."""
        assert self.process is not None and self._reader is not None
        status = await self.process.wait()
        await self._reader
        return status

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.running:
            self.signal(signal.SIGKILL)
            await self.ended()
