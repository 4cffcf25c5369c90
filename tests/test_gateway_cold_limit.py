"""The limit on cold backend servers, which all VMs keep without asking each other."""

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import BackendEntry, Evacuation
from sprucewinch.gateway.servers.cold_limit import ColdSends
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import BOUNDS, RULE, PipelineFixture, StoreFixture, route

_LIMIT = RULE.cold_per_s * BOUNDS.cold_over + BOUNDS.cold_slack


def _fleet(count: int, registered: int) -> list[StoreFixture]:
    worlds = [StoreFixture(vms=registered, name=f"vm{n}") for n in range(count)]
    for world in worlds:
        world.configure(route())
        world.registry.count_new_as_cold()
        world.put("servers/new", BackendEntry("new", "rates", "10.0.0.9:80", "east-a", 6), 100.0)
    return worlds


def _most_in_a_second(times: list[float]) -> int:
    times = sorted(times)
    return max((sum(t <= u < t + 1.0 for u in times[i:]) for i, t in enumerate(times)), default=0)


class ColdLimit(unittest.TestCase):
    @given(st.integers(1, 40), st.integers(0, 2**32))
    def test_all_vms_together_stay_within_the_limit(self, vms, seed):
        rng = random.Random(seed)
        sent: list[float] = []
        worlds = _fleet(vms, vms)
        servers = [(world, world.registry.servers["new"]) for world in worlds]
        allowances = {
            w.registry.known_vms.name: w.registry.cold_limit.allowance(server.backend)
            for w, server in servers
        }
        self.assertLessEqual(sum(allowances.values()), _LIMIT)
        now = 100.0
        while now < 102.5:
            now += 0.01
            for world in worlds:
                server = world.registry.servers["new"]
                allowance = allowances[world.registry.known_vms.name]
                if rng.random() < 0.5 and server.cold_allowed(now, allowance):
                    world.registry.take(server, now)
                    sent.append(now + rng.random() * 0.05)
        self.assertLessEqual(_most_in_a_second(sent), _LIMIT)
        self.assertGreater(len(sent), 0)

    def test_vms_without_registration_do_not_each_take_the_whole_limit(self) -> None:
        """A VM that was not in its own list took the whole of the limit."""
        for kept in (0, 1, 2):
            worlds = _fleet(6, 6)
            for world in worlds:
                for number in range(kept, 6):
                    world.remove(f"members/vm{number}", 101.0)
            allowances = [
                w.registry.cold_limit.allowance(w.registry.servers["new"].backend) for w in worlds
            ]
            self.assertLessEqual(sum(allowances), _LIMIT)
            self.assertGreater(sum(allowances), 0)

    def test_a_vm_that_was_never_registered_takes_no_part(self) -> None:
        worlds = [*_fleet(6, 6), *_fleet(1, 6)]
        newcomer = worlds[-1].registry
        newcomer.known_vms.name = "vm9"
        self.assertEqual(newcomer.cold_limit.allowance(newcomer.servers["new"].backend), 0)

    def test_parts_are_left_for_vms_that_are_heard_before_they_are_registered(self) -> None:
        for vms in (6, 35):
            worlds = _fleet(vms + 2, vms + 2)
            everyone = [
                w.registry.cold_limit.allowance(w.registry.servers["new"].backend) for w in worlds
            ]
            for world in worlds[:vms]:
                for number in (vms, vms + 1):
                    world.remove(f"members/vm{number}", 101.0)
                known = world.registry.known_vms
                known.forget_old(200.0)
                known.heard = lambda count=vms: (f"vm{count}", f"vm{count + 1}")
                known.refresh()
            allowances = [
                w.registry.cold_limit.allowance(w.registry.servers["new"].backend) for w in worlds
            ]
            self.assertLessEqual(sum(allowances), int(0.8 * _LIMIT))
            self.assertTrue(all(new <= old for new, old in zip(allowances, everyone, strict=True)))
            self.assertGreater(sum(allowances), 0)

    def test_requests_that_waited_for_connections_do_not_go_out_together(self) -> None:
        """They counted when they were selected, in an earlier second."""

        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(timeout_s=5.0))
            server = path.world.registry.servers["s0"]
            server.cold_until = loop.time() + 10.0
            server.limit.value = 100.0
            path.delay(path.servers["s0"], 0.3)
            work = [
                asyncio.create_task(path.pipeline.run(path.request(f"a{n}"))) for n in range(30)
            ]
            await pass_time(1.16)
            path.delay(path.servers["s0"], 0.0)
            work += [
                asyncio.create_task(path.pipeline.run(path.request(f"b{n}"))) for n in range(30)
            ]
            await asyncio.gather(*work)
            self.assertLessEqual(_most_in_a_second(path.servers["s0"].arrivals), 0.8 * _LIMIT)
            self.assertGreater(len(path.servers["s0"].arrivals), 9)

        run_virtual(main)

    def test_most_of_the_limit_is_for_vms_of_the_servers_region(self) -> None:
        in_region, elsewhere = 0, 0
        for world in _fleet(12, 12):
            backend = world.registry.servers["new"].backend
            allowance = world.registry.cold_limit.allowance(backend)
            if world.store_view.members[world.registry.known_vms.name].region == "east":
                in_region += allowance
            else:
                elsewhere += allowance
        self.assertEqual((in_region, elsewhere), (11, 3))

    def test_other_regions_share_the_whole_limit_if_the_servers_region_has_no_vm(self) -> None:
        worlds = _fleet(6, 6)
        for world in worlds:
            for name, member in list(world.store_view.members.items()):
                world.put(f"members/{name}", member._replace(region="west"))
        allowances = [
            w.registry.cold_limit.allowance(w.registry.servers["new"].backend) for w in worlds
        ]
        self.assertEqual(sum(allowances), int(0.8 * _LIMIT))

    def test_a_vm_counts_its_own_sends_over_the_whole_window(self) -> None:
        world = _fleet(1, 12)[0]
        server = world.registry.servers["new"]
        self.assertTrue(server.cold_allowed(100.0, 1))
        world.registry.take(server, 100.0)
        self.assertFalse(server.cold_allowed(101.0, 1))
        self.assertTrue(server.cold_allowed(101.2, 1))


