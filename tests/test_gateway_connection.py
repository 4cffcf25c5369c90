"""Strict response framing, and why no HTTP client library is used towards backend servers."""

import asyncio
import socket
import time
import unittest

import aiohttp

from sprucewinch.net.connection import ConnectFailedError, ExchangeFailedError, connect
from standins.resets import reset

_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


class ResetAnswers(unittest.IsolatedAsyncioTestCase):
    """A server that resets its connection in the middle of an answer without a content-length."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.addCleanup(self.server.close)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of th")
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer.transport)

    async def test_an_answer_cut_by_a_reset_is_an_error(self) -> None:
        connection = await connect(self.address, 5.0)
        with self.assertRaises(ExchangeFailedError):
            await connection.exchange(_REQUEST)

    async def test_the_client_library_accepts_it_as_whole(self) -> None:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.address}/") as response,
        ):
            self.assertEqual(await response.read(), b"half of th")


class OwnPauses(unittest.IsolatedAsyncioTestCase):
    """The VM's own process stalls while a connection is established."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(self._hold, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.addCleanup(self.server.close)

    async def _hold(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def test_a_server_that_accepted_the_connection_is_not_unreachable(self) -> None:
        opening = asyncio.ensure_future(connect(self.address, 0.2))
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_soon(time.sleep, 0.4)
        connection = await opening
        self.assertTrue(connection.alive)
        connection.close()
        await asyncio.sleep(0.05)

    async def test_connecting_to_an_address_that_does_not_answer_times_out(self) -> None:
        full = socket.socket()
        self.addCleanup(full.close)
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = f"127.0.0.1:{full.getsockname()[1]}"
        held = []
        began = asyncio.get_running_loop().time()
        with self.assertRaises(ConnectFailedError):
            for _ in range(5):
                held.append(await connect(address, 0.2))
        self.assertLess(asyncio.get_running_loop().time() - began, 2.0)
        for connection in held:
            connection.close()


if __name__ == "__main__":
    unittest.main()
