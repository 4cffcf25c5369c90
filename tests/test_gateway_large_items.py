"""A large configuration reaches VMs with narrow links in time and delays no other change.

The tests guard against transfers that never end. 1,400 routes were added three times, up to a
configuration of nearly 1 MB. After the last change 26 of 74 VMs, all with links of 10 Mbit/s, kept
an older version for at least 28 s and learned of no backend server that left. A transfer had a
timeout of 0.6 s whatever its size and restarted from the beginning after each failure, while the
store's response with the same value came over the same link. One VM received 400 to 980 KB/s and
logged `"event":"delta-failed","problem":"TimeoutError: ..."` for one peer after another.
"""

import json
import random
import unittest

from standins.consortium_store import Fault
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .test_platform_store import standin
from .virtual_fleet import FleetVm, VirtualFleet

_IN_FORCE_S = 3.0
"""Time within which a change is in force at each VM, in seconds: the operators' bound."""

_SMALL_S = 1.5
"""Time within which each VM knows of a small change beside a large one, in seconds: half the time
for which a leaving backend server still accepts requests."""

_MORE_ROUTES = 1400
_SERVICES = ("rates", "bookings", "documents")
_WIDE, _NARROW, _NARROWEST = 200, 10, 5
_LINKS = (_WIDE, _WIDE, _WIDE, *[_NARROW] * 21)
"""Bandwidth of each VM's link, in Mbit/s; one VM of each region has a wide link."""

_PHASES_S = (0.0, 0.5, 1.0, 1.5)
"""Times within a watch of 2 s at which a change is made, in seconds."""

_SERVER = (
    '{"Service":"rates","Address":"10.1.0.%d:80","Zone":"east-a","Version":"v1",'
    '"Capacity":6,"State":"%s","WarmupLeft":"0ms","Sequence":1}'
)


def large_configuration(version: int, routes: int) -> bytes:
    """Return a configuration of about 230 bytes a route.

    Its first routes are the same for any number of routes.
    """
    rng = random.Random(7)
    hosts = [
        {"Hostname": f"{_word(rng)}.example", "Paths": [_route(rng) for _ in range(100)]}
        for _ in range(routes // 100)
    ]
    services = [{"Name": name, "HealthPath": "/h", "MaxConnections": 9} for name in _SERVICES]
    table = {"Version": f"r{version}", "Services": services, "Limits": {}, "Hosts": hosts}
    return json.dumps(table).encode()


def _route(rng: random.Random) -> dict:
    return {
        "Name": f"r-{_word(rng)}",
        "PathPrefix": f"/{_word(rng)}/",
        "Service": rng.choice(_SERVICES),
        "RouteType": rng.choice(("safe", "unsafe", "upload")),
        "Timeout": "2500ms",
        "TargetLatency": "1200ms",
        "MaxAttempts": 2,
        "Priority": 1,
        "AllowedRegions": [],
        "SessionAffinity": True,
    }


def _word(rng: random.Random) -> str:
    return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=8))


def _size(vm: FleetVm, key: str) -> int:
    """Return the length of a value at a VM, in bytes; 0 if it is not held."""
    item = vm.store_view.replica.items.get(key)
    return len(item.value) if item else 0


