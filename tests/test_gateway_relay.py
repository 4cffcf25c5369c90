"""Requests that another VM runs, as the one that got them has lost its links to backend servers."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.requests.relay.relay import LOST, NOT_TAKEN, RELAYED
from sprucewinch.gateway.requests.relay.relay_message import (
    OUTCOME,
    VERSION,
    RelayedRequest,
    RelayOutcome,
    encode_request,
    read_outcome,
    read_request,
)
from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.workspaces.admission import CallerRequest
from sprucewinch.net.connection import Answer
from standins.virtual import VirtualLoop, pass_time, run_virtual
from tools.server_links import CUTS, LinkFault

from .formats_gateway import asgi
from .gateway_fakes import route
from .relay_fleet import RelayFleet

Main = Callable[[RelayFleet], Coroutine[Any, Any, None]]


def _with_fleet(main: Main, *, vms: int = 3) -> None:
    async def run(loop: VirtualLoop) -> None:
        fleet = RelayFleet(loop, vms=vms)
        await pass_time(1.0)
        await main(fleet)

    run_virtual(run)


def _counted(fleet: RelayFleet) -> int:
    """Return the requests that all VMs have counted for their retry budgets."""
    now = fleet.loop.time()
    return sum(vm.path.pipeline.budgets.of("rates").requests.count(now) for vm in fleet.vms)


class Relayed(unittest.TestCase):
    def test_a_request_at_a_vm_without_links_runs_once_and_is_answered_whole(self) -> None:
        for fault in CUTS:
            with self.subTest(fault=fault):
                _with_fleet(lambda fleet, f=fault: self._relayed(fleet, f))

    async def _relayed(self, fleet: RelayFleet, fault: LinkFault) -> None:
        cut = fleet.vms[0]
        await fleet.lose_links(cut, fault)
        for once in (False, True):
            request = fleet.request(f"q-{once}", once=once, method="POST", body=b"x" * 100_000)
            reply = await cut.run(request)
            self.assertEqual((reply.status, fleet.runs(request.id)), (200, 1))
            assert reply.answer is not None
            self.assertEqual(reply.answer.body, b"the whole answer")
            self.assertEqual([a.cause for a in request.attempts], [RELAYED])
            run = fleet.run_of(request.id)
            self.assertEqual((run.target, run.body), (request.target, request.body))
            self.assertFalse([name for name in run.headers if "relay" in name])
        headers = (("x-request-id", "last"),)
        answer = await asgi(cut.app, "/rates/a", headers=headers)
        self.assertEqual((answer.status, answer.body), (200, b"the whole answer"))
        self.assertNotIn("relay", answer.headers)

    def test_links_that_are_back_serve_again_without_a_relay(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            cut = fleet.vms[0]
            await fleet.lose_links(cut)
            cut.cut(LinkFault.NONE)
            await pass_time(1.5)
            request = fleet.request("q")
            self.assertEqual((await cut.run(request)).status, 200)
            self.assertEqual([a.cause for a in request.attempts], ["answered"])

        _with_fleet(main)

    def test_a_request_is_passed_on_no_further(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            first, second, third = fleet.vms
            await fleet.lose_links(first)
            # The second VM loses its links without having noticed it.
            second.cut(LinkFault.RESET)
            third.gossip.set_accepting(False)
            fleet.beat()
            reply = await first.run(fleet.request("q"))
            self.assertEqual(reply.status, 503)
            self.assertEqual(len(third.served.requests), 0)

        _with_fleet(main)

    def test_without_any_vm_with_links_nothing_is_passed_on(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            for vm in fleet.vms:
                await fleet.lose_links(vm)
            before = [len(vm.served.requests) for vm in fleet.vms]
            started = fleet.loop.time()
            reply = await fleet.vms[0].run(fleet.request("q"))
            self.assertEqual((reply.status, fleet.runs("q")), (503, 0))
            self.assertLess(fleet.loop.time() - started, 0.5)
            self.assertEqual([len(vm.served.requests) for vm in fleet.vms], before)

        _with_fleet(main)

    def test_a_caller_that_leaves_ends_the_run_behind_the_relay(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            await fleet.lose_links(fleet.vms[0])
            for server in fleet.servers:
                server.work_s = 5.0
            work = asyncio.create_task(fleet.vms[0].run(fleet.request("q")))
            await pass_time(0.2)
            self.assertEqual(fleet.runs("q"), 1)
            work.cancel()
            await pass_time(0.2)
            self.assertEqual(sum(server.cancelled for server in fleet.servers), 1)

        _with_fleet(main)

    def test_a_request_for_certain_regions_goes_to_vms_in_these(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            await fleet.lose_links(fleet.vms[0])
            for vm in fleet.vms:
                vm.path.world.configure(route(regions=("west",)), version=2)
            request = fleet.request("q")
            await fleet.vms[0].run(request)
            self.assertEqual([a.server_id for a in request.attempts], ["vm2"])

        _with_fleet(main)

    def test_a_server_that_only_another_vm_reaches_is_the_last_resort(self) -> None:
        """The links of a part of the servers are lost, so this VM's links count as up."""

        async def main(fleet: RelayFleet) -> None:
            vm = fleet.vms[0]
            vm.path.pool.on_unreachable.clear()
            vm.cut(LinkFault.RESET)
            request = fleet.request("q")
            self.assertEqual((await vm.run(request)).status, 200)
            self.assertTrue(vm.links.up)
            self.assertEqual(request.attempts[-1].cause, RELAYED)

        _with_fleet(main)


