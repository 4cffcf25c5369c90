"""A request that is answered before its body is whole, and what follows on its connection."""

import asyncio
import contextlib
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.net._inbound import LINGER_S, LINGER_SILENCE_S, ReadState
from sprucewinch.net.connection_counts import ConnectionCounts
from sprucewinch.net.http_server import bind, make_listener
from sprucewinch.net.listener_limits import ListenerLimits
from standins.virtual import pass_time, run_virtual
from tools.ports import free_ports

from .pipelined_app import OneConnection, get, post, settle

IDLE_S = 3.0
BODY_BYTES = 1_000_000
LONG = 300_000
READ_BYTES = 262_144
"""Bytes that the loop reads at once, which is more than the body of one pause."""


class RefusingApp:
    """Answers requests to `/refused` by their head with 404, others once their body is whole."""

    def __init__(self) -> None:
        self.bodies: list[tuple[str, bytes]] = []
        self.left: list[str] = []
        self.taking = asyncio.Event()
        self.taking.set()

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        path = scope["path"]
        await self.taking.wait()
        if not path.startswith("/refused"):
            body = b""
            more = True
            while more:
                message = await receive()
                if message["type"] == "http.disconnect":
                    self.left.append(path)
                    return
                body += message["body"]
                more = message["more_body"]
            self.bodies.append((path, body))
        status = 404 if path.startswith("/refused") else 200
        headers = [(b"content-length", b"%d" % len(path))]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": path.encode()})


class Counts(ConnectionCounts):
    """Counts in a plain counter."""

    def __init__(self) -> None:
        self.found: Counter[str] = Counter()

    def count_timeout(self, state: ReadState) -> None:
        self.found[state.value] += 1

    def count_long_body(self) -> None:
        self.found["long"] += 1


def limits() -> ListenerLimits:
    """Return the limits of a listener."""
    return ListenerLimits(
        16_384, connections=2000, requests=2000, header_s=2.0, idle_s=IDLE_S, body_bytes=BODY_BYTES
    )


def chunked(path: str, body: bytes, *, size: int = 60_000) -> bytes:
    """Return the bytes of a request whose body comes in chunks."""
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    head = get(path, "transfer-encoding: chunked\r\n", method="POST")
    return head + framed + b"0\r\n\r\n"


def answer(path: str, status: str = "200 OK", *, closes: bool = False) -> bytes:
    """Return the bytes of an answer of the application."""
    close = "connection: close\r\n" if closes else ""
    return f"HTTP/1.1 {status}\r\ncontent-length: {len(path)}\r\n{close}\r\n{path}".encode()


NOT_FOUND = "404 Not Found"
REFUSED = answer("/refused", NOT_FOUND)


class Play:
    """One connection in memory, to which bytes come as the loop reads them."""

    def __init__(self) -> None:
        self.app = RefusingApp()
        self.one = OneConnection(self.app, limits=limits())
        self.counts = Counts()
        self.one.protocol.counts = self.counts

    async def receive(self, *data: bytes, at_once: int = READ_BYTES) -> int:
        """Hand over bytes while the connection reads; return the number of those left."""
        rest = b"".join(data)
        while rest and self.one.transport.reads:
            self.one.receive(rest[:at_once])
            rest = rest[at_once:]
            await settle()
        return len(rest)

    @property
    def state(self) -> ReadState:
        return self.one.protocol.read_state


def play(main: Callable[[Play], Awaitable[None]]) -> None:
    """Run a test on a virtual loop."""

    async def run(_loop: Any) -> None:
        await main(Play())

    run_virtual(run)


