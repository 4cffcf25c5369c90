"""A server's limit over the whole fleet: quota names, returned grants, the bound under faults."""

import asyncio
import random
import unittest
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.quotas.quota import hall_quota
from sprucewinch.gateway.quotas.quotas import QuotaEnd
from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.settings import Bounds
from sprucewinch.gateway.statements.process_statements import ProcessStatements
from sprucewinch.gateway.statements.server_quotas import (
    UNLIMITED,
    FleetServerQuotas,
    is_server_quota,
    server_quota,
)
from standins.virtual import VirtualLoop, pass_time, run_virtual
from tools.quota_model.fleet import ModelFleet, ModelVm

from .statement_fleet import StatementFleet, allowed, most_in_window

ENTRY = BackendEntry("s0", "rates", "10.0.0.1:80", "r0-1", 6, incarnation=7)
CONTACT_S = 4.0
RUN_S = 16.0
FORGOTTEN_AFTER_S = 1000.0
"""Longer than a VM keeps the statements of a server without an entry, in seconds."""

DEMAND_FACTOR = 3.0
"""Demand as a multiple of the limit."""


class Fault(NamedTuple):
    """A fault of one VM: its kind, its time in seconds, and the number of the VM."""

    kind: str
    at: float
    vm: int


class Run(NamedTuple):
    """The requests that a fleet sent to a server in one run, and the names of the faulty VMs."""

    sent: list[tuple[float, ModelVm]]
    faulty: set[str]

    def by_faultless(self) -> list[float]:
        """Return the times of sends by VMs without a fault; a faulty VM may exceed the bound."""
        return [at for at, vm in self.sent if vm.name not in self.faulty]


FAULTS = st.lists(
    st.builds(
        Fault,
        st.sampled_from(("kill", "freeze", "cut", "heal")),
        st.floats(0.0, RUN_S),
        st.integers(0, 11),
    ),
    max_size=8,
)


async def run_fleet(
    loop: VirtualLoop, rates: tuple[float, float], faults: list[Fault], vms: int, seed: int
) -> Run:
    """Let a fleet with faulty VMs send to a server whose limit changes half-way."""
    fleet = ModelFleet(loop, vms, {}, Bounds(), loss=0.05, seed=seed)
    rng = random.Random(seed)
    all_vms = list(fleet.vms.values())
    faulty = set()
    for fault in faults:
        vm = all_vms[fault.vm % vms]
        faulty.add(vm.name)
        loop.call_later(fault.at, _inject, fleet, vm, fault)
    sent: list[tuple[float, ModelVm]] = []
    began = loop.time()

    async def ask(vm: ModelVm, rate: float) -> None:
        decision = await vm.quotas.take(hall_quota("s", rate, fleet.halls[1]))
        if decision.end is QuotaEnd.ADMITTED:
            sent.append((loop.time() - began, vm))

    asks = []
    while (now := loop.time() - began) < RUN_S:
        rate = rates[now > RUN_S / 2]
        await asyncio.sleep(rng.expovariate(DEMAND_FACTOR * rate))
        ready = [vm for vm in all_vms if vm.alive and vm.frozen_until <= loop.time()]
        if ready:
            asks.append(loop.create_task(ask(rng.choice(ready), rate)))
    await asyncio.gather(*asks)
    return Run(sent, faulty)


def _inject(fleet: ModelFleet, vm: ModelVm, fault: Fault) -> None:
    if fault.kind == "kill" and vm.alive:
        fleet.kill([vm], 1.0)
    elif fault.kind == "freeze":
        fleet.freeze([vm], 3.0)
    else:
        fleet.cut([vm], fault.vm + 1 if fault.kind == "cut" else 0)


class AnyRun(unittest.TestCase):
    @settings(max_examples=25, deadline=None)
    @given(
        st.tuples(st.floats(0.5, 30.0), st.floats(0.5, 30.0)),
        FAULTS,
        st.integers(3, 12),
        st.integers(0, 99),
    )
    def test_vms_without_faults_stay_within_the_bound(
        self, rates: tuple[float, float], faults: list[Fault], vms: int, seed: int
    ) -> None:
        run = run_virtual(lambda loop: run_fleet(loop, rates, faults, vms, seed))
        most = most_in_window(run.by_faultless(), 0.0)
        self.assertLessEqual(most, allowed(max(rates)))

    def test_without_faults_the_whole_limit_is_used(self) -> None:
        for rate in (0.5, 3.5, 20.0):
            run = run_virtual(lambda loop, rate=rate: run_fleet(loop, (rate, rate), [], 12, 1))
            self.assertGreaterEqual(len(run.sent) / RUN_S, 0.9 * rate)

    def test_a_lower_limit_holds_soon(self) -> None:
        run = run_virtual(lambda loop: run_fleet(loop, (20.0, 2.0), [], 12, 1))
        self.assertLessEqual(most_in_window(run.by_faultless(), RUN_S / 2 + 0.5), allowed(2.0))


class Grants(unittest.TestCase):
    def test_each_process_has_a_quota_that_is_no_workspaces(self) -> None:
        one, other = server_quota(ENTRY, 3.0), server_quota(ENTRY._replace(incarnation=8), 3.0)
        self.assertNotEqual(one.name, other.name)
        self.assertTrue(is_server_quota(one.name))
        self.assertFalse(is_server_quota("server|s0|7"))
        self.assertEqual(one.hall, "r0-1")

    def test_a_returned_grant_can_be_taken_again(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 3, {}, Bounds())
            await pass_time(5.0)
            first, second = list(fleet.vms.values())[:2]
            stated = ProcessStatements()
            stated.limit.apply_answer(0.5, loop.time(), loop.time())
            quotas = [FleetServerQuotas(vm.quotas, loop.time) for vm in (first, second)]
            grants = [await quotas[0].take(ENTRY, stated) for _ in range(3)]
            self.assertIsNone(grants[-1])
            [grant] = [grant for grant in grants if grant][-1:]
            quotas[0].give_back(grant)
            again = await quotas[0].take(ENTRY, stated)
            self.assertIsNotNone(again)

        run_virtual(main)

    def test_a_server_without_a_limit_costs_no_ask(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 3, {}, Bounds())
            vm = next(iter(fleet.vms.values()))
            quotas = FleetServerQuotas(vm.quotas, loop.time)
            self.assertIs(await quotas.take(ENTRY, ProcessStatements()), UNLIMITED)
            quotas.give_back(UNLIMITED)
            self.assertEqual(vm.messages, 0)

        run_virtual(main)

    def test_no_quota_is_kept_of_servers_whose_statements_were_dropped(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await StatementFleet.start(loop)
            [server, *_] = fleet.servers()
            server.says["Server-Limit"] = "5"
            await pass_time(4.0)
            self.assertGreaterEqual(_server_quota_count(fleet), 1)
            fleet.fleet.store.remove(f"servers/{server.server_id}")
            for vm in fleet.fleet.vms:
                for stated in vm.gateway.servers.registry.statement_table.rows.values():
                    stated.updated_at = -FORGOTTEN_AFTER_S
            await pass_time(3.0)
            self.assertEqual(_server_quota_count(fleet), 0)

        run_virtual(main)


def _server_quota_count(fleet: StatementFleet) -> int:
    """Return the number of servers' quotas that the VMs keep, summed over all VMs."""
    quotas = [vm.gateway.upkeep.workspaces.quotas for vm in fleet.fleet.vms]
    return sum(sum(map(is_server_quota, {*held.used, *held.refused})) for held in quotas)


if __name__ == "__main__":
    unittest.main()
