"""How many requests may wait at a server, from the usual times, latency targets and timeouts."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import RouteConfiguration, WeightedService
from sprucewinch.gateway.servers.capacity.service_times import OVERLOAD_QUEUE_RATIO, ServiceTimes

from .gateway_fakes import route

_SECONDS = st.floats(0.01, 10.0)


def _times(typical_s: float, *targets_s: float) -> ServiceTimes:
    times = ServiceTimes()
    routes = tuple(
        route(name=f"r{a}", latency_target_s=a, parts=(WeightedService("rates", 1.0),))
        for a in targets_s
    )
    times.set_latency_targets(RouteConfiguration(1, routes, {}))
    times.record_success("rates", typical_s)
    return times


class LowQuantile(unittest.TestCase):
    def test_it_is_unknown_before_enough_answers(self) -> None:
        times = ServiceTimes()
        self.assertEqual(times.low_quantile_s("rates"), 0.0)
        for _ in range(19):
            times.record_success("rates", 0.1)
        self.assertEqual(times.low_quantile_s("rates"), 0.0)

    @given(st.integers(0, 2**32))
    def test_nearly_all_answers_take_longer_than_it(self, seed) -> None:
        rng = random.Random(seed)
        times = ServiceTimes()
        taken = [rng.uniform(0.1, 0.4) for _ in range(2_000)]
        for seconds in taken:
            times.record_success("rates", seconds)
        shorter = sum(seconds < times.low_quantile_s("rates") for seconds in taken)
        self.assertLess(shorter, 0.1 * len(taken))
        self.assertGreater(times.low_quantile_s("rates"), 0.08)


class LoadPerSlot(unittest.TestCase):
    @given(_SECONDS, _SECONDS)
    def test_a_queue_fits_the_routes_timeout_and_never_leaves_a_slot_free(
        self, typical_s, timeout_s
    ) -> None:
        max_load_per_slot = _times(typical_s).max_load_per_slot("rates", None, timeout_s)
        self.assertTrue(1.0 <= max_load_per_slot <= 2.0)
        if max_load_per_slot > 1.0:
            self.assertLessEqual(max_load_per_slot * typical_s, timeout_s)

    def test_a_servers_own_time_takes_precedence_over_its_services(self) -> None:
        times = _times(0.1)
        self.assertEqual(times.max_load_per_slot("rates", 1.0, 1.0), 1.0)
        self.assertEqual(times.max_load_per_slot("rates", None, 1.0), 2.0)

    def test_without_a_timeout_or_a_known_time_one_may_wait_for_each_slot(self) -> None:
        self.assertEqual(_times(5.0).max_load_per_slot("rates", None, None), 2.0)
        self.assertEqual(ServiceTimes().max_load_per_slot("rates", None, 1.0), 2.0)


class OverloadQueueRatio(unittest.TestCase):
    @given(_SECONDS, st.lists(_SECONDS, min_size=1, max_size=4))
    def test_more_may_wait_only_while_the_shortest_target_is_met(
        self, typical_s, targets_s
    ) -> None:
        ratio = _times(typical_s, *targets_s).overload_queue_ratio("rates")
        self.assertTrue(OVERLOAD_QUEUE_RATIO <= ratio <= 1.0)
        if ratio > OVERLOAD_QUEUE_RATIO:
            self.assertLessEqual(typical_s * (1 + ratio), min(targets_s) * 1.000001)

    def test_without_a_target_or_a_known_time_the_lowest_ratio_applies(self) -> None:
        self.assertEqual(_times(0.1).overload_queue_ratio("rates"), OVERLOAD_QUEUE_RATIO)
        self.assertEqual(ServiceTimes().overload_queue_ratio("rates"), OVERLOAD_QUEUE_RATIO)