class OtherVms(unittest.TestCase):
    def test_a_vm_of_an_older_version_or_configuration_takes_no_request(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            first, second, third = fleet.vms
            await fleet.lose_links(first)
            first.path.world.configure(route(), version=9)
            third.path.world.configure(route(), version=9)
            self.assertEqual((await first.run(fleet.request("q"))).status, 200)
            self.assertFalse(fleet.took(second, "q"))
            self.assertTrue(fleet.took(third, "q"))

        _with_fleet(main)

    def test_callers_that_saw_a_newer_configuration_meet_no_older_one(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            first, second, third = fleet.vms
            for vm in (second, third):
                vm.path.world.configure(route(), version=9)
            await fleet.lose_links(first)
            first.cut(LinkFault.NONE)
            await pass_time(1.5)
            self.assertTrue(first.links.up)
            behind, level = fleet.request("behind"), fleet.request("level")
            await first.run(behind)
            first.path.world.configure(route(), version=9)
            await first.run(level)
            self.assertEqual(
                [behind.attempts[0].cause, level.attempts[0].cause], [RELAYED, "answered"]
            )

        _with_fleet(main)

    def test_a_vm_that_ends_during_a_request_leaves_open_whether_it_ran(self) -> None:
        for once, expected in ((True, (502, 1)), (False, (200, 2))):
            with self.subTest(once=once):
                _with_fleet(lambda fleet, o=once, e=expected: self._peer_ends(fleet, o, e))

    async def _peer_ends(self, fleet: RelayFleet, once: bool, expected: tuple[int, int]) -> None:
        first = fleet.vms[0]
        await fleet.lose_links(first)
        request = fleet.request("q", once=once)
        work = asyncio.create_task(first.run(request))
        await pass_time(0.02)
        for connection in first.passed_over:
            assert connection.transport is not None
            connection.transport.abort()
        reply = await work
        self.assertEqual((reply.status, fleet.runs("q")), expected)
        self.assertEqual(request.attempts[0].cause, LOST)

    def test_a_request_counts_once_for_the_retry_budget_over_all_vms(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            first = fleet.vms[0]
            await fleet.lose_links(first)
            before = _counted(fleet)
            for number in range(5):
                await first.run(fleet.request(f"q{number}"))
            counted = fleet.request("counted")
            counted.counted = True
            await first.run(counted)
            self.assertEqual(_counted(fleet) - before, 5)

        _with_fleet(main)

    def test_a_vm_without_links_or_too_old_says_that_it_took_nothing(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            second = fleet.vms[1]
            headers = (("x-request-id", "q"), (VERSION, "7"))
            answer = await asgi(second.relay_app, "/relay/rates/a", headers=headers)
            self.assertEqual(answer.status, 503)
            self.assertIn(f"{OUTCOME}: not-taken", answer.headers)
            await fleet.lose_links(second)
            answer = await asgi(second.relay_app, "/relay/rates/a", headers=headers[:1])
            self.assertIn(f"{OUTCOME}: not-taken", answer.headers)
            self.assertEqual(fleet.runs("q"), 0)

        _with_fleet(main)

    def test_an_own_answer_of_the_other_vm_says_so(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            headers = (("x-request-id", "q"),)
            app = fleet.vms[1].relay_app
            answer = await asgi(app, "/relay/nowhere/a", headers=headers)
            self.assertEqual(answer.status, 404)
            self.assertIn(f"{OUTCOME}: refused", answer.headers)
            answer = await asgi(app, "/relay/rates/a", headers=headers)
            self.assertIn(f"{OUTCOME}: answered", answer.headers)

        _with_fleet(main)


class AcceptedFirst(unittest.TestCase):
    """Something between accepts connections, and then resets them or stays silent."""

    def test_callers_of_a_vm_whose_connections_come_up_and_end_are_served(self) -> None:
        for fault in (LinkFault.RESET, LinkFault.SILENT):
            with self.subTest(fault=fault):
                _with_fleet(lambda fleet, f=fault: self._served(fleet, f))

    async def _served(self, fleet: RelayFleet, fault: LinkFault) -> None:
        cut = fleet.vms[0]
        cut.accepts_first = True
        cut.cut(fault)
        work = []
        for number in range(60):
            work.append(asyncio.create_task(cut.run(fleet.request(f"q{number}"))))
            await pass_time(0.05)
        statuses = [(await each).status for each in work]
        self.assertGreaterEqual(sum(status == 200 for status in statuses[20:]), 36)


class Messages(unittest.TestCase):
    def test_what_the_other_vm_reads_is_what_was_stated(self) -> None:
        async def main(fleet: RelayFleet) -> None:
            request = fleet.request("q")
            request.caller = CallerRequest(Workspace("carrier", ()))
            head = encode_request(request, "vm0", 7, NAMES_DEADLINE, 900)
            lines = head.decode().split("\r\n")
            self.assertEqual(lines[0], "GET /relay/rates/a?q=1 HTTP/1.1")
            pairs = [tuple(line.encode().split(b": ", 1)) for line in lines[1:] if line]
            self.assertEqual(read_request(pairs), RelayedRequest("vm0", "carrier", 0, 7))

        _with_fleet(main)

    def test_an_answer_without_an_outcome_proves_nothing_unless_it_was_not_read(self) -> None:
        for status, expected in (
            (404, RelayOutcome.NOT_TAKEN),
            (503, RelayOutcome.NOT_TAKEN),
            (500, RelayOutcome.UNKNOWN),
            (200, RelayOutcome.UNKNOWN),
        ):
            self.assertIs(read_outcome(Answer(status, (), [])), expected)
        unknown = Answer(200, ((OUTCOME, "later"),), [])
        self.assertIs(read_outcome(unknown), RelayOutcome.UNKNOWN)


NAMES_DEADLINE = "x-request-deadline-ms"
_STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from([LinkFault.NONE, *CUTS]),
        st.floats(0.0, 0.6),
        st.booleans(),
    ),
    min_size=1,
    max_size=8,
)


class AnyCuts(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(_STEPS)
    def test_nothing_runs_twice_goes_round_or_breaks_a_promise(self, steps) -> None:
        _with_fleet(lambda fleet: self._play(fleet, steps), vms=4)

    async def _play(self, fleet: RelayFleet, steps: list[tuple]) -> None:
        sent = []
        for number, (vm, fault, pause_s, once) in enumerate(steps):
            fleet.vms[vm].cut(fault)
            for at, entry in enumerate(fleet.vms):
                request = fleet.request(f"q{number}-{at}", once=once)
                work = asyncio.create_task(entry.run(request))
                sent.append((request, once, work))
            await pass_time(pause_s)
        for request, once, work in sent:
            reply = await work
            runs = fleet.runs(request.id)
            self.assertLessEqual(runs, 1 if once else 2, request.id)
            if reply.status == 503:
                self.assertEqual(runs, 0 if once else runs, request.id)
            hops = sum(r.id == request.id for vm in fleet.vms for r in vm.served.requests)
            passed = [a for a in request.attempts if a.cause in (RELAYED, LOST, NOT_TAKEN)]
            self.assertLessEqual(hops, len(passed), request.id)
            relayed_on = [
                r
                for vm in fleet.vms
                for r in vm.served.requests
                if r.id == request.id
                and any(a.cause in (RELAYED, LOST, NOT_TAKEN) for a in r.attempts)
            ]
            self.assertEqual(relayed_on, [])


if __name__ == "__main__":
    unittest.main()
