"""What a process that has just started takes for known about servers."""

import asyncio
import unittest
from typing import Optional

import msgspec

from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.resources import BackendEntry, Member, RouteConfiguration
from sprucewinch.gateway.servers.cold_reports import MAX_ROWS, ColdReport, ColdReports
from sprucewinch.gateway.servers.health_asks import HealthAsks
from sprucewinch.gateway.servers.start_doubts import ColdKnown, StartDoubts
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import RULE, PipelineFixture, StoreFixture, route
from .limit_fleet import ready

_PEER = ("10.1.0.2", 70)


class _Vm:
    """A VM that has just started, with two servers that were listed then."""

    def __init__(self, loop: VirtualLoop, *, vms: int = 1, name: str = "vm0") -> None:
        self.loop = loop
        self.sent: list[bytes] = []
        self.datagrams = Datagrams(loop.time)
        self.datagrams.transport = self  # type: ignore[assignment]
        self.world = StoreFixture(vms=vms, name=name)
        self.registry = self.world.registry
        reports = ColdReports(self.registry, self.datagrams, None)  # type: ignore[arg-type]
        self.registry.cold_limit.started_at = loop.time()
        self.asks = HealthAsks(
            self.registry, self.world.outages, lambda _name, _now: True, loop.time
        )
        self.doubts = StartDoubts(
            self.registry, reports, self.asks, self.datagrams, started_at=loop.time()
        )
        self.world.configure(route())
        self.add(2)

    def add(self, count: int) -> None:
        first = len(self.registry.servers)
        for number in range(first, first + count):
            entry = BackendEntry(f"s{number}", "rates", f"10.0.0.{number}:80", "east-a", 6)
            self.world.put(f"servers/s{number}", entry, self.loop.time())

    def sendto(self, data: bytes, _address: tuple[str, int]) -> None:
        self.sent.append(data)

    def hear(self, sender: "_Vm") -> None:
        for data in sender.sent:
            self.datagrams.datagram_received(data, _PEER)

    def limited(self, number: int = 0, now: Optional[float] = None) -> bool:
        server = self.registry.servers[f"s{number}"]
        return server.limited_as_cold(self.loop.time() if now is None else now)


