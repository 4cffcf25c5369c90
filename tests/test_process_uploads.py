"""Open files and memory of a real process beside callers that are refused, leave or stall."""

import asyncio
import json
import os
from pathlib import Path

from sprucewinch.gateway.requests.callers.body_admission import MIN_STALL_S

from .gateway_process import CONFIGURATION, HOST, GatewayCase

IDLE_S = 3.0
CALLERS = 1000
AT_ONCE = 100
SILENT = 400
"""Callers that stay: the process accepts connections on half of its 1,024 descriptors."""

STALLED = 300
UPLOAD_BYTES = 300_000
_BYTES_PER_KIB = 1024
_MAX_GROWTH_BYTES = 60_000_000
_MAX_MORE_FILES = 10
_SETTLED_S = 15.0


def _request(request_id: str, path: str, body_bytes: int) -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {request_id}\r\n"
        f"content-length: {body_bytes}\r\n\r\n"
    )
    return head.encode() + b"x" * body_bytes


class Uploads(GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1 << 20,
            "HeaderTimeout": "2s",
            "IdleTimeout": f"{IDLE_S:g}s",
        }
        table = {**CONFIGURATION, "Version": "r9", "Limits": limits}
        self.store.put("op/config", json.dumps(table).encode())

        async def in_force() -> bool:
            return "configuration_version 9\n" in await self._metrics()

        await self.until(in_force, "the limits to be in force")
        assert self.vms[0].process is not None
        self.pid = self.vms[0].process.pid
        self.files_before = self._open_files()
        self.bytes_before = self._resident_bytes()

    def _open_files(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def _resident_bytes(self) -> int:
        lines = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii").splitlines()
        [row] = [line for line in lines if line.startswith("VmRSS")]
        return int(row.split()[1]) * _BYTES_PER_KIB

    def _peak_growth_bytes(self) -> int:
        lines = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii").splitlines()
        [row] = [line for line in lines if line.startswith("VmHWM")]
        return int(row.split()[1]) * _BYTES_PER_KIB - self.bytes_before

    async def _metrics(self) -> str:
        async with self.session.get(f"http://{self.vms[0].ip}:9464/metrics") as response:
            return await response.text()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.vms[0].addresses["Front"].split(":")
        return await asyncio.open_connection(host, int(port))

    async def _refused(self, number: int) -> asyncio.StreamWriter:
        """Upload to a route that is not there, and return the connection after the 404."""
        reader, writer = await self._connect()
        writer.write(_request(f"refused{number}", "/gone/1", UPLOAD_BYTES))
        async with asyncio.timeout(20):
            self.assertIn(b" 404 ", await reader.readuntil(b"\r\n"))
        return writer

    async def _files_as_before(self) -> None:
        async def closed() -> bool:
            return self._open_files() <= self.files_before + _MAX_MORE_FILES

        async with asyncio.timeout(_SETTLED_S):
            await self.until(closed, "the connections to end")
        self.assertLess(self._resident_bytes() - self.bytes_before, _MAX_GROWTH_BYTES)

    async def test_callers_that_are_refused_and_leave_cost_no_file_and_no_memory(self) -> None:
        # Guards against connections of refused callers that stay open for good.
        for start in range(0, CALLERS, AT_ONCE):
            numbers = range(start, start + AT_ONCE)
            for writer in await asyncio.gather(*(self._refused(number) for number in numbers)):
                writer.close()
        await self._files_as_before()

    async def test_callers_that_are_refused_and_stay_silent_are_ended(self) -> None:
        writers: list[asyncio.StreamWriter] = []
        for start in range(0, SILENT, AT_ONCE):
            numbers = range(start, start + AT_ONCE)
            writers += await asyncio.gather(*(self._refused(number) for number in numbers))
        await self._files_as_before()
        for writer in writers:
            writer.close()

    async def test_stalled_uploads_take_little_memory_and_others_are_served(self) -> None:
        # Guards against stalled uploads that use up the memory of the process.
        async def stall(number: int) -> asyncio.StreamWriter:
            _, writer = await self._connect()
            writer.write(_request(f"stalled{number}", "/book/1", 900_000)[:-100_000])
            return writer

        writers = [await stall(number) for number in range(STALLED)]
        await asyncio.sleep(2 * MIN_STALL_S)
        for number in range(15):
            status, _, _ = await self.ask(
                self.vms[0], "/book/2", f"honest{number}", method="POST", data=b"x" * UPLOAD_BYTES
            )
            self.assertEqual(status, 200)
            await asyncio.sleep(0.1)
        self.assertLess(self._peak_growth_bytes(), _MAX_GROWTH_BYTES)
        await self._files_as_before()
        for writer in writers:
            writer.close()
