"""Content and recipients of heartbeats, in a fleet on a virtual clock.

The tests guard against heartbeats that carry the rows of all VMs to all regions. At 195 VMs a VM
that stopped then sent 1.4 MB at once on a link of 20 Mbit/s, beside its callers' responses.
"""

import unittest
from typing import Any, NamedTuple

import msgspec

from standins.consortium_store import StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .test_platform_store import configuration
from .virtual_fleet import FleetVm, VirtualFleet

_VMS = 12
_SETTLED_S = 6.0
_MAX_STOP_BYTES = 100


class SentHeartbeat(NamedTuple):
    """A heartbeat in transit."""

    sender: FleetVm
    receiver: FleetVm
    names: tuple[str, ...]
    size: int


class RecordedFleet:
    """A fleet whose heartbeats are recorded."""

    def __init__(self, loop: VirtualLoop) -> None:
        store = StoreStandIn(loop)
        store.put("op/config", configuration(3))
        self.fleet = VirtualFleet(loop, store, _VMS)
        self.sent: list[SentHeartbeat] = []
        self._deliver = self.fleet.deliver
        self.fleet.deliver = self._record  # type: ignore[method-assign]

    def _record(self, sender: Any, data: bytes, address: tuple[str, int]) -> None:
        tag, *fields = msgspec.msgpack.decode(data)
        receiver = next(vm for vm in self.fleet.vms if vm.peer() == address)
        if tag == "beat":
            names = tuple(row[0] for row in fields[2])
            self.sent.append(SentHeartbeat(sender, receiver, names, len(data)))
        self._deliver(sender, data, address)

    def region(self, name: str) -> str:
        """Return the region of a VM."""
        return next(vm.region for vm in self.fleet.vms if vm.name == name)


class Rows(unittest.TestCase):
    def test_a_heartbeat_carries_the_rows_of_its_senders_region(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            recorded = RecordedFleet(loop)
            await pass_time(_SETTLED_S)
            for heartbeat in recorded.sent:
                regions = {recorded.region(name) for name in heartbeat.names}
                self.assertEqual(regions, {heartbeat.sender.region})

        run_virtual(main)

    def test_heartbeats_reach_the_own_region_and_the_others(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            recorded = RecordedFleet(loop)
            await pass_time(_SETTLED_S)
            for vm in recorded.fleet.vms:
                reached = {
                    heartbeat.receiver.region
                    for heartbeat in recorded.sent
                    if heartbeat.sender is vm
                }
                self.assertEqual(reached, {each.region for each in recorded.fleet.vms})

        run_virtual(main)

    def test_every_vm_is_in_touch_with_every_other(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = RecordedFleet(loop).fleet
            await pass_time(_SETTLED_S)
            now = loop.time()
            silent = [
                (vm.name, other.name)
                for vm in fleet.vms
                for other in fleet.vms
                if other is not vm and not vm.gossip.in_touch(other.name, now)
            ]
            self.assertEqual(silent, [])

        run_virtual(main)


class Stops(unittest.TestCase):
    def test_a_stop_is_announced_to_all_in_few_bytes_and_known_at_once(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            recorded = RecordedFleet(loop)
            await pass_time(_SETTLED_S)
            stopping, *others = recorded.fleet.vms
            recorded.sent.clear()
            stopping.heartbeats.ready = lambda: False
            stopping.heartbeats.announce()
            announced = [heartbeat for heartbeat in recorded.sent if heartbeat.sender is stopping]
            self.assertEqual(
                {heartbeat.receiver.name for heartbeat in announced}, {v.name for v in others}
            )
            self.assertLess(max(heartbeat.size for heartbeat in announced), _MAX_STOP_BYTES)
            await pass_time(0.1)
            naming = [v for v in others if v.gossip.accepts_callers(stopping.name, loop.time())]
            self.assertEqual(naming, [])

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