class Unproven(unittest.TestCase):
    def test_listed_servers_get_no_more_than_cold_ones_for_a_second(self) -> None:
        """After a start, servers that an evacuation had left cold were taken for warm."""

        async def main(loop: VirtualLoop) -> None:
            vm = _Vm(loop)
            self.assertTrue(vm.limited())
            self.assertFalse(vm.limited(now=loop.time() + 1.1))

        run_virtual(main)

    def test_a_vm_that_runs_tells_which_are_cold_and_so_proves_the_others(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            old = _Vm(loop)
            await pass_time(3.5)
            old.registry.servers["s1"].cold_until = loop.time() + 2.0
            old.world.store_view.confirm(loop.time())
            young = _Vm(loop)
            old.doubts.answer("10.1.0.1:70", loop.time())
            young.add(1)
            young.hear(old)
            self.assertEqual([young.limited(n) for n in range(3)], [False, True, False])
            young.add(1)
            self.assertFalse(young.limited(3))

        run_virtual(main)

    def test_a_vm_for_which_entries_say_nothing_of_now_proves_nothing(self) -> None:
        """It vouched for servers that had turned cold and that it had not asked yet."""

        async def main(loop: VirtualLoop) -> None:
            old = _Vm(loop)
            await pass_time(3.5)
            old.world.store_view.confirm(loop.time())
            old.asks.distrust_entries()
            young = _Vm(loop)
            young.world.store_view.confirm(loop.time())
            self.assertTrue(young.asks.entries_tell(loop.time()))
            old.doubts.answer("10.1.0.1:70", loop.time())
            young.hear(old)
            self.assertTrue(young.limited(0))
            self.assertFalse(young.asks.entries_tell(loop.time() + 2.9))

        run_virtual(main)

    def test_a_vm_that_has_just_started_itself_does_not_call_entries_old(self) -> None:
        """VMs that had loaded nothing yet made all others that started ask all servers."""

        async def main(loop: VirtualLoop) -> None:
            first, second = _Vm(loop), _Vm(loop)
            second.world.store_view.confirm(loop.time())
            first.world.store_view.confirmed_at = float("-inf")
            self.assertFalse(first.asks.entries_tell(loop.time()))
            first.doubts.answer("10.1.0.1:70", loop.time())
            second.hear(first)
            self.assertTrue(second.asks.entries_tell(loop.time()))
            self.assertTrue(second.limited(0))

        run_virtual(main)

    def test_a_vm_that_has_just_started_itself_proves_nothing(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            first, second = _Vm(loop), _Vm(loop)
            first.registry.servers["s1"].cold_until = loop.time() + 2.0
            first.doubts.answer("10.1.0.1:70", loop.time())
            second.hear(first)
            self.assertTrue(second.limited(0))
            self.assertTrue(second.registry.servers["s1"].cold(loop.time() + 1.5))

        run_virtual(main)

    def test_many_cold_servers_are_told_in_several_messages(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = _Vm(loop)
            vm.add(2 * MAX_ROWS)
            for server in vm.registry.servers.values():
                server.cold_until = loop.time() + 2.0
            vm.doubts.answer("10.1.0.1:70", loop.time())
            kinds = ColdReport | ColdKnown
            messages = [msgspec.msgpack.decode(data, type=kinds) for data in vm.sent]
            self.assertEqual([type(m) for m in messages], [ColdReport, ColdReport, ColdKnown])
            self.assertEqual(sum(len(m.rows) for m in messages), 2 * MAX_ROWS + 2)

        run_virtual(main)


class FirstRequests(unittest.TestCase):
    def test_a_young_process_leaves_a_cold_server_what_its_predecessor_may_have_sent(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = _Vm(loop)
            server = vm.registry.servers["s0"]
            for cold_s in (0.0, 9.0):
                server.cold_until = loop.time() + cold_s
                self.assertEqual(vm.registry.cold_allowance(server, loop.time()), 18 - 14)
                self.assertEqual(vm.registry.cold_allowance(server, loop.time() + 1.1), 18 - 14)
                self.assertEqual(vm.registry.cold_allowance(server, loop.time() + 1.2), 14)

        run_virtual(main)

    def test_young_processes_share_what_settled_ones_leave_of_the_bound(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            for vms in (2, 4, 12, 35):
                fleet = [_Vm(loop, vms=vms, name=f"vm{n}") for n in range(vms)]
                parts = [
                    vm.registry.cold_allowance(vm.registry.servers["s0"], loop.time())
                    for vm in fleet
                ]
                self.assertEqual(sum(parts), 18 - 14)

        run_virtual(main)

    def test_a_vm_that_others_may_not_know_sends_nothing_yet(self) -> None:
        """Each such VM sent a cold server a request, however many there were."""

        async def main(loop: VirtualLoop) -> None:
            vm = _Vm(loop, vms=0)
            registry, server = vm.registry, vm.registry.servers["s0"]
            for others in (0, 3, 40):
                registry.known_vms.heard = lambda count=others: [f"x{n}" for n in range(count)]
                registry.known_vms.refresh()
                self.assertEqual(registry.cold_allowance(server, loop.time()), 0)
            registry.known_vms.heard = lambda: ("x0",)
            registry.known_vms.refresh()
            registered_at = loop.time() + 2.0
            own = Member("vm0", "east-a", "east", "127.0.0.1:1", "127.0.0.1:2")
            vm.world.put("members/vm0", own, registered_at)
            self.assertEqual(registry.cold_allowance(server, registered_at + 2.9), 0)
            self.assertGreater(registry.cold_allowance(server, registered_at + 3.1), 0)

        run_virtual(main)


class ServersThatCannotBeProven(unittest.TestCase):
    def test_a_new_vm_sends_requests_to_servers_without_a_health_path(self) -> None:
        """Callers of a fleet's first start were refused for a second."""

        async def main(loop: VirtualLoop) -> None:
            fleet = [_Vm(loop, vms=0, name=f"vm{number}") for number in range(3)]
            parts = []
            for vm in fleet:
                rule = RULE._replace(health_path="")
                routes = RouteConfiguration(9, (route(),), {"rates": rule})
                vm.world.put("configuration", routes, loop.time())
                for number in range(3):
                    own = Member(f"vm{number}", "east-a", "east", "127.0.0.1:1", "127.0.0.1:2")
                    vm.world.put(f"members/vm{number}", own, loop.time() + 0.1)
                server = vm.registry.servers["s0"]
                parts.append(vm.registry.cold_allowance(server, loop.time() + 0.1))
            self.assertEqual(sum(parts), 18 - 14)
            self.assertGreater(min(parts), 0)

        run_virtual(main)

    def test_a_process_that_starts_slowly_serves_before_it_is_registered(self) -> None:
        """Beside a busy machine the only VM refused callers until its registration had come."""

        async def main(loop: VirtualLoop) -> None:
            vm = _Vm(loop, vms=0)
            routes = RouteConfiguration(9, (route(),), {"rates": RULE._replace(health_path="")})
            vm.world.put("configuration", routes, loop.time())
            server = vm.registry.servers["s0"]
            self.assertGreater(vm.registry.cold_allowance(server, loop.time() + 2.0), 0)

        run_virtual(main)


class ProofIsAwaited(unittest.TestCase):
    """Callers were refused while the servers of a VM that had just started were unproven."""

    def test_a_request_waits_until_a_server_is_proven(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(timeout_s=5.0))
            for number in range(1, 40):
                other = Member(f"vm{number}", "east-a", "east", "127.0.0.1:1", "127.0.0.1:2")
                path.world.put(f"members/vm{number}", other)
            registry = path.world.registry
            server = registry.servers["s0"]
            registry.cold_limit.started_at = loop.time()
            server.unproven_until = loop.time() + 1.0
            self.assertEqual(registry.cold_allowance(server, loop.time()), 0)
            loop.call_later(0.2, registry.prove_listed)
            started = loop.time()
            reply = await path.pipeline.run(path.request("a"))
            self.assertEqual(reply.status, 200)
            self.assertLess(loop.time() - started, 0.4)

        run_virtual(main)

    def test_a_request_does_not_wait_for_a_server_that_is_cold(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(timeout_s=5.0))
            registry = path.world.registry
            registry.known_vms.known_since = loop.time() + 3.0
            registry.servers["s0"].cold_until = loop.time() + 3.0
            started = loop.time()
            reply = await path.pipeline.run(path.request("a"))
            self.assertEqual((reply.status, loop.time()), (503, started))

        run_virtual(main)

    def test_requests_do_not_pile_up_at_the_server_that_is_proven_first(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=4)
            path.world.configure(route(timeout_s=5.0))
            registry = path.world.registry
            registry.known_vms.known_since = loop.time() + 3.0
            for server in registry.servers.values():
                server.unproven_until = loop.time() + 1.0
            registry.servers["s0"].unproven_until = float("-inf")
            loop.call_later(0.2, registry.prove_listed)
            requests = [path.request(f"r{number}", key=f"k{number}") for number in range(12)]
            replies = await asyncio.gather(*(path.pipeline.run(each) for each in requests))
            self.assertEqual({reply.status for reply in replies}, {200})
            counts = [len(server.arrivals) for server in path.servers.values()]
            self.assertLess(max(counts), 7)

        run_virtual(main)


class AsksAfterAStart(unittest.TestCase):
    def test_a_vm_asks_others_until_one_answers_that_has_not_just_started(self) -> None:
        """It asked the same three, and stopped at the first answer, whoever gave it."""

        async def main(loop: VirtualLoop) -> None:
            fleet = await ready(loop, vms=18)
            await pass_time(3.0)
            await asyncio.gather(*(fleet.restart_vm(number) for number in range(15)))
            await pass_time(0.7)
            doubtful = [
                vm.name for vm in fleet.vms[:15] if vm.gateway.servers.registry.doubts_listed
            ]
            self.assertEqual(doubtful, [])

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
