"""A few VMs follow the store for the fleet: number of calls, time until a change is in force."""

import json
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.following.follow_role import MAX_NOTICE_AGE_S, NOTICE_TIMEOUT_S
from sprucewinch.gateway.state.outages import LAPSED_ENTRY_GRACE_S
from standins.consortium_store import Fault
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .test_platform_store import BOUND_S, configuration, standin
from .virtual_fleet import REGIONS, FleetVm, VirtualFleet

_SETTLED_S = 6.0
_SERVER = (
    b'{"Service":"rates","Address":"10.1.0.1:80","Zone":"east-a","Version":"v1",'
    b'"Capacity":6,"State":"ready","WarmupLeft":"0ms","Sequence":1}'
)


async def _fleet(loop: VirtualLoop, count: int = 12, seed: int = 1) -> VirtualFleet:
    store = standin(loop)
    store.put("op/config", configuration(3))
    fleet = VirtualFleet(loop, store, count, seed=seed)
    await pass_time(_SETTLED_S)
    return fleet


def _cause_no_fault(fleet: VirtualFleet, vm: FleetVm) -> None:
    """Cause no fault."""


def _kill(fleet: VirtualFleet, vm: FleetVm) -> None:
    vm.kill()


def _isolate(fleet: VirtualFleet, vm: FleetVm) -> None:
    fleet.isolate(vm)


def _refuse_by_store(fault: Fault) -> Callable[[VirtualFleet, FleetVm], None]:
    def refuse(fleet: VirtualFleet, vm: FleetVm) -> None:
        fleet.store.faults_by_machine[vm.name] = fault

    return refuse


class WithoutFaults(unittest.TestCase):
    def test_one_vm_of_each_region_follows_the_store(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop)
            self.assertEqual(len(fleet.store_followers()), len(REGIONS))
            self.assertEqual({m.region for m in fleet.store_followers()}, set(REGIONS))

        run_virtual(main)

    def test_calls_do_not_grow_with_the_fleet(self) -> None:
        async def main(loop: VirtualLoop, count: int) -> int:
            fleet = await _fleet(loop, count)
            before = len(fleet.store.calls)
            for version in range(10, 20):
                fleet.store.put("op/config", configuration(version))
                await pass_time(2.0)
            self.assertEqual(fleet.versions(), {19})
            return len(fleet.store.calls) - before

        small = run_virtual(lambda loop: main(loop, 6))
        large = run_virtual(lambda loop: main(loop, 48))
        self.assertLessEqual(large, small + 12)

    def test_a_fleet_of_one_follows_the_store_itself(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop, 1)
            fleet.store.put("op/config", configuration(9))
            await pass_time(1.0)
            self.assertEqual(fleet.versions(), {9})

        run_virtual(main)


class InForce(unittest.TestCase):
    """A change reaches every VM in time whatever has just happened to the store followers."""

    def _reaches_all(self, cause_fault: Callable, seed: int, all_followers: bool = False) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop, 12, seed)
            for vm in fleet.store_followers() if all_followers else fleet.store_followers()[:1]:
                cause_fault(fleet, vm)
            fleet.store.put("op/config", configuration(9))
            await pass_time(BOUND_S)
            late = {m.name for m in fleet.vms if m.version() != 9} - fleet.gone
            self.assertEqual(late, set())

        run_virtual(main)

    def test_no_fault_occurs(self) -> None:
        self._reaches_all(_cause_no_fault, 1)

    @settings(max_examples=10, deadline=None)
    @given(st.integers(0, 2**16))
    def test_a_store_follower_is_killed(self, seed: int) -> None:
        self._reaches_all(_kill, seed)

    @settings(max_examples=10, deadline=None)
    @given(st.integers(0, 2**16))
    def test_all_store_followers_are_killed(self, seed: int) -> None:
        self._reaches_all(_kill, seed, all_followers=True)

    @settings(max_examples=10, deadline=None)
    @given(st.integers(0, 2**16))
    def test_a_store_follower_is_cut_off_from_all_others(self, seed: int) -> None:
        self._reaches_all(_isolate, seed)

    @settings(max_examples=10, deadline=None)
    @given(st.integers(0, 2**16))
    def test_all_store_followers_are_cut_off_from_all_others(self, seed: int) -> None:
        self._reaches_all(_isolate, seed, all_followers=True)

    def test_the_store_refuses_a_store_follower(self) -> None:
        for fault in (Fault.BUSY, Fault.MANY, Fault.RESET, Fault.SILENT):
            with self.subTest(fault=fault):
                self._reaches_all(_refuse_by_store(fault), 5)

    def test_peers_that_tell_of_a_change_and_never_give_it(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop)
            fleet.empty_deltas = True
            fleet.store.put("op/config", configuration(9))
            await pass_time(BOUND_S)
            self.assertEqual(fleet.versions(), {9})

        run_virtual(main)

    def test_a_vm_that_is_no_store_follower_is_cut_off_from_all_others(self) -> None:
        """Several seeds are needed, as with some the heartbeats of others stop early.

        The VM is then elected in time even without the fallback.
        """
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                self._cut_off_follower(seed)

    def _cut_off_follower(self, seed: int) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop, 12, seed)
            followers = {vm.name for vm in fleet.store_followers()}
            other = next(m for m in fleet.vms if m.name not in followers)
            fleet.isolate(other)
            fleet.store.put("op/config", configuration(9))
            await pass_time(BOUND_S)
            self.assertEqual(fleet.versions(), {9})

        run_virtual(main)


