"""Troubles of the soak: faults and planned work on processes, store, links and backend servers.

Owns one class a kind; `KINDS` lists those that a day draws from. Each strikes for a while, mends
what it harmed, and leaves a record with its scope and time in the ledger, by which `promises` knows
whom it struck. Durations inside a trouble are guesses, never measured: they only have to vary.
"""

import abc
import asyncio
import random
import signal

from standins.consortium_store import Fault
from standins.relay import Relay
from standins.scripted_server import Spoil
from tools.entry_vm import EntryVm
from tools.soak_vm import CLOCK_SUFFIX

from .ledger import EVERYBODY, STORE, Struck
from .world import BOOK, RATES, ZONES, SoakServer, World

_DAZED_S = 0.5
"""Seconds that a trouble counts after its end: what it held back arrives then. A guess."""

_EVEN = 0.5
"""Chance of each of two ways that are as likely as each other; chosen so, not measured."""

_VERSION_GAPS_S = (0.08, 0.3, 1.0)
"""Seconds between two versions of the configuration. Guesses, never measured."""


class Trouble(abc.ABC):
    """Something that goes wrong for a while.

    Args:
        world: The day.
        rng: Source of randomness.
        for_s: How long, in seconds.
    """

    planned = False

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        self.world = world
        self.rng = rng
        self.for_s = for_s
        self.scope = EVERYBODY

    async def strike(self) -> None:
        """Strike, and record how long it lasted."""
        start = self.world.loop.time()
        held = Struck(type(self).__name__, self.scope_of(), start, float("inf"), self.planned)
        struck = self.world.ledger.struck
        struck.append(held)
        try:
            await self._happen()
        finally:
            end = self.world.loop.time() + _DAZED_S
            struck[struck.index(held)] = held._replace(end=end)

    def scope_of(self) -> str:
        """Return the scope that it strikes; see `Struck`."""
        return self.scope

    @abc.abstractmethod
    async def _happen(self) -> None:
        """Let it happen, and mend it."""


class VmTrouble(Trouble):
    """Strikes one entry VM."""

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        super().__init__(world, rng, for_s)
        self.vm: EntryVm = world.vms[rng.choice(tuple(world.vms))]
        self.scope = self.vm.name


class Stop(VmTrouble):
    """The process gets SIGTERM, and is started again when it has ended."""

    planned = True

    async def _happen(self) -> None:
        self.world.signal(self.vm, signal.SIGTERM)
        await asyncio.sleep(self.for_s)


class StopTwice(VmTrouble):
    """The process gets SIGTERM, and once more while it stops."""

    planned = True

    async def _happen(self) -> None:
        self.world.signal(self.vm, signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.05, 1.5))
        self.world.signal(self.vm, signal.SIGTERM)


class RollingStop(Trouble):
    """All processes get SIGTERM, one after the other, faster than one takes to end."""

    planned = True

    async def _happen(self) -> None:
        for vm in self.rng.sample(tuple(self.world.vms.values()), len(self.world.vms)):
            self.world.signal(vm, signal.SIGTERM)
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))


class Kill(VmTrouble):
    """The process is killed."""

    async def _happen(self) -> None:
        self.world.signal(self.vm, signal.SIGKILL)
        await asyncio.sleep(_DAZED_S)


class KillAll(Trouble):
    """All processes are killed at once."""

    async def _happen(self) -> None:
        for vm in self.world.vms.values():
            self.world.signal(vm, signal.SIGKILL)
        await asyncio.sleep(_DAZED_S)


class KillInStop(VmTrouble):
    """The process is killed while it stops."""

    async def _happen(self) -> None:
        self.world.signal(self.vm, signal.SIGTERM)
        await asyncio.sleep(self.rng.uniform(0.05, 2.5))
        self.world.signal(self.vm, signal.SIGKILL)


class Pause(VmTrouble):
    """The process is paused by SIGSTOP and continues later."""

    async def _happen(self) -> None:
        process = self.vm.process
        self.world.signal(self.vm, signal.SIGSTOP)
        try:
            await asyncio.sleep(self.for_s)
        finally:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)


class Reload(VmTrouble):
    """The settings change, with and without a signal, to something good or to nonsense."""

    planned = True

    async def _happen(self) -> None:
        table = {**self.vm.table, "Unknown": self.rng.random()}
        good = self.rng.random() < _EVEN
        if good:
            self.vm.lay_settings(table)
        else:
            self.vm.settings.write_text("{ broken", encoding="utf-8")
        if self.rng.random() < _EVEN:
            self.world.signal(self.vm, signal.SIGHUP)
        await asyncio.sleep(min(self.for_s, 0.2))
        self.vm.lay_settings(self.vm.table)


class ClockStep(VmTrouble):
    """The time of day jumps by seconds and back."""

    async def _happen(self) -> None:
        clock = self.vm.settings.with_suffix(CLOCK_SUFFIX)
        clock.write_text(str(self.rng.uniform(-4, 4)), encoding="utf-8")
        await asyncio.sleep(self.for_s)
        clock.unlink()


class CutFromStore(VmTrouble):
    """One entry VM's link to the store is cut, silent, one-way, or slow."""

    async def _happen(self) -> None:
        await _spoil_link(self.world.store_links[self.vm.name], self.rng, self.for_s)


class TurnedAway(VmTrouble):
    """The store refuses one entry VM's calls and serves the others."""

    async def _happen(self) -> None:
        faults = self.world.store.faults_by_machine
        faults[self.vm.name] = self.rng.choice((Fault.BUSY, Fault.MANY, Fault.RESET, Fault.SILENT))
        await asyncio.sleep(self.for_s)
        faults.pop(self.vm.name, None)