class NextRequest(unittest.TestCase):
    def test_the_request_behind_a_refused_upload_is_answered(self) -> None:
        # Guards against a connection that is never read again after a refused upload.
        for name, upload in (("length", post), ("chunks", chunked)):
            for size in (1, 20_000, 70_000, LONG, BODY_BYTES):
                with self.subTest(name, size=size):

                    async def main(play: Play, data: bytes = upload("/refused", b"x" * size)):
                        left = await play.receive(data, post("/next", b"booking"))
                        self.assertEqual(left, 0)
                        self.assertEqual(play.one.written, REFUSED + answer("/next"))
                        self.assertEqual(play.app.bodies, [("/next", b"booking")])
                        self.assertFalse(play.one.protocol.read_paused)

                    play(main)

    def test_the_rest_of_a_body_that_comes_after_its_answer_is_dropped(self) -> None:
        async def main(play: Play) -> None:
            data = post("/refused", b"x" * LONG)
            await play.receive(data[:100_000])
            self.assertEqual((play.one.written, play.state), (REFUSED, ReadState.DISCARDED))
            self.assertEqual(len(play.one.protocol.cycle.body), 0)
            await pass_time(0.4)
            await play.receive(data[100_000:], get("/next"))
            self.assertEqual(play.one.written, REFUSED + answer("/next"))

        play(main)

    def test_refused_uploads_one_after_the_other_and_bookings_behind_them(self) -> None:
        async def main(play: Play) -> None:
            uploads = [post("/refused", b"x" * LONG) for _ in range(5)]
            bookings = [post(f"/book/{number}", b"b%d" % number) for number in range(3)]
            self.assertEqual(await play.receive(*uploads, *bookings), 0)
            expected = REFUSED * 5 + b"".join(answer(f"/book/{number}") for number in range(3))
            self.assertEqual(play.one.written, expected)

        play(main)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(st.booleans(), st.booleans(), st.integers(0, 150_000)),
            min_size=1,
            max_size=5,
        ),
        st.sampled_from((1_000, 50_000, 65_537, 100_000, READ_BYTES)),
    )
    def test_any_mix_of_refused_and_accepted_uploads_is_answered_in_order(
        self, requests: list[tuple[bool, bool, int]], at_once: int
    ) -> None:
        async def main(play: Play) -> None:
            data, written, bodies = b"", b"", []
            for number, (is_refused, in_chunks, size) in enumerate(requests):
                path = f"/refused/{number}" if is_refused else f"/{number}"
                body = b"%d" % number * size
                data += (chunked if in_chunks else post)(path, body)
                written += answer(path, NOT_FOUND if is_refused else "200 OK")
                if not is_refused:
                    bodies.append((path, body))
            self.assertEqual(await play.receive(data, at_once=at_once), 0)
            self.assertEqual((play.one.written, play.app.bodies), (written, bodies))
            self.assertIs(play.state, ReadState.IDLE)

        play(main)


class Closes(unittest.TestCase):
    def test_an_answer_to_a_longer_body_than_is_read_closes_and_is_not_reset(self) -> None:
        async def main(play: Play) -> None:
            await play.receive(post("/refused", b"x" * (BODY_BYTES + 1))[:LONG])
            self.assertEqual(play.one.written, answer("/refused", NOT_FOUND, closes=True))
            self.assertEqual((play.state, play.one.transport.ended), (ReadState.LINGERING, True))
            self.assertEqual(await play.receive(b"x" * LONG), 0)
            self.assertFalse(play.one.transport.closing)
            await pass_time(LINGER_SILENCE_S + 0.1)
            self.assertTrue(play.one.transport.closing)

        play(main)

    def test_a_body_in_chunks_closes_once_more_has_come_than_is_read(self) -> None:
        async def main(play: Play) -> None:
            await play.receive(chunked("/refused", b"x" * (2 * BODY_BYTES)))
            self.assertEqual((play.one.written, play.state), (REFUSED, ReadState.LINGERING))
            self.assertEqual(play.counts.found, {"long": 1})

        play(main)

    def test_a_lingering_connection_ends_although_its_caller_goes_on_sending(self) -> None:
        async def main(play: Play) -> None:
            await play.receive(post("/refused", b"x" * (BODY_BYTES + 1))[:LONG])
            for _ in range(round(LINGER_S / 0.2)):
                self.assertFalse(play.one.transport.closing)
                await play.receive(b"x" * 1000)
                await pass_time(0.2)
            await pass_time(0.1)
            self.assertTrue(play.one.transport.closing)

        play(main)

    def test_a_caller_that_waits_for_continue_may_leave_its_body_out(self) -> None:
        # Guards against taking the next request for the body that was left out.
        async def main(play: Play) -> None:
            head = get("/refused", "expect: 100-continue\r\ncontent-length: 30\r\n", method="POST")
            await play.receive(head)
            self.assertEqual(play.one.written, answer("/refused", NOT_FOUND, closes=True))
            await play.receive(get("/next"))
            self.assertEqual(play.app.bodies, [])

        play(main)