class Outages(unittest.TestCase):
    def test_all_know_a_change_soon_after_an_outage(self) -> None:
        for fault in (Fault.BUSY, Fault.RESET, Fault.SILENT):
            with self.subTest(fault=fault):
                run_virtual(lambda loop, f=fault: self._outage(loop, f))

    async def _outage(self, loop: VirtualLoop, fault: Fault) -> None:
        fleet = await _fleet(loop)
        fleet.store.fault = fault
        await pass_time(7.0)
        self.assertEqual(len(fleet.store_followers()), 12)
        fleet.store.fault = Fault.NONE
        fleet.store.put("op/config", configuration(9))
        await pass_time(3.0)
        self.assertEqual(fleet.versions(), {9})
        await pass_time(12.0)
        self.assertEqual(len(fleet.store_followers()), len(REGIONS))

    def test_a_vm_that_starts_again_during_an_outage_starts_from_a_peer(self) -> None:
        for fault in (Fault.BUSY, Fault.SILENT):
            with self.subTest(fault=fault):
                run_virtual(lambda loop, f=fault: self._starts_again(loop, f))

    async def _starts_again(self, loop: VirtualLoop, fault: Fault) -> None:
        fleet = await _fleet(loop)
        fleet.store.fault = fault
        killed = fleet.vms[4]
        killed.kill()
        await pass_time(1.0)
        again = fleet.start_again(killed)
        await pass_time(BOUND_S)
        self.assertEqual(again.version(), 3)
        self.assertEqual(len(again.store_view.members), 12)
        fleet.store.fault = Fault.NONE
        fleet.store.put("op/config", configuration(9))
        await pass_time(4.0)
        self.assertEqual(fleet.versions(), {9})

    def test_a_server_that_leaves_while_the_store_refuses_one_vm_is_dropped_there_in_time(
        self,
    ) -> None:
        """The VM once kept the server, as if its entry had lapsed in an outage."""

        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop)
            fleet.store.put("servers/s0", _SERVER)
            await pass_time(2.0)
            refused = fleet.store_followers()[0]
            others = [m for m in fleet.vms if m is not refused]
            fleet.store.faults_by_machine[refused.name] = Fault.BUSY
            self._silence(loop, others, True)
            for version in range(5, 15):
                fleet.store.put("op/config", configuration(version))
                await pass_time(0.5)
            fleet.store.remove("servers/s0")
            self._silence(loop, others, False)
            await pass_time(BOUND_S)
            self.assertEqual(refused.registry.offered("rates"), ())

        run_virtual(main)

    def _silence(self, loop: VirtualLoop, vms: list[FleetVm], silent: bool) -> None:
        for vm in vms:
            loop.listeners[vm.address].silent = silent

    def test_notices_of_a_follower_that_lost_the_store_stop_no_other_from_following_it(
        self,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop)
            followers = fleet.store_followers()
            for follower in followers:
                fleet.store.faults_by_machine[follower.name] = Fault.SILENT
            await pass_time(MAX_NOTICE_AGE_S + NOTICE_TIMEOUT_S + 3.5)
            now_following = {vm.name for vm in fleet.store_followers()}
            self.assertGreater(len(now_following - {f.name for f in followers}), 0)
            fleet.store.put("op/config", configuration(9))
            await pass_time(BOUND_S)
            self.assertEqual(fleet.versions(), {9})

        run_virtual(main)

    def test_each_vm_keeps_a_running_server_whose_entry_lapsed_in_an_outage_of_6_s(self) -> None:
        """The entry returns 1 s after the store, within the grace; outages start at 4 phases."""

        async def main(loop: VirtualLoop, delay_s: float) -> set[str]:
            fleet = await _fleet(loop)
            fleet.store.put("servers/s0", _SERVER)
            await pass_time(delay_s)
            fleet.store.fault = Fault.BUSY
            await pass_time(4.5)
            fleet.store.remove("servers/s0")
            await pass_time(1.5)
            self.assertEqual(self._without_server(fleet), set())
            fleet.store.fault = Fault.NONE
            dropped = await self._drops(fleet, 1.0)
            fleet.store.put("servers/s0", _SERVER)
            return dropped | await self._drops(fleet, LAPSED_ENTRY_GRACE_S)

        dropped = {}
        for delay_s in (2.0, 2.5, 3.0, 3.5):
            dropped[delay_s] = sorted(run_virtual(lambda loop, s=delay_s: main(loop, s)))
        self.assertEqual(dropped, dict.fromkeys(dropped, []))

    async def _drops(self, fleet: VirtualFleet, seconds: float) -> set[str]:
        """Return the VMs at which the server is unusable at some time within the next seconds."""
        dropped = set()
        end = fleet.loop.time() + seconds
        while fleet.loop.time() < end:
            await pass_time(0.05)
            dropped |= self._without_server(fleet)
        return dropped

    def _without_server(self, fleet: VirtualFleet) -> set[str]:
        return {vm.name for vm in fleet.vms if not vm.registry.offered("rates")}

    def test_each_vm_logs_that_the_store_is_lost_and_regained_at_each_of_two_outages(
        self,
    ) -> None:
        async def main(loop: VirtualLoop, fault: Fault) -> dict[str, list[bool]]:
            fleet = await _fleet(loop, seed=2)
            for _ in range(2):
                fleet.store.fault = fault
                await pass_time(20.0)
                fleet.store.fault = Fault.NONE
                await pass_time(90.0)
            return {vm.name: self._store_lines(vm) for vm in fleet.vms}

        expected = [True, False, True, False, True]
        others = {}
        for fault in (Fault.BUSY, Fault.SILENT):
            lines = run_virtual(lambda loop, f=fault: main(loop, f))
            others |= {(fault.name, name): ups for name, ups in lines.items() if ups != expected}
        self.assertEqual(others, {})

    def test_a_single_vm_that_the_store_refuses_logs_one_event_until_it_answers(self) -> None:
        """It probes every 10 s, is refused each time, and is not elected meanwhile."""

        async def main(loop: VirtualLoop) -> None:
            fleet = await _fleet(loop)
            refused = fleet.store_followers()[0]
            fleet.store.faults_by_machine[refused.name] = Fault.BUSY
            await pass_time(60.0)
            others = {tuple(self._store_lines(vm)) for vm in fleet.vms if vm is not refused}
            self.assertEqual(self._store_lines(refused), [True, False])
            self.assertEqual(others, {(True,)})
            self.assertNotIn(refused, fleet.store_followers())
            del fleet.store.faults_by_machine[refused.name]
            await pass_time(12.0)
            self.assertEqual(self._store_lines(refused), [True, False, True])
            sources = [row["source"] for row in self._rows(refused, "follows")]
            self.assertEqual(sources[:2], ["neighbours", "store"])

        run_virtual(main)

    def _store_lines(self, vm: FleetVm) -> list[bool]:
        """Return the field `up` of each event `store` that a VM logged."""
        return [row["up"] for row in self._rows(vm, "store")]

    def _rows(self, vm: FleetVm, event: str) -> list[dict]:
        """Return the fields of each event of one name that a VM logged."""
        rows = [json.loads(line) for line in vm.lines]
        return [row for row in rows if row["event"] == event]


if __name__ == "__main__":
    unittest.main()
