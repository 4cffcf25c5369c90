"""Troubles of the backend servers: drains, crashes, defective answers, slowness, failed links.

Owns one class for each kind. Relies on the stand-ins for what a server does. The durations only
have to vary.
"""

import asyncio
import itertools

import aiohttp

from standins.scripted_server import Spoil

from ..backend_servers import SoakServer
from ..configuration import HOST, RATES, WORKSPACES, first_key
from ..ledger import SERVERS, CrashingSend
from .links import inject_link_fault
from .trouble import EVEN_CHANCE, Trouble

_ATTEMPT_INTERVAL_S = 0.15
"""Seconds between two attempts of a request that crashes servers."""

_ATTEMPT_TIMEOUT_S = 3.0
"""Timeout of each attempt, in seconds."""


class ServerTrouble(Trouble):
    """Trouble of a backend server, which excuses no entry VM."""

    scope = SERVERS

    def any_server(self) -> SoakServer:
        """Return a backend server whose service has others."""
        return self.rng.choice(tuple(self.world.backends.running.values()))


class Leave(ServerTrouble):
    """A backend server drains, and a cold one replaces it."""

    async def _inject(self) -> None:
        server = self.any_server()
        await self.world.backends.add(server.service, server.zone, cold_s=1.0)
        await self.world.backends.drain(server)


class Crash(ServerTrouble):
    """A backend server ends without draining; a cold one replaces it later."""

    async def _inject(self) -> None:
        server = self.any_server()
        self.world.backends.crash(server)
        await asyncio.sleep(self.for_s)
        await self.world.backends.add(server.service, server.zone, cold_s=1.0)


class SpoilAnswers(ServerTrouble):
    """Backend servers send some defective answers."""

    async def _inject(self) -> None:
        spoils = [spoil for spoil in Spoil if spoil is not Spoil.NONE]
        for server in self.rng.sample(tuple(self.world.backends.running.values()), 3):
            server.stand_in.spoils += self.rng.choices(spoils, k=4)
        await asyncio.sleep(self.for_s)


class SlowServers(ServerTrouble):
    """Some backend servers take much longer for each request."""

    async def _inject(self) -> None:
        chosen = self.rng.sample(tuple(self.world.backends.running.values()), 2)
        usual = [server.stand_in.work_s for server in chosen]
        for server in chosen:
            server.stand_in.work_s = self.rng.uniform(0.3, 1.0)
        await asyncio.sleep(self.for_s)
        for server, work_s in zip(chosen, usual, strict=True):
            server.stand_in.work_s = work_s


class ServerLink(ServerTrouble):
    """The link to a backend server is cut, silent, one-way, or slow."""

    async def _inject(self) -> None:
        await inject_link_fault(self.any_server().relay, self.rng, self.for_s)


class StartAgain(ServerTrouble):
    """A backend server is killed and restarted under its id.

    Its connections are reset at once or, in half of the cases, only at the restart.
    """

    async def _inject(self) -> None:
        silent = self.rng.random() < EVEN_CHANCE
        await self.world.backends.restart(self.any_server(), self.for_s, silent=silent)


class SpoilEntry(ServerTrouble):
    """Another writer overwrites the entry of a backend server, which then restores it."""

    async def _inject(self) -> None:
        values = (b"", b"{", b"[]", b"\xff", b'{"Service":"rates","Address":"127.0.0.1:1"}')
        await self.world.backends.overwrite_entry(
            self.any_server(), self.rng.choice(values), self.for_s
        )


class SickRequest(ServerTrouble):
    """A request that crashes each server running it is retried at random VMs to the day's end."""

    async def _inject(self) -> None:
        target = f"/{RATES}/sick{self.rng.randrange(1_000_000)}"
        self.world.backends.crashing_targets.add(target)
        timeout = aiohttp.ClientTimeout(total=_ATTEMPT_TIMEOUT_S)
        async with asyncio.TaskGroup() as tries, aiohttp.ClientSession(timeout=timeout) as session:
            for number in itertools.count():
                vm = self.rng.choice(tuple(self.world.vms))
                send = CrashingSend(f"{target}-{number}", target, vm)
                self.world.ledger.crashing_sends.append(send)
                tries.create_task(self._try(session, send))
                await asyncio.sleep(_ATTEMPT_INTERVAL_S)

    async def _try(self, session: aiohttp.ClientSession, send: CrashingSend) -> None:
        """Send the request once; `promises` judges it by what reached servers."""
        headers = {"Host": HOST, "X-Request-Id": send.request_id, "Cookie": "X-Affinity-Key=sick"}
        headers["Api-Key"] = first_key(WORKSPACES[0])
        url = self.world.vms[send.vm].url("Front", send.target)
        try:
            async with session.get(url, headers=headers) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            # The VM may be down; this caller only tries again, so the error is ignored.
            return
