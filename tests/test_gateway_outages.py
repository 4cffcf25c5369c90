"""Entries of running servers that lapse during an outage of the store."""

import json
import unittest

from sprucewinch.gateway.servers.backend_registry import BackendRegistry
from sprucewinch.gateway.state.outages import LAPSED_ENTRY_GRACE_S, MAX_ANSWER_AGE_S, StoreOutages
from standins.consortium_store import Fault, StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import BOUNDS, REGIONS
from .test_platform_store import FollowingVm, started

_HEARTBEAT_S = 1.5


def _entry(state: str = "ready") -> bytes:
    table = {"Service": "rates", "Address": "10.0.0.1:80", "Zone": "east-a", "Capacity": 6}
    stated = {"State": state, "Version": "v1", "WarmupLeft": "0ms", "Sequence": 1}
    return json.dumps({**table, **stated}).encode()


class _Followed:
    """A store, a VM that follows it, and the VM's registry of backend servers."""

    def __init__(self, loop: VirtualLoop, store: StoreStandIn, vm: FollowingVm) -> None:
        self.loop = loop
        self.store = store
        self.registry = BackendRegistry(vm.store_view, BOUNDS, "vm0", REGIONS, vm.outages)

    async def pass_time(self, seconds: float) -> None:
        """Let time pass, and update the registry as the daemon's ticks do."""
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await pass_time(0.1)
            self.registry.count_new_as_cold()
            self.registry.drop_lapsed(self.loop.time())

    async def outage(self, seconds: float) -> None:
        """Make the store unreachable for a time in which the server's entry lapses."""
        self.store.fault = Fault.RESET
        await self.pass_time(seconds)
        self.store.remove("servers/s0")
        self.store.fault = Fault.NONE

    def usable(self) -> list[str]:
        """Return the IDs of the servers that may get requests."""
        return [server.backend.id for server in self.registry.offered("rates")]


async def _followed(loop: VirtualLoop) -> _Followed:
    store, vm = await started(loop)
    followed = _Followed(loop, store, vm)
    store.put("servers/s0", _entry())
    await followed.pass_time(6.0)
    return followed


class Lapses(unittest.TestCase):
    def test_a_running_server_stays_in_use_and_warm_until_its_entry_returns(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            followed = await _followed(loop)
            await followed.outage(6.0)
            await followed.pass_time(1.5)
            self.assertEqual(followed.usable(), ["s0"])
            followed.store.put("servers/s0", _entry())
            await followed.pass_time(5.0)
            self.assertEqual(followed.usable(), ["s0"])
            self.assertFalse(followed.registry.servers["s0"].cold(loop.time()))

        run_virtual(main)

    def test_a_server_whose_entry_does_not_return_is_dropped(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            followed = await _followed(loop)
            await followed.outage(6.0)
            await followed.pass_time(LAPSED_ENTRY_GRACE_S + 1.5)
            self.assertEqual(followed.usable(), [])

        run_virtual(main)

    def test_a_server_that_had_announced_its_departure_is_dropped_at_once(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            followed = await _followed(loop)
            followed.store.put("servers/s0", _entry("draining"))
            await followed.pass_time(1.0)
            await followed.outage(6.0)
            await followed.pass_time(1.5)
            self.assertEqual(followed.registry.servers, {})

        run_virtual(main)

    def test_without_an_outage_of_a_heartbeat_interval_a_missing_entry_is_dropped(self) -> None:
        for outage_s in (0.0, 0.4):
            with self.subTest(outage_s=outage_s):
                run_virtual(lambda loop, s=outage_s: self._lapse(loop, s))

    async def _lapse(self, loop: VirtualLoop, outage_s: float) -> None:
        followed = await _followed(loop)
        await followed.outage(outage_s)
        await followed.pass_time(1.2)
        self.assertEqual(followed.usable(), [])

    def test_servers_first_seen_after_an_outage_are_probed(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            followed = await _followed(loop)
            await followed.outage(6.0)
            followed.store.put("servers/s1", _entry())
            await followed.pass_time(1.5)
            self.assertEqual([s.backend.id for s in followed.registry.to_probe], ["s1"])

        run_virtual(main)


class Outages(unittest.TestCase):
    def test_only_long_outages_count_and_only_for_a_while(self) -> None:
        outages = StoreOutages(_HEARTBEAT_S)
        outages.record_failure(10.0)
        outages.record_failure(11.0)
        self.assertFalse(outages.entries_may_have_lapsed(11.4))
        self.assertTrue(outages.entries_may_have_lapsed(11.5))
        outages.record_answer(12.0)
        self.assertTrue(outages.entries_may_have_lapsed(12.0 + LAPSED_ENTRY_GRACE_S - 0.01))
        self.assertFalse(outages.entries_may_have_lapsed(12.0 + LAPSED_ENTRY_GRACE_S))
        outages.record_failure(20.0)
        outages.record_answer(20.5)
        self.assertFalse(outages.entries_may_have_lapsed(20.6))

    def test_for_a_vm_that_relied_on_peers_an_outage_begins_after_the_last_known_answer(
        self,
    ) -> None:
        outages = StoreOutages(_HEARTBEAT_S)
        outages.record_peer_answer(10.0, 10.1)
        outages.record_failure(14.2, relied_on_peers=True)
        lost_at = 10.0 + MAX_ANSWER_AGE_S
        self.assertFalse(outages.entries_may_have_lapsed(lost_at + _HEARTBEAT_S - 0.01))
        self.assertTrue(outages.entries_may_have_lapsed(lost_at + _HEARTBEAT_S))

    def test_an_answer_from_before_an_outage_does_not_end_it(self) -> None:
        outages = StoreOutages(_HEARTBEAT_S)
        outages.record_failure(10.0)
        outages.record_peer_answer(9.9, 20.0)
        self.assertTrue(outages.entries_may_have_lapsed(20.0 + 2 * LAPSED_ENTRY_GRACE_S))
        outages.record_peer_answer(19.9, 20.0)
        self.assertTrue(outages.entries_may_have_lapsed(20.0))
        self.assertFalse(outages.entries_may_have_lapsed(20.0 + LAPSED_ENTRY_GRACE_S))
