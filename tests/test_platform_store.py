"""The store client and the gateway's followers against a simulated store with faults."""

import asyncio
import random
import unittest
from typing import Any

from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.decision_log import DecisionLog
from sprucewinch.gateway.following.follow_role import FollowRole
from sprucewinch.gateway.following.notices import ProgressNotices
from sprucewinch.gateway.following.store_follower import StoreFollower
from sprucewinch.gateway.membership.gossip import Gossip
from sprucewinch.gateway.membership.registrar import Registrar
from sprucewinch.gateway.resources import Member
from sprucewinch.gateway.state.outages import StoreOutages
from sprucewinch.gateway.state.store import AnswerCutShortError, StoreUnavailableError
from sprucewinch.gateway.state.store_view import StoreView
from sprucewinch.gateway.timing import Timing
from standins.consortium_store import LATE_S, Fault, StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual

from . import adapter  # noqa: F401 - makes the next imports possible

from kv_store import KvStore  # isort: skip
from store_items import StoreItems  # isort: skip

ADDRESS = "10.200.1.7:8541"
BOUND_S = 2.0
"""Shortest time that the documentation gives a change to be in force, in seconds."""

CONTACT_S = 3.0
_CONFIGURATION = (
    '{"Version":"r%d","Services":[{"Name":"s","HealthPath":"/h","MaxConnections":9,'
    '"Warmup":"3s","ColdPerS":9.0}],"Limits":{},"Hosts":[]}'
)


def configuration(version: int) -> bytes:
    """Return the operators' configuration of a version."""
    return (_CONFIGURATION % version).encode()


class FollowingVm:
    """One VM that follows the stand-in of the store."""

    def __init__(self, loop: VirtualLoop, name: str = "vm0") -> None:
        rng = random.Random(1)
        self.loop = loop
        self.store = KvStore(ADDRESS, loop.time)
        self.store_view = StoreView(StoreItems())
        self.outages = StoreOutages(heartbeat_s=1.5)
        events = DecisionLog(lambda line: None, monotonic=loop.time, wall=loop.time)
        timing = Timing(loop.time, rng)
        gossip = Gossip(name, 7, rng)
        follow_role = FollowRole(name, "r", gossip, self.store_view, self.outages, regions=1)
        notices = ProgressNotices(follow_role, Datagrams(loop.time), timing)
        self.follower = StoreFollower(
            self.store_view, self.store, follow_role, self.outages, events, timing, notices
        )
        own = Member(name, "z", "r", "10.0.0.1:1", "10.0.0.1:2")
        self.registrar = Registrar(own, self.store_view, gossip, self.store, timing)

    def start(self) -> None:
        """Follow and register."""
        self.loop.create_task(self.follower.run())
        self.loop.create_task(self.registrar.run())

    def version(self) -> int:
        """Return the configuration version in force; 0 for none."""
        held = self.store_view.configuration
        return held.version if held else 0


def standin(loop: VirtualLoop, **options: int) -> StoreStandIn:
    """Return a store that listens."""
    store = StoreStandIn(loop, **options)
    loop.listen(ADDRESS, store.accept)
    return store


async def started(loop: VirtualLoop, **options: int) -> tuple[StoreStandIn, FollowingVm]:
    """Return a store with a configuration and a VM that knows it."""
    store = standin(loop, **options)
    store.put("op/config", configuration(3))
    vm = FollowingVm(loop)
    vm.start()
    await pass_time(1.0)
    return store, vm


