"""Usual work by route and service: samples, pace, cold objects, what counts until it is known."""

import random
import unittest
from typing import Optional

from sprucewinch.gateway.resources import RouteConfiguration
from sprucewinch.gateway.servers.capacity.work_times import WorkTimes, work_without_queue_s

from .gateway_fakes import route


def _times(*, affinity: bool = True) -> WorkTimes:
    times = WorkTimes()
    routes = (route(name="r1", affinity=affinity), route(name="r2", affinity=affinity))
    times.set_routes(RouteConfiguration(1, routes, {}))
    return times


def _record(
    times: WorkTimes,
    work_s: float,
    count: int,
    *,
    pace: Optional[float] = 1.0,
    name: str = "r1",
) -> None:
    for _ in range(count):
        times.record(name, "rates", work_s, pace)


class WithoutQueue(unittest.TestCase):
    def test_the_part_in_the_queue_is_left_out(self) -> None:
        self.assertAlmostEqual(work_without_queue_s(0.9, 6, 18), 0.3)
        self.assertAlmostEqual(work_without_queue_s(0.3, 6, 2), 0.3)
        self.assertAlmostEqual(work_without_queue_s(0.3, 6, 0), 0.3)


class Known(unittest.TestCase):
    def test_nothing_is_known_before_enough_answers(self) -> None:
        times = _times()
        _record(times, 0.3, 19)
        self.assertEqual(times.usual_s("r1", "rates", warm=True), 0.0)
        self.assertEqual(times.queued_s("rates"), 0.0)
        _record(times, 0.3, 1)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.3)
        self.assertAlmostEqual(times.queued_s("rates"), 0.3)

    def test_until_a_kind_is_known_the_services_time_counts(self) -> None:
        times = _times()
        _record(times, 0.3, 24)
        _record(times, 1.2, 4, name="r2")
        self.assertAlmostEqual(times.usual_s("r2", "rates", warm=True), 0.3)
        _record(times, 1.2, 20, name="r2")
        self.assertAlmostEqual(times.usual_s("r2", "rates", warm=True), 1.2)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.3)

    def test_a_tail_moves_nothing_but_the_queue(self) -> None:
        times = _times()
        rng = random.Random(3)
        for number in range(128):
            tail = 7.0 if number % 33 == 0 else 1.0
            times.record("r1", "rates", 0.3 * tail * rng.uniform(0.8, 1.2), 1.0)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.3, delta=0.03)
        self.assertAlmostEqual(times.queued_s("rates"), 0.3 * (1 + 6 * 4 / 128), delta=0.06)

    def test_it_follows_work_that_becomes_longer(self) -> None:
        times = _times()
        _record(times, 0.3, 128)
        _record(times, 0.6, 160)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.6)

    def test_a_route_that_is_gone_is_forgotten(self) -> None:
        times = _times()
        _record(times, 0.3, 24, name="r2")
        times.set_routes(RouteConfiguration(2, (route(name="r1"),), {}))
        self.assertEqual(set(times.by_route), set())


class Paces(unittest.TestCase):
    def test_servers_without_a_pace_count_as_usual(self) -> None:
        times = _times()
        _record(times, 0.3, 24, pace=None)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.3)

    def test_answers_at_an_unusual_pace_are_left_out_while_there_are_others(self) -> None:
        times = _times()
        for _ in range(60):
            times.record("r1", "rates", 0.3, 1.0)
            times.record("r1", "rates", 0.3, 2.5)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.3)

    def test_where_all_answers_have_an_unusual_pace_they_are_divided_by_it(self) -> None:
        times = _times()
        _record(times, 0.75, 40, pace=2.5)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.3)


class ColdObjects(unittest.TestCase):
    def _mixed(self, times: WorkTimes) -> None:
        for number in range(128):
            times.record("r1", "rates", 0.8 if number % 3 == 0 else 0.4, 1.0)

    def test_until_cold_answers_are_seen_the_planned_ratio_counts(self) -> None:
        times = _times()
        _record(times, 0.3, 24)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=False), 0.9)

    def test_the_ratio_that_was_seen_counts_and_is_kept(self) -> None:
        times = _times()
        self._mixed(times)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=True), 0.4)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=False), 0.8)
        _record(times, 0.4, 128)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=False), 0.8)

    def test_a_route_without_affinity_has_one_time(self) -> None:
        times = _times(affinity=False)
        _record(times, 0.3, 24)
        self.assertAlmostEqual(times.usual_s("r1", "rates", warm=False), 0.3)


if __name__ == "__main__":
    unittest.main()
