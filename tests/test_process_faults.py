"""Crashed, frozen and draining processes, and a platform that cannot be reached.

The daemons are real processes of the own interface.
"""

import asyncio
import signal
from collections.abc import Coroutine

from standins.relay import Relay
from tests.processes import FleetCase
from tools.fleet import Vm, wait_until
from tools.ports import free_ports

_LONG_WORK = "?work_ms=5000"
"""Query for work that still runs when its peer is killed or frozen, even on a busy machine."""

_EXCHANGE_OVERDUE_S = 3.5
"""Time without an answer of a peer after which an exchange with it must have failed: an exchange
takes 2 s at the most, and one starts each second."""


class Faults(FleetCase):
    async def set_leaving(self, server: str, leaving: bool = True) -> None:
        await self.server_post(server, "/stand-in/leaving", {"leaving": leaving})

    async def in_use(self, server: str) -> int:
        async with self.session.get(f"http://{server}/stand-in/runs") as response:
            return (await response.json())["in_use"]

    async def test_peers_that_die_or_freeze_with_an_operation(self) -> None:
        """The first hall's server leaves, so operations are forwarded to the second hall."""
        near, far = self.vm(0), self.vm(1)
        await self.set_leaving(self.pool("hall-1", "booking"))
        with self.subTest("forwarded to the peer, and answered"):
            status, headers = await self.book(near, "on", await self.ticket(near))
            self.assertEqual((status, headers["sprucewinch-outcome"]), (200, "answered"))
        with self.subTest(
            "the peer freezes during the run: unknown at the deadline, and never run twice"
        ):
            ticket = await self.ticket(near)
            sending = asyncio.create_task(self.book(near, "frozen", ticket, _LONG_WORK))
            await self._wait_for_run("frozen", sending)
            self.fleet.signal(far.name, signal.SIGSTOP)
            _, headers = await sending
            self.assertEqual(headers["sprucewinch-outcome"], "unknown")
            self.fleet.signal(far.name, signal.SIGCONT)
            _, headers = await self.book(near, "frozen", ticket)
            self.assertEqual(headers["sprucewinch-outcome"], "unknown")
            self.assertEqual(await self.runs("frozen"), 1)
        await self.until_ready(near)
        with self.subTest("the peer is killed during the run: unknown, and never run twice"):
            ticket = await self.ticket(near)
            sending = asyncio.create_task(self.book(near, "dead", ticket, _LONG_WORK))
            await self._wait_for_run("dead", sending)
            self.fleet.kill(far.name)
            _, headers = await sending
            self.assertEqual(headers["sprucewinch-outcome"], "unknown")
            _, headers = await self.book(near, "dead", ticket)
            self.assertEqual(headers["sprucewinch-outcome"], "unknown")
            self.assertEqual(await self.runs("dead"), 1)
        with self.subTest("no server left: refused as not run at once, with Retry-After"):
            began = asyncio.get_running_loop().time()
            status, headers = await self.book(near, "none", await self.ticket(near))
            self.assertEqual((status, headers["sprucewinch-outcome"]), (503, "not-run"))
            self.assertIn("Retry-After", headers)
            self.assertLess(asyncio.get_running_loop().time() - began, 1.5)
            self.assertEqual(await self.runs("none"), 0)

    async def test_an_operation_at_a_peer_that_is_late_has_a_certain_end(self) -> None:
        """An exchange with the peer that fails meanwhile must not end the operation as unknown.

        The operation had not run. The peer may refuse it after SIGCONT, since its slots may have
        lapsed.
        """
        near, far = self.vm(0), self.vm(1)
        await self.set_leaving(self.pool("hall-1", "booking"))
        ticket = await self.ticket(near)
        self.fleet.signal(far.name, signal.SIGSTOP)
        sending = asyncio.create_task(self._book_with_long_deadline(near, "late", ticket))
        await wait_until(lambda: self._exchange_overdue(near, far), "an exchange to fail")
        self.fleet.signal(far.name, signal.SIGCONT)
        status, headers, _ = await sending
        ended = (status, headers["sprucewinch-outcome"], await self.runs("late"))
        self.assertIn(ended, ((200, "answered", 1), (503, "not-run", 0)))

    def _book_with_long_deadline(self, vm: Vm, operation: str, ticket: str) -> Coroutine:
        """Send a booking with a deadline of 15 s."""
        return self.send(
            vm,
            "booking",
            method="POST",
            operation=operation,
            sprucewinch_ticket=ticket,
            sprucewinch_deadline_ms="15000",
        )

    async def _exchange_overdue(self, near: Vm, far: Vm) -> bool:
        """Return whether a VM has not heard from another for `_EXCHANGE_OVERDUE_S`."""
        rows = (await self.operator(near).get("/v1/status"))["vms"]
        return any(row["vm"] == far.name and row["heard_s"] > _EXCHANGE_OVERDUE_S for row in rows)

    async def _wait_for_run(self, operation: str, sending: asyncio.Task) -> None:
        """Wait until an operation runs; fails with its answer if it is answered without a run."""

        async def runs_or_ended() -> bool:
            return sending.done() or await self.runs(operation) > 0

        await wait_until(runs_or_ended, "the run")
        if sending.done() and not await self.runs(operation):
            self.fail(f"{operation} was answered without a run: {sending.result()}")

    async def test_caller_that_leaves_and_servers_that_drain(self) -> None:
        near = self.vm(0)
        server = self.pool("hall-1", "rates")
        operator = self.operator(near)
        with self.subTest("a caller that disconnects cancels its request at the server"):
            sending = asyncio.create_task(self.send(near, "rates", "?work_ms=20000"))
            await wait_until(lambda: self.in_use(server), "the run")
            sending.cancel()

            async def idle() -> bool:
                return await self.in_use(server) == 0

            await wait_until(idle, "the cancellation", longest_s=5.0)
        with self.subTest(
            "a drain cuts off no stream, and its status shows the VM that it waits for"
        ):
            url = f"http://{near.caller}/s/rates/long?answer_bytes=983040&pause_s=0.15"
            async with self.session.get(url) as response:
                start = await response.content.readany()
                await operator.call("PUT", f"/v1/drains/server/{server}")

                async def held_up() -> bool:
                    rows = (await operator.get("/v1/status"))["drains"]
                    return any(row["held_up_by"] == {near.name: 1} for row in rows)

                await wait_until(held_up, "the drain to be held up")
                for _ in range(5):
                    _, headers, _ = await self.send(near, "rates")
                    self.assertEqual(headers["sprucewinch-outcome"], "answered")
                rest = await response.content.read()
            self.assertGreaterEqual(len(start) + len(rest), 983040)

            async def drained() -> bool:
                rows = (await operator.get("/v1/metrics"))["drains"]
                return any(row["thing"] == f"server:{server}" for row in rows)

            await wait_until(drained, "the drain to end")
        with self.subTest(
            "a drained hall disappears from look-ups, and its callers are served by others"
        ):
            await operator.call("PUT", "/v1/drains/hall/hall-1")

            async def moved() -> bool:
                url = f"http://{near.caller}/v1/lookup?service=rates&block=10.1.0.0/24"
                async with self.session.get(url) as response:
                    answer = await response.json()
                return answer["entry_vms"][0]["hall"] == "hall-2"

            await wait_until(moved, "look-ups to leave the hall")
            status, headers, _ = await self.send(near, "rates")
            self.assertEqual((status, headers["sprucewinch-outcome"]), (200, "answered"))