class LargeConfigurations(unittest.TestCase):
    def _fleet(self, loop: VirtualLoop, links: tuple[int, ...], routes: int) -> VirtualFleet:
        store = standin(loop)
        store.put("op/config", large_configuration(1, routes))
        for number in range(20):
            store.put(f"servers/s{number}", (_SERVER % (number, "ready")).encode())
        return VirtualFleet(loop, store, len(links), seed=1, link_mbps=links)

    def _late_after_each_growth(self, links: tuple[int, ...]) -> list[dict[str, int]]:
        """Add routes three times; return the VMs that are late each time, with their versions."""

        async def main(loop: VirtualLoop) -> list[dict[str, int]]:
            fleet = self._fleet(loop, links, 100)
            await pass_time(8.0)
            return [await self._change(fleet, step) for step in (1, 2, 3)]

        return run_virtual(main)

    async def _change(self, fleet: VirtualFleet, step: int) -> dict[str, int]:
        version = 10 * step
        fleet.store.put("op/config", large_configuration(version, step * _MORE_ROUTES))
        await pass_time(_IN_FORCE_S)
        return {vm.name: vm.version() for vm in fleet.vms if vm.version() != version}

    def test_each_is_in_force_in_time_with_narrow_links(self) -> None:
        self.assertEqual(self._late_after_each_growth(_LINKS), [{}, {}, {}])

    def test_each_is_in_force_in_time_with_the_narrowest_links(self) -> None:
        links = tuple(_NARROWEST if mbps == _NARROW else mbps for mbps in _LINKS)
        self.assertEqual(self._late_after_each_growth(links), [{}, {}, {}])

    def test_servers_that_leave_beside_one_are_known_in_time(self) -> None:
        async def main(loop: VirtualLoop) -> dict[str, list[str]]:
            fleet = self._fleet(loop, _LINKS, _MORE_ROUTES)
            await pass_time(8.0)
            fleet.store.put("op/config", large_configuration(10, 3 * _MORE_ROUTES))
            late = {}
            for number in range(6):
                late[f"s{number}"] = await self._leave(fleet, number)
            return late

        late = run_virtual(main)
        self.assertEqual(late, dict.fromkeys(late, []))

    async def _leave(self, fleet: VirtualFleet, number: int) -> list[str]:
        """Let a server announce its departure; return the VMs that do not know it in time."""
        fleet.store.put(f"servers/s{number}", (_SERVER % (number, "draining")).encode())
        await pass_time(_SMALL_S)
        return [vm.name for vm in fleet.vms if not vm.store_view.backends[f"s{number}"].draining]

    def test_vms_with_narrow_links_take_it_from_the_store_in_time(self) -> None:
        """At the start, and without peers; the change is made at four phases of the watches."""
        self.assertEqual(run_virtual(self._start), {1})
        late = {s: run_virtual(lambda loop, s=s: self._alone(loop, s)) for s in _PHASES_S}
        self.assertEqual(late, dict.fromkeys(late, {}))

    def test_a_vm_that_missed_many_versions_catches_up(self) -> None:
        """A watch delivers each of them: 12 take 30 s on its link, longer than any call may."""

        async def main(loop: VirtualLoop) -> set[int]:
            fleet = self._fleet(loop, (_NARROWEST,), _MORE_ROUTES)
            await pass_time(8.0)
            fleet.store.fault = Fault.BUSY
            for version in range(10, 22):
                fleet.store.put("op/config", large_configuration(version, 3 * _MORE_ROUTES))
                await pass_time(0.8)
            fleet.store.fault = Fault.NONE
            await pass_time(15.0)
            return fleet.versions()

        self.assertEqual(run_virtual(main), {21})

    def test_one_narrow_vm_serves_all_others_while_the_store_is_away(self) -> None:
        async def main(loop: VirtualLoop) -> set[int]:
            fleet = self._fleet(loop, (_NARROW,) * 24, 100)
            await pass_time(8.0)
            fleet.store.fault = Fault.BUSY
            for vm in fleet.vms[1:]:
                fleet.store.faults_by_machine[vm.name] = Fault.BUSY
            fleet.store.put("blobs/1", random.Random(3).randbytes(700_000))
            fleet.store.faults_by_machine[fleet.vms[0].name] = Fault.NONE
            await pass_time(30.0)
            return {_size(vm, "blobs/1") for vm in fleet.vms}

        self.assertEqual(run_virtual(main), {700_000})

    async def _start(self, loop: VirtualLoop) -> set[int]:
        fleet = self._fleet(loop, (_NARROWEST,) * 3, 3 * _MORE_ROUTES)
        await pass_time(8.0)
        return fleet.versions()

    async def _alone(self, loop: VirtualLoop, phase_s: float) -> dict[str, int]:
        fleet = self._fleet(loop, (_NARROWEST, _NARROW, _NARROWEST), _MORE_ROUTES)
        await pass_time(8.0)
        for vm in fleet.vms:
            fleet.isolate(vm)
        await pass_time(4.0 + phase_s)
        return await self._change(fleet, 3)


if __name__ == "__main__":
    unittest.main()
