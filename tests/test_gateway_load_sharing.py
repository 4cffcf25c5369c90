"""VMs of a fleet tell each other of server loads: over good links, cut ones, late and twice."""

import random
import statistics
import time
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from sprucewinch.gateway.load_sharing.load_sharing import SUMMARY_INTERVAL_S
from sprucewinch.gateway.load_sharing.load_summary import MAX_SUMMARY_BYTES
from sprucewinch.gateway.load_sharing.recipients import MAX_BYTES_PER_S, PACKET_OVERHEAD_BYTES
from sprucewinch.gateway.servers.backend_server import BackendServer
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .test_platform_store import configuration, standin
from .virtual_fleet import FleetVm, VirtualFleet

_SERVERS = 24


def _entry(number: int, born: int = 1_764_000_000_000) -> bytes:
    return msgspec.json.encode(
        {
            "Service": "rates",
            "Address": f"10.1.0.{number}:80",
            "Zone": "east-a",
            "Version": "v1",
            "Capacity": 6,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Sequence": 1,
            "born": born,
        }
    )


class Fleet:
    """A virtual fleet that knows some backend servers and has heard from none."""

    def __init__(self, loop: VirtualLoop, vms: int) -> None:
        self.loop = loop
        self.store = standin(loop)
        self.store.put("op/config", configuration(3))
        for number in range(_SERVERS):
            self.store.put(f"servers/s{number}", _entry(number))
        self.fleet = VirtualFleet(loop, self.store, vms)
        self.vms = self.fleet.vms
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.largest = 0
        self.copies = 1
        self.extra_delays_s = (0.0,)
        self._delivered = 0
        self._deliver = self.fleet.deliver
        self.fleet.deliver = self._count  # type: ignore[method-assign]

    def _count(self, sender: FleetVm, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram; summaries are counted and may come late and several times."""
        if msgspec.msgpack.decode(data)[0] != "loads":
            self._deliver(sender, data, address)
            return
        size = len(data)
        self.largest = max(self.largest, size)
        self.sent[sender.name] += size + PACKET_OVERHEAD_BYTES
        self.received[f"{address[0]}:{address[1]}"] += size + PACKET_OVERHEAD_BYTES
        for _ in range(self.copies):
            delay_s = self.extra_delays_s[self._delivered % len(self.extra_delays_s)]
            self._delivered += 1
            if delay_s:
                self.loop.call_later(delay_s, self._deliver, sender, data, address)
            else:
                self._deliver(sender, data, address)

    async def ready(self) -> "Fleet":
        """Wait until the VMs know each other and the servers."""
        await pass_time(6.0)
        return self

    def server(self, vm: FleetVm, name: str = "s0") -> BackendServer:
        return vm.registry.servers[name]

    def hear(self, vm: FleetVm, held: int, pace: float | None = 1.0, name: str = "s0") -> None:
        """Let a VM hear a server's load and pace in an answer."""
        vm.registry.record_load(self.server(vm, name), held, 0, self.loop.time(), pace)

    def loads(self, name: str = "s0") -> list[float]:
        """Return the load of a server as each VM estimates it."""
        now = self.loop.time()
        return [self.server(vm, name).load(now) for vm in self.vms]


def _in_a_fleet(vms: int, play: Callable[[Fleet], Awaitable[Any]]) -> Any:
    async def main(loop: VirtualLoop) -> Any:
        return await play(await Fleet(loop, vms).ready())

    return run_virtual(main)


class Told(unittest.TestCase):
    def test_vms_that_never_asked_a_server_know_it_within_an_interval(self) -> None:
        async def play(fleet: Fleet) -> None:
            fleet.hear(fleet.vms[0], 18, 2.5)
            await pass_time(1.1 * SUMMARY_INTERVAL_S + 0.01)
            now = fleet.loop.time()
            for vm in fleet.vms[1:]:
                if vm.region == fleet.vms[0].region:
                    server = fleet.server(vm)
                    self.assertGreater(server.load(now), 12.0)
                    self.assertGreater(server.pace.pace(now), 1.9)
                    self.assertLess(server.load_age_s(now), 0.3)
            known = [s for s in map(fleet.server, fleet.vms[1:]) if s.load_age_s(now) < 1.0]
            self.assertGreater(len(known), 5)

        _in_a_fleet(12, play)

    def test_servers_without_a_pace_are_told_to_nobody(self) -> None:
        async def play(fleet: Fleet) -> None:
            for _ in range(40):
                fleet.hear(fleet.vms[0], 6, None)
                await pass_time(0.05)
            self.assertEqual(sum(fleet.sent.values()), 0)
            self.assertEqual(fleet.loads()[1:], [0.0] * 5)

        _in_a_fleet(6, play)

    def test_what_was_told_is_not_passed_on(self) -> None:
        async def play(fleet: Fleet) -> None:
            fleet.hear(fleet.vms[0], 6)
            await pass_time(2.0)
            self.assertEqual(set(fleet.sent), {"vm0"})
            self.assertEqual([vm.load_sharing.sent_count for vm in fleet.vms[1:]], [0] * 5)

        _in_a_fleet(6, play)

    def test_a_server_that_started_anew_has_nothing_of_its_former_process(self) -> None:
        async def play(fleet: Fleet) -> None:
            late = fleet.vms[3]
            fleet.extra_delays_s = (1.0,)
            fleet.hear(fleet.vms[0], 30, 5.0)
            await pass_time(0.3)
            fleet.store.put("servers/s0", _entry(0, 1_764_000_300_000))
            await pass_time(2.0)
            self.assertGreater(late.load_sharing.received.dropped, 0)
            self.assertEqual(fleet.server(late).pace.stated, None)

        _in_a_fleet(6, play)


class OverBadLinks(unittest.TestCase):
    def test_a_link_cut_one_way_lets_what_is_known_fade_and_returns(self) -> None:
        async def play(fleet: Fleet) -> None:
            teller, other = fleet.vms[0], fleet.vms[3]
            self.assertEqual(teller.region, other.region)
            fleet.fleet.cut_links = {(vm.name, other.name) for vm in fleet.vms}
            for _ in range(20):
                fleet.hear(teller, 18, 2.5)
                fleet.hear(other, 9, 2.5, "s1")
                await pass_time(0.1)
            now = fleet.loop.time()
            self.assertEqual(fleet.server(other).load_age_s(now), float("inf"))
            self.assertEqual(fleet.server(other).pace.pace(now), 1.0)
            self.assertAlmostEqual(fleet.server(other).load(now), 9.0, delta=0.1)
            self.assertLess(fleet.server(teller, "s1").load_age_s(now), 0.5)
            fleet.fleet.cut_links = set()
            await pass_time(3.0)
            fleet.hear(teller, 18, 2.5)
            await pass_time(0.3)
            self.assertLess(fleet.server(other).load_age_s(fleet.loop.time()), 0.4)

        _in_a_fleet(6, play)

    def test_late_and_doubled_summaries_leave_the_newest_statement(self) -> None:
        async def play(fleet: Fleet) -> None:
            fleet.hear(fleet.vms[0], 1, 1.0, "s1")
            await pass_time(0.4)
            fleet.copies, fleet.extra_delays_s = 3, (0.0, 0.7, 0.31, 1.4, 0.05)
            last = 0
            for number in range(60):
                last = 1 + number % 17
                fleet.hear(fleet.vms[0], last, 1.0 + last / 10)
                await pass_time(0.05)
            heard_at = fleet.server(fleet.vms[0]).estimate.recorded_at
            await pass_time(2.0)
            for vm in fleet.vms[1:]:
                server = fleet.server(vm)
                self.assertLessEqual(server.estimate.recorded_at, heard_at + 0.02)
                if vm.region == fleet.vms[0].region:
                    self.assertAlmostEqual(server.estimate.recorded_at, heard_at, delta=0.02)
                    self.assertEqual(server.estimate.others, last)
                    self.assertAlmostEqual(server.pace.stated or 0.0, 1.0 + last / 10)

        _in_a_fleet(6, play)

    def test_summaries_later_than_they_are_of_use_are_dropped(self) -> None:
        async def play(fleet: Fleet) -> None:
            fleet.hear(fleet.vms[0], 1, 1.0, "s1")
            await pass_time(0.4)
            fleet.extra_delays_s = (3.0,)
            fleet.hear(fleet.vms[0], 30, 5.0)
            await pass_time(4.0)
            other = fleet.vms[3]
            self.assertGreater(other.load_sharing.received.dropped, 0)
            self.assertIsNone(fleet.server(other).pace.stated)

        _in_a_fleet(6, play)

    def test_a_vm_that_joins_is_told_too(self) -> None:
        async def play(fleet: Fleet) -> None:
            fleet.hear(fleet.vms[0], 18, 2.5)
            await pass_time(1.0)
            joined = FleetVm(fleet.fleet, 6)
            fleet.vms.append(joined)
            self.assertEqual(joined.region, fleet.vms[0].region)
            for _ in range(60):
                fleet.hear(fleet.vms[0], 18, 2.5)
                await pass_time(0.1)
            self.assertEqual(fleet.server(joined).pace.stated, 2.5)

        _in_a_fleet(6, play)

    def test_a_vm_that_starts_is_told_what_is_known_now(self) -> None:
        async def play(fleet: Fleet) -> None:
            fleet.vms[3].kill()
            for _ in range(30):
                fleet.hear(fleet.vms[0], 18, 2.5)
                await pass_time(0.1)
            fresh = fleet.fleet.start_again(fleet.vms[3])
            while "s0" not in fresh.registry.servers:
                await pass_time(0.1)
            self.assertEqual(fleet.server(fresh).load_age_s(fleet.loop.time()), float("inf"))
            started = fleet.loop.time()
            while fleet.server(fresh).pace.stated is None:
                fleet.hear(fleet.vms[0], 18, 2.5)
                await pass_time(0.1)
                self.assertLess(fleet.loop.time() - started, 5.0)
            self.assertLess(fleet.server(fresh).load_age_s(fleet.loop.time()), 0.5)

        _in_a_fleet(6, play)


class AfterAStandstill(unittest.TestCase):
    def _frozen(self, vm: FleetVm) -> None:
        """Make a VM find that its next summary is overdue, as after a standstill."""
        vm.load_sharing._ticked_at -= 5.0

    def test_messages_of_unknown_senders_are_not_dated(self) -> None:
        async def play(fleet: Fleet) -> None:
            other = fleet.vms[3]
            self._frozen(other)
            fleet.hear(fleet.vms[0], 30, 5.0)
            fleet.vms[0].load_sharing._tick(fleet.loop.time())
            await pass_time(0.02)
            self.assertIsNone(fleet.server(other).pace.stated)
            self.assertGreater(other.load_sharing.received.dropped, 0)

        _in_a_fleet(6, play)

    def test_messages_of_known_senders_count_by_their_age(self) -> None:
        async def play(fleet: Fleet) -> None:
            fleet.hear(fleet.vms[0], 1, 1.0, "s1")
            await pass_time(0.4)
            other = fleet.vms[3]
            self._frozen(other)
            fleet.hear(fleet.vms[0], 30, 5.0)
            fleet.vms[0].load_sharing._tick(fleet.loop.time())
            await pass_time(0.02)
            self.assertEqual(fleet.server(other).pace.stated, 5.0)

        _in_a_fleet(6, play)

    def test_answers_from_its_own_buffers_are_told_to_nobody(self) -> None:
        async def play(fleet: Fleet) -> None:
            self._frozen(fleet.vms[0])
            fleet.hear(fleet.vms[0], 30, 5.0)
            await pass_time(0.3)
            self.assertEqual(fleet.vms[0].load_sharing.sent_count, 0)
            await pass_time(0.5)
            fleet.hear(fleet.vms[0], 30, 5.0)
            await pass_time(0.3)
            self.assertGreater(fleet.vms[0].load_sharing.sent_count, 0)

        _in_a_fleet(6, play)


class ChangingPaces(unittest.TestCase):
    """A server in six is slow by 2.5 times for 0.6 s; each VM hears of one every two seconds."""

    def _seen(self, *, shared: bool) -> tuple[float, float]:
        """Return the mean pace that VMs expect of slow servers and of the others."""

        async def play(fleet: Fleet) -> tuple[float, float]:
            if not shared:
                names = [vm.name for vm in fleet.vms]
                fleet.fleet.cut_links = {(sender, to) for sender in names for to in names}
            rng = random.Random(4)
            slow: set[int] = set()
            seen: dict[bool, list[float]] = {True: [], False: []}
            for step in range(120):
                if step % 12 == 0:
                    slow = set(rng.sample(range(_SERVERS), _SERVERS // 6))
                for vm in fleet.vms:
                    if rng.random() < 0.6:
                        number = rng.randrange(_SERVERS)
                        fleet.hear(vm, 6, 2.5 if number in slow else 1.0, f"s{number}")
                await pass_time(0.05)
                if step % 12 < 6:
                    continue
                now = fleet.loop.time()
                for vm in fleet.vms:
                    for number in range(_SERVERS):
                        pace = fleet.server(vm, f"s{number}").pace.pace(now)
                        seen[number in slow].append(pace)
            return statistics.mean(seen[True]), statistics.mean(seen[False])

        return _in_a_fleet(12, play)

    def test_slow_servers_are_told_from_others_while_they_are_slow(self) -> None:
        alone, shared = self._seen(shared=False), self._seen(shared=True)
        self.assertLess(alone[0] - alone[1], 0.3)
        self.assertGreater(shared[0] - shared[1], 2.5 * (alone[0] - alone[1]))


class FreeServers(unittest.TestCase):
    def test_vms_told_of_one_server_fill_no_more_than_its_free_slots_each(self) -> None:
        """The server holds four requests of others and has two free slots; others are busy."""

        async def play(fleet: Fleet) -> None:
            sent: Counter[str] = Counter()
            for _ in range(20):
                fleet.hear(fleet.vms[0], 4 + sum(sent.values()), 1.0)
                for number in range(1, 9):
                    fleet.hear(fleet.vms[0], 6, 1.0, f"s{number}")
                for vm in fleet.vms[1:]:
                    server = fleet.server(vm)
                    while server.load(fleet.loop.time()) <= 5 and server.pace.stated:
                        vm.registry.take(server, fleet.loop.time())
                        sent[vm.name] += 1
                await pass_time(0.05)
            self.assertIn(max(sent.values()), (1, 2))
            for load in fleet.loads()[1:]:
                self.assertGreater(load, 5.0)

        _in_a_fleet(6, play)


class Bytes(unittest.TestCase):
    def test_a_busy_fleet_stays_within_its_bound(self) -> None:
        """Thirty VMs hear of all servers 100 times a second each."""

        async def play(fleet: Fleet) -> None:
            seconds = 8.0
            before = time.process_time()
            for step in range(int(seconds * 25)):
                for at, vm in enumerate(fleet.vms):
                    for number in range(4):
                        name = f"s{(step * 4 + number + at) % _SERVERS}"
                        fleet.hear(vm, (step + at) % 20, 1.0 + step % 3, name)
                await pass_time(0.04)
            self.assertLess(time.process_time() - before, 120.0)
            self.assertLessEqual(fleet.largest, MAX_SUMMARY_BYTES)
            for vm in fleet.vms:
                spent = fleet.sent[vm.name] + fleet.received[vm.address]
                self.assertLess(spent / seconds, MAX_BYTES_PER_S)
                self.assertGreater(fleet.received[vm.address] / seconds, MAX_BYTES_PER_S / 5)
            ages = [
                fleet.server(vm, f"s{number}").load_age_s(fleet.loop.time())
                for vm in fleet.vms
                for number in range(_SERVERS)
            ]
            self.assertLess(max(ages), 1.0)

        _in_a_fleet(30, play)


if __name__ == "__main__":
    unittest.main()
