"""Outlier ejection: which servers are ejected for slowness or failures, and for how long."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.client_request import Selection
from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.outliers import OutlierDetector
from sprucewinch.gateway.servers.peer_reports import FailureReport
from standins.consortium_store import StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, StoreFixture, route
from .test_platform_store import configuration
from .virtual_fleet import VirtualFleet

_USUAL_S = 0.15
_SERVERS = 10
_OBJECTS = 40


async def _serve(path: PipelineFixture, seconds: float, start: int = 0) -> dict[str, int]:
    """Send 60 requests a second about many objects; returns how many ran at each server."""
    before = {name: len(server.runs) for name, server in path.servers.items()}
    for number in range(int(seconds * 60)):
        key = f"lane-{number % _OBJECTS}"
        path.loop.create_task(path.pipeline.run(path.request(f"q{start + number}", key=key)))
        await pass_time(1 / 60)
    return {name: len(server.runs) - before[name] for name, server in path.servers.items()}


def _path(loop: VirtualLoop) -> PipelineFixture:
    path = PipelineFixture(loop, servers=_SERVERS)
    path.world.configure(route(timeout_s=2.0))
    for server in path.servers.values():
        server.work_s = _USUAL_S
    return path


class SlowServers(unittest.TestCase):
    def test_a_server_five_times_slower_is_ejected_and_tried_again(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = _path(loop)
            usual = await _serve(path, 4.0)
            slow = max(path.servers.values(), key=lambda server: usual[server.server_id])
            slow.work_s = 5 * _USUAL_S
            await _serve(path, 3.0, 1000)
            during = await _serve(path, 1.0, 2000)
            self.assertEqual(during[slow.server_id], 0)
            slow.work_s = _USUAL_S
            await _serve(path, 6.0, 3000)
            after = await _serve(path, 4.0, 4000)
            self.assertGreater(after[slow.server_id], usual[slow.server_id] / 2)

        run_virtual(main)

    def test_objects_that_are_new_to_a_server_eject_none(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = _path(loop)
            await _serve(path, 2.0)
            one = path.world.registry.servers["s0"]
            for number in range(50):
                path.outliers.record_success(one, f"new-{number}", 5 * _USUAL_S, 1, loop.time())
            self.assertFalse(path.outliers.ejected(one, loop.time()))

        run_virtual(main)

    def test_a_long_queue_ejects_none(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = _path(loop)
            await _serve(path, 2.0)
            one = path.world.registry.servers["s0"]
            for _ in range(50):
                path.outliers.record_success(one, "lane-1", 4 * _USUAL_S, 24, loop.time())
            self.assertFalse(path.outliers.ejected(one, loop.time()))

        run_virtual(main)


class StatedPaces(unittest.TestCase):
    """Servers that state their pace: slow ones are no outliers, nor are single long requests."""

    def _world(self) -> OutlierDetector:
        world = StoreFixture()
        world.configure(route())
        for number in range(_SERVERS):
            backend = BackendEntry(f"s{number}", "rates", f"10.0.0.{number}:80", "east-a", 6)
            world.put(f"servers/s{number}", backend)
        outliers = OutlierDetector(world.registry, world.reports)
        for number in range(40):
            server = world.registry.servers[f"s{number % _SERVERS}"]
            outliers.record_success(server, "k", _USUAL_S, 1, 10.0 + number / 100, 1.0)
        return outliers

    def _ejected(self, answers: list[tuple[float, float]]) -> tuple[bool, int]:
        """Return whether answers of one server eject it, and how many reports are sent.

        Args:
            answers: Time in units of the usual work, and stated pace, of ten answers a second.
        """
        outliers = self._world()
        server = outliers.registry.servers["s3"]
        now = 11.0
        for times, pace in answers:
            now += 0.1
            outliers.record_success(server, "k", times * _USUAL_S, 1, now, pace)
        return outliers.ejected(server, now), len(outliers.reports.failures)  # type: ignore[attr-defined]

    def test_a_server_that_is_slow_by_its_stated_pace_is_not_ejected(self) -> None:
        self.assertEqual(self._ejected([(5.0, 5.0)] * 30), (False, 0))

    def test_a_pace_that_changed_during_the_work_is_not_held_against_it(self) -> None:
        self.assertEqual(self._ejected([(2.6, 1.0)] * 30), (False, 0))

    def test_a_server_that_is_slower_than_it_states_is_ejected(self) -> None:
        self.assertTrue(self._ejected([(5.0, 1.0)] * 10)[0])

    def test_single_long_requests_are_neither_counted_nor_reported(self) -> None:
        answers = [(7.0, 1.0) if number % 4 == 0 else (1.0, 1.0) for number in range(40)]
        self.assertEqual(self._ejected(answers), (False, 0))

    def test_without_a_pace_long_requests_count_as_before(self) -> None:
        outliers = self._world()
        server = outliers.registry.servers["s3"]
        for number in range(4):
            outliers.record_success(server, "k", 7.0 * _USUAL_S, 1, 20.0 + number / 10)
        self.assertTrue(outliers.ejected(server, 20.5))


class ColdServers(unittest.TestCase):
    def test_a_cold_server_that_answers_late_is_not_ejected_for_it(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = _path(loop)
            path.world.configure(route(timeout_s=0.8), version=2)
            await _serve(path, 2.0)
            path.world.registry.count_new_as_cold()
            cold = path.add("cold", "10.0.1.1:80")
            cold.work_s = 0.96
            await _serve(path, 3.0, 1000)
            self.assertGreater(len(cold.runs), 0)
            server = path.world.registry.servers["cold"]
            self.assertFalse(path.outliers.ejected(server, loop.time()))

        run_virtual(main)

    def test_cold_servers_that_answer_too_late_get_only_a_few_requests(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = _path(loop)
            path.world.registry.count_new_as_cold()
            cold = path.add("cold", "10.0.1.1:80")
            registry = path.world.registry
            server = registry.servers["cold"]
            before = registry.cold_limit.allowance(server.backend)
            path.world.configure(route(timeout_s=0.8), version=2)
            cold.work_s = 0.96
            for number in range(4):
                chosen = Selection(server, "rates")
                until = loop.time() + 0.8
                await path.sender.send(path.request(f"q{number}"), chosen, until)
            self.assertEqual(registry.cold_limit.allowance(server.backend), 2)
            cold.work_s = 0.1
            for number in range(4):
                await path.sender.send(
                    path.request(f"r{number}"), Selection(server, "rates"), loop.time() + 0.8
                )
            self.assertEqual(registry.cold_limit.allowance(server.backend), before)
            self.assertGreater(before, 2)

        run_virtual(main)


class ShortRegions(unittest.TestCase):
    def test_ejection_in_a_region_moves_no_request_beyond_the_shift_cap(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=12, halls=("east-a", "west-a"))
            path.world.configure(route())
            now = loop.time()
            ranking = path.ranker.rank("rates", "lane-1", (), now)
            for server in ranking.servers[: ranking.local_count]:
                server.record_load(9, 9, now)
                server.in_flight = 6
            for _ in range(4):
                report = FailureReport(ranking.servers[ranking.local_count - 1].backend.id)
                path.outliers.on_failure_report(report, now)
            reply = await path.pipeline.run(path.request("q"))
            self.assertEqual((reply.status, path.runs("q")), (503, 0))

        run_virtual(main)


class FailingServers(unittest.TestCase):
    def _world(self, servers: int = _SERVERS) -> tuple[StoreFixture, OutlierDetector]:
        world = StoreFixture()
        world.configure(route())
        for number in range(servers):
            backend = BackendEntry(f"s{number}", "rates", f"10.0.0.{number}:80", "east-a", 6)
            world.put(f"servers/s{number}", backend)
        return world, OutlierDetector(world.registry)

    def test_a_server_is_ejected_by_failures_that_other_vms_report(self) -> None:
        world, outliers = self._world()
        server = world.registry.servers["s3"]
        outliers.record_success(server, "k", 0.1, 1, 10.0)
        outliers.record_success(server, "k", 0.1, 1, 10.1)
        for number in range(8):
            outliers.on_failure_report(FailureReport("s3"), 10.2 + number / 10)
        self.assertTrue(outliers.ejected(server, 11.0))

    def test_a_server_with_one_failure_in_ten_requests_stays(self) -> None:
        world, outliers = self._world()
        server = world.registry.servers["s3"]
        for number in range(200):
            now = 10.0 + number / 10
            outliers.record_success(server, "k", 0.1, 1, now)
            if number % 10 == 0:
                outliers.record_failure(server, now)
            self.assertFalse(outliers.ejected(server, now))

    @given(st.lists(st.integers(0, 9), max_size=400), st.integers(1, 10))
    def test_never_more_than_a_part_of_a_service_is_ejected(
        self, failing: list[int], servers: int
    ) -> None:
        world, outliers = self._world(servers)
        for step, number in enumerate(failing):
            now = 10.0 + step / 50
            server = world.registry.servers.get(f"s{number}")
            if server is not None:
                outliers.record_failure(server, now)
            out = sum(outliers.ejected(s, now) for s in world.registry.servers.values())
            self.assertLessEqual(out, 0.2 * servers)

    def test_a_region_with_few_servers_keeps_them(self) -> None:
        world = StoreFixture()
        world.configure(route())
        for number, hall in enumerate(("east-a", "east-b", *["west-a"] * 8)):
            backend = BackendEntry(f"s{number}", "rates", f"10.0.0.{number}:80", hall, 6)
            world.put(f"servers/s{number}", backend)
        outliers = OutlierDetector(world.registry)
        for number in range(10):
            for _ in range(8):
                outliers.record_failure(world.registry.servers[f"s{number}"], 10.0)
        out = [outliers.ejected(world.registry.servers[f"s{number}"], 10.0) for number in range(10)]
        self.assertEqual((sum(out[:2]), sum(out[2:])), (0, 2))

    def test_each_ejection_lasts_twice_as_long_up_to_the_maximum(self) -> None:
        world, outliers = self._world()
        server = world.registry.servers["s3"]
        now, lasted = 10.0, []
        for _ in range(4):
            while not outliers.ejected(server, now):
                outliers.record_failure(server, now)
                now += 0.05
            began = now
            while outliers.ejected(server, now):
                now += 0.05
            lasted.append(round(now - began))
        self.assertEqual(lasted, [2, 4, 8, 8])

    def test_one_vm_tries_an_ejected_server_before_the_others(self) -> None:
        tries = []
        for number in range(4):
            world = StoreFixture(vms=4, name=f"vm{number}")
            world.configure(route())
            for each in range(_SERVERS):
                backend = BackendEntry(f"s{each}", "rates", f"10.0.0.{each}:80", "east-a", 6)
                world.put(f"servers/s{each}", backend)
            outliers = OutlierDetector(world.registry)
            for _ in range(4):
                outliers.on_failure_report(FailureReport("s3"), 10.0)
            server = world.registry.servers["s3"]
            self.assertTrue(outliers.ejected(server, 11.9))
            self.assertFalse(outliers.ejected(server, 13.1))
            tries.append(not outliers.ejected(server, 12.5))
            outliers.on_failure_report(FailureReport("s3"), 12.5)
            self.assertTrue(outliers.ejected(server, 16.0))
        self.assertEqual(sum(tries), 1)

    def test_the_history_of_a_server_is_dropped_with_it(self) -> None:
        world, outliers = self._world()
        outliers.record_failure(world.registry.servers["s3"], 10.0)
        world.remove("servers/s3", 11.0)
        outliers.drop_removed()
        self.assertEqual(outliers.histories, {})


class Fleet(unittest.TestCase):
    def test_a_bad_sample_reaches_the_other_vms(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = StoreStandIn(loop)
            store.put("op/config", configuration(3))
            entry = b'{"Service":"rates","Address":"10.1.0.1:80","Zone":"z","Capacity":6,'
            entry += b'"Version":"v1","WarmupLeft":"0ms","Sequence":1,'
            store.put("servers/s1", entry + b'"State":"ready"}')
            fleet = VirtualFleet(loop, store, 6)
            await pass_time(6.0)
            fleet.vms[0].reports.send_failure(FailureReport("s1"))
            await pass_time(0.1)
            known = [len(m.outliers.histories) for m in fleet.vms[1:]]
            self.assertEqual(known, [1] * 5)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
