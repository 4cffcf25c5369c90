"""One entry VM on the consortium's platform as a real process, controlled by signals and files.

Owns the process, its settings file and the lines that it writes; used by the process tests, by
the soak and by the trial of a rolling upgrade. Its metrics are on a fixed port, so each VM needs a
loopback address of its own: `own_address`. The settings have the platform's names, since the
process reads them as the platform writes them. Nothing restarts the process: callers do.
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
"""Root of the repository, in which processes start."""

PROGRAM = "platform/main.py"
METRICS_PORT = 9464
"""TCP port of the metrics, as in `deploy/system.toml`."""

_READY_PATH = "/sprucewinch/readyz"
_PORTS = ("Front", "Ready", "Directory")
"""Listeners of an entry VM by their names in the settings."""

_MEMORY_MB = 300
"""Memory limit in the settings, in MiB: that of the platform's example."""

_MAX_FILES = 1024
"""Limit of descriptors in the settings; it fits the usual limit of a process."""


class Place(NamedTuple):
    """Where an entry VM stands.

    Args:
        zone: Its data hall.
        zones: Region of each data hall.
    """

    zone: str
    zones: Mapping[str, str]


_ONE_HALL = Place("east-a", {"east-a": "east"})
"""Place of an entry VM of a deployment with one data hall."""


def free_port(ip: str) -> int:
    """Return a port that nobody listens on."""
    return free_ports(1, ip)[0]


def own_address() -> AbstractContextManager[str]:
    """Give a loopback address for one VM, which no other run has until the context ends."""
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
"""Figures that the fleet keeps together, as in the platform's example."""


class EntryVm:
    """One entry VM.

    Args:
        name: Its name.
        ip: Loopback address of its own, as `own_address` gives it.
        store: Address of the store.
        peer_port: Port between entry VMs.
        folder: Folder of its settings file.
        place: Its data hall, and the region of each.
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
        place: Place = _ONE_HALL,
        program: str = PROGRAM,
    ) -> None:
        self.name = name
        self.ip = ip
        self.program = program
        self.root = ROOT
        self.zones = dict(place.zones)
        self.zone = place.zone
        ports = free_ports(len(_PORTS), ip)
        self.addresses = {name: f"{ip}:{p}" for name, p in zip(_PORTS, ports, strict=True)}
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
            "Limits": {"MemoryMb": _MEMORY_MB, "MaxFds": _MAX_FILES},
            "Bounds": dict(_BOUNDS),
            "Platform": {"Address": store},
        }

    def lay_settings(self, table: Mapping[str, Any]) -> None:
        """Write the settings file."""
        self.settings.write_text(json.dumps(table), encoding="utf-8")

    def url(self, listener: str, path: str) -> str:
        """Return a URL at one of its listeners."""
        return f"http://{self.addresses[listener]}{path}"

    @property
    def ready_url(self) -> str:
        """URL on which it says whether it is ready."""
        return self.url("Ready", _READY_PATH)

    @property
    def running(self) -> bool:
        """True while its process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def fate(self) -> str:
        """What became of its process, in words for a failure message."""
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

        Not by `Process.send_signal`: that polls, which takes the exit status of a process that has
        just ended away from the loop, and `ended` then returns 255.

        Raises:
            ProcessLookupError: When it has ended.
        """
        assert self.process is not None
        if not self.running:
            raise ProcessLookupError
        os.kill(self.process.pid, number)

    async def ended(self) -> int:
        """Return the exit status, once all lines are read."""
        assert self.process is not None and self._reader is not None
        status = await self.process.wait()
        await self._reader
        return status

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.running:
            self.signal(signal.SIGKILL)
            await self.ended()
