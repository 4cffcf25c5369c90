"""One entry VM of the consortium's platform as a real process, steered by signals and files."""

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Optional

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = "platform/main.py"
METRICS_PORT = 9464
_READY_PATH = "/sprucewinch/readyz"
_PORTS = ("Front", "Ready", "Directory")


def free_port(ip: str) -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class EntryVm:
    """One entry VM.

    Args:
        name: Its name.
        ip: Loopback address of its own.
        store: Address of the store.
        peer_port: Port between entry VMs.
        folder: Where its settings file is laid.
        zone: Its data hall.
        zones: Region of each data hall.
        program: What is started, relative to the root.
    """

    def __init__(  # noqa: PLR0913  the fields of one settings file, the rarer ones by name
        self,
        name: str,
        ip: str,
        store: str,
        peer_port: int,
        folder: Path,
        *,
        zone: str = "east-a",
        zones: Optional[Mapping[str, str]] = None,
        program: str = PROGRAM,
    ) -> None:
        self.name = name
        self.ip = ip
        self.program = program
        self.root = ROOT
        self.zones = dict(zones or {"east-a": "east"})
        self.zone = zone
        self.addresses = {port: f"{ip}:{free_port(ip)}" for port in _PORTS}
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
            "Limits": {"MemoryMb": 300, "MaxFds": 1024},
            "Bounds": {"Contact": "3000ms", "Grace": "6s", "ttl_max": "5s", "BudgetSlack": 60},
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
        """Return where it says whether it is ready."""
        return self.url("Ready", _READY_PATH)

    @property
    def running(self) -> bool:
        """Tell whether its process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

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
        if self.running:
            self.signal(signal.SIGKILL)
            await self.ended()
