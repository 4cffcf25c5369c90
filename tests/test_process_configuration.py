"""A configuration change reaches all VMs and is never reverted, with daemons as processes."""

import asyncio
import signal
import time

from sprucewinch.hall.store.documents import CONFIGURATION_KEY
from tests.processes import FleetCase
from tools.fleet import wait_until
from tools.ports import free_ports

_IN_FORCE_TIMEOUT_S = 7.0
"""Longest time from a change until it is in force at all VMs."""


class Configuration(FleetCase):
    """Twelve VMs, six of which cannot reach the platform but reach their peers."""

    halls = 4
    vms_per_hall = 3

    def start_daemons(self) -> None:
        [unused_port] = free_ports(1)
        self.cut_off = list(self.fleet.vms)[1::2]
        for name in self.fleet.vms:
            changes = (
                {"platform_address": f"127.0.0.1:{unused_port}"} if name in self.cut_off else {}
            )
            self.fleet.start_daemon(name, **changes)

    async def drain(self, vm, server: str, *, undo: bool = False) -> tuple[int, dict]:
        method = "DELETE" if undo else "PUT"
        return await self.operator(vm).call(method, f"/v1/drains/server/{server}")

    async def in_force_everywhere(self, revision: int, names=None) -> float:
        """Wait until a revision is in force at all VMs; returns the time it took, in seconds."""
        began = time.monotonic()
        vms = [self.fleet.vms[name] for name in names or self.fleet.vms]

        async def all_have_it() -> bool:
            found = await asyncio.gather(*(self.revision(vm) for vm in vms))
            return min(found) >= revision

        await wait_until(
            all_have_it, f"revision {revision} everywhere", longest_s=_IN_FORCE_TIMEOUT_S
        )
        return time.monotonic() - began

    async def test_accepted_configuration_is_in_force_and_never_reverts(self) -> None:
        first = self.vm(0)
        server = self.pool("hall-2", "rates")
        with self.subTest("a change reaches all VMs, also those cut off from the platform"):
            status, answer = await self.drain(first, server)
            self.assertEqual((status, answer["revision"]), (200, 2))
            await self.in_force_everywhere(2)
        with self.subTest("the answer to a write is lost"):
            await self.platform_faults(lose_answers=1, lose_prefix=CONFIGURATION_KEY)
            status, answer = await self.drain(first, server, undo=True)
            self.assertEqual((status, answer.get("revision")), (200, 3), answer)
            audit = (await self.operator(first).get("/v1/audit"))["audit"]
            self.assertEqual([r["revision"] for r in audit], [1, 2, 3])
            await self.in_force_everywhere(3)
        with self.subTest("changes of two operators at the same time both come into force"):
            other = self.pool("hall-3", "rates")
            third = self.vm(2)
            results = await asyncio.gather(self.drain(first, server), self.drain(third, other))
            self.assertEqual(sorted(a["revision"] for _, a in results), [4, 5])
            await self.in_force_everywhere(5)
        with self.subTest("a VM cut off from the platform refuses changes with PlatformError"):
            status, answer = await self.drain(self.fleet.vms[self.cut_off[0]], server, undo=True)
            self.assertEqual((status, answer["error"]), (503, "PlatformError"))
        await self.check_rewind_replacement_and_freeze(server)

    async def check_rewind_replacement_and_freeze(self, server: str) -> None:
        first = self.vm(0)
        replaced, frozen = self.cut_off[0], self.vm(2).name
        with self.subTest("the platform returns an older value for some reads"):
            path = f"/stand-in/rewind?key={CONFIGURATION_KEY}&steps=2"
            await self.server_post(self.fleet.platform, path, {})
            status, answer = await self.drain(first, server, undo=True)
            self.assertEqual((status, answer["error"]), (409, "StaleStoreError"))
            self.assertEqual(await self.revision(first), 5)
        with self.subTest("a VM replaced while cut off gets the configuration from its peers"):
            self.fleet.kill(replaced)
            [unused_port] = free_ports(1)
            self.fleet.start_daemon(replaced, platform_address=f"127.0.0.1:{unused_port}")
            await self.in_force_everywhere(5, [replaced])
        with self.subTest("a VM that was frozen during a change catches up"):
            self.fleet.signal(frozen, signal.SIGSTOP)
            status, answer = await self.operator(first).call("POST", "/v1/restore")
            self.assertEqual((status, answer["revision"]), (200, 6))
            await self.in_force_everywhere(6, [n for n in self.fleet.vms if n != frozen])
            self.fleet.signal(frozen, signal.SIGCONT)
            await self.in_force_everywhere(6)
        with self.subTest("a rejected configuration changes nothing"):
            operator = self.operator(first)
            status, answer = await operator.call(
                "POST", "/v1/configuration", {"configuration": {"name": "x"}, "base": 6}
            )
            self.assertEqual((status, answer["error"]), (400, "ConfigurationError"))
            self.assertEqual(await self.revision(first), 6)
        with self.subTest("a restart of all VMs at once stays within the platform's call rate"):
            await self.check_restart_of_all()

    async def check_restart_of_all(self) -> None:
        for name in list(self.fleet.vms):
            self.fleet.kill(name)
        before = await self.platform_calls()
        self.fleet.start_daemons(n for n in self.fleet.vms if n not in self.cut_off)
        await self.in_force_everywhere(6, [n for n in self.fleet.vms if n not in self.cut_off])
        after = await self.platform_calls()
        self.assertLess(after["write"] - before["write"], 100)
        self.assertLess(after["read"] - before["read"], 200)

    async def platform_calls(self) -> dict[str, int]:
        url = f"http://{self.fleet.platform}/stand-in/calls"
        async with self.session.get(url) as response:
            return await response.json()
