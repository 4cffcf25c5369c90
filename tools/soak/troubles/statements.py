"""Backend servers that state a limit, that they are leaving, a `Retry-After` or their load.

Owns one class for each kind. The server's own record of answers holds what it stated, by which
`promises` judges; other troubles may affect the same server meanwhile.
"""

import asyncio

from standins.scripted_server import ScriptedServer

from ..backend_servers import SoakServer
from .servers import ServerTrouble

_LIMIT = "Server-Limit"
_LEAVING = "Server-Leaving"
_LIMITS_PER_S = (0.4, 2.0)
"""Range of the stated limits, in requests a second: below what servers usually get."""

_RESTS_S = (0.7, 2.5)
"""Range of the stated `Retry-After` times, in seconds."""

_KNOWN_S = 7.0
"""Seconds for which a limit is stated in addition to the duration of the trouble.

It binds no VM for the first seconds, and then a whole window has to pass.
"""

_MAX_SERVERS = 3
"""Maximum number of servers that a trouble affects at once."""


_PACE_INTERVAL_S = 0.5
"""Seconds between two changes of how long work takes at a server."""

_PACES_PERCENT = (50.0, 400.0)
"""Range of how long work takes, in per cent of the usual time."""

_UNREADABLE_LOADS = (
    "a,b,c,d",
    "-1,0,8,100",
    "",
    "3,0,8,100,7",
    "3,0,8,0",
    "3,0,8,1e9",
    "3,0,8,1000000000",
)
"""Loads that no VM may fail over: letters, a negative figure, none, five figures, absurd paces."""

_UNREADABLE_PART = 0.3
"""Probability that a server states such a load until its pace changes."""


class StatementTrouble(ServerTrouble):
    """Trouble of backend servers that state nothing yet."""

    def some_servers(self) -> list[SoakServer]:
        """Return up to `_MAX_SERVERS` running servers that state nothing."""
        running = list(self.world.backends.running.values())
        silent = [s for s in running if not s.stand_in.says and not s.stand_in.rest]
        count = min(len(silent), self.rng.randint(1, _MAX_SERVERS))
        return self.rng.sample(silent, count)


class LimitItself(StatementTrouble):
    """Some servers state a limit of a few requests a second for all VMs together."""

    async def _inject(self) -> None:
        chosen = self.some_servers()
        for server in chosen:
            server.stand_in.says[_LIMIT] = f"{self.rng.uniform(*_LIMITS_PER_S):.2f}"
        await asyncio.sleep(_KNOWN_S + self.for_s)
        for server in chosen:
            server.stand_in.says.pop(_LIMIT, None)


class LeaveByWord(StatementTrouble):
    """A server states in its answers that it is leaving; its entry says ready until it ends."""

    async def _inject(self) -> None:
        for server in self.some_servers()[:1]:
            await self.world.backends.add(server.service, server.zone, cold_s=1.0)
            await self.world.backends.leave_by_header(server, _LEAVING, self.for_s)


class AskRest(StatementTrouble):
    """Some servers refuse a fraction of their requests with a `Retry-After` header."""

    async def _inject(self) -> None:
        chosen = self.some_servers()
        for server in chosen:
            part = self.rng.uniform(0.3, 1.0)
            server.stand_in.turns_away = lambda part=part: self.rng.random() < part
            server.stand_in.rest = f"{self.rng.uniform(*_RESTS_S):.1f}"
        await asyncio.sleep(self.for_s)
        for server in chosen:
            server.stand_in.turns_away = lambda: False
            server.stand_in.rest = ""


class StateLoad(StatementTrouble):
    """Some servers state their load and pace, which their work follows; some loads are unreadable.

    Afterwards they work at their usual pace and go on stating their load to the end of the day.
    """

    async def _inject(self) -> None:
        chosen = [server.stand_in for server in self.some_servers()]
        end = self.world.loop.time() + _KNOWN_S + self.for_s
        while self.world.loop.time() < end:
            for stand_in in chosen:
                self._change_pace(stand_in)
            await asyncio.sleep(_PACE_INTERVAL_S)
        for stand_in in chosen:
            stand_in.pace_percent = 100.0
            stand_in.states_load = lambda stand_in=stand_in: load_of(stand_in)

    def _change_pace(self, stand_in: ScriptedServer) -> None:
        stand_in.pace_percent = round(self.rng.uniform(*_PACES_PERCENT))
        unreadable = self.rng.choice(_UNREADABLE_LOADS)
        if self.rng.random() < _UNREADABLE_PART:
            stand_in.states_load = lambda: unreadable
        else:
            stand_in.states_load = lambda: load_of(stand_in)


def load_of(stand_in: ScriptedServer) -> str:
    """Return a server's load as it states it: running, waiting, slots and pace."""
    return f"{stand_in.running},0,{stand_in.slots},{stand_in.pace_percent:g}"