class Stalled(unittest.TestCase):
    def test_a_caller_that_stalls_in_a_refused_body_is_closed(self) -> None:
        # Guards against connections that stay open for good.
        whole = post("/refused", b"x" * LONG)
        in_chunks = chunked("/refused", b"x" * LONG)
        for name, data in (
            ("1 kB", whole[:1000]),
            ("100 kB", whole[:100_000]),
            ("within a chunk", in_chunks[:30_000]),
            ("headers only", whole[:60]),
        ):
            with self.subTest(name):

                async def main(play: Play, data: bytes = data) -> None:
                    await play.receive(data)
                    await pass_time(IDLE_S - 0.1)
                    self.assertFalse(play.one.transport.closing)
                    await pass_time(0.2)
                    self.assertTrue(play.one.transport.closing)
                    self.assertEqual(play.one.written, REFUSED)
                    self.assertEqual(play.counts.found, {"discarded": 1})

                play(main)

    def test_a_caller_that_sends_a_refused_body_without_end_is_closed(self) -> None:
        async def main(play: Play) -> None:
            await play.receive(post("/refused", b"x" * LONG)[:1000])
            for _ in range(int(IDLE_S / 0.5)):
                self.assertFalse(play.one.transport.closing)
                await play.receive(b"x")
                await pass_time(0.5)
            await pass_time(0.1)
            self.assertTrue(play.one.transport.closing)

        play(main)

    def test_a_caller_that_stalls_in_a_body_gets_408(self) -> None:
        # Guards against stalled uploads that are never answered.
        for name, data in (
            ("length", post("/upload", b"x" * LONG)[:100_000]),
            ("chunks", chunked("/upload", b"x" * LONG)[:100_000]),
        ):
            with self.subTest(name):

                async def main(play: Play, data: bytes = data) -> None:
                    await play.receive(data)
                    await pass_time(IDLE_S + 0.1)
                    self.assertTrue(play.one.written.startswith(b"HTTP/1.1 408 "))
                    self.assertEqual(play.app.left, ["/upload"])
                    await pass_time(LINGER_SILENCE_S + 0.1)
                    self.assertTrue(play.one.transport.closing)
                    self.assertEqual(play.counts.found["body"], 1)

                play(main)

    def test_a_slow_upload_that_goes_on_is_served(self) -> None:
        async def main(play: Play) -> None:
            data = post("/upload", b"x" * 50)
            await play.receive(data[:-10])
            for byte in data[-10:]:
                await pass_time(IDLE_S - 0.1)
                await play.receive(bytes([byte]))
            self.assertEqual(play.one.written, answer("/upload"))

        play(main)


class RealSockets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.app = RefusingApp()
        [self.port] = free_ports(1)
        self.server = make_listener(self.app, limits(), max_at_once=16)
        serving = asyncio.create_task(
            self.server.serve(sockets=[bind("caller_address", f"127.0.0.1:{self.port}")])
        )

        async def stop() -> None:
            self.app.taking.set()
            self.server.should_exit = True
            for connection in list(self.server.server_state.connections):
                connection.transport.abort()
            await serving

        self.addAsyncCleanup(stop)
        while not self.server.started:
            await asyncio.sleep(0.01)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def _until_none_is_open(self, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while self.server.server_state.connections:
                await asyncio.sleep(0.02)

    async def test_callers_that_are_refused_and_leave_cost_no_connection(self) -> None:
        # Guards against an end of a connection that nobody sees behind bytes that nobody reads.
        async def one() -> None:
            reader, writer = await self._connect()
            writer.write(post("/refused", b"x" * LONG))
            self.assertEqual(await reader.readexactly(len(REFUSED)), REFUSED)
            writer.close()

        for _ in range(10):
            await asyncio.gather(*(one() for _ in range(20)))
        await self._until_none_is_open(1.0)

    async def test_a_caller_that_sends_all_before_it_reads_gets_its_answer(self) -> None:
        # Guards against an answer that is lost as its connection is closed with unread bytes.
        async def one() -> bytes:
            reader, writer = await self._connect()
            writer.write(post("/refused", b"x" * (4 * BODY_BYTES)))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            return await reader.read()

        expected = answer("/refused", NOT_FOUND, closes=True)
        for _ in range(5):
            self.assertEqual(await asyncio.gather(*(one() for _ in range(8))), [expected] * 8)
        await self._until_none_is_open(LINGER_S)

    async def test_a_caller_that_leaves_a_body_that_nobody_takes_is_noticed(self) -> None:
        # Guards against a pause of reading in which nobody watches for the caller's end.
        self.app.taking.clear()
        _, writer = await self._connect()
        writer.write(post("/upload", b"x" * 100_000)[:-1])
        [connection] = await self._connections()
        while not connection.read_paused:
            await asyncio.sleep(0.01)
        writer.close()
        await self._until_none_is_open(0.5)

    async def _connections(self) -> list[Any]:
        async with asyncio.timeout(5):
            while not self.server.server_state.connections:
                await asyncio.sleep(0.01)
        return list(self.server.server_state.connections)

    async def test_a_stop_ends_connections_that_read_refused_bodies(self) -> None:
        _, writer = await self._connect()
        writer.write(post("/refused", b"x" * LONG)[:100_000])
        await asyncio.sleep(0.2)
        self.server.should_exit = True
        await self._until_none_is_open(LINGER_SILENCE_S + 0.5)
