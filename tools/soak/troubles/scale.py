"""What grows with a deployment: many routes that come and go, fetches of metrics, long bodies.

Owns one class for each kind, and one for status lines of servers that are none. The callers of the
day and those of these troubles are judged as always: no answer may be late (HELD), memory is
bounded (MEMORY), and invalid statuses are met without waiting (STATUS).
"""

import asyncio
import random

import aiohttp

from standins.scripted_server import Run
from tools.entry_vm import METRICS_PORT, EntryVm

from ..callers import headers_of
from ..configuration import BOOK
from ..connection import CallerConnection
from ..ledger import OPERATORS
from .servers import ServerTrouble
from .uploads import Uploads, upload_bytes

_REPLACED_ROUTES = 200
"""Routes of one configuration that the next one replaces."""

_REPLACEMENTS = (3, 8)
"""Range of the configurations in a row."""

_GAPS_S = (0.15, 0.4, 1.0)
"""Seconds between two of them, one of which is drawn."""

_ASKED_ROUTES = 40
"""Requests on routes of each configuration, at one entry VM."""

_IN_FORCE_S = 0.1

_FETCH_GAP_S = 0.2
_FETCH_TIMEOUT_S = 3.0

_LONG_BYTES = (1_000_000, 4_000_000, 10_000_000)
"""Lengths of long bodies, in bytes; four at once are below the memory for bodies."""

_LONG_PAUSE_S = 0.2

_ODD_STATUSES = ("000", "001", "099", "199", "600", "777", "999")
"""Statuses that are none, and one of an interim answer that has a body."""

_ODD_PART = 0.2
"""Fraction of the answers of a chosen server that have such a status."""


class ReplaceRoutes(Uploads):
    """The operators replace many routes at once, several times, and callers use some of them."""

    scope = OPERATORS
    planned = True
    prefix = "n"

    async def _inject(self) -> None:
        vm = self.world.vms[self.rng.choice(tuple(self.world.vms))]
        replacements = self.rng.randint(*_REPLACEMENTS)
        async with asyncio.TaskGroup() as group:
            watch = group.create_task(self.watch_memory(vm, float("inf")))
            for number in range(replacements):
                names = self._replace(number)
                await asyncio.sleep(_IN_FORCE_S)
                group.create_task(self._ask_some(vm, names))
                await asyncio.sleep(self.rng.choice(_GAPS_S))
            self._remove()
            self.world.configuration.write()
            watch.cancel()

    def _replace(self, number: int) -> list[str]:
        """Write a configuration with other routes, and return their names."""
        self._remove()
        start = f"many{self.rng.randrange(1 << 20)}x{number}x"
        names = [f"{start}{each}" for each in range(_REPLACED_ROUTES)]
        self.names = names
        self.world.configuration.services.update(dict.fromkeys(names, "rates"))
        self.world.configuration.write()
        return names

    def _remove(self) -> None:
        for name in getattr(self, "names", ()):
            self.world.configuration.services.pop(name, None)

    async def _ask_some(self, vm: EntryVm, names: list[str]) -> None:
        try:
            connection = await CallerConnection.open(vm.addresses["Front"])
        except OSError:
            return  # The VM is down, so nobody uses the routes there.
        try:
            for name in self.rng.sample(names, _ASKED_ROUTES):
                attempt = self.new_attempt(vm.name, name)
                if not await self._ask(connection, attempt, self.request_of(attempt)):
                    return
        finally:
            connection.close()


class FetchMetrics(Uploads):
    """Monitoring fetches the metrics and the state of all entry VMs, two at the same time."""

    async def _inject(self) -> None:
        end = self.world.loop.time() + self.for_s
        limit = aiohttp.ClientTimeout(total=_FETCH_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while self.world.loop.time() < end:
                urls = [
                    f"http://{vm.ip}:{METRICS_PORT}/{page}"
                    for vm in self.world.vms.values()
                    for page in ("metrics", "metrics", "state")
                ]
                await asyncio.gather(*(_fetch(session, url) for url in urls))
                await asyncio.sleep(_FETCH_GAP_S)


async def _fetch(session: aiohttp.ClientSession, url: str) -> None:
    try:
        async with session.get(url) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return  # The VM may be down or stand still; callers' answers show what it does.


class LongUploads(Uploads):
    """Bookings with long bodies at one entry VM, whose memory is watched."""

    prefix = "l"

    async def _inject(self) -> None:
        vm = self.world.vms[self.rng.choice(tuple(self.world.vms))]
        end = self.world.loop.time() + self.for_s
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch_memory(vm, end + _LONG_PAUSE_S))
            for _ in range(4):
                group.create_task(self._upload_until(vm, end))

    async def _upload_until(self, vm: EntryVm, end: float) -> None:
        while self.world.loop.time() < end:
            try:
                connection = await CallerConnection.open(vm.addresses["Front"])
            except OSError:
                return  # The VM is down, so nobody fills its memory.
            try:
                await self._use(connection, vm.name)
            finally:
                connection.close()
            await asyncio.sleep(_LONG_PAUSE_S)

    async def _use(self, connection: CallerConnection, vm: str) -> bool:
        attempt = self.new_attempt(vm, BOOK)
        body = bytes(self.rng.choice(_LONG_BYTES))
        chunked = self.rng.choice((True, False))
        data = upload_bytes(attempt, headers_of(attempt, self.rng), body, chunked=chunked)
        return await self._ask(connection, attempt, data)


class OddStatusLines(ServerTrouble):
    """Servers in trouble answer with status lines that are none.

    The requests that meet one are recorded, and judged by `promises.status_lines`.
    """

    async def _inject(self) -> None:
        met = self.world.ledger.invalid_statuses
        chosen = self.rng.sample(tuple(self.world.backends.running.values()), 2)
        before = [server.stand_in.status_of for server in chosen]
        drawn = random.Random(self.rng.random())

        def status_of(run: Run) -> str:
            if drawn.random() >= _ODD_PART:
                return "200"
            met.add(run.request_id)
            return drawn.choice(_ODD_STATUSES)

        for server in chosen:
            server.stand_in.status_of = status_of
        await asyncio.sleep(self.for_s)
        for server, usual in zip(chosen, before, strict=True):
            server.stand_in.status_of = usual
