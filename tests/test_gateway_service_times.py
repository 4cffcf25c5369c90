"""How much may wait at a server, from what its service's requests take and may take."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import Part, RouteConfiguration
from sprucewinch.gateway.servers.capacity.service_times import OVERLOAD_QUEUE_RATIO, ServiceTimes

from .gateway_fakes import route

_SECONDS = st.floats(0.01, 10.0)


def _times(typical_s: float, *aims_s: float) -> ServiceTimes:
    times = ServiceTimes()
    routes = tuple(
        route(name=f"r{a}", latency_target_s=a, parts=(Part("rates", 1.0),)) for a in aims_s
    )
    times.set_latency_targets(RouteConfiguration(1, routes, {}))
    times.record_success("rates", typical_s)
    return times


class LeastTimes(unittest.TestCase):
    def test_it_is_not_known_before_some_answers(self) -> None:
        times = ServiceTimes()
        self.assertEqual(times.least_s("rates"), 0.0)
        for _ in range(19):
            times.record_success("rates", 0.1)
        self.assertEqual(times.least_s("rates"), 0.0)

    @given(st.integers(0, 2**32))
    def test_nearly_all_answers_take_longer(self, seed) -> None:
        rng = random.Random(seed)
        times = ServiceTimes()
        taken = [rng.uniform(0.1, 0.4) for _ in range(2_000)]
        for seconds in taken:
            times.record_success("rates", seconds)
        shorter = sum(seconds < times.least_s("rates") for seconds in taken)
        self.assertLess(shorter, 0.1 * len(taken))
        self.assertGreater(times.least_s("rates"), 0.08)


class Turns(unittest.TestCase):
    @given(_SECONDS, _SECONDS)
    def test_a_queue_fits_the_routes_time_and_never_costs_a_slot(
        self, typical_s, timeout_s
    ) -> None:
        queue_turns = _times(typical_s).queue_turns("rates", None, timeout_s)
        self.assertTrue(1.0 <= queue_turns <= 2.0)
        if queue_turns > 1.0:
            self.assertLessEqual(queue_turns * typical_s, timeout_s)

    def test_a_servers_own_times_go_before_its_services(self) -> None:
        times = _times(0.1)
        self.assertEqual(times.queue_turns("rates", 1.0, 1.0), 1.0)
        self.assertEqual(times.queue_turns("rates", None, 1.0), 2.0)

    def test_without_a_limit_or_any_time_one_may_wait_for_each_slot(self) -> None:
        self.assertEqual(_times(5.0).queue_turns("rates", None, None), 2.0)
        self.assertEqual(ServiceTimes().queue_turns("rates", None, 1.0), 2.0)


class OverloadedParts(unittest.TestCase):
    @given(_SECONDS, st.lists(_SECONDS, min_size=1, max_size=4))
    def test_more_may_wait_only_while_the_shortest_aim_is_met(self, typical_s, aims_s) -> None:
        part = _times(typical_s, *aims_s).overload_queue_ratio("rates")
        self.assertTrue(OVERLOAD_QUEUE_RATIO <= part <= 1.0)
        if part > OVERLOAD_QUEUE_RATIO:
            self.assertLessEqual(typical_s * (1 + part), min(aims_s) * 1.000001)

    def test_without_an_aim_or_any_time_the_cautious_part_holds(self) -> None:
        self.assertEqual(_times(0.1).overload_queue_ratio("rates"), OVERLOAD_QUEUE_RATIO)
        self.assertEqual(ServiceTimes().overload_queue_ratio("rates"), OVERLOAD_QUEUE_RATIO)
