"""How fast all VMs of a fleet know of a request that crashes servers, and at which network cost.

Only the parts that report and assess crashes run, on virtual links between three regions, without
heartbeats, store and servers, so that a fleet of 300 VMs takes seconds.
"""

import random
import unittest
from typing import NamedTuple

import msgspec

from sprucewinch.gateway.crashes.crash_reports import (
    CrashReport,
    CrashReporter,
    ObservedCrash,
    SuccessReport,
    observed_crash,
)
from sprucewinch.gateway.crashes.quarantine import Quarantine
from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.following.follow_role import FollowRole
from sprucewinch.gateway.membership.gossip import Gossip
from sprucewinch.gateway.requests.client_request import ClientRequest
from sprucewinch.gateway.resources import BackendEntry, Member
from sprucewinch.gateway.servers.backend_server import BackendServer
from sprucewinch.gateway.state.outages import StoreOutages
from sprucewinch.gateway.timing import Timing
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import StoreFixture

SIZES = (12, 195, 300)
NEAR_S, FAR_S = 0.001, 0.035
CONTACT_S = 3.0
"""Time within which all VMs have to know, in seconds."""

CONTROL_BYTES_PER_S = 11_000
"""Control traffic that a VM may receive, in bytes a second: the users' target."""

_WITNESSES = 6
_CRASH_PAUSE_S = 0.2


class Measurement(NamedTuple):
    """Measurements of one fleet.

    Args:
        known_s: Time from the third crash until the last VM refuses the request, in seconds.
        bytes_a_vm: Mean bytes of messages that a VM received for each crash.
    """

    known_s: float
    bytes_a_vm: float


