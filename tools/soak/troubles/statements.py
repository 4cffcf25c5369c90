"""Backend servers that state something of themselves: a limit, that they leave, a wish for rest.

Owns one class a kind. What a server states stands in its own record of answers, by which `promises`
judges; other troubles may strike the same server meanwhile.
"""

import asyncio

from ..backend_servers import SoakServer
from .servers import ServerTrouble

_LIMIT = "Server-Limit"
_LEAVING = "Server-Leaving"
_LIMITS_PER_S = (0.4, 2.0)
"""Range of the limits that servers state, in requests a second: below what they usually get."""

_RESTS_S = (0.7, 2.5)
"""Range of the rests that servers ask for, in seconds."""

_KNOWN_S = 7.0
"""Seconds for which a limit is stated beyond the time of the trouble: no VM is bound for the first
of them, and then a window has to pass."""

_MOST_SERVERS = 3
"""Most servers that a trouble strikes at once."""


class StatementTrouble(ServerTrouble):
    """Strikes backend servers that state nothing yet."""

    def some_servers(self) -> list[SoakServer]:
        """Return one to three servers."""
        running = list(self.world.backends.running.values())
        silent = [s for s in running if not s.stand_in.says and not s.stand_in.rest]
        count = min(len(silent), self.rng.randint(1, _MOST_SERVERS))
        return self.rng.sample(silent, count)


class LimitItself(StatementTrouble):
    """Some servers take only a few requests a second, of all VMs together."""

    async def _happen(self) -> None:
        chosen = self.some_servers()
        for server in chosen:
            server.stand_in.says[_LIMIT] = f"{self.rng.uniform(*_LIMITS_PER_S):.2f}"
        await asyncio.sleep(_KNOWN_S + self.for_s)
        for server in chosen:
            server.stand_in.says.pop(_LIMIT, None)


class LeaveByWord(StatementTrouble):
    """A server says in its answers that it leaves; its entry says ready until it ends."""

    async def _happen(self) -> None:
        for server in self.some_servers()[:1]:
            await self.world.backends.add(server.service, server.zone, cold_s=1.0)
            await self.world.backends.leave_by_word(server, _LEAVING, self.for_s)


class AskRest(StatementTrouble):
    """Some servers turn a part of their requests away, each time asking for rest."""

    async def _happen(self) -> None:
        chosen = self.some_servers()
        for server in chosen:
            part = self.rng.uniform(0.3, 1.0)
            server.stand_in.turns_away = lambda part=part: self.rng.random() < part
            server.stand_in.rest = f"{self.rng.uniform(*_RESTS_S):.1f}"
        await asyncio.sleep(self.for_s)
        for server in chosen:
            server.stand_in.turns_away = lambda: False
            server.stand_in.rest = ""
