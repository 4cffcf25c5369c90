"""The deployment of one day: its parts, how they are connected, started and stopped.

Owns the parts: the stand-in of the store, the backend servers, the entry VMs as real processes, the
relays between them, and the current configuration. `backend_servers`, `configuration` and
`vm_keeper` change these parts and record each change in the ledger with its time, by which
`promises` judges.
"""

import asyncio
import contextlib
import functools
import tempfile
from pathlib import Path
from typing import NamedTuple

from standins.consortium_store import StoreStandIn
from standins.relay import Relay
from tools.entry_vm import EntryVm, Place, free_port, own_address

from .backend_servers import BackendServers
from .configuration import COLD_PER_S, SERVICES, Configuration
from .ledger import Ledger
from .own_lag import watch_own_lag
from .vm_keeper import VmKeeper
from .wiring import Wiring

ZONES = {"east-a": "east", "east-b": "east", "west-a": "west"}
"""Region of each data hall."""

_PROGRAM = "tools/soak_vm.py"

_SERVERS_PER_ZONE = 2
"""Backend servers of each service in a data hall, so that one may leave."""


class FleetSize(NamedTuple):
    """Number of entry VMs, and the limit on cold backend servers that they share.

    Args:
        vms_per_zone: Entry VMs of a data hall.
        cold_per_s: Requests a second that a cold backend server may get.
    """

    vms_per_zone: int = 1
    cold_per_s: float = COLD_PER_S


class World:
    """All parts of one day.

    Args:
        size: Number of entry VMs, and the limit that they share.

    Attributes:
        rate_factors: Factor on the usual request rate, by workspace; 1 for workspaces not listed.
    """

    def __init__(self, size: FleetSize) -> None:
        self.size = size
        self.loop = asyncio.get_running_loop()
        self.ledger = Ledger()
        self.store = StoreStandIn(self.loop)
        self._stack = contextlib.AsyncExitStack()
        self._wiring = Wiring(self._stack)
        self.backends = BackendServers(self.store, self._wiring, self.ledger)
        self.configuration = Configuration(self.store, self.ledger, size.cold_per_s)
        self.vms: dict[str, EntryVm] = {}
        self.store_relays: dict[str, Relay] = {}
        self.keeper = VmKeeper(self.vms, self.ledger)
        self.rate_factors: dict[str, float] = {}

    async def start(self) -> None:
        """Start all parts, without waiting for the entry VMs to be ready."""
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        for zone in ZONES:
            for service in SERVICES:
                for _ in range(_SERVERS_PER_ZONE):
                    await self.backends.add(service, zone)
        self.configuration.write()
        peer_port = free_port("127.0.0.1")
        for number, zone in enumerate(z for z in ZONES for _ in range(self.size.vms_per_zone)):
            await self._add_vm(f"vm{number}", zone, peer_port, folder)
        watch = asyncio.create_task(watch_own_lag(self.ledger, self.vms))
        self._stack.callback(watch.cancel)
        self.keeper.start()

    async def stop(self) -> None:
        """Stop all parts."""
        await self.keeper.stop()
        await self._stack.aclose()

    async def _add_vm(self, name: str, zone: str, peer_port: int, folder: Path) -> None:
        relay = await self._wiring.behind_relay(functools.partial(self.store.accept, name))
        self.store_relays[name] = relay
        self.vms[name] = EntryVm(
            name,
            self._stack.enter_context(own_address()),
            f"127.0.0.1:{relay.port}",
            peer_port,
            folder,
            place=Place(zone, ZONES),
            program=_PROGRAM,
        )
