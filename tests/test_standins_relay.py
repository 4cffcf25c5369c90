"""Tests of the relay's faults on real connections: freeze, reset, cut and mend."""

import asyncio
import contextlib
import unittest

from standins.relay import Relay


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """A server that echoes lines, reached through a relay."""

    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(self._echo, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        target = self.server.sockets[0].getsockname()[1]
        probe = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        self.relay = Relay(port, target)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)
        self.received: list[bytes] = []
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(self.writer.close)

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self.received.append(line)
                writer.write(line)
        writer.close()

    async def _echoed(self) -> bytes:
        """Send a line and return its echo, or nothing if none arrives within 0.3 s."""
        self.writer.write(b"line\n")
        try:
            async with asyncio.timeout(0.3):
                return await self.reader.readline()
        except TimeoutError:
            return b""

    async def test_bytes_pass_both_ways(self) -> None:
        self.assertEqual(await self._echoed(), b"line\n")

    async def test_a_frozen_relay_holds_bytes_until_it_thaws(self) -> None:
        self.relay.freeze()
        self.assertEqual((await self._echoed(), self.received), (b"", []))
        self.relay.thaw()
        async with asyncio.timeout(5):
            self.assertEqual(await self.reader.readline(), b"line\n")

    async def test_one_way_frozen_lets_the_other_way_pass(self) -> None:
        await self._echoed()
        self.relay.freeze(to_target=False)
        self.assertEqual((await self._echoed(), len(self.received)), (b"", 2))

    async def test_a_reset_is_no_orderly_end(self) -> None:
        await self._echoed()
        self.relay.reset()
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(5):
                await self.reader.read()

    async def test_a_cut_relay_refuses_until_it_is_mended(self) -> None:
        self.relay.cut()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.relay.port)
        async with asyncio.timeout(5):
            self.assertEqual(await reader.read(), b"")
        writer.close()
        self.relay.mend()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.relay.port)
        self.addCleanup(self.writer.close)
        self.assertEqual(await self._echoed(), b"line\n")


if __name__ == "__main__":
    unittest.main()
