"""A server's limit over the fleet: names, rights given back, and the bound in any order."""

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
DAY_S = 16.0
FORGOTTEN_AFTER_S = 1000.0
"""Longer than a VM remembers what a server without an entry has stated, in seconds."""

ASKED = 3.0
"""How many times its limit is asked for."""


class Strike(NamedTuple):
    """What strikes one VM, and when."""

    kind: str
    at: float
    vm: int


class Day(NamedTuple):
    """What a fleet sends to a server on a day."""

    sent: list[tuple[float, ModelVm]]
    struck: set[str]

    def by_unstruck(self) -> list[float]:
        """Return when VMs that nothing struck have sent: a strike excuses its VM."""
        return [at for at, vm in self.sent if vm.name not in self.struck]


STRIKES = st.lists(
    st.builds(
        Strike,
        st.sampled_from(("kill", "freeze", "cut", "heal")),
        st.floats(0.0, DAY_S),
        st.integers(0, 11),
    ),
    max_size=8,
)


async def play(
    loop: VirtualLoop, rates: tuple[float, float], strikes: list[Strike], vms: int, seed: int
) -> Day:
    """Let a fleet of which some VMs are struck send to a server whose limit changes half-way."""
    fleet = ModelFleet(loop, vms, {}, Bounds(), loss=0.05, seed=seed)
    rng = random.Random(seed)
    everyone = list(fleet.vms.values())
    struck = set()
    for strike in strikes:
        vm = everyone[strike.vm % vms]
        struck.add(vm.name)
        loop.call_later(strike.at, _strike, fleet, vm, strike)
    sent: list[tuple[float, ModelVm]] = []
    began = loop.time()

    async def ask(vm: ModelVm, rate: float) -> None:
        decision = await vm.quotas.take(hall_quota("s", rate, fleet.halls[1]))
        if decision.end is QuotaEnd.ADMITTED:
            sent.append((loop.time() - began, vm))

    asks = []
    while (now := loop.time() - began) < DAY_S:
        rate = rates[now > DAY_S / 2]
        await asyncio.sleep(rng.expovariate(ASKED * rate))
        ready = [vm for vm in everyone if vm.alive and vm.frozen_until <= loop.time()]
        if ready:
            asks.append(loop.create_task(ask(rng.choice(ready), rate)))
    await asyncio.gather(*asks)
    return Day(sent, struck)


def _strike(fleet: ModelFleet, vm: ModelVm, strike: Strike) -> None:
    if strike.kind == "kill" and vm.alive:
        fleet.kill([vm], 1.0)
    elif strike.kind == "freeze":
        fleet.freeze([vm], 3.0)
    else:
        fleet.cut([vm], strike.vm + 1 if strike.kind == "cut" else 0)


class AnyDay(unittest.TestCase):
    @settings(max_examples=25, deadline=None)
    @given(
        st.tuples(st.floats(0.5, 30.0), st.floats(0.5, 30.0)),
        STRIKES,
        st.integers(3, 12),
        st.integers(0, 99),
    )
    def test_vms_that_nothing_strikes_stay_within_the_bound(
        self, rates: tuple[float, float], strikes: list[Strike], vms: int, seed: int
    ) -> None:
        day = run_virtual(lambda loop: play(loop, rates, strikes, vms, seed))
        most = most_in_window(day.by_unstruck(), 0.0)
        self.assertLessEqual(most, allowed(max(rates)))

    def test_in_calm_the_whole_limit_is_used(self) -> None:
        for rate in (0.5, 3.5, 20.0):
            day = run_virtual(lambda loop, rate=rate: play(loop, (rate, rate), [], 12, 1))
            self.assertGreaterEqual(len(day.sent) / DAY_S, 0.9 * rate)

    def test_a_lower_limit_holds_soon(self) -> None:
        day = run_virtual(lambda loop: play(loop, (20.0, 2.0), [], 12, 1))
        self.assertLessEqual(most_in_window(day.by_unstruck(), DAY_S / 2 + 0.5), allowed(2.0))


class Rights(unittest.TestCase):
    def test_each_process_has_a_quota_of_its_own_that_is_no_workspaces(self) -> None:
        one, other = server_quota(ENTRY, 3.0), server_quota(ENTRY._replace(incarnation=8), 3.0)
        self.assertNotEqual(one.name, other.name)
        self.assertTrue(is_server_quota(one.name))
        self.assertFalse(is_server_quota("server|s0|7"))
        self.assertEqual(one.hall, "r0-1")

    def test_what_was_not_sent_may_be_sent_by_another(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 3, {}, Bounds())
            await pass_time(5.0)
            first, second = list(fleet.vms.values())[:2]
            stated = ProcessStatements()
            stated.limit.answered(0.5, loop.time(), loop.time())
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

    def test_nothing_is_kept_of_servers_that_are_forgotten(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = await StatementFleet.start(loop)
            [server, *_] = fleet.servers()
            server.says["Server-Limit"] = "5"
            await pass_time(4.0)
            self.assertGreaterEqual(_held(fleet), 1)
            fleet.fleet.store.remove(f"servers/{server.server_id}")
            for vm in fleet.fleet.vms:
                for stated in vm.gateway.servers.registry.statement_table.rows.values():
                    stated.touched_at = -FORGOTTEN_AFTER_S
            await pass_time(3.0)
            self.assertEqual(_held(fleet), 0)

        run_virtual(main)


def _held(fleet: StatementFleet) -> int:
    """Return of how many servers the VMs count requests, each VM's added up."""
    quotas = [vm.gateway.upkeep.workspaces.quotas for vm in fleet.fleet.vms]
    return sum(sum(map(is_server_quota, {*held.used, *held.refused})) for held in quotas)


if __name__ == "__main__":
    unittest.main()
