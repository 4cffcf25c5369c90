"""Stops of entry VMs under bookings that take long and whose bodies come slowly.

Owns one class for each order of the stops. Callers send orders from before each signal until after
it, on fresh and on kept connections, and keep these open until the process ends them. Relies on
`configuration.ORDERS` for the route and on `promises.stops` for the verdict.
"""

import asyncio
import contextlib
import signal

from tools.entry_vm import EntryVm

from ..callers import REQUEST_TIMEOUT_S, headers_of
from ..configuration import ORDERS, SERVICES
from ..connection import CallerConnection
from ..ledger import Attempt, End, TroubleSpan
from ..promises.evidence import GRACE_S
from .callers import CallerTrouble
from .trouble import EVEN_CHANCE

_LEAD_S, _TAIL_S = 3.0, 4.0
"""Time before and after a signal in which orders are sent, in seconds."""

_FRESH = (16, 28)
"""Range of the orders on fresh connections around one signal."""

_KEPT = 3
"""Connections to one entry VM that are kept from order to order."""

_BODY_PAUSE_S = (0.1, 1.2)
"""Range of the time between head and rest of an order, in seconds."""

_BODY_BYTES = (1, 4_000, 24_000)
"""Sizes of orders, in bytes."""

_MAX_PAUSE_S = 0.5
"""Longest pause between two orders on a kept connection, in seconds."""

_OVERLAP_S = 1.5
"""Longest time between two stops that overlap, in seconds."""

_SERIES_S = 4.0
"""Time in which the signals of a series are sent, in seconds: before the quiet phase of a day."""

_SERIES_PAUSE_S = (0.3, 1.6)
"""Range of the time between two signals of a series, in seconds."""

_IN_FORCE_S = 0.5
"""Time in which an added route usually comes into force, in seconds."""


class _StopsUnderOrders(CallerTrouble):
    """Entry VMs get SIGTERM while callers send orders."""

    prefix = "o"
    planned = True

    async def add_orders(self) -> None:
        """Add the route of orders, if the configuration lacks it."""
        if ORDERS not in self.world.configuration.services:
            self.world.configuration.services[ORDERS] = SERVICES[1]
            self.world.configuration.write()
            await asyncio.sleep(_IN_FORCE_S)

    def some_vms(self, least: int) -> list[EntryVm]:
        """Return some entry VMs, in random order."""
        vms = tuple(self.world.vms.values())
        return self.rng.sample(vms, self.rng.randint(least, len(vms)))

    async def stop(self, vm: EntryVm) -> None:
        """Send SIGTERM, and record the stop."""
        troubles, loop = self.world.ledger.troubles, self.world.loop
        now = loop.time()
        troubles.append(TroubleSpan("Stop", vm.name, now, now + GRACE_S, planned=True))
        self.world.keeper.signal(vm, signal.SIGTERM)

    async def stop_under_orders(self, vm: EntryVm, in_s: float) -> None:
        """Send SIGTERM after some seconds, and orders around it."""
        signal_at = self.world.loop.time() + in_s
        async with asyncio.TaskGroup() as group:
            for _ in range(self.rng.randint(*_FRESH)):
                group.create_task(self._order_at(vm, signal_at + self._offset()))
            for _ in range(_KEPT):
                group.create_task(self._keep_ordering(vm, signal_at + _TAIL_S))
            await asyncio.sleep(in_s)
            await self.stop(vm)

    def _offset(self) -> float:
        return self.rng.uniform(-_LEAD_S, _TAIL_S)

    async def _order_at(self, vm: EntryVm, at: float) -> None:
        """Send one order on a fresh connection, and keep it until the process ends it."""
        await asyncio.sleep(at - self.world.loop.time())
        with contextlib.suppress(OSError):
            connection = await CallerConnection.open(vm.addresses["Front"])
            try:
                if await self._order(connection, vm):
                    await self._until_closed(connection, vm)
            finally:
                connection.close()

    async def _keep_ordering(self, vm: EntryVm, until: float) -> None:
        """Send orders on one connection after the other, each for as long as it stays open."""
        while self.world.loop.time() < until:
            with contextlib.suppress(OSError):
                connection = await CallerConnection.open(vm.addresses["Front"])
                try:
                    while self.world.loop.time() < until and await self._order(connection, vm):
                        await asyncio.sleep(self.rng.uniform(0.0, _MAX_PAUSE_S))
                finally:
                    connection.close()
            await asyncio.sleep(self.rng.uniform(0.0, _MAX_PAUSE_S))

    async def _order(self, connection: CallerConnection, vm: EntryVm) -> bool:
        """Send an order, and judge its answer; return whether the connection goes on."""
        attempt = self.new_attempt(vm.name, ORDERS)
        self.world.ledger.attempts.append(attempt)
        await self._send(connection, attempt)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                received = await connection.receive()
        except TimeoutError:
            attempt.end, attempt.ended_at = End.LATE, self.world.loop.time()
            return False
        attempt.ended_at = self.world.loop.time()
        if received is None:
            attempt.end = End.CLOSED
            return False
        self.judge(attempt, received)
        return not received.closes

    async def _send(self, connection: CallerConnection, attempt: Attempt) -> None:
        body = b"x" * self.rng.choice(_BODY_BYTES)
        headers = {**headers_of(attempt, self.rng), "Content-Length": str(len(body))}
        lines = [f"POST /{ORDERS}/{attempt.request_id} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        if self.rng.random() < EVEN_CHANCE:
            connection.send(head + body)
            return
        cut = self.rng.randrange(len(body))
        connection.send(head + body[:cut])
        await asyncio.sleep(self.rng.uniform(*_BODY_PAUSE_S))
        connection.send(body[cut:])
        attempt.whole_at = self.world.loop.time()

    async def _until_closed(self, connection: CallerConnection, vm: EntryVm) -> None:
        """Wait until the entry VM ends a connection on which nothing is due."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TAIL_S + GRACE_S):
                further = await connection.receive()
            surplus = "a further answer" if further is not None else connection.surplus()
            if surplus:
                what = f"{vm.name} sent more than answers: {surplus}"
                self.world.ledger.record_broken("MIXED", what)


class StopOne(_StopsUnderOrders):
    """One entry VM stops under orders."""

    async def _inject(self) -> None:
        await self.add_orders()
        vm = self.rng.choice(tuple(self.world.vms.values()))
        await self.stop_under_orders(vm, _LEAD_S)


class StopsOverlapping(_StopsUnderOrders):
    """Several entry VMs stop under orders, each while the one before it stops."""

    async def _inject(self) -> None:
        await self.add_orders()
        async with asyncio.TaskGroup() as group:
            for vm in self.some_vms(2):
                in_s = _LEAD_S + self.rng.uniform(0.0, _OVERLAP_S)
                group.create_task(self.stop_under_orders(vm, in_s))


class StopsInSeries(_StopsUnderOrders):
    """Entry VMs stop one after the other and again once they run, with SIGHUP in between."""

    async def _inject(self) -> None:
        await self.add_orders()
        end = self.world.loop.time() + _SERIES_S
        async with asyncio.TaskGroup() as group:
            while (left_s := end - self.world.loop.time()) > 0:
                vm = self.rng.choice(tuple(self.world.vms.values()))
                if vm.name in self.world.keeper.ready:
                    self.world.keeper.signal(vm, signal.SIGHUP)
                    in_s = self.rng.uniform(0.0, min(left_s, _SERIES_PAUSE_S[1]))
                    group.create_task(self.stop_under_orders(vm, in_s))
                await asyncio.sleep(self.rng.uniform(*_SERIES_PAUSE_S))