class StoreTrouble(Trouble):
    """Strikes the store."""

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        super().__init__(world, rng, for_s)
        self.scope = STORE


class StoreFaulty(StoreTrouble):
    """The store is down, or loses answers, or carries writes out late."""

    async def _happen(self) -> None:
        store = self.world.store
        store.fault = self.rng.choice([fault for fault in Fault if fault is not Fault.NONE])
        await asyncio.sleep(self.for_s)
        store.fault = Fault.NONE


class StoreSlow(StoreTrouble):
    """The store takes long to answer."""

    async def _happen(self) -> None:
        self.world.store.slow_s = self.rng.uniform(0.1, 0.4)
        await asyncio.sleep(self.for_s)
        self.world.store.slow_s = 0.0


class StoreForgets(StoreTrouble):
    """The store forgets its history in the middle of a storm of changes."""

    async def _happen(self) -> None:
        for _ in range(3):
            self.world.configure()
            await asyncio.sleep(0.08)
        self.world.store.forget()


class ServerTrouble(Trouble):
    """Strikes a backend server; the entry VMs stay bound by everything."""

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        super().__init__(world, rng, for_s)
        self.scope = "backend servers"

    def one(self) -> SoakServer:
        """Return a backend server whose service has others."""
        return self.rng.choice(tuple(self.world.servers.values()))


class Leave(ServerTrouble):
    """A backend server leaves; another comes, cold."""

    async def _happen(self) -> None:
        server = self.one()
        await self.world.add_server(server.service, server.zone, cold_s=1.0)
        await self.world.drain_server(server)


class Crash(ServerTrouble):
    """A backend server ends without draining; another comes later, cold."""

    async def _happen(self) -> None:
        server = self.one()
        self.world.crash_server(server)
        await asyncio.sleep(self.for_s)
        await self.world.add_server(server.service, server.zone, cold_s=1.0)


class SpoilAnswers(ServerTrouble):
    """Backend servers spoil some of their answers."""

    async def _happen(self) -> None:
        spoils = [spoil for spoil in Spoil if spoil is not Spoil.NONE]
        for server in self.rng.sample(tuple(self.world.servers.values()), 3):
            server.stand_in.spoils += self.rng.choices(spoils, k=4)
        await asyncio.sleep(self.for_s)


class SlowServers(ServerTrouble):
    """Some backend servers work much longer."""

    async def _happen(self) -> None:
        chosen = self.rng.sample(tuple(self.world.servers.values()), 2)
        usual = [server.stand_in.work_s for server in chosen]
        for server in chosen:
            server.stand_in.work_s = self.rng.uniform(0.3, 1.0)
        await asyncio.sleep(self.for_s)
        for server, work_s in zip(chosen, usual, strict=True):
            server.stand_in.work_s = work_s


class ServerLink(ServerTrouble):
    """The link to a backend server is cut, silent, one-way, or slow."""

    async def _happen(self) -> None:
        await _spoil_link(self.one().link, self.rng, self.for_s)


class Change(Trouble):
    """The operators change the configuration: routes come, go and move to another service."""

    planned = True

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        super().__init__(world, rng, for_s)
        self.scope = "operators"

    async def _happen(self) -> None:
        for _ in range(self.rng.randint(1, 4)):
            self._change()
            self.world.configure()
            await asyncio.sleep(self.rng.choice(_VERSION_GAPS_S))

    def _change(self) -> None:
        services = self.world.services
        extra = [name for name in services if name not in (RATES, BOOK)]
        kind = self.rng.choice(("add", "add", "drop", "move"))
        if kind == "add" or not extra:
            taken = len(self.world.ledger.versions)
            services[f"extra{taken}"] = self.rng.choice(("rates", "booking"))
        elif kind == "drop":
            del services[self.rng.choice(extra)]
        else:
            name = self.rng.choice(extra)
            services[name] = "booking" if services[name] == "rates" else "rates"


class Evacuate(Trouble):
    """A data hall is evacuated and taken back."""

    planned = True

    def __init__(self, world: World, rng: random.Random, for_s: float) -> None:
        super().__init__(world, rng, for_s)
        self.scope = "operators"

    async def _happen(self) -> None:
        await self.world.evacuate(self.rng.choice(tuple(ZONES)), self.for_s + 3.0)


async def _spoil_link(link: Relay, rng: random.Random, for_s: float) -> None:
    """Harm a link in one of its ways, and mend it."""
    way = rng.choice(("cut", "silent", "one-way", "slow", "reset"))
    if way == "cut":
        link.cut()
    elif way == "silent":
        link.freeze()
    elif way == "one-way":
        link.freeze(to_target=rng.random() < _EVEN, to_caller=False)
        link.freeze(to_target=False, to_caller=True)
    elif way == "slow":
        link.delay_s = rng.uniform(0.05, 0.3)
    else:
        link.reset()
    await asyncio.sleep(for_s)
    link.mend()
    link.thaw()
    link.delay_s = 0.0


KINDS: tuple[type[Trouble], ...] = (
    Stop,
    StopTwice,
    RollingStop,
    Kill,
    KillAll,
    KillInStop,
    Pause,
    Reload,
    ClockStep,
    CutFromStore,
    TurnedAway,
    StoreFaulty,
    StoreSlow,
    StoreForgets,
    Leave,
    Crash,
    SpoilAnswers,
    SlowServers,
    ServerLink,
    Change,
    Evacuate,
)
