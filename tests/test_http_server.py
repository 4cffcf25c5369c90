"""Listeners refuse connections, requests and headers beyond their limits."""

import asyncio
import unittest

from sprucewinch.errors import SettingsError
from sprucewinch.hall.peers.peer_listener import PeerListener
from sprucewinch.net.http_server import ListenerLimits, bind, make_listener
from tools.ports import free_ports

MANY = 1000
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


class Listeners(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        [self.port] = free_ports(1)
        self.go_on = asyncio.Event()

    async def app(self, scope, receive, send) -> None:
        await self.go_on.wait()
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async def start(self, limits: ListenerLimits) -> None:
        server = make_listener(self.app, limits)
        sock = bind("caller_address", f"127.0.0.1:{self.port}")
        serving = asyncio.create_task(server.serve(sockets=[sock]))

        async def stop() -> None:
            self.go_on.set()
            server.should_exit = True
            await serving

        self.addAsyncCleanup(stop)
        while not server.started:
            await asyncio.sleep(0.01)

    async def connect(self, data: bytes = b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        await writer.drain()
        return reader

    async def refused(self, reader, status: bytes, reason: bytes) -> None:
        async with asyncio.timeout(10):
            answer = await reader.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
        self.assertIn(b'"reason":"' + reason + b'"', answer)
        self.assertIn(b'"outcome":"unknown"', answer)

    async def test_connection_beyond_the_limit(self) -> None:
        await self.start(ListenerLimits(MANY, connections=2, requests=MANY))
        for _ in range(2):
            await self.connect()
        await self.refused(await self.connect(REQUEST), b"503", b"overloaded-vm")

    async def test_request_beyond_the_limit(self) -> None:
        await self.start(ListenerLimits(MANY, connections=MANY, requests=2))
        first = [await self.connect(REQUEST) for _ in range(2)]
        await self.refused(await self.connect(REQUEST), b"503", b"overloaded-vm")
        self.go_on.set()
        for reader in first:
            self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 204"))

    async def test_headers_beyond_the_limit(self) -> None:
        await self.start(ListenerLimits(header_bytes=1000, connections=MANY, requests=MANY))
        long = b"GET / HTTP/1.1\r\nx: " + b"y" * 2000 + b"\r\n\r\n"
        await self.refused(await self.connect(long), b"431", b"malformed")

    async def test_headers_beyond_a_limit_that_changed(self) -> None:
        limits = ListenerLimits(header_bytes=5000, connections=MANY, requests=MANY)
        await self.start(limits)
        limits.change(header_bytes=1000, header_s=None)
        long = b"GET / HTTP/1.1\r\nx: " + b"y" * 2000 + b"\r\n\r\n"
        await self.refused(await self.connect(long), b"431", b"malformed")

    async def test_headers_later_than_a_limit_that_changed(self) -> None:
        limits = ListenerLimits(MANY, connections=MANY, requests=MANY)
        await self.start(limits)
        limits.change(header_bytes=MANY, header_s=0.05)
        await self.refused(await self.connect(b"GET / HTTP/1.1\r\nx: "), b"408", b"malformed")

    async def test_address_in_use_names_its_key(self) -> None:
        taken = bind("caller_address", f"127.0.0.1:{self.port}")
        self.addCleanup(taken.close)
        taken.listen()
        with self.assertRaises(SettingsError) as caught:
            bind("caller_address", f"127.0.0.1:{self.port}")
        self.assertIn("caller_address", str(caught.exception))

    async def test_peer_connection_beyond_the_limit_is_closed(self) -> None:
        class Nothing:
            def __mapping__(self) -> dict:
                return {}

        listener = PeerListener(Nothing(), connections=1)
        await listener.start(sock=bind("peer_address", f"127.0.0.1:{self.port}"))
        self.addCleanup(listener.close)
        first = await self.connect()
        async with asyncio.timeout(10):
            self.assertNotEqual(await first.read(9), b"")
            self.assertEqual(await (await self.connect()).read(), b"")
