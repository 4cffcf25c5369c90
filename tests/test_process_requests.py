"""Requests and bookings through real daemons: outcomes, tickets, leaving servers, planned stops."""

import asyncio
import contextlib
import io
import signal
import unittest

import aiohttp

from examples import caller
from tests.processes import CALLER, FleetCase
from tools.fleet import wait_until


class Requests(FleetCase):
    async def test_whole_path(self) -> None:
        first, second = self.vm(0), self.vm(1)
        with self.subTest("look-up names VMs of the caller's region first"):
            url = f"http://{first.caller}/v1/lookup?block={CALLER}&service=rates"
            async with self.session.get(url) as response:
                answer = await response.json()
            self.assertEqual(answer["entry_vms"][0]["vm"], first.name)
        with self.subTest("the example caller runs unchanged"):
            await self.check_example_caller(first)
        with self.subTest("a booking runs once, whichever VM it is sent to again"):
            ticket = await self.ticket(first)
            for vm in (first, first, second):
                status, _ = await self.book(vm, "twice", ticket)
                self.assertEqual(status, 200)
            self.assertEqual(await self.runs("twice"), 1)
        with self.subTest("a booking sent to two VMs at the same time runs once"):
            ticket = await self.ticket(first)
            both = [self.book(vm, "race", ticket, "?work_ms=2000") for vm in (first, second)]
            statuses = sorted(status for status, _ in await asyncio.gather(*both))
            self.assertEqual(statuses, [200, 409])
            self.assertEqual(await self.runs("race"), 1)
        with self.subTest("a booking without a ticket is refused as not run"):
            status, headers, _ = await self.send(first, "booking", method="POST", operation="no")
            self.assertEqual((status, headers["sprucewinch-outcome"]), (428, "not-run"))
            self.assertEqual(await self.runs("no"), 0)
        with (
            self.subTest("a truncated answer is an error, never a shorter success"),
            self.assertRaises(aiohttp.ClientPayloadError),
        ):
            await self.send(first, "rates", "?answer_bytes=900000&cut_at=200000")
        with self.subTest("a deadline that passes during the run ends as unknown"):
            ticket = await self.ticket(first)
            status, headers, _ = await self.send(
                first,
                "booking",
                "?work_ms=2000",
                method="POST",
                operation="late",
                sprucewinch_ticket=ticket,
                sprucewinch_deadline_ms="200",
            )
            self.assertEqual((status, headers["sprucewinch-outcome"]), (504, "unknown"))
        with self.subTest("a booking is not retried when the server drops a reused connection"):
            await self.check_dropped_connection(first)
        with self.subTest("a peer killed during an answer leaves it truncated"):
            await self.check_peer_death_during_answer()
        with self.subTest("answers on reused connections go to their own callers"):
            await self.check_own_answers(first)
        with self.subTest("headers beyond the limit are refused with 431"):
            status, headers, body = await self.send(first, "rates", x="y" * 20_000)
            self.assertEqual(status, 431)
            self.assertIn(b'"reason":"malformed"', body)
        with self.subTest("a booking for an unreachable server is reported as not run"):
            await self.check_unreachable_server(first)

    async def check_example_caller(self, vm) -> None:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            await caller.main(vm.caller, "10.1.2.0/24")
        self.assertIn("rate: ", output.getvalue())
        self.assertIn("booked: ", output.getvalue())

    async def check_dropped_connection(self, vm) -> None:
        for attempt in ("warm", "dropped"):
            ticket = await self.ticket(vm)
            status, headers, _ = await self.send(
                vm,
                "booking",
                "?drop=1" if attempt == "dropped" else "",
                method="PUT",
                operation=attempt,
                sprucewinch_ticket=ticket,
            )
            outcome = "unknown" if attempt == "dropped" else "answered"
            self.assertEqual(headers["sprucewinch-outcome"], outcome, status)
            self.assertEqual(await self.runs(attempt), 1)

    async def check_peer_death_during_answer(self) -> None:
        """The server of the first data hall leaves, so the VM of the second runs the request."""
        near, far = self.vm(0), self.vm(1)
        server = self.pool("hall-1", "rates")
        await self.server_post(server, "/stand-in/leaving", {"leaving": True})
        url = f"http://{near.caller}/s/rates/long?answer_bytes=6553600&pause_s=0.02"
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with self.session.get(url) as response:
                self.assertEqual(response.status, 200)
                await response.content.readexactly(300_000)
                self.fleet.kill(far.name)
                await response.content.read()
        await self.server_post(server, "/stand-in/leaving", {"leaving": False})
        self.fleet.start_daemon(far.name)
        await self.until_ready(near)

    async def check_own_answers(self, vm) -> None:
        async def one(number: int) -> None:
            name = f"mine-{number}"
            slow = "?work_ms=400" if number % 3 == 0 else "?work_ms=5"
            deadline = "100" if number % 3 == 0 else "3000"
            status, _, body = await self.send(
                vm, "rates", slow, operation=name, sprucewinch_deadline_ms=deadline
            )
            if status == 200:
                self.assertTrue(body.startswith(f"{name} ".encode()), body)
            else:
                self.assertIn(b"retry_after_ms", body)

        for begin in range(0, 60, 6):
            await asyncio.gather(*(one(number) for number in range(begin, begin + 6)))

    async def check_unreachable_server(self, vm) -> None:
        for hall in self.configuration.hall:
            self.fleet.kill(f"backend-{hall.name}")
        ticket = await self.ticket(vm)
        status, headers = await self.book(vm, "gone", ticket)
        self.assertEqual(headers["sprucewinch-outcome"], "not-run", status)
        self.assertIn("Retry-After", headers)
        status, headers = await self.book(vm, "gone", ticket)
        self.assertEqual(headers["sprucewinch-reason"], "already-refused")

    async def test_home_killed_frozen_and_replaced(self) -> None:
        home, other = self.vm(0), self.vm(1)
        killed, frozen = await self.ticket(home), await self.ticket(home)
        status, _ = await self.book(home, "before", await self.ticket(home))
        self.assertEqual(status, 200)
        running = asyncio.create_task(self.book(home, "frozen", frozen, "?work_ms=100"))
        await wait_until(lambda: self.runs("frozen"), "the booking to run")
        self.fleet.signal(home.name, signal.SIGSTOP)
        status, headers = await self.book(other, "frozen", frozen)
        self.assertEqual(headers["sprucewinch-outcome"], "unknown", status)
        self.fleet.signal(home.name, signal.SIGCONT)
        await running
        self.assertEqual(await self.runs("frozen"), 1)

        self.fleet.kill(home.name)
        status, headers = await self.book(other, "killed", killed)
        self.assertEqual(headers["sprucewinch-outcome"], "unknown")
        self.fleet.start_daemon(home.name)
        await self.until_ready(home)
        for vm in (home, other):
            status, headers = await self.book(vm, "killed", killed)
            self.assertEqual(headers["sprucewinch-outcome"], "unknown")
        self.assertEqual(await self.runs("killed"), 0)


