"""Callers that send requests together, read slowly or not at all, and a route of large answers.

Owns one class for each kind. Relies on `connection` for the bytes on a connection, and hands
answers to `promises.answers`, as the other callers do.
"""

import asyncio
import itertools
from collections import deque
from pathlib import Path

from standins.scripted_server import Run, Spoil
from tools.entry_vm import EntryVm

from ..callers import REQUEST_TIMEOUT_S, headers_of
from ..configuration import DOWNLOADS, RATES, SERVICES, WORKSPACES
from ..connection import CallerConnection, Received, request_bytes
from ..ledger import CALLERS, SERVERS, Attempt, End, MemoryUse
from ..promises.answers import judge_answer
from .trouble import Trouble

_CONNECTIONS = 4
"""Connections on which requests are sent together at once."""

_TOGETHER = (2, 6)
"""Number of requests that a caller sends together, drawn uniformly."""

_SENDS_S = 4.0
"""Seconds for which requests are sent together in addition to the duration of the trouble."""

_SEND_PAUSE_S = 0.02
"""Seconds between two parts of requests that are not sent at once."""

_MAX_PAUSE_S = 0.3
"""Longest pause in seconds between the last answer and the next requests on a connection."""

_LOST_PART = 0.4
"""Fraction of the downloads whose answer is lost or broken off."""

_MAX_LOST = 12
"""Number of answers lost in one trouble, so that the budget for retries outlasts them."""

_UNREAD_PREFIX = "u"
"""Start of the request ids of callers that read slowly, whose answers are not lost."""

_LOSSES_S = 4.0
"""Seconds for which answers are lost in addition to the duration of the trouble."""

_IN_FORCE_S = 0.5
"""Seconds in which an added route usually comes into force."""

_UNREAD_CONNECTIONS = (4, 16)
"""Range of the connections of callers that read slowly or not at all, to one entry VM."""

_UNREAD_S = 4.0
"""Seconds for which these callers send."""

_UNREAD_PER_S = 128
"""Downloads a second on all these connections: 40 MB, far more than the kernel keeps of them, and
below the limits of the workspaces together."""

_MEMORY_POLL_S = 0.1
"""Seconds between two looks at an entry VM's memory."""

_KIB_PER_MIB = 1024


class CallerTrouble(Trouble):
    """Trouble that callers make, which excuses no entry VM."""

    scope = CALLERS
    prefix = "t"
    """Start of the ids of its requests."""
    _numbers = itertools.count()

    def new_attempt(self, vm: str, route: str, *, behind: bool = False) -> Attempt:
        """Return an attempt that begins now, under an id and for a workspace of its own."""
        number = next(self._numbers)
        workspace = WORKSPACES[number % len(WORKSPACES)]
        key = self.world.configuration.keys[workspace][0]
        now = self.world.loop.time()
        return Attempt(f"{self.prefix}{number}", route, vm, now, key=key, behind=behind)

    def request_of(self, attempt: Attempt) -> bytes:
        """Return the bytes of an attempt's request."""
        path = f"/{attempt.route}/{attempt.request_id}"
        return request_bytes(path, headers_of(attempt, self.rng))

    def judge(self, attempt: Attempt, received: Received) -> None:
        """Record and judge the answer to an attempt."""
        attempt.end, attempt.status = End.ANSWERED, received.status
        attempt.ended_at = self.world.loop.time()
        judge_answer(self.world.ledger, attempt, received.body, received.headers)

    async def watch_memory(self, vm: EntryVm, end: float) -> None:
        """Record the memory of an entry VM, unless it is not ready or ends meanwhile."""
        process = vm.process
        if vm.name not in self.world.keeper.ready or process is None:
            return
        before = most = _memory_mb(process.pid)
        while self.world.loop.time() < end and process.returncode is None:
            most = max(most, _memory_mb(process.pid))
            await asyncio.sleep(_MEMORY_POLL_S)
        self.world.ledger.memory.append(MemoryUse(vm.name, before, most))

    async def add_downloads(self) -> None:
        """Add the route of large answers, if the configuration lacks it."""
        if DOWNLOADS not in self.world.configuration.services:
            self.world.configuration.services[DOWNLOADS] = SERVICES[0]
            self.world.configuration.write()
            await asyncio.sleep(_IN_FORCE_S)


