"""How much may wait at a server, from what its service's requests take and may take."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import Part, RouteConfiguration
from sprucewinch.gateway.servers.service_times import CROWDED_PART, ServiceTimes

from .gateway_fakes import route

_SECONDS = st.floats(0.01, 10.0)


def _times(usual_s: float, *aims_s: float) -> ServiceTimes:
    times = ServiceTimes()
    routes = tuple(route(name=f"r{a}", aim_s=a, parts=(Part("rates", 1.0),)) for a in aims_s)
    times.learn_aims(RouteConfiguration(1, routes, {}))
    times.answered("rates", usual_s)
    return times


class Turns(unittest.TestCase):
    @given(_SECONDS, _SECONDS)
    def test_a_queue_fits_the_routes_time_and_never_costs_a_slot(self, usual_s, timeout_s) -> None:
        turns = _times(usual_s).turns("rates", None, timeout_s)
        self.assertTrue(1.0 <= turns <= 2.0)
        if turns > 1.0:
            self.assertLessEqual(turns * usual_s, timeout_s)

    def test_a_servers_own_times_go_before_its_services(self) -> None:
        times = _times(0.1)
        self.assertEqual(times.turns("rates", 1.0, 1.0), 1.0)
        self.assertEqual(times.turns("rates", None, 1.0), 2.0)

    def test_without_a_limit_or_any_time_one_may_wait_for_each_slot(self) -> None:
        self.assertEqual(_times(5.0).turns("rates", None, None), 2.0)
        self.assertEqual(ServiceTimes().turns("rates", None, 1.0), 2.0)


class CrowdedParts(unittest.TestCase):
    @given(_SECONDS, st.lists(_SECONDS, min_size=1, max_size=4))
    def test_more_may_wait_only_while_the_shortest_aim_is_met(self, usual_s, aims_s) -> None:
        part = _times(usual_s, *aims_s).crowded_part("rates")
        self.assertTrue(CROWDED_PART <= part <= 1.0)
        if part > CROWDED_PART:
            self.assertLessEqual(usual_s * (1 + part), min(aims_s) * 1.000001)

    def test_without_an_aim_or_any_time_the_cautious_part_holds(self) -> None:
        self.assertEqual(_times(0.1).crowded_part("rates"), CROWDED_PART)
        self.assertEqual(ServiceTimes().crowded_part("rates"), CROWDED_PART)
