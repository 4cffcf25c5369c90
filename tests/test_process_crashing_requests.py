"""A request that crashes backend servers: all VMs quarantine it, until an operator releases it.

A VM that starts later refuses it as well. The VMs are real processes with real sockets; the backend
servers are stand-ins in the test's process.
"""

import asyncio
import time
import unittest
from typing import Any

from standins.scripted_server import Run, ScriptedServer

from .gateway_process import GatewayCase

_CRASHING_PATH = "/rates/sick"
_RESTART_DELAY_S = 1.5
"""Time from the crash of a backend server until a new process is listed in its place."""

_MAX_QUARANTINE_DELAY_S = 3.0
"""Time after the third crash by which all VMs must refuse the request."""

_LOAD_DURATION_S = 8.0
_REPORTED_LINES = 40
"""Last lines of each VM that a failure message searches."""


class CrashingRequests(GatewayCase):
    vm_count = 3
    servers = 8

    async def asyncSetUp(self) -> None:
        self.listeners: dict[str, asyncio.Server] = {}
        self.crashed_at: list[float] = []
        self.sent_at: list[float] = []
        self.crash_fixed = False
        self.fingerprint = ""
        self.restart_tasks: set[asyncio.Task] = set()
        await super().asyncSetUp()

    async def _listen(self, accept) -> str:
        server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        owner = getattr(accept, "__self__", None)
        if isinstance(owner, ScriptedServer):
            self.listeners[owner.server_id] = server
            owner.on_run = lambda run: self._run(owner, run)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def _run(self, backend: ScriptedServer, run: Run) -> None:
        if run.target == _CRASHING_PATH and not self.crash_fixed:
            self.sent_at.append(time.monotonic())
            asyncio.get_running_loop().call_later(0.04, self._crash, backend)

    def _crash(self, backend: ScriptedServer) -> None:
        server = self.listeners.pop(backend.server_id, None)
        if server is None:
            return
        self.crashed_at.append(time.monotonic())
        server.close()
        backend.reset()
        self.restart_tasks.add(asyncio.create_task(self._restart(backend.server_id)))

    async def _restart(self, server_id: str) -> None:
        await asyncio.sleep(_RESTART_DELAY_S)
        again = ScriptedServer(asyncio.get_running_loop(), f"{server_id}+")
        self.backends.append(again)
        await self._list(again, await self._listen(again.accept))
        self.store.remove(f"servers/{server_id}")

    async def test_one_is_refused_by_all_vms_and_by_one_that_starts(self) -> None:
        statuses: list[int] = []
        end = time.monotonic() + _LOAD_DURATION_S
        number = 0
        while time.monotonic() < end:
            number += 1
            vm = self.vms[number % len(self.vms)]
            statuses.append((await self.ask(vm, _CRASHING_PATH, f"sick{number}"))[0])
            answer = await self.ask(vm, f"/rates/{number}", f"q{number}")
            self.assertEqual(answer[0], 200, (answer, self._recent_lines(f"q{number}")))
            await asyncio.sleep(0.15)
        sent_late = [at for at in self.sent_at if at > self.crashed_at[2] + _MAX_QUARANTINE_DELAY_S]
        self.assertEqual(sent_late, [])
        self.assertLessEqual(len(self.crashed_at), 6)
        status, body, headers = await self.ask(self.vms[0], _CRASHING_PATH, "last")
        self.assertEqual((status, body), (503, b'{"reason":"crashes-servers"}'))
        self.assertGreater(float(headers["retry-after"]), 30.0)
        await self._check_quarantined_listing()
        await self.vms[0].kill()
        await self.vms[0].start()
        await self.until(lambda: self.ready(self.vms[0]), "the VM to be ready again")
        self.assertEqual((await self.ask(self.vms[0], _CRASHING_PATH, "again"))[0], 503)
        self.assertEqual(len([at for at in self.sent_at if at > self.crashed_at[2] + 3.0]), 0)
        await self._check_release()

    def _recent_lines(self, request_id: str) -> list[dict[str, Any]]:
        """Return the last lines of the VMs on a request or on any server, for failure messages."""
        lines = [line for vm in self.vms for line in vm.lines[-_REPORTED_LINES:]]
        return [line for line in lines if line.get("id") == request_id or "server" in line]

    async def _check_quarantined_listing(self) -> None:
        """Check what the operators' command `quarantined` prints."""
        status, output = await self.operate("quarantined")
        self.assertEqual(status, 0, output)
        self.assertRegex(output, r"^[0-9a-f]{32}  GET /rates/sick\n  refused since .* trials made")
        self.assertRegex(output, r"ended i-\d+\+?, process not stated, .* s before, seen by vm\d")
        self.fingerprint = output.split()[0]

    async def _check_release(self) -> None:
        """Check that `release` ends the quarantine, and refuses an unknown fingerprint."""
        self.crash_fixed = True
        status, output = await self.operate("release", "00ff")
        self.assertEqual(status, 2)
        self.assertIn("no such request is refused", output)
        status, output = await self.operate("release", self.fingerprint)
        self.assertEqual(status, 0, output)

        async def all_serve() -> bool:
            answers = [await self.ask(vm, _CRASHING_PATH, f"let-{vm.name}") for vm in self.vms]
            return all(answer[0] == 200 for answer in answers)

        await self.until(all_serve, "all VMs to serve the released request")


if __name__ == "__main__":
    unittest.main()