class RecordedSends(unittest.TestCase):
    def test_a_removed_send_no_longer_counts_and_may_be_unknown(self) -> None:
        sends = ColdSends()
        for at in (10.0, 10.1, 10.1):
            sends.record(at)
        sends.remove(10.1)
        sends.remove(9.0)
        self.assertEqual(list(sends.sent_at), [10.0, 10.1])
        self.assertFalse(sends.allowed(10.2, 2))
        sends.remove(10.0)
        self.assertTrue(sends.allowed(10.2, 2))


class WhatIsCold(unittest.TestCase):
    def test_a_new_server_is_cold_even_if_its_entry_states_nothing(self) -> None:
        server = _fleet(1, 1)[0].registry.servers["new"]
        self.assertTrue(server.cold(103.0))
        self.assertFalse(server.cold(104.0))

    def test_servers_listed_at_the_start_are_as_warm_as_their_entries_state(self) -> None:
        world = StoreFixture()
        world.configure(route())
        world.put("servers/a", BackendEntry("a", "rates", "10.0.0.1:80", "east-a", 6), 100.0)
        cold = BackendEntry("b", "rates", "10.0.0.2:80", "east-a", 6, cold_for_s=2.0)
        world.put("servers/b", cold, 100.0)
        self.assertFalse(world.registry.servers["a"].cold(100.0))
        self.assertTrue(world.registry.servers["b"].cold(101.9))

    def test_a_server_whose_entry_turns_cold_again_is_cold(self) -> None:
        world = _fleet(1, 1)[0]
        cold_again = BackendEntry("new", "rates", "10.0.0.9:80", "east-a", 6, cold_for_s=3.0)
        world.put("servers/new", cold_again, 200.0)
        self.assertTrue(world.registry.servers["new"].cold(202.9))

    def test_an_evacuated_data_hall_gets_nothing_and_is_cold_afterwards(self) -> None:
        world = _fleet(1, 1)[0]
        world.put("evacuate/east-a", Evacuation("east-a"), 110.0)
        self.assertEqual(world.registry.offered("rates"), ())
        world.remove("evacuate/east-a", 120.0)
        self.assertEqual(len(world.registry.offered("rates")), 1)
        self.assertTrue(world.registry.servers["new"].cold(122.9))

    def test_a_draining_server_gets_nothing(self) -> None:
        world = _fleet(1, 1)[0]
        leaving = BackendEntry("new", "rates", "10.0.0.9:80", "east-a", 6, draining=True)
        world.put("servers/new", leaving, 110.0)
        self.assertEqual(world.registry.offered("rates"), ())
