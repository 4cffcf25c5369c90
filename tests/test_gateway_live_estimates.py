"""Estimates of backend servers from what a VM knows: load, pace, work, warm objects, room."""

import unittest

from sprucewinch.gateway.requests.choice.server_order import ServerRanker
from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.backend_server import BackendServer
from sprucewinch.gateway.servers.capacity.live_estimates import LiveEstimates
from sprucewinch.gateway.servers.outliers import OutlierDetector
from standins.virtual import VirtualLoop, run_virtual

from .gateway_fakes import NAMES, REGIONS, PipelineFixture, StoreFixture, route

_HALLS = ("east-a", "east-b", "west-a")


class Vm:
    """What one VM knows of twelve servers of six slots in two regions."""

    def __init__(self) -> None:
        self.world = StoreFixture()
        self.registry = self.world.registry
        self.outliers = OutlierDetector(self.registry)
        self.estimates = LiveEstimates(self.registry, self.outliers)
        for number in range(12):
            self.add(f"s{number}", _HALLS[number % 3])
        self.world.configure(route(name="r1"))

    def add(self, server_id: str, hall: str) -> BackendServer:
        backend = BackendEntry(server_id, "rates", "10.0.0.1:80", hall, 6)
        self.world.put(f"servers/{server_id}", backend)
        return self.registry.servers[server_id]

    def server(self, server_id: str = "s0") -> BackendServer:
        return self.registry.servers[server_id]

    def first(self, key: str) -> BackendServer:
        """Return the first server for an object in the region east."""
        east = [s for s in self.registry.offered("rates") if s.backend.hall != "west-a"]
        return next(s for s in east if self.estimates.warm_objects.expects(s, key, 0.0))

    def learn(self, work_s: float) -> None:
        """Record enough answers of a kind to know its usual work."""
        for _ in range(24):
            self.registry.record_work(self.server(), "r1", work_s, None)


class Estimated(unittest.TestCase):
    def test_an_unknown_server_is_idle_and_of_usual_pace(self) -> None:
        vm = Vm()
        found = vm.estimates.estimate(vm.server().backend, "r1", "", 10.0)
        self.assertEqual((found.slots, found.held, found.pace), (6, 0.0, 1.0))
        self.assertEqual((found.work_s, found.answer_s, found.age_s), (0.0, 0.0, float("inf")))

    def test_load_pace_and_work_are_put_together(self) -> None:
        vm = Vm()
        vm.learn(0.3)
        server = vm.first("lane")
        vm.registry.record_load(server, 6, 6, 10.0, 2.5)
        found = vm.estimates.estimate(server.backend, "r1", "lane", 10.0)
        self.assertEqual((found.held, found.pace, found.warm, found.age_s), (12.0, 2.5, True, 0.0))
        self.assertAlmostEqual(found.work_s, 0.3)
        self.assertAlmostEqual(found.wait_s, 7 / 6 * 0.3 * 2.5)
        self.assertAlmostEqual(found.answer_s, (7 / 6 + 1) * 0.3 * 2.5)

    def test_a_server_that_does_not_keep_the_object_warm_takes_longer(self) -> None:
        vm = Vm()
        vm.learn(0.3)
        first = vm.first("lane")
        other = next(s for s in vm.registry.offered("rates") if s is not first)
        warm = vm.estimates.estimate(first.backend, "r1", "lane", 10.0)
        cold = vm.estimates.estimate(other.backend, "r1", "lane", 10.0)
        self.assertTrue(warm.warm)
        if not cold.warm:
            self.assertAlmostEqual(cold.work_s, 3 * warm.work_s)

    def test_requests_without_an_object_or_affinity_are_warm_everywhere(self) -> None:
        vm = Vm()
        vm.learn(0.3)
        vm.world.configure(route(name="r1"), route(name="r2", affinity=False), version=2)
        for name, key in (("r1", ""), ("r2", "lane")):
            for server in vm.registry.offered("rates"):
                found = vm.estimates.estimate(server.backend, name, key, 10.0)
                self.assertTrue(found.warm)

    def test_a_server_that_has_left_the_registry_counts_as_usual(self) -> None:
        vm = Vm()
        gone = BackendEntry("gone", "rates", "10.0.0.1:80", "east-a", 6)
        self.assertEqual(vm.estimates.estimate(gone, "r1", "lane", 10.0).slots, 6)

    def test_a_service_states_a_pace_once_one_of_its_servers_does(self) -> None:
        vm = Vm()
        vm.registry.record_load(vm.server(), 6, 6, 10.0)
        self.assertFalse(vm.estimates.states_pace("rates"))
        vm.registry.record_load(vm.server("s3"), 6, 6, 10.0, 1.0)
        self.assertTrue(vm.estimates.states_pace("rates"))


