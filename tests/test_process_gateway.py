"""The platform's gateway program as a real process: requests, signals, operators, peers."""

import asyncio
import contextlib
import json
import signal
import socket
import sys
from pathlib import Path

from standins.consortium_store import Fault

from .gateway_process import CONFIGURATION, HOST, ROOT, GatewayCase

_LARGE_BYTES = 8_000_000
_READ_DELAY_S = 3.9
"""Delay before a slow caller reads, in seconds.

It is longer than a stop without open connections takes, and shorter than the grace period.
"""


class Requests(GatewayCase):
    async def test_requests_pass_unchanged_and_lines_tell_of_them(self) -> None:
        vm = self.vms[0]
        status, body, headers = await self.ask(vm, "/rates/a%20b/?q=1&r", "q1")
        self.assertEqual((status, body), (200, b"the whole answer"))
        self.assertEqual(headers["x-request-id"], "q1")
        self.assertIn("x-response-signature", headers)
        data = b"x" * 300_000
        status, _, _ = await self.ask(vm, "/book/1", "q2", "POST", data=data)
        self.assertEqual(status, 200)
        runs = {r.request_id: r for b in self.backends for r in b.runs}
        self.assertEqual(runs["q1"].target, "/rates/a%20b/?q=1&r")
        self.assertEqual(runs["q1"].headers["cookie"], "X-Affinity-Key=7")
        self.assertEqual(runs["q2"].body, data)
        self.assertEqual((await self.ask(vm, "/nowhere/", "q3"))[0], 404)
        too_large = await self.ask(vm, "/book/1", "q4", "POST", data=b"x" * ((1 << 20) + 1))
        self.assertEqual((too_large[0], self.runs("q4")), (413, 0))
        await self._lines_and_metrics()

    async def _lines_and_metrics(self) -> None:
        vm = self.vms[0]
        lines_by_id = {line["id"]: line for line in vm.lines if line["event"] == "request"}
        self.assertEqual(lines_by_id["q1"]["outcome"], "answered")
        self.assertEqual(lines_by_id["q3"]["outcome"], "no-route")
        self.assertEqual(lines_by_id["q1"]["sends"][0][1], "answered")
        async with self.session.get(f"http://{vm.ip}:9464/metrics") as response:
            text = await response.text()
        self.assertIn("requests_answered 2", text)
        self.assertIn("configuration_version 3", text)

    async def test_a_stop_cuts_nothing_off(self) -> None:
        vm = self.vms[0]
        for backend in self.backends:
            backend.work_s = 1.5
        work = asyncio.create_task(self.ask(vm, "/book/1", "slow", "POST", data=b"x"))
        await self.until(self._running, "the request to run")
        vm.signal(signal.SIGTERM)
        await self.until(lambda: self._unready(vm), "the VM to be unready")
        status, _, headers = await self.ask(vm, "/rates/late", "late")
        self.assertEqual((status, headers.get("connection")), (200, "close"))
        self.assertEqual((await work)[0], 200)
        self.assertEqual(await vm.ended(), 0)
        self.assertEqual([line["event"] for line in vm.lines][-1], "stop")

    async def test_a_stop_waits_for_a_caller_that_reads_slowly(self) -> None:
        vm = self.vms[0]
        for backend in self.backends:
            backend.answer_bytes = b"x" * _LARGE_BYTES
        reader, writer = await self._open_slow_reader(vm)
        self.addCleanup(writer.close)
        writer.write(
            f"GET /rates/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: slow\r\n\r\n".encode()
        )
        await self.until(self._running, "the request to run")
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(_READ_DELAY_S)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200"))
        self.assertEqual(len(await reader.readexactly(_LARGE_BYTES)), _LARGE_BYTES)
        self.assertEqual(await vm.ended(), 0)

    async def _open_slow_reader(self, vm) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = vm.addresses["Front"].split(":")
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        client_socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client_socket, (host, int(port)))
        return await asyncio.open_connection(sock=client_socket, limit=65_536)

    async def _running(self) -> bool:
        return self.runs("slow") == 1

    async def _unready(self, vm) -> bool:
        return not await self.ready(vm)

    async def test_requests_cancelled_by_a_stop_get_a_final_answer(self) -> None:
        vm = self.vms[0]
        for backend in self.backends:
            backend.work_s = 30.0
        work = asyncio.create_task(self.ask(vm, "/held/1", "slow", "POST", data=b"x"))
        await self.until(self._running, "the request to run")
        vm.signal(signal.SIGTERM)
        reader, writer = await self._send_incomplete_request(vm)
        self.addCleanup(writer.close)
        status, _, _ = await work
        self.assertEqual(status, 502)
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        self.assertTrue(head.startswith(b"http/1.1 503"), head)
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(await vm.ended(), 0)

    async def _send_incomplete_request(
        self, vm
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send the head of a request and a part of its body."""
        host, port = vm.addresses["Front"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /book/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: half\r\n"
        writer.write(f"{head}content-length: 100\r\n\r\nhalf".encode())
        return reader, writer

    async def test_repeated_stop_signals_until_the_end_change_nothing(self) -> None:
        vm = self.vms[0]
        ending = asyncio.create_task(vm.ended())
        while not ending.done():
            with contextlib.suppress(ProcessLookupError):
                vm.signal(signal.SIGTERM)
            await asyncio.sleep(0.002)
        self.assertEqual(await ending, 0)

    async def test_a_caller_that_leaves_ends_the_run(self) -> None:
        for backend in self.backends:
            backend.work_s = 20.0
        work = asyncio.create_task(self.ask(self.vms[0], "/rates/x", "slow"))
        await self.until(self._running, "the request to run")
        work.cancel()
        await self.until(self._cancelled, "the run to be cancelled")

    async def _cancelled(self) -> bool:
        return sum(backend.cancelled for backend in self.backends) == 1

    async def test_settings_are_reloaded_with_and_without_a_signal(self) -> None:
        vm = self.vms[0]
        valid = vm.settings.read_text()
        vm.signal(signal.SIGHUP)
        await self.until(lambda: self._reloaded(vm, "unchanged"), "the first reload")
        vm.settings.write_text(valid.replace('"BudgetSlack": 60', '"BudgetSlack": 30'))
        await self.until(lambda: self._reloaded(vm, "taken"), "the change without a signal")
        vm.settings.write_text("{")
        vm.signal(signal.SIGHUP)
        await self.until(lambda: self._reloaded(vm, "refused"), "the refusal")
        self.assertEqual((await self.ask(vm, "/rates/x", "q"))[0], 200)

    async def _reloaded(self, vm, outcome: str) -> bool:
        return any(line.get("outcome") == outcome for line in vm.lines if line["event"] == "reload")

    async def test_incomplete_headers_time_out(self) -> None:
        host, port = self.vms[0].addresses["Front"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(b"GET /rates/x HTTP/1.1\r\nhost: ")
        async with asyncio.timeout(20):
            self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 408"))


class Operators(GatewayCase):
    async def _run(self, *arguments: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def test_a_policy_is_loaded_and_the_command_line_shows_it_in_force(self) -> None:
        vm = self.vms[0]
        await self.ask(vm, "/rates/x", "q")
        program = Path(self.folder.name) / "mine.txt"
        program.write_text("def shares(snapshot):\n    return {'east': 1}\n")
        store = f"--store={self.store_address}"
        for arguments in (("load", "mine", str(program)), ("use", "rates", "mine")):
            status, output = await self._run("platform/operate.py", *arguments, store)
            self.assertEqual(status, 0, output)

        async def in_force() -> bool:
            _, output = await self._run(
                "-m", "sprucewinch.cli", "machine", f"{vm.ip}:9464", "--json"
            )
            return '"policy": "mine"' in output

        await self.until(in_force, "the policy to be in force")

    async def test_a_faulty_program_is_refused_with_its_fault(self) -> None:
        program = Path(self.folder.name) / "faulty.txt"
        program.write_text("import os\n")
        store = f"--store={self.store_address}"
        status, output = await self._run(
            "platform/operate.py", "load", "faulty", str(program), store
        )
        self.assertEqual(status, 2)
        self.assertIn("faulty", output)


class Peers(GatewayCase):
    vm_count = 3

    async def test_the_directory_lists_the_vms_that_accept_callers(self) -> None:
        first, second, third = self.vms
        all_addresses = {vm.addresses["Front"] for vm in self.vms}
        await self.until(lambda: self._lists(first, all_addresses), "all VMs to be listed")
        third.signal(signal.SIGKILL)
        remaining = all_addresses - {third.addresses["Front"]}
        await self.until(lambda: self._lists(first, remaining), "the killed VM to be dropped")
        second.signal(signal.SIGTERM)
        await self.until(
            lambda: self._lists(first, {first.addresses["Front"]}), "the stopping VM to be dropped"
        )

    async def _lists(self, vm, addresses: set[str]) -> bool:
        return await self.directory_addresses(vm) == addresses

    async def test_a_vm_that_starts_while_the_store_is_down_answers_503(self) -> None:
        vm = self.vms[0]
        await vm.kill()
        self.store.fault = Fault.BUSY
        await vm.start()

        async def answers() -> bool:
            try:
                return (await self.ask(vm, "/rates/x", "early"))[0] == 503
            except OSError:
                return False

        await self.until(answers, "the VM to answer 503")
        self.store.fault = Fault.NONE
        self.store.put("op/config", json.dumps({**CONFIGURATION, "Version": "r9"}).encode())
        await self.until(lambda: self.ready(vm), "the VM to be ready")
