"""Troubles of the entry VMs' own processes: stops, kills, pauses, settings and clocks.

Owns one class for each kind. Relies on `World.keeper` to restart a process, and on
`tools/soak_vm.py` for its clocks. The durations only have to vary.
"""

import asyncio
import random
import signal

from tools.entry_vm import EntryVm
from tools.soak_vm import CLOCK_SUFFIX, SUSPENDED_SUFFIX

from ..ledger import UnreadableSettings
from ..world import World
from .trouble import AFTEREFFECT_S, EVEN_CHANCE, Trouble


class VmTrouble(Trouble):
    """Trouble of one entry VM."""

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        super().__init__(world, rng, for_s)
        self.vm: EntryVm = world.vms[rng.choice(tuple(world.vms))]
        self.scope = self.vm.name


class Stop(VmTrouble):
    """The process gets SIGTERM, and is restarted when it has ended."""

    planned = True

    async def _inject(self) -> None:
        self.world.keeper.signal(self.vm, signal.SIGTERM)
        await asyncio.sleep(self.for_s)


class StopTwice(VmTrouble):
    """The process gets SIGTERM, and again while it stops."""

    planned = True

    async def _inject(self) -> None:
        self.world.keeper.signal(self.vm, signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.05, 1.5))
        self.world.keeper.signal(self.vm, signal.SIGTERM)


class RollingStop(Trouble):
    """All processes get SIGTERM, one after the other, faster than one takes to end."""

    planned = True

    async def _inject(self) -> None:
        for vm in self.rng.sample(tuple(self.world.vms.values()), len(self.world.vms)):
            self.world.keeper.signal(vm, signal.SIGTERM)
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))


class Kill(VmTrouble):
    """The process is killed."""

    async def _inject(self) -> None:
        self.world.keeper.signal(self.vm, signal.SIGKILL)
        await asyncio.sleep(AFTEREFFECT_S)


class KillAll(Trouble):
    """All processes are killed at once."""

    async def _inject(self) -> None:
        for vm in self.world.vms.values():
            self.world.keeper.signal(vm, signal.SIGKILL)
        await asyncio.sleep(AFTEREFFECT_S)


class KillInStop(VmTrouble):
    """The process is killed while it stops."""

    async def _inject(self) -> None:
        self.world.keeper.signal(self.vm, signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.05, 2.5))
        self.world.keeper.signal(self.vm, signal.SIGKILL)


class Pause(VmTrouble):
    """The process is paused by SIGSTOP and continues later."""

    async def _inject(self) -> None:
        process = self.vm.process
        self.world.keeper.signal(self.vm, signal.SIGSTOP)
        try:
            await asyncio.sleep(self.for_s)
        finally:
            self._before_it_continues()
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)

    def _before_it_continues(self) -> None:
        """Do nothing: the clocks have advanced in the pause."""


class Reload(VmTrouble):
    """The settings change to a valid or an invalid file, with or without SIGHUP."""

    planned = True

    async def _inject(self) -> None:
        table = {**self.vm.table, "Unknown": self.rng.random()}
        good = self.rng.random() < EVEN_CHANCE
        start = self.world.loop.time()
        if good:
            self.vm.lay_settings(table)
        else:
            self.vm.settings.write_text("{ broken", encoding="utf-8")
        if self.rng.random() < EVEN_CHANCE:
            self.world.keeper.signal(self.vm, signal.SIGHUP)
        await asyncio.sleep(min(self.for_s, 0.2))
        self.vm.lay_settings(self.vm.table)
        if not good:
            unreadable = UnreadableSettings(self.vm.name, start, self.world.loop.time())
            self.world.ledger.unreadable_settings.append(unreadable)


class ClockStep(VmTrouble):
    """The wall clock jumps by some seconds and back."""

    async def _inject(self) -> None:
        clock = self.vm.settings.with_suffix(CLOCK_SUFFIX)
        clock.write_text(str(self.rng.uniform(-4, 4)), encoding="utf-8")
        await asyncio.sleep(self.for_s)
        # Another step of the same clock may have ended first and removed the file.
        clock.unlink(missing_ok=True)


class Suspend(Pause):
    """The VM is suspended: its process stops, and only the time since boot advances."""

    def _before_it_continues(self) -> None:
        file = self.vm.settings.with_suffix(SUSPENDED_SUFFIX)
        before = float(file.read_text(encoding="utf-8")) if file.exists() else 0.0
        file.write_text(str(before + self.rng.uniform(2, 6)), encoding="utf-8")
