"""The part of each kind that is sent when a service can't bear all of them."""

import itertools
import unittest
from typing import Optional

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.admission.demand import (
    MAX_KINDS,
    Kind,
    KindCounts,
    ServiceDemand,
    Wanted,
)
from sprucewinch.gateway.requests.admission.sent_part import (
    FleetPart,
    bearable_slots,
    faded,
    is_idle,
    queue_deviation,
    queue_reference_s,
    sent_part,
)

from .estimate_fakes import USUAL_WORK_S, estimate

FLOOR = 0.3


def _parts(asked: list[float], bearable: float) -> list[float]:
    """Return the part of each kind that is sent, the most urgent kind first."""
    total, parts, ahead = sum(asked), [], 0.0
    for own in asked:
        parts.append(sent_part(Wanted(ahead, own, total), bearable))
        ahead += own
    return parts


def _water_level(asked: list[float], bearable: float) -> list[float]:
    """Oracle: hand out the slots kind by kind, in pieces; each kind gets the floor at least."""
    if sum(asked) <= bearable:
        return [1.0] * len(asked)
    left, floor, parts = bearable, FLOOR * bearable / sum(asked), []
    for own in asked:
        taken = min(own, left)
        left -= taken
        parts.append(max(taken / own, floor))
    return parts


class Parts(unittest.TestCase):
    def test_the_most_urgent_kinds_come_first(self) -> None:
        self.assertEqual(_parts([4.0, 4.0], 8.0), [1.0, 1.0])
        self.assertEqual(_parts([4.0, 4.0], 6.0), [1.0, 0.5])

    def test_a_kind_after_all_others_gets_the_floor(self) -> None:
        urgent, other = _parts([12.0, 4.0], 8.0)
        self.assertAlmostEqual(urgent, 8 / 12)
        self.assertAlmostEqual(other, FLOOR * 0.5)

    @given(st.lists(st.floats(0.01, 50.0), min_size=1, max_size=8), st.floats(0.0, 100.0))
    def test_the_parts_agree_with_slots_that_are_handed_out_one_kind_after_the_other(
        self, asked: list[float], bearable: float
    ) -> None:
        for found, expected in zip(
            _parts(asked, bearable), _water_level(asked, bearable), strict=True
        ):
            self.assertAlmostEqual(found, expected, places=6)

    @given(st.lists(st.floats(0.01, 50.0), min_size=2, max_size=8), st.floats(0.0, 100.0))
    def test_no_kind_is_sent_more_often_than_a_more_urgent_one(
        self, asked: list[float], bearable: float
    ) -> None:
        for urgent, other in itertools.pairwise(_parts(asked, bearable)):
            self.assertGreaterEqual(urgent, other - 1e-9)

    @given(st.lists(st.floats(0.01, 50.0), min_size=1, max_size=8), st.floats(0.1, 100.0))
    def test_no_kind_starves_and_little_more_is_sent_than_is_borne(
        self, asked: list[float], bearable: float
    ) -> None:
        parts = _parts(asked, bearable)
        sent = sum(part * own for part, own in zip(parts, asked, strict=True))
        borne = min(1.0, bearable / sum(asked))
        self.assertGreaterEqual(min(parts), FLOOR * borne - 1e-9)
        self.assertLessEqual(sent, bearable * (1 + FLOOR) + 1e-9)


class Turns(unittest.TestCase):
    @given(st.floats(0.0, 1.0), st.integers(1, 300))
    def test_the_turns_of_a_kind_are_spread_evenly(self, part: float, requests: int) -> None:
        counts = KindCounts()
        taken = 0
        for number in range(1, requests + 1):
            taken += counts.take_turn(part)
            self.assertLessEqual(abs(taken - part * number), 1.0)


class Queues(unittest.TestCase):
    def test_the_reference_leaves_time_to_others_and_is_never_empty(self) -> None:
        self.assertAlmostEqual(queue_reference_s(0.4, 0.2), 0.2)
        self.assertAlmostEqual(queue_reference_s(0.01, 0.8), 0.2)
        self.assertAlmostEqual(queue_reference_s(-0.5, 0.8), 0.2)

    def test_the_deviation_is_positive_for_short_queues_and_bounded(self) -> None:
        self.assertAlmostEqual(queue_deviation(estimate(held=5.0), USUAL_WORK_S), 1.0)
        self.assertAlmostEqual(queue_deviation(estimate(held=11.0), USUAL_WORK_S), 0.0)
        self.assertGreater(queue_deviation(estimate(held=0.0), USUAL_WORK_S), 1.0)
        self.assertEqual(queue_deviation(estimate(held=900.0), USUAL_WORK_S), -2.0)

    def test_a_long_queue_lowers_what_is_borne(self) -> None:
        self.assertEqual(bearable_slots(8.0, 0.0), 8.0)
        self.assertLess(bearable_slots(8.0, -1.0), 8.0)
        self.assertGreater(bearable_slots(8.0, 1.0), 8.0)
        self.assertEqual(bearable_slots(8.0, -2.0), 0.0)

    @given(st.floats(0.0, 60.0), st.floats(0.0, 60.0))
    def test_an_old_figure_fades_to_the_usual_and_never_to_empty(
        self, held: float, age_s: float
    ) -> None:
        seen = estimate(held=held, age_s=age_s)
        known = faded(seen, USUAL_WORK_S)
        self.assertLessEqual(known.wait_s, seen.wait_s + 1e-9)
        self.assertGreaterEqual(known.wait_s, min(seen.wait_s, USUAL_WORK_S) - 1e-9)
        self.assertLessEqual(known.free_slots, max(1.0, seen.free_slots) + 1e-9)
        new = faded(seen._replace(age_s=0.0), USUAL_WORK_S)
        self.assertAlmostEqual(new.held, held)

    def test_only_a_new_figure_shows_an_idle_server(self) -> None:
        self.assertTrue(is_idle(estimate(held=1.0, age_s=0.05)))
        self.assertFalse(is_idle(estimate(held=3.0, age_s=0.0)))
        self.assertFalse(is_idle(estimate(held=1.0, age_s=2.0)))


