"""Planning rounds whose lease request or write fails, or whose write is overtaken."""

import random
import unittest

from sprucewinch.hall.planning.plan_rounds import PlanRounds
from sprucewinch.hall.store.store_reader import StoreReader

from .fakes import FakeStore
from .formats_own import Lost, OwnVm, StillClock
from .test_formats import DOCUMENT

PLAN_KEY = "steer/plan/east"


def rounds_at(vm: OwnVm) -> PlanRounds:
    """Return the planning rounds of a VM."""
    clock = StillClock()
    reader = StoreReader(vm.node, vm.store, clock, random.Random(1), lambda: None)
    return PlanRounds(vm.node, vm.store, reader, clock, lambda: None)


class FailedRounds(unittest.IsolatedAsyncioTestCase):
    def vm(self, store: FakeStore) -> OwnVm:
        """Return a VM in state SERVING with a configuration."""
        return OwnVm(store).configure(DOCUMENT, 7)

    def failures(self, vm: OwnVm) -> dict[str, int]:
        """Return the counters of failed rounds."""
        counters = vm.node.metrics.counters
        return {name: count for name, count in counters.items() if name.startswith("plan_")}

    async def test_the_store_is_unreachable(self) -> None:
        vm = self.vm(FakeStore())
        vm.store.down = True
        await rounds_at(vm).step()
        self.assertEqual(self.failures(vm), {"plan_rounds_without_store": 1})

    async def test_the_answer_to_a_write_is_lost(self) -> None:
        vm = self.vm(Lost())
        await rounds_at(vm).step()
        self.assertEqual(self.failures(vm), {"plan_writes_unknown": 1})
        self.assertEqual(vm.node.documents.revision(PLAN_KEY), 0)

    async def test_another_planner_writes_first(self) -> None:
        vm = self.vm(FakeStore())
        vm.store.before_put = lambda: vm.store.write(PLAN_KEY, b"{}")
        await rounds_at(vm).step()
        self.assertEqual(self.failures(vm), {"plan_writes_overtaken": 1})
        self.assertEqual(vm.node.documents.revision(PLAN_KEY), 0)

    async def test_a_written_plan_is_in_force_here(self) -> None:
        vm = self.vm(FakeStore())
        await rounds_at(vm).step()
        self.assertEqual(self.failures(vm), {})
        self.assertEqual(vm.node.documents.revision(PLAN_KEY), 1)
