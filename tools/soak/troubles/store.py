"""Troubles of the store and its links: outages, slowness, lost history, refusal of one entry VM.

Owns one class for each kind. Relies on the stand-in of the store for its faults. The durations only
have to vary.
"""

import asyncio

from standins.consortium_store import Fault

from ..ledger import STORE
from .links import inject_link_fault
from .processes import VmTrouble
from .trouble import Trouble


class CutFromStore(VmTrouble):
    """One entry VM's link to the store is cut, silent, one-way, or slow."""

    async def _inject(self) -> None:
        await inject_link_fault(self.world.store_relays[self.vm.name], self.rng, self.for_s)


class TurnedAway(VmTrouble):
    """The store refuses one entry VM's calls and serves the others."""

    async def _inject(self) -> None:
        faults = self.world.store.faults_by_machine
        faults[self.vm.name] = self.rng.choice((Fault.BUSY, Fault.MANY, Fault.RESET, Fault.SILENT))
        await asyncio.sleep(self.for_s)
        faults.pop(self.vm.name, None)


class StoreTrouble(Trouble):
    """Trouble of the store, which affects all entry VMs."""

    scope = STORE


class StoreFaulty(StoreTrouble):
    """The store is unavailable, loses answers or applies writes late, for all entry VMs."""

    async def _inject(self) -> None:
        store = self.world.store
        store.fault = self.rng.choice([fault for fault in Fault if fault is not Fault.NONE])
        await asyncio.sleep(self.for_s)
        store.fault = Fault.NONE


class StoreSlow(StoreTrouble):
    """The store answers slowly."""

    async def _inject(self) -> None:
        self.world.store.slow_s = self.rng.uniform(0.1, 0.4)
        await asyncio.sleep(self.for_s)
        self.world.store.slow_s = 0.0


class StoreForgets(StoreTrouble):
    """The store drops its event history right after several changes in a row."""

    async def _inject(self) -> None:
        for _ in range(3):
            self.world.configuration.write()
            await asyncio.sleep(0.08)
        self.world.store.forget()