class InForce(unittest.TestCase):
    def test_changes_are_in_force_within_half_a_second_without_faults(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store, vm = await started(loop)
            self.assertEqual(vm.version(), 3)
            self.assertIn("vm0", vm.store_view.members)
            store.put("op/config", configuration(5))
            store.put("op/evacuate/z", b"{}")
            await pass_time(0.5)
            self.assertEqual(vm.version(), 5)
            self.assertEqual(vm.store_view.evacuated, {"z"})
            store.remove("op/evacuate/z")
            await pass_time(0.5)
            self.assertEqual(vm.store_view.evacuated, set())

        run_virtual(main)

    def test_changes_during_a_fault_are_in_force_within_the_bound_after_it(self) -> None:
        for fault in (Fault.BUSY, Fault.MANY, Fault.RESET, Fault.SILENT, Fault.DEAF):
            for lasts_s in (0.5, 3.0, 9.0):
                with self.subTest(fault=fault, lasts_s=lasts_s):
                    run_virtual(
                        lambda loop, f=fault, s=lasts_s: self._change_during_fault(loop, f, s)
                    )

    async def _change_during_fault(self, loop: VirtualLoop, fault: Fault, lasts_s: float) -> None:
        store, vm = await started(loop)
        store.fault = fault
        await pass_time(lasts_s / 2)
        store.put("op/config", configuration(9))
        await pass_time(lasts_s / 2)
        store.fault = Fault.NONE
        await pass_time(CONTACT_S)
        self.assertEqual(vm.version(), 9)

    def test_an_outage_needs_no_listing(self) -> None:
        """A failed connection is no truncated answer, after which the follower would list anew."""

        async def main(loop: VirtualLoop, fault: Fault) -> int:
            store, vm = await started(loop)
            store.fault = fault
            loop.listeners[ADDRESS].silent = fault is Fault.SILENT
            await pass_time(8.0)
            loop.listeners[ADDRESS].silent = False
            store.fault = Fault.NONE
            store.put("op/config", configuration(9))
            await pass_time(CONTACT_S)
            self.assertEqual(vm.version(), 9)
            return [path for path, _ in store.calls].count("/sprucewinch/kv-range")

        faults = (Fault.BUSY, Fault.MANY, Fault.RESET, Fault.SILENT)
        listings = {f.name: run_virtual(lambda loop, f=f: main(loop, f)) for f in faults}
        self.assertEqual(listings, dict.fromkeys(listings, 1))

    def test_a_connection_that_fails_is_no_answer_that_was_cut_short(self) -> None:
        """Bytes that arrived on the previous connection are not counted."""

        async def main(loop: VirtualLoop) -> None:
            store = standin(loop)
            store.put("op/config", configuration(3))
            client = KvStore(ADDRESS, loop.time)
            await client.listing()
            client.move("10.200.1.8:8541")
            with self.assertRaises(StoreUnavailableError) as failed:
                await client.watch(0, 1.0)
            self.assertNotIsInstance(failed.exception, AnswerCutShortError)

        run_virtual(main)

    def test_a_slow_store_does_not_delay_changes_beyond_the_bound(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store, vm = await started(loop)
            store.slow_s = 0.3
            await pass_time(4.0)
            store.put("op/config", configuration(9))
            await pass_time(BOUND_S)
            self.assertEqual(vm.version(), 9)

        run_virtual(main)

    def test_lost_history_is_replaced_by_a_listing(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store, vm = await started(loop)
            store.put("op/evacuate/z", b"{}")
            await pass_time(0.5)
            store.fault = Fault.DEAF
            store.remove("op/evacuate/z")
            store.put("op/config", configuration(9))
            store.forget()
            store.fault = Fault.NONE
            await pass_time(1.0)
            self.assertEqual(vm.version(), 9)
            self.assertEqual(vm.store_view.evacuated, set())

        run_virtual(main)

    def test_a_listing_in_pages_is_read_to_its_end(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = standin(loop, page=3)
            for number in range(11):
                store.put(f"op/evacuate/z{number:02}", b"{}")
            vm = FollowingVm(loop)
            vm.start()
            await pass_time(1.0)
            self.assertEqual(len(vm.store_view.evacuated), 11)

        run_virtual(main)

    def test_a_version_never_goes_back(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store, vm = await started(loop)
            store.put("op/config", configuration(12))
            await pass_time(0.5)
            store.put("op/config", configuration(4))
            await pass_time(0.5)
            self.assertEqual(vm.version(), 12)

        run_virtual(main)

    def test_a_malformed_item_leaves_the_last_good_one(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store, vm = await started(loop)
            for value in (b"", b"{", b"[]", b'{"Version":7}', b'{"Version":"r9","Hosts":[3]}'):
                store.put("op/config", value)
                store.put("servers/i-1", value)
            await pass_time(0.5)
            self.assertEqual(vm.version(), 3)
            self.assertEqual(vm.store_view.backends, {})

        run_virtual(main)


class EmptyLastPages(StoreStandIn):
    """A store that says of each page that more follow, so that the page after the last is empty."""

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        return {**super()._range(query), "more": True}


class FirstPageAgain(StoreStandIn):
    """A store that answers each page of a listing with the first one."""

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        return super()._range({**query, "after": ""})


class Listing(unittest.TestCase):
    """A listing whose pages do not advance fails; it does not loop."""

    async def _listing(self, loop: VirtualLoop, store: StoreStandIn, items: int) -> None:
        loop.listen(ADDRESS, store.accept)
        for number in range(items):
            store.put(f"op/evacuate/z{number:02}", b"{}")
        async with asyncio.timeout(5.0):
            await KvStore(ADDRESS, loop.time).listing()

    def _fails(self, kind: type[StoreStandIn], items: int) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = kind(loop, page=3)
            with self.assertRaisesRegex(StoreUnavailableError, "kv-range: .*more"):
                await self._listing(loop, store, items)
            self.assertLessEqual(len(store.calls), items // 3 + 2)

        run_virtual(main)

    def test_an_empty_page_that_says_more(self) -> None:
        self._fails(EmptyLastPages, 5)
        self._fails(EmptyLastPages, 6)

    def test_an_empty_first_page_that_says_more_is_no_empty_store(self) -> None:
        self._fails(EmptyLastPages, 0)

    def test_a_page_that_comes_again(self) -> None:
        self._fails(FirstPageAgain, 5)

    def test_the_follower_keeps_what_it_holds_and_goes_on_once_the_store_recovers(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store, vm = await started(loop)
            whole = store._range
            store._range = lambda query: {**whole(query), "more": True}
            store.forget()
            await pass_time(3.0)
            self.assertEqual(vm.version(), 3)
            store.put("op/config", configuration(9))
            store._range = whole
            await pass_time(CONTACT_S)
            self.assertEqual(vm.version(), 9)

        run_virtual(main)


class Registered(unittest.TestCase):
    def test_a_lost_answer_or_a_removed_key_is_followed_by_a_registration(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = standin(loop)
            store.fault = Fault.LOST
            vm = FollowingVm(loop)
            vm.start()
            await pass_time(1.0)
            store.fault = Fault.NONE
            self.assertIn("vm0", vm.store_view.members)
            store.remove("sprucewinch/members/vm0")
            await pass_time(3.0)
            self.assertIn("vm0", vm.store_view.members)

        run_virtual(main)

    def test_a_registration_that_is_done_late_counts_once(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = standin(loop)
            store.fault = Fault.LATE
            vm = FollowingVm(loop)
            vm.start()
            await pass_time(1.0)
            self.assertEqual(vm.store_view.members, {})
            store.fault = Fault.NONE
            await pass_time(LATE_S + 3.0)
            self.assertEqual(list(vm.store_view.members), ["vm0"])
            before = store.revision
            await pass_time(30.0)
            self.assertEqual(store.revision, before)

        run_virtual(main)

    def test_a_registered_vm_without_faults_makes_few_calls(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store, _ = await started(loop)
            before = len(store.calls)
            await pass_time(60.0)
            self.assertLessEqual(len(store.calls) - before, 35)

        run_virtual(main)
