"""Requests sent together, and callers that read nothing, at a real process."""

import asyncio
import signal
import socket
from pathlib import Path

from .gateway_process import HOST, GatewayCase

_LARGE_BYTES = 6_000_000
_MANY = 30
_BYTES_PER_KIB = 1024


def _request(request_id: str, path: str, method: str = "GET", body: bytes = b"") -> bytes:
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {request_id}\r\n"
        f"cookie: X-Affinity-Key={request_id}\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _resident_bytes(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    [row] = [line for line in lines if line.startswith("VmRSS")]
    return int(row.split()[1]) * _BYTES_PER_KIB


class Together(GatewayCase):
    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.vms[0].addresses["Front"].split(":")
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        client_socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client_socket, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=client_socket, limit=65_536)
        self.addCleanup(writer.close)
        return reader, writer

    async def _answer(self, reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        """Return head and body of the next answer."""
        async with asyncio.timeout(20):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
            return head, await reader.readexactly(int(length))

    async def _runs(self, *request_ids: str) -> bool:
        return all(self.runs(request_id) for request_id in request_ids)

    async def test_a_stop_answers_all_that_have_begun(self) -> None:
        for backend in self.backends:
            backend.work_s = 0.9
            backend.answer_of = lambda run: run.request_id.encode()
        reader, writer = await self._connect()
        ids = [f"q{number}" for number in range(5)]
        writer.write(b"".join(_request(request_id, "/rates/a") for request_id in ids))
        writer.write(_request("once", "/book/a", "POST", b"x"))
        await self.until(lambda: self._runs(*ids), "the requests to run")
        self.assertEqual(self.runs("once"), 0)
        self.vms[0].signal(signal.SIGTERM)
        answers = [await self._answer(reader) for _ in range(6)]
        self.assertEqual([body.decode() for _, body in answers], [*ids, "once"])
        closes = [b"\r\nconnection: close" in head for head, _ in answers]
        self.assertEqual(closes, [False] * 5 + [True])
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.runs("once"), 1)
        self.assertEqual(await self.vms[0].ended(), 0)

    async def test_a_stop_ends_although_a_caller_reads_nothing(self) -> None:
        for backend in self.backends:
            backend.answer_bytes = b"x" * _LARGE_BYTES
        _, writer = await self._connect()
        writer.transport.pause_reading()
        ids = [f"q{number}" for number in range(3)]
        writer.write(b"".join(_request(request_id, "/rates/a") for request_id in ids))
        await self.until(lambda: self._runs(*ids), "the requests to run")
        self.vms[0].signal(signal.SIGTERM)
        self.assertEqual(await self.vms[0].ended(), 0)
        self.assertEqual(self.vms[0].lines[-1]["event"], "stop")

    async def test_callers_that_read_nothing_are_closed_and_others_served(self) -> None:
        vm = self.vms[0]
        large = b"x" * _LARGE_BYTES
        for backend in self.backends:
            backend.answer_of = lambda run: large if "large" in run.target else b"small"
        assert vm.process is not None
        before = _resident_bytes(vm.process.pid)
        for number in range(_MANY):
            _, writer = await self._connect()
            writer.transport.pause_reading()
            writer.write(_request(f"large{number}", "/rates/large"))
            await self.until(lambda n=number: self._runs(f"large{n}"), "the request to run")

        async def closed() -> bool:
            status, _, _ = await self.ask(vm, "/rates/small", "small")
            self.assertEqual(status, 200)
            return any(line["event"] == "caller-reads-nothing" for line in vm.lines)

        await self.until(closed, "callers that read nothing to be closed")
        [budget] = {line["budget_bytes"] for line in vm.lines if "budget_bytes" in line}
        grown = _resident_bytes(vm.process.pid) - before
        self.assertLess(grown, 1.3 * budget)
        async with self.session.get(f"http://{vm.ip}:9464/metrics") as response:
            self.assertIn("connections_closed_unread ", await response.text())