class PartsOfVms(unittest.TestCase):
    def _after(
        self,
        seconds: float,
        *,
        part: Optional[FleetPart] = None,
        since: float = 0.0,
        **figures: float,
    ) -> FleetPart:
        """Return a part that was updated ten times a second."""
        part = part or FleetPart()
        usual = {"asked": 0.5, "utilization": 0.5, "deviation": 1.0}
        for step in range(int(seconds * 10)):
            part.update(**{**usual, **figures}, now=since + step / 10)
        return part

    def test_while_there_is_room_it_is_that_of_the_demand(self) -> None:
        part = self._after(10.0, asked=2.0, utilization=0.5)
        self.assertTrue(part.has_room)
        self.assertAlmostEqual(part.value, 4.0, places=2)

    def test_full_servers_are_noticed_after_a_moment(self) -> None:
        part = self._after(10.0, utilization=0.5)
        part.update(2.0, 1.5, -1.0, now=10.0)
        self.assertTrue(part.has_room)
        part.update(2.0, 1.5, -1.0, now=10.3)
        self.assertFalse(part.has_room)

    def test_once_servers_are_full_it_follows_their_queues(self) -> None:
        calm = self._after(10.0).value
        shorter = self._after(
            2.0, part=self._after(10.0), since=10.0, utilization=2.0, deviation=0.5
        )
        self.assertGreater(shorter.value, 1.3 * calm)
        longer = self._after(
            2.0, part=self._after(10.0), since=10.0, utilization=2.0, deviation=-0.5
        )
        self.assertLess(longer.value, calm / 1.3)

    def test_a_short_fall_of_the_load_is_no_room(self) -> None:
        part = self._after(10.0, utilization=2.0)
        part.update(1.0, 0.2, 1.0, now=10.2)
        self.assertFalse(part.has_room)

    def test_it_is_bounded_and_a_pause_is_no_evidence(self) -> None:
        part = self._after(10.0, utilization=2.0, deviation=0.0)
        before = part.value
        part.update(1.0, 2.0, 2.0, now=1000.0)
        self.assertLess(part.value, 1.6 * before)
        self.assertEqual(self._after(60.0, utilization=2.0, deviation=2.0).value, 16.0)
        self.assertEqual(self._after(60.0, utilization=2.0, deviation=-2.0).value, 0.25)


class Demand(unittest.TestCase):
    def test_work_is_counted_by_kind_and_decays(self) -> None:
        demand = ServiceDemand()
        urgent, other = Kind(0, 0, 0, 1), Kind(0, 2, 0, 1)
        for number in range(1000):
            demand.record_asked(urgent, 0.2, number / 50)
            demand.record_asked(other, 0.1, number / 50)
        now = 999 / 50
        wanted = demand.wanted(other, now)
        self.assertAlmostEqual(wanted.ahead, 10.0, delta=0.3)
        self.assertAlmostEqual(wanted.own, 5.0, delta=0.2)
        self.assertAlmostEqual(wanted.total, 15.0, delta=0.5)
        self.assertEqual(demand.wanted(urgent, now).ahead, 0.0)
        self.assertLess(demand.wanted(other, now + 10.0).total, 0.01)

    def test_the_order_of_kinds(self) -> None:
        kinds = [Kind(1, 0, 0, 0), Kind(0, 1, 0, 0), Kind(0, 0, 1, 0), Kind(0, 0, 0, 1)]
        self.assertEqual(sorted(kinds), kinds[::-1])

    def test_the_number_of_kinds_is_bounded(self) -> None:
        demand = ServiceDemand()
        for number in range(500):
            demand.record_asked(Kind(0, number, 0, 1), 0.2, float(number))
        self.assertEqual(len(demand.by_kind), MAX_KINDS)
        self.assertIn(Kind(0, 499, 0, 1), demand.by_kind)


if __name__ == "__main__":
    unittest.main()
