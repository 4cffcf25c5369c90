"""Callers whose uploads are refused, stand still, or offer an upgrade of the protocol.

Owns one class for each kind. Each looks at what follows on the connection: the next request of a
kept connection is an attempt like any other, which `promises` judges. Relies on `connection` for
the bytes on a connection.
"""

import asyncio
from collections.abc import Callable

from tools.entry_vm import EntryVm

from ..callers import REQUEST_TIMEOUT_S, headers_of
from ..configuration import BOOK, RATES
from ..connection import CallerConnection, Received
from ..ledger import Attempt, End
from .callers import CallerTrouble

_GONE = "gone"
"""First part of the path of a route that is never there."""

_UPLOAD_BYTES = (1, 20_000, 70_000, 300_000)
"""Sizes of uploads, in bytes; the largest one is more than is read at once."""

_CHUNK_BYTES = 8_000
"""Size of the chunks of an upload without a length, in bytes."""

_CONNECTIONS = 4
"""Connections that are kept at once."""

_SENDS_S = 4.0
"""Seconds for which callers send in addition to the duration of the trouble."""

_MAX_PAUSE_S = 0.3
"""Longest pause in seconds between two parts of an upload, or two requests."""

_STALLED = (40, 120)
"""Range of the uploads to one entry VM that stand still."""

_STALLED_BYTES = 800_000
"""What each of these sends before it stands still, in bytes: together more than a VM may use."""

_OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAAP__",
}
"""Headers that offer to go on in HTTP/2, which a server may ignore (RFC 9110, 7.8)."""

_SMUGGLED = "smuggled-"
"""Start of the ids in bodies that have the form of a request."""


class Uploads(CallerTrouble):
    """Callers that send uploads on connections that they keep."""

    prefix = "p"

    async def _inject(self) -> None:
        end = self.world.loop.time() + _SENDS_S + self.for_s
        async with asyncio.TaskGroup() as group:
            for _ in range(_CONNECTIONS):
                group.create_task(self._send_until(end))

    async def _send_until(self, end: float) -> None:
        while self.world.loop.time() < end:
            vm = self.rng.choice(tuple(self.world.vms))
            try:
                connection = await CallerConnection.open(self.world.vms[vm].addresses["Front"])
            except OSError:
                # The VM may be down, so another one is tried.
                await asyncio.sleep(_MAX_PAUSE_S)
                continue
            try:
                while self.world.loop.time() < end and await self._use(connection, vm):
                    await asyncio.sleep(self.rng.uniform(0.0, _MAX_PAUSE_S))
            finally:
                connection.close()

    async def _use(self, connection: CallerConnection, vm: str) -> bool:
        """Send something on a connection; return whether it goes on."""
        raise NotImplementedError

    async def _ask(self, connection: CallerConnection, attempt: Attempt, data: bytes) -> bool:
        """Send a request, and record how it ended; return whether the connection goes on."""
        self.world.ledger.attempts.append(attempt)
        connection.send(data)
        received = await self._receive(connection, lambda end: _set_end(attempt, end))
        attempt.ended_at = self.world.loop.time()
        if received is None:
            return False
        self.judge(attempt, received)
        return self._goes_on(connection, received, attempt.vm)

    async def _receive(
        self, connection: CallerConnection, on_end: Callable[[End], None]
    ) -> Received | None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                received = await connection.receive()
        except TimeoutError:
            on_end(End.LATE)
            return None
        if received is None:
            on_end(End.CLOSED)
        return received

    def _goes_on(self, connection: CallerConnection, received: Received, vm: str) -> bool:
        surplus = connection.surplus()
        if surplus:
            self.world.ledger.record_broken("MIXED", f"{vm} sent more than answers: {surplus}")
        return not received.closes and not surplus