class SendTogether(CallerTrouble):
    """Callers send several requests together on one connection, which they keep."""

    async def _inject(self) -> None:
        end = self.world.loop.time() + _SENDS_S + self.for_s
        async with asyncio.TaskGroup() as group:
            for _ in range(_CONNECTIONS):
                group.create_task(self._send_until(end))

    async def _send_until(self, end: float) -> None:
        """Send on one connection after the other; what one left unread is sent on the next."""
        unread: list[str] = []
        while self.world.loop.time() < end:
            vm = self.rng.choice(tuple(self.world.vms))
            try:
                connection = await CallerConnection.open(self.world.vms[vm].addresses["Front"])
            except OSError:
                # The VM may be down, so another one is tried.
                await asyncio.sleep(_MAX_PAUSE_S)
                continue
            goes_on = True
            try:
                while goes_on and self.world.loop.time() < end:
                    attempts = self._new_attempts(vm, unread or self._some_routes())
                    await self._send(connection, attempts)
                    goes_on = await self._receive(connection, attempts)
                    unread = [each.route for each in attempts if each.end is End.UNREAD]
                    await asyncio.sleep(self.rng.uniform(0.0, _MAX_PAUSE_S))
            finally:
                connection.close()

    def _some_routes(self) -> list[str]:
        added = DOWNLOADS in self.world.configuration.services
        routes = (RATES, RATES, DOWNLOADS) if added else (RATES,)
        return self.rng.choices(routes, k=self.rng.randint(*_TOGETHER))

    def _new_attempts(self, vm: str, routes: list[str]) -> list[Attempt]:
        attempts = [self.new_attempt(vm, route, behind=n > 0) for n, route in enumerate(routes)]
        self.world.ledger.attempts += attempts
        return attempts

    async def _send(self, connection: CallerConnection, attempts: list[Attempt]) -> None:
        """Send the requests of attempts at once, or with a pause at any byte."""
        data = b"".join(map(self.request_of, attempts))
        cut = self.rng.choice((len(data), self.rng.randrange(len(data))))
        connection.send(data[:cut])
        if cut < len(data):
            await asyncio.sleep(_SEND_PAUSE_S)
            connection.send(data[cut:])

    async def _receive(self, connection: CallerConnection, attempts: list[Attempt]) -> bool:
        """Read the answers in the order of the requests; return whether the connection goes on."""
        for index, attempt in enumerate(attempts):
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    received = await connection.receive()
            except TimeoutError:
                self._end(attempts[index:], End.LATE)
                return False
            if received is None:
                self._end(attempts[index:], End.CLOSED)
                self._record_surplus(attempt.vm, connection.problem)
                return False
            self.judge(attempt, received)
            if received.closes:
                self._end(attempts[index + 1 :], End.UNREAD)
                break
        self._record_surplus(attempt.vm, connection.surplus())
        return not received.closes

    def _record_surplus(self, vm: str, surplus: str) -> None:
        if surplus:
            self.world.ledger.record_broken("MIXED", f"{vm} sent more than answers: {surplus}")

    def _end(self, attempts: list[Attempt], end: End) -> None:
        for attempt in attempts:
            attempt.end, attempt.ended_at = end, self.world.loop.time()


class Downloads(CallerTrouble):
    """Servers lose the answers to some requests on a route of large answers."""

    scope = SERVERS

    async def _inject(self) -> None:
        await self.add_downloads()
        end = self.world.loop.time() + _LOSSES_S + self.for_s
        self.left = _MAX_LOST
        for server in self.world.backends.running.values():
            server.stand_in.spoil_of = lambda run: self._spoil_until(end, run)
        await asyncio.sleep(end - self.world.loop.time())

    def _spoil_until(self, end: float, run: Run) -> Spoil:
        judged = run.target.startswith(f"/{DOWNLOADS}/") and run.request_id[0] != _UNREAD_PREFIX
        if not judged or not self.left or self.world.loop.time() > end:
            return Spoil.NONE
        if self.rng.random() >= _LOST_PART:
            return Spoil.NONE
        self.left -= 1
        return self.rng.choice((Spoil.LOST, Spoil.CUT))


class SlowReaders(CallerTrouble):
    """Callers of one entry VM ask for far more than they read; half of them read nothing."""

    prefix = _UNREAD_PREFIX

    async def _inject(self) -> None:
        await self.add_downloads()
        vm = self.world.vms[self.rng.choice(tuple(self.world.vms))]
        end = self.world.loop.time() + _UNREAD_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch_memory(vm, end))
            count = self.rng.randint(*_UNREAD_CONNECTIONS)
            for number in range(count):
                group.create_task(self._send_on(end, vm, count, reads=number % 2 == 0))

    async def _send_on(self, end: float, vm: EntryVm, count: int, *, reads: bool) -> None:
        """Send on one of some connections until the end, and read slowly or not at all."""
        interval_s = count / _UNREAD_PER_S
        await asyncio.sleep(self.rng.uniform(0.0, interval_s))
        try:
            connection = await CallerConnection.open(vm.addresses["Front"], slow=True)
        except OSError:
            return  # The VM is down, so nobody fills its memory.
        sent: deque[Attempt] = deque()
        reading = asyncio.create_task(self._read_slowly(connection, sent)) if reads else None
        try:
            while self.world.loop.time() < end and not connection.writer.is_closing():
                sent.append(self.new_attempt(vm.name, DOWNLOADS))
                connection.send(self.request_of(sent[-1]))
                await asyncio.sleep(interval_s)
        finally:
            if reading is not None:
                reading.cancel()
            connection.close()

    async def _read_slowly(self, connection: CallerConnection, sent: deque[Attempt]) -> None:
        """Judge the answers that were read; how long that takes is the caller's own doing."""
        while (received := await connection.receive()) is not None:
            self.judge(sent.popleft(), received)
        if connection.problem:
            self.world.ledger.record_broken("MIXED", f"to a slow reader: {connection.problem}")


def _memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0.0
    row = next((line for line in status.splitlines() if line.startswith("VmRSS:")), "VmRSS: 0 kB")
    return int(row.split()[1]) / _KIB_PER_MIB