class Leaving(FleetCase):
    async def test_leaving_server_gets_no_new_work_within_three_seconds(self) -> None:
        """The server reports it itself; the platform is down, so its list is out of date."""
        await self.platform_faults(down=True)
        server = self.pool("hall-1", "rates")
        await self.server_post(server, "/stand-in/leaving", {"leaving": True})

        async def refused_as_leaving() -> int:
            async with self.session.get(f"http://{server}/stand-in/runs") as response:
                return (await response.json())["counters"].get("leaving", 0)

        began = asyncio.get_running_loop().time()
        halls = set()
        while asyncio.get_running_loop().time() - began < 3.0:
            status, headers, _ = await self.send(self.vm(0), "rates")
            self.assertEqual(status, 200, headers)
            halls.add(headers["sprucewinch-hall"])
            await asyncio.sleep(0.05)
        after_grace = await refused_as_leaving()
        for _ in range(20):
            status, _, _ = await self.send(self.vm(0), "rates")
            self.assertEqual(status, 200)
        self.assertEqual(await refused_as_leaving(), after_grace)

    async def test_leaving_server_known_only_from_the_platforms_list(self) -> None:
        server = self.pool("hall-1", "rates")
        row = {"kind": "backend", "address": server, "leaving": True}
        await self.server_post(self.fleet.platform, "/stand-in/vms", [row])
        self.fleet.kill(self.vm(0).name)
        self.fleet.start_daemon(self.vm(0).name)

        async def serves_again() -> bool:
            status, headers, _ = await self.send(self.vm(0), "rates")
            return status == 200 and headers["sprucewinch-hall"] == "hall-1"

        await wait_until(serves_again, "the first VM to serve")
        with self.assertRaises(TimeoutError):
            await wait_until(lambda: self.listed_ran_on(server), "a run", longest_s=1.0)

    async def listed_ran_on(self, server: str) -> bool:
        await self.send(self.vm(0), "rates", operation="listed")
        async with self.session.get(f"http://{server}/stand-in/runs") as response:
            return "listed" in (await response.json())["runs"]

    async def test_planned_stop_of_a_vm_cuts_nothing_off(self) -> None:
        vm = self.vm(0)
        url = f"http://{vm.caller}/s/rates/long?answer_bytes=655360&pause_s=0.4"
        async with self.session.get(url, headers={"operation": "long"}) as response:
            start = await response.content.readany()
            self.fleet.signal(vm.name, signal.SIGTERM)
            await asyncio.sleep(0.5)
            self.fleet.signal(vm.name, signal.SIGTERM)  # a repeated stop must change nothing
            status, _, _ = await self.send(vm, "rates")  # callers still use a cached look-up
            self.assertEqual(status, 200)
            rest = await response.content.read()
        self.assertGreaterEqual(len(start) + len(rest), 655360)
        process = self.fleet.processes[vm.name]
        status = await asyncio.to_thread(process.wait, 20)
        self.assertEqual(status, 0, self.fleet.log_of(vm.name))
        self.assertIn("event=stop-repeated", self.fleet.log_of(vm.name))

    async def test_being_told_to_stop_again_until_the_end_changes_nothing(self) -> None:
        vm = self.vm(0)
        process = self.fleet.processes[vm.name]
        ending = asyncio.create_task(asyncio.to_thread(process.wait, 20))
        while not ending.done():
            with contextlib.suppress(ProcessLookupError):
                self.fleet.signal(vm.name, signal.SIGTERM)
            await asyncio.sleep(0.002)
        self.assertEqual(await ending, 0, self.fleet.log_of(vm.name))


if __name__ == "__main__":
    unittest.main()
