"""Troubles under which limits of the whole fleet are hard to keep.

Owns one class for each kind: processes that are killed in series, servers that fail most answers,
that turn cold, and that do so or start again while the store does not answer; few callers. The
durations only have to vary.
"""

import asyncio
import signal

from standins.consortium_store import Fault
from standins.scripted_server import Run, Spoil

from ..configuration import WORKSPACES
from ..ledger import OPERATORS
from .processes import VmTrouble
from .servers import ServerTrouble
from .store import StoreTrouble
from .trouble import AFTEREFFECT_S, EVEN_CHANCE, Trouble

_KILLS = (2, 4)
"""Range of the number of kills in a series."""

_KILL_PAUSE_S = (0.8, 2.5)
"""Range of the seconds between two kills."""

_FAILED_PART = 0.8
"""Fraction of the answers that are failures while servers fail."""

_FAILING_S = 3.0
"""Seconds for which servers fail in addition to the duration of the trouble; they answer again
before the quiet phase of the day."""

_COLD_S = (1.5, 4.0)
"""Range of the seconds for which a server is cold."""

_COLD_SERVERS = 3
"""Number of servers that turn cold at once."""

_AWAY_BEFORE_S = (0.0, 2.0)
"""Range of the seconds from the store's outage to what happens during it."""

_FEW_CALLERS_FACTOR = 0.15
"""Factor on the usual request rate while there are few callers."""


class KillSeries(VmTrouble):
    """One process is killed several times, as soon as it runs again or a little later."""

    async def _inject(self) -> None:
        for _ in range(self.rng.randint(*_KILLS)):
            self.world.keeper.signal(self.vm, signal.SIGKILL)
            await asyncio.sleep(self.rng.uniform(*_KILL_PAUSE_S))
        await asyncio.sleep(AFTEREFFECT_S)


class KillAllSeries(Trouble):
    """All processes are killed together several times."""

    async def _inject(self) -> None:
        for _ in range(self.rng.randint(*_KILLS)):
            for vm in self.world.vms.values():
                self.world.keeper.signal(vm, signal.SIGKILL)
            await asyncio.sleep(self.rng.uniform(*_KILL_PAUSE_S))
        await asyncio.sleep(AFTEREFFECT_S)


class FailAnswers(ServerTrouble):
    """All servers answer most requests with a failure of their own."""

    async def _inject(self) -> None:
        end = self.world.loop.time() + _FAILING_S + self.for_s
        for server in self.world.backends.all_servers():
            server.stand_in.spoil_of = lambda run: self._spoil_until(end, run)
        await asyncio.sleep(end - self.world.loop.time())

    def _spoil_until(self, end: float, _run: Run) -> Spoil:
        fails = self.world.loop.time() < end and self.rng.random() < _FAILED_PART
        return Spoil.FAILED if fails else Spoil.NONE


class TurnCold(ServerTrouble):
    """Some running servers turn cold and write so."""

    async def _inject(self) -> None:
        for _ in range(_COLD_SERVERS):
            cold_s = self.rng.uniform(*_COLD_S)
            self.world.backends.turn_cold(self.any_server(), cold_s, writes=True)
        await asyncio.sleep(self.for_s)


class ColdWithoutStore(StoreTrouble):
    """Servers turn cold, or start again under their ids, while the store does not answer."""

    async def _inject(self) -> None:
        store, backends = self.world.store, self.world.backends
        store.fault = self.rng.choice((Fault.RESET, Fault.SILENT, Fault.BUSY))
        await asyncio.sleep(self.rng.uniform(*_AWAY_BEFORE_S))
        chosen = self.rng.sample(tuple(backends.running.values()), _COLD_SERVERS)
        if self.rng.random() < EVEN_CHANCE:
            for server in chosen:
                backends.turn_cold(server, self.rng.uniform(*_COLD_S), writes=False)
        else:
            await asyncio.gather(
                *(backends.restart(each, 0.5, silent=False, writes=False) for each in chosen)
            )
        await asyncio.sleep(self.for_s)
        store.fault = Fault.NONE
        backends.write_entries()


class FewCallers(Trouble):
    """Most callers pause, so that the slack is most of the retry budget."""

    scope = OPERATORS
    planned = True

    async def _inject(self) -> None:
        for name in WORKSPACES:
            self.world.rate_factors[name] = _FEW_CALLERS_FACTOR
        await asyncio.sleep(_FAILING_S + self.for_s)
        for name in WORKSPACES:
            self.world.rate_factors.pop(name, None)