class PlatformBehindRelay(FleetCase):
    """The connection to the platform freezes and is cut; requests of callers are still served."""

    def start_daemons(self) -> None:
        [port] = free_ports(1)
        self.relay = Relay(port, int(self.fleet.platform.rpartition(":")[2]))
        self.relaying = asyncio.get_running_loop().create_task(self.relay.start())
        self.addAsyncCleanup(self.relay.stop)
        for name in self.fleet.vms:
            self.fleet.start_daemon(name, platform_address=f"127.0.0.1:{port}")

    async def change_drain(self, method: str) -> tuple[int, dict]:
        server = self.pool("hall-2", "rates")
        return await self.operator(self.vm(0)).call(method, f"/v1/drains/server/{server}")

    async def check_all_serve(self) -> None:
        for vm in self.fleet.vms.values():
            status, _, _ = await self.send(vm, "rates")
            self.assertEqual(status, 200)

    async def test_frozen_cut_and_back(self) -> None:
        self.relay.freeze()
        status, answer = await self.change_drain("PUT")
        self.assertIn(status, (502, 503), answer)
        await self.check_all_serve()
        self.relay.thaw()
        self.relay.cut()
        status, answer = await self.change_drain("PUT")
        self.assertEqual((status, answer["error"]), (503, "PlatformError"))
        await self.check_all_serve()
        self.assertEqual(await self.revision(self.vm(0)), 1)
        self.relay.mend()
        status, answer = await self.change_drain("PUT")
        self.assertEqual((status, answer.get("revision")), (200, 2), answer)

        async def everywhere() -> bool:
            return all([await self.revision(vm) == 2 for vm in self.fleet.vms.values()])

        await wait_until(everywhere, "the change", longest_s=7.0)