class RefusedUploads(Uploads):
    """Uploads to a route that is not there, each with a request behind it on its connection."""

    async def _use(self, connection: CallerConnection, vm: str) -> bool:
        upload = self.new_attempt(vm, _GONE)
        headers, body = headers_of(upload, self.rng), b"x" * self.rng.choice(_UPLOAD_BYTES)
        data = upload_bytes(upload, headers, body, chunked=self.rng.choice((True, False)))
        cut = self.rng.choice((len(data), self.rng.randrange(len(data))))
        connection.send(data[:cut])
        received = await self._receive(connection, _ignore) if cut == len(data) else None
        if cut < len(data):
            await asyncio.sleep(self.rng.uniform(0.0, _MAX_PAUSE_S))
            connection.send(data[cut:])
            received = await self._receive(connection, _ignore)
        if received is None or not self._goes_on(connection, received, vm):
            return False
        attempt = self.new_attempt(vm, RATES)
        return await self._ask(connection, attempt, self.request_of(attempt))


class UpgradeOffers(Uploads):
    """Bookings that offer an upgrade, whose bodies have the form of a request."""

    async def _inject(self) -> None:
        self.bodies: dict[str, bytes] = {}
        await super()._inject()
        for server in self.world.backends.all_servers():
            for run in server.stand_in.runs:
                if run.request_id.startswith(_SMUGGLED):
                    self._unasked(f"{run.request_id} ran, which nobody sent")
                elif run.body != self.bodies.get(run.request_id, run.body):
                    self._unasked(f"{run.request_id} ran with another body")

    def _unasked(self, what: str) -> None:
        self.world.ledger.record_broken("UNASKED", what)

    async def _use(self, connection: CallerConnection, vm: str) -> bool:
        attempt = self.new_attempt(vm, BOOK)
        headers = headers_of(attempt, self.rng)
        inner = {**headers, "X-Request-Id": f"{_SMUGGLED}{attempt.request_id}"}
        body = self.request_of(attempt).split(b"\r\n")[0] + b"\r\n" + _lines(inner) + b"\r\n"
        self.bodies[attempt.request_id] = body
        chunked = self.rng.choice((True, False))
        data = upload_bytes(attempt, {**headers, **_OFFER}, body, chunked=chunked)
        return await self._ask(connection, attempt, data)


class StalledUploads(CallerTrouble):
    """Uploads to one entry VM that send a part of their body and then nothing."""

    prefix = "q"

    async def _inject(self) -> None:
        vm = self.world.vms[self.rng.choice(tuple(self.world.vms))]
        end = self.world.loop.time() + _SENDS_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch_memory(vm, end))
            for _ in range(self.rng.randint(*_STALLED)):
                group.create_task(self._stall(vm, end))

    async def _stall(self, vm: EntryVm, end: float) -> None:
        attempt = self.new_attempt(vm.name, BOOK)
        try:
            connection = await CallerConnection.open(vm.addresses["Front"])
        except OSError:
            return  # The VM is down, so nobody fills its memory.
        headers = headers_of(attempt, self.rng)
        whole = upload_bytes(attempt, headers, b"x" * (_STALLED_BYTES + 1), chunked=False)
        try:
            connection.send(whole[:-1])
            await asyncio.sleep(max(0.0, end - self.world.loop.time()))
        finally:
            connection.close()


def upload_bytes(attempt: Attempt, headers: dict[str, str], body: bytes, *, chunked: bool) -> bytes:
    """Return the bytes of a POST request, with a length or in chunks."""
    framing = {"Transfer-Encoding": "chunked"} if chunked else {"Content-Length": str(len(body))}
    first = f"POST /{attempt.route}/{attempt.request_id} HTTP/1.1\r\n".encode()
    head = first + _lines({**headers, **framing}) + b"\r\n"
    if not chunked:
        return head + body
    pieces = [body[at : at + _CHUNK_BYTES] for at in range(0, len(body), _CHUNK_BYTES)]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


def _lines(headers: dict[str, str]) -> bytes:
    return "".join(f"{name}: {value}\r\n" for name, value in headers.items()).encode("latin-1")


def _set_end(attempt: Attempt, end: End) -> None:
    attempt.end = end


def _ignore(_end: End) -> None:
    """Do nothing: an upload to a route that is not there is judged by what follows it."""
