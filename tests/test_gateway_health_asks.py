"""Which servers a VM asks whether they are cold, and when."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import BackendEntry, RouteConfiguration
from sprucewinch.gateway.servers.health_asks import HealthAsks
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import REGIONS, RULE, PipelineFixture, StoreFixture, route
from .test_gateway_probe import prober_of

_SERVERS = 40
_HALLS = list(REGIONS)


def _asks(number: int, vms: int, in_touch: set[str]) -> HealthAsks:
    """Return the questions of one of some VMs, whose store does not answer."""
    world = StoreFixture(vms=vms, name=f"vm{number}")
    world.configure(route())
    for server in range(_SERVERS):
        entry = BackendEntry(f"s{server}", "rates", f"10.0.0.{server}:80", _HALLS[server % 3], 6)
        world.put(f"servers/s{server}", entry)
    world.outages.record_failure(90.0)
    asks = HealthAsks(
        world.registry, world.outages, lambda name, _now: name in in_touch, lambda: 100.0
    )
    asks.started_at = 50.0
    return asks


def _store_answers(asks: HealthAsks) -> None:
    asks.outages.record_answer(95.0)
    asks.registry.store_view.confirm(105.0)


def _asked(asks: HealthAsks, now: float) -> list[str]:
    asks.registry.to_probe.clear()
    asks.ask_due(now)
    return [server.backend.id for server in asks.registry.to_probe]


class Shares(unittest.TestCase):
    @given(st.integers(1, 12), st.sets(st.integers(0, 11)))
    def test_two_of_the_vms_in_touch_ask_each_server(self, vms, silent) -> None:
        names = {f"vm{number}" for number in range(vms) if number not in silent}
        fleet = [_asks(n, vms, names) for n in range(vms) if f"vm{n}" in names]
        counts = Counter(server for asks in fleet for server in _asked(asks, 100.0))
        if fleet:
            regions = Counter(REGIONS[_HALLS[int(name[2:]) % len(_HALLS)]] for name in names)
            for server, backend in fleet[0].registry.servers.items():
                in_region = regions[REGIONS[backend.backend.hall]]
                self.assertEqual(counts[server], min(2, in_region or len(names)))

    def test_a_server_is_asked_from_its_own_region(self) -> None:
        asks = _asks(0, 9, {f"vm{number}" for number in range(9)})
        regions = {
            REGIONS[asks.registry.servers[server].backend.hall] for server in _asked(asks, 100.0)
        }
        self.assertEqual(regions, {REGIONS[_HALLS[0]]})

    def test_a_vm_that_no_other_reaches_asks_all(self) -> None:
        self.assertEqual(len(_asked(_asks(0, 9, set()), 100.0)), _SERVERS)


class Times(unittest.TestCase):
    def test_servers_are_asked_again_while_the_store_does_not_answer(self) -> None:
        asks = _asks(0, 1, set())
        counts = [len(_asked(asks, 100.0 + eighth / 8)) for eighth in range(9)]
        self.assertEqual([n for n, count in enumerate(counts) if count], [0, 5])

    def test_nothing_is_asked_while_the_store_answers(self) -> None:
        asks = _asks(0, 1, set())
        _store_answers(asks)
        self.assertEqual(_asked(asks, 100.0), [])

    def test_servers_are_asked_as_soon_as_the_store_is_silent(self) -> None:
        """The first call to a silent store fails seconds later."""
        asks = _asks(0, 1, set())
        asks.outages.record_answer(95.0)
        asks.registry.store_view.confirm(100.0)
        self.assertEqual([len(_asked(asks, at)) for at in (103.1, 103.3)], [0, _SERVERS])

    def test_servers_that_are_known_to_be_cold_are_not_asked(self) -> None:
        asks = _asks(0, 1, set())
        asks.registry.servers["s7"].cold_until = 103.0
        self.assertNotIn("s7", _asked(asks, 100.0))
        self.assertIn("s7", _asked(asks, 103.0))

    def test_all_are_asked_for_a_while_after_a_return_from_an_older_copy(self) -> None:
        asks = _asks(0, 1, set())
        _store_answers(asks)
        for listener in asks.registry.store_view.on_era:
            listener(1)
        counts = [len(_asked(asks, 100.0 + second)) for second in range(5)]
        self.assertEqual(counts, [_SERVERS, _SERVERS, _SERVERS, 0, 0])

    def test_a_server_is_asked_while_it_is_unproven_after_the_start(self) -> None:
        asks = _asks(0, 1, set())
        _store_answers(asks)
        for number in (3, 4):
            asks.registry.servers[f"s{number}"].unproven_until = 101.0
        asks.registry.doubts_until = 101.0
        self.assertEqual(_asked(asks, 100.0), ["s3", "s4"])
        asks.registry.servers["s3"].record_health()
        self.assertEqual(_asked(asks, 100.75), ["s4"])
        self.assertEqual(_asked(asks, 101.5), [])

    def test_a_vm_that_has_just_started_leaves_the_others_their_part(self) -> None:
        asks = _asks(0, 9, set())
        asks.started_at = 99.0
        self.assertLess(len(_asked(asks, 100.0)), _SERVERS)


class Doubts(unittest.TestCase):
    def test_a_server_that_was_out_of_reach_is_doubted_until_it_answers(self) -> None:
        """A process that started again, cold, at its address was taken for the warm one."""

        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            path.world.configure(route())
            registry = path.world.registry
            registry.store_view.confirm(loop.time() + 9.0)
            asks = HealthAsks(registry, path.world.outages, lambda _n, _t: False, loop.time)
            tasks = [loop.create_task(prober_of(path).run()), loop.create_task(asks.run())]
            registry.address_failed(path.addresses["s0"])
            registry.address_reached(path.addresses["s1"], loop.time())
            self.assertFalse(registry.servers["s1"].doubted(loop.time()))
            registry.address_reached(path.addresses["s0"], loop.time())
            self.assertTrue(registry.servers["s0"].limited_as_cold(loop.time()))
            await pass_time(0.4)
            self.assertFalse(registry.servers["s0"].limited_as_cold(loop.time()))
            self.assertEqual([s.probes for s in path.servers.values()], [1, 0])
            for task in tasks:
                task.cancel()

        run_virtual(main)

    def test_a_server_that_cannot_be_asked_is_not_doubted(self) -> None:
        """It got no more than a cold one for its whole warm-up after each lost link."""

        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            rule = RULE._replace(health_path="")
            path.world.put("configuration", RouteConfiguration(1, (route(),), {"rates": rule}))
            registry = path.world.registry
            registry.address_failed(path.addresses["s0"])
            registry.address_reached(path.addresses["s0"], loop.time())
            self.assertFalse(registry.servers["s0"].limited_as_cold(loop.time()))

        run_virtual(main)

    def test_a_doubted_server_that_states_that_it_is_cold_is_cold(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route())
            path.servers["s0"].turn_cold(4.0)
            server, told = path.world.registry.servers["s0"], []
            server.doubted_until = loop.time() + 3.5
            prober = prober_of(path)
            prober.on_health.append(lambda server, cold: told.append((server, cold)))
            await prober.probe(server)
            self.assertTrue(server.cold(loop.time() + 3.9))
            self.assertEqual(told, [(server, True)])

        run_virtual(main)

    def test_a_doubted_server_without_an_answer_is_asked_again(self) -> None:
        asks = _asks(0, 1, set())
        _store_answers(asks)
        asks.registry.servers["s3"].doubted_until = asks.registry.doubts_until = 103.0
        self.assertEqual(_asked(asks, 100.0), ["s3"])
        self.assertEqual(_asked(asks, 100.3), [])
        self.assertEqual(_asked(asks, 100.7), ["s3"])
        self.assertEqual(_asked(asks, 103.1), [])


if __name__ == "__main__":
    unittest.main()