class Vm:
    """The parts of one VM that handle crashes."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.name = f"vm{number}"
        self.region = number % 3
        self.address = f"10.1.{number // 200}.{number % 200 + 1}:70"
        loop = fleet.loop
        self.datagrams = Datagrams(loop.time)
        self.datagrams.transport = self  # type: ignore[assignment]
        role = FollowRole(
            self.name,
            f"r{self.region}",
            Gossip(self.name, 1, random.Random(number)),
            fleet.world.store_view,
            StoreOutages(1.5),
            regions=3,
        )
        self.quarantine = Quarantine(
            fleet.world.store_view, self.name, "x-request-id", monotonic=loop.time, wall=loop.time
        )
        timing = Timing(loop.time, random.Random(number))
        reporter = CrashReporter(
            self.datagrams, role, timing, earlier=self.quarantine.suspects.earlier
        )
        self.quarantine.suspects.reporter = reporter
        self.datagrams.register(CrashReport, self.quarantine.suspects.on_crash_report)
        self.datagrams.register(SuccessReport, self.quarantine.on_success_report)
        self.task = loop.create_task(reporter.run())

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.fleet.deliver(self, data, f"{address[0]}:{address[1]}")


class Fleet:
    """VMs of three regions."""

    def __init__(self, loop: VirtualLoop, size: int, *, loss_ratio: float = 0.0) -> None:
        self.loop = loop
        self.world = StoreFixture(vms=0)
        self.rng = random.Random(size)
        self.loss_ratio = loss_ratio
        self.received = 0
        self.vms = [Vm(self, number) for number in range(size)]
        self.by_address = {vm.address: vm for vm in self.vms}
        for vm in self.vms:
            member = Member(vm.name, "h", f"r{vm.region}", vm.address, vm.address)
            self.world.put(f"members/{vm.name}", member)

    def deliver(self, sender: Vm, data: bytes, address: str) -> None:
        """Deliver a datagram to its VM over the link between the regions."""
        vm = self.by_address[address]
        self.received += len(data)
        if self.rng.random() >= self.loss_ratio:
            delay_s = NEAR_S if vm.region == sender.region else FAR_S
            receive = vm.datagrams.datagram_received
            self.loop.call_later(delay_s, receive, data, (sender.address.split(":")[0], 70))

    def request(self, target: str = "/rates/sick") -> ClientRequest:
        """Return a request that arrives now."""
        now = self.loop.time()
        return ClientRequest("q", "GET", "a", target, target, (), b"", now, now + 2.5)

    async def crash(self, number: int) -> None:
        """Crash a server under the crashing request and others, at VMs of all regions."""
        backend = BackendEntry(f"i-{number}", "rates", "10.0.0.1:80", "h", 6)
        ended = self.loop.time()
        first = number * _WITNESSES
        for offset in range(_WITNESSES):
            vm = self.vms[(first + offset) % len(self.vms)]
            is_crashing = offset == 0
            request = self.request() if is_crashing else self.request(f"/rates/{number}-{offset}")
            vm.quarantine.record_crash(request, BackendServer(backend), ended - 0.1, ended)
        await pass_time(_CRASH_PAUSE_S)

    def refusing(self) -> int:
        """Return how many VMs refuse the crashing request now."""
        return sum(vm.quarantine.refusal(self.request()) is not None for vm in self.vms)


async def _known(loop: VirtualLoop, size: int, loss_ratio: float) -> Measurement:
    fleet = Fleet(loop, size, loss_ratio=loss_ratio)
    for number in range(3):
        third = loop.time()
        await fleet.crash(number)
    while fleet.refusing() < size and loop.time() < third + 2 * CONTACT_S:
        await pass_time(0.01)
    known_s = loop.time() - third
    await pass_time(3.0)
    return Measurement(known_s, fleet.received / size / 3)


class Fleets(unittest.TestCase):
    def test_the_last_vm_knows_well_within_the_time_limit(self) -> None:
        for size in SIZES:
            for loss_ratio in (0.0, 0.1):
                with self.subTest(size=size, loss_ratio=loss_ratio):
                    found = run_virtual(lambda loop, n=size, p=loss_ratio: _known(loop, n, p))
                    self.assertLess(found.known_s, CONTACT_S / 2)

    def test_the_cost_of_a_crash_for_a_vm_does_not_grow_with_the_fleet(self) -> None:
        costs = [run_virtual(lambda loop, n=n: _known(loop, n, 0.0)).bytes_a_vm for n in SIZES]
        self.assertLess(max(costs), 1.2 * costs[0])
        self.assertLess(max(costs), CONTROL_BYTES_PER_S / 4)


class Messages(unittest.TestCase):
    def test_a_crash_is_decoded_from_its_message_in_this_vms_time(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = Fleet(loop, 3)
            await fleet.crash(1)
            (crash,) = fleet.vms[2].quarantine.suspects.log.crashes
            self.assertEqual(crash.process.server_id, "i-1")
            self.assertAlmostEqual(crash.at, 1000.0, delta=FAR_S + 0.002)
            self.assertEqual(crash.seen_by, {"vm0", "vm1", "vm2"})

        run_virtual(main)

    def test_a_message_fits_one_packet(self) -> None:
        sent: list[bytes] = []

        async def main(loop: VirtualLoop) -> None:
            fleet = Fleet(loop, 2)
            fleet.deliver = lambda _vm, data, _address: sent.append(data)  # type: ignore
            backend = BackendServer(BackendEntry("i-" + "7" * 20, "rates", "1.2.3.4:80", "h", 6))
            for number in range(32):
                request = fleet.request(f"/rates/{number:0200}")
                fleet.vms[0].quarantine.record_crash(request, backend, 999.0, 1000.0)
            await pass_time(0.1)

        run_virtual(main)
        self.assertEqual(len(sent), 4)
        self.assertLess(max(map(len, sent)), 1472)
        reports = [msgspec.msgpack.decode(data, type=CrashReport) for data in sent]
        self.assertEqual(sum(len(report.suspects) for report in reports), 32)
        self.assertIsInstance(observed_crash(reports[0], 1000.0), ObservedCrash)


if __name__ == "__main__":
    unittest.main()