class WarmThere(unittest.TestCase):
    def test_the_first_server_is_that_of_the_ranking_in_each_region(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=9, halls=_HALLS)
            path.world.configure(route())
            warm_objects = LiveEstimates(path.world.registry, path.outliers).warm_objects
            ranker = ServerRanker(path.world.registry, path.shares, REGIONS)
            for number in range(40):
                key = f"lane-{number}"
                ranking = ranker.rank("rates", key, (), 0.0)
                firsts = {ranking.servers[0], ranking.servers[ranking.local_count]}
                expected = {s for s in ranking.servers if warm_objects.expects(s, key, 0.0)}
                self.assertEqual(expected, firsts)

        run_virtual(main)

    def test_an_object_is_warm_where_this_vm_sent_it_recently(self) -> None:
        vm = Vm()
        first = vm.first("lane")
        other = next(
            s
            for s in vm.registry.offered("rates")
            if not vm.estimates.warm_objects.expects(s, "lane", 10.0)
        )
        self.assertIsNot(other, first)
        vm.outliers.record_success(other, "lane", 0.3, 1, 10.0)
        self.assertTrue(vm.estimates.warm_objects.expects(other, "lane", 12.0))
        self.assertFalse(vm.estimates.warm_objects.expects(other, "lane", 30.0))

    def test_a_cold_server_keeps_nothing_warm(self) -> None:
        vm = Vm()
        first = vm.first("lane")
        first.cold_until = 12.0
        self.assertFalse(vm.estimates.warm_objects.expects(first, "lane", 10.0))
        self.assertTrue(vm.estimates.warm_objects.expects(first, "lane", 12.0))

    def test_a_new_server_takes_its_objects_over(self) -> None:
        vm = Vm()
        keys = [f"lane-{number}" for number in range(60)]
        before = {key: vm.first(key) for key in keys}
        joined = vm.add("joined", "east-a")
        moved = [key for key in keys if vm.first(key) is not before[key]]
        self.assertTrue(moved)
        self.assertEqual({vm.first(key) for key in moved}, {joined})


class Rooms(unittest.TestCase):
    def test_it_is_the_sum_over_the_regions_usable_servers(self) -> None:
        vm = Vm()
        vm.registry.record_load(vm.server("s0"), 6, 3, 10.0)
        vm.registry.record_load(vm.server("s1"), 2, 0, 10.0)
        vm.server("s3").pause(11.0)
        room = vm.estimates.room("rates", "east", 10.0)
        self.assertEqual((room.slots, room.known_slots), (7 * 6, 2 * 6))
        self.assertEqual((room.held, room.waiting, room.free), (11.0, 3.0, 4.0 + 5 * 6))
        self.assertEqual(vm.estimates.room("rates", "west", 10.0).slots, 4 * 6)
        self.assertEqual(vm.estimates.room("rates", "", 10.0).slots, 11 * 6)

    def test_it_is_computed_anew_after_a_moment(self) -> None:
        vm = Vm()
        before = vm.estimates.room("rates", "east", 10.0)
        vm.registry.record_load(vm.server("s0"), 6, 3, 10.0)
        self.assertEqual(vm.estimates.room("rates", "east", 10.01), before)
        self.assertAlmostEqual(vm.estimates.room("rates", "east", 10.11).waiting, 1.93, delta=0.01)

    def test_without_recent_reports_no_slot_is_known(self) -> None:
        vm = Vm()
        vm.registry.record_load(vm.server("s0"), 6, 3, 10.0)
        self.assertEqual(vm.estimates.room("rates", "east", 13.0).known_slots, 0)


class Answers(unittest.TestCase):
    """What answers over the request path teach."""

    def _path(self, loop: VirtualLoop, load: str) -> PipelineFixture:
        path = PipelineFixture(loop, servers=2)
        path.world.configure(route())
        for server in path.servers.values():
            server.says = {NAMES.load: load}
            server.work_s = 0.2
        return path

    def test_pace_load_and_work_of_answers_are_learnt(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = self._path(loop, "5,0,6,250")
            estimates = LiveEstimates(path.world.registry, path.outliers)
            for number in range(40):
                await path.pipeline.run(path.request(f"q{number}"))
            server = path.world.registry.servers[path.first().server_id]
            found = estimates.estimate(server.backend, "r1", "lane-1", loop.time())
            self.assertAlmostEqual(found.pace, 2.5, delta=0.05)
            self.assertAlmostEqual(found.held, 5.0, delta=0.05)
            self.assertAlmostEqual(found.work_s, 0.2 / 2.5, delta=0.01)
            self.assertTrue(estimates.states_pace("rates"))

        run_virtual(main)

    def test_answers_without_a_pace_teach_no_pace_and_no_usual_load(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = self._path(loop, "5,0,6")
            estimates = LiveEstimates(path.world.registry, path.outliers)
            for number in range(40):
                await path.pipeline.run(path.request(f"q{number}"))
            self.assertFalse(estimates.states_pace("rates"))
            other = next(s for s in path.world.registry.offered("rates") if not s.answered_at > 0)
            found = estimates.estimate(other.backend, "r1", "lane-1", loop.time())
            self.assertEqual((found.held, found.pace), (0.0, 1.0))
            told = next(s for s in path.world.registry.offered("rates") if s.answered_at > 0)
            found = estimates.estimate(told.backend, "r1", "lane-1", loop.time())
            self.assertEqual(found.age_s, float("inf"))

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
