"""Memory of a real process while it sends a long body to a backend server that reads slowly."""

import asyncio
import json
from typing import Any

from .gateway_process import CONFIGURATION, HOST, GatewayCase
from .process_memory import ProcessMemory

_UPLOAD_BYTES = 49_000_000
"""Length of the body, which fits the quarter of a 200 MB process that bodies may use."""

_MAX_GROWTH_BYTES = 100_000_000
"""Bound of the target: a process of 200 MB that has 40 MB at rest stays far below its memory; two
copies of the body would not."""

_MEMORY_MB = 200
_READ_BYTES = 1 << 20
_PAUSE_S = 0.01
_CHUNK_BYTES = 65_536


class _SlowReader:
    """A backend server that reads bodies slowly, and counts what it has read."""

    server_id = "i-slow"

    def __init__(self) -> None:
        self.read_bytes = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, EOFError):
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        left = int(head.partition("content-length: ")[2].partition("\r\n")[0] or 0)
        while left:
            piece = await reader.read(min(left, _READ_BYTES))
            if not piece:
                raise EOFError
            left -= len(piece)
            self.read_bytes += len(piece)
            await asyncio.sleep(_PAUSE_S)
        request_id = head.partition("x-request-id: ")[2].partition("\r\n")[0]
        headers = f"x-request-id: {request_id}\r\nx-response-signature: {self.server_id}.1"
        writer.write(f"HTTP/1.1 200 OK\r\n{headers}\r\ncontent-length: 2\r\n\r\nok".encode())


class LongUploads(GatewayCase):
    servers = 0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        vm = self.vms[0]
        await vm.kill()
        vm.table["Limits"]["MemoryMb"] = _MEMORY_MB
        vm.lay_settings(vm.table)
        limits = {**CONFIGURATION["Limits"], "MaxBodyBytes": 1 << 26}
        table: dict[str, Any] = {**CONFIGURATION, "Version": "r9", "Limits": limits}
        self.store.put("op/config", json.dumps(table).encode())
        self.slow = _SlowReader()
        listener = await asyncio.start_server(self.slow.serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        await self._list(self.slow, f"127.0.0.1:{port}")  # type: ignore[arg-type]
        await vm.start()
        await self.until(lambda: self.ready(vm), "the VM to be ready")
        assert vm.process is not None
        self.memory = ProcessMemory(vm.process.pid)

    async def _upload(self, head: str, *, chunked: bool) -> str:
        host, port = self.vms[0].addresses["Front"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"POST /held/1 HTTP/1.1\r\nhost: {HOST}\r\n{head}\r\n\r\n".encode())
        for start in range(0, _UPLOAD_BYTES, _CHUNK_BYTES):
            piece = bytes(min(_CHUNK_BYTES, _UPLOAD_BYTES - start))
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(20.0):
            status = (await reader.readuntil(b"\r\n")).decode()
        writer.close()
        return status

    async def test_a_body_with_a_length_is_held_once(self) -> None:
        # Guards against an upload within the limits that takes the VM over its memory.
        head = f"x-request-id: u1\r\ncontent-length: {_UPLOAD_BYTES}"
        self.assertIn(" 200 ", await self._upload(head, chunked=False))
        self.assertEqual(self.slow.read_bytes, _UPLOAD_BYTES)
        self.assertLess(self.memory.growth(), _MAX_GROWTH_BYTES)

    async def test_a_body_in_chunks_is_held_once(self) -> None:
        # Guards against the same where no length is stated.
        head = "x-request-id: u1\r\ntransfer-encoding: chunked"
        self.assertIn(" 200 ", await self._upload(head, chunked=True))
        self.assertEqual(self.slow.read_bytes, _UPLOAD_BYTES)
        self.assertLess(self.memory.growth(), _MAX_GROWTH_BYTES)
