"""The rule that places a request on one of its object's candidates by expected answer time."""

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.choice.expected_time import (
    MAX_REPORT_AGE_S,
    MIN_GAIN,
    ROUND_TRIP_S,
    TARGET_FRACTION,
    Candidate,
    TimeLeft,
    best_candidate,
    keeps_request,
    may_take_over,
)

from .estimate_fakes import USUAL_WORK_S, estimate

LEFT = TimeLeft(0.8, 2.0)


def _warm(held: float = 0.0, **changes: object) -> Candidate:
    return Candidate(estimate(held=held, **changes))


def _cold(held: float = 0.0) -> Candidate:
    return Candidate(estimate(held=held, work_s=3 * USUAL_WORK_S, warm=False))


class FirstServer(unittest.TestCase):
    def test_it_keeps_a_request_that_it_answers_in_target(self) -> None:
        self.assertLess(_warm(held=9.0).answer_s, TARGET_FRACTION * LEFT.target_s)
        self.assertEqual(best_candidate([_warm(held=9.0), _warm()], LEFT), 0)
        self.assertGreater(_warm(held=10.0).answer_s, TARGET_FRACTION * LEFT.target_s)
        self.assertEqual(best_candidate([_warm(held=10.0), _warm()], LEFT), 1)

    def test_time_that_has_passed_counts(self) -> None:
        self.assertEqual(best_candidate([_warm(held=11.0), _warm()], TimeLeft(0.5, 2.0)), 1)

    def test_a_slow_pace_counts(self) -> None:
        self.assertEqual(best_candidate([_warm(pace=5.0), _warm()], LEFT), 1)
        self.assertEqual(best_candidate([_warm(pace=5.0), _warm(pace=4.5)], LEFT), 0)

    def test_equal_estimates_move_nothing(self) -> None:
        late = _warm(held=20.0)
        self.assertEqual(best_candidate([late, late, late], LEFT), 0)
        nearly = _warm(held=15.0)
        self.assertEqual(best_candidate([late, nearly], TimeLeft(0.1, 2.0)), 1)
        self.assertLess(late.answer_s, MIN_GAIN * _warm(held=16.0).answer_s)
        self.assertEqual(best_candidate([late, _warm(held=16.0)], TimeLeft(0.1, 2.0)), 0)

    def test_one_that_is_merely_cold_keeps_the_request(self) -> None:
        self.assertEqual(best_candidate([_cold(), _warm()], LEFT), 0)
        self.assertEqual(best_candidate([_cold(held=6.0), _warm()], LEFT), 1)
        slow = Candidate(_cold().estimate._replace(pace=2.5))
        self.assertEqual(best_candidate([slow, _warm()], LEFT), 1)

    def test_one_without_room_gives_the_request_away(self) -> None:
        full = Candidate(estimate(), has_room=False)
        self.assertEqual(best_candidate([full, _warm()], LEFT), 1)
        self.assertEqual(best_candidate([full, full], LEFT), 0)


class OtherServers(unittest.TestCase):
    def test_the_first_in_target_takes_it_and_not_the_soonest(self) -> None:
        late = _warm(held=20.0)
        self.assertEqual(best_candidate([late, _warm(held=7.0), _warm()], LEFT), 1)
        self.assertEqual(best_candidate([late, _warm(held=16.0), _warm()], LEFT), 2)

    def test_when_all_miss_the_target_the_soonest_takes_it(self) -> None:
        left = TimeLeft(-0.1, 2.0)
        late = _warm(held=30.0)
        self.assertEqual(best_candidate([late, _warm(held=15.0), _warm()], left), 2)
        self.assertEqual(best_candidate([late, _warm(held=6.0), _warm()], left), 1)
        self.assertEqual(best_candidate([late, _warm()], TimeLeft(-0.1, 0.2)), 0)

    def test_one_that_would_load_the_object_takes_it_while_half_of_its_slots_are_free(self) -> None:
        late = _warm(pace=5.0)
        self.assertEqual(best_candidate([late, _cold(held=2.9)], LEFT), 1)
        self.assertEqual(best_candidate([late, _cold(held=3.0)], LEFT), 0)

    def test_one_that_keeps_the_object_warm_goes_before_one_that_would_load_it(self) -> None:
        late, left = _warm(held=24.0), TimeLeft(1.0, 2.0)
        away = Candidate(estimate(held=9.0), remote=True)
        self.assertEqual(best_candidate([late, _cold(), away], left), 2)
        self.assertEqual(best_candidate([late, _cold()], left), 1)

    def test_only_a_warm_server_that_answers_in_target_takes_over_without_need(self) -> None:
        self.assertTrue(may_take_over(_warm(held=8.0), LEFT))
        self.assertFalse(may_take_over(_warm(held=20.0), LEFT))
        self.assertFalse(may_take_over(_cold(), TimeLeft(2.0, 2.0)))
        self.assertFalse(may_take_over(_warm(age_s=2.0), LEFT))
        self.assertFalse(may_take_over(Candidate(estimate(), has_room=False), LEFT))

    def test_one_without_a_recent_report_is_not_taken_for_idle(self) -> None:
        late = _warm(held=20.0)
        old = _warm(age_s=MAX_REPORT_AGE_S + 0.1)
        self.assertEqual(best_candidate([late, old], LEFT), 0)
        self.assertEqual(best_candidate([late, old, _warm()], LEFT), 2)
        self.assertEqual(best_candidate([old, late], LEFT), 0)

    def test_another_region_costs_the_round_trip(self) -> None:
        away = Candidate(estimate(), remote=True)
        self.assertAlmostEqual(away.answer_s, USUAL_WORK_S + ROUND_TRIP_S)
        self.assertEqual(best_candidate([_warm(held=20.0), _warm(), away], LEFT), 1)
        self.assertEqual(best_candidate([_warm(held=20.0), away, _warm()], LEFT), 1)

    @given(
        st.lists(
            st.builds(
                lambda held, pace, warm, age_s, room, remote: Candidate(
                    estimate(
                        held=held,
                        pace=pace,
                        warm=warm,
                        work_s=USUAL_WORK_S if warm else 3 * USUAL_WORK_S,
                        age_s=age_s,
                    ),
                    room,
                    remote,
                ),
                st.floats(0, 24),
                st.floats(0.5, 5),
                st.booleans(),
                st.floats(0, 3),
                st.booleans(),
                st.booleans(),
            ),
            min_size=1,
            max_size=6,
        ),
        st.floats(-1, 2),
        st.floats(0, 3),
    )
    def test_a_move_is_always_to_a_server_that_is_clearly_sooner(
        self, candidates: list[Candidate], target_s: float, hold_s: float
    ) -> None:
        left = TimeLeft(target_s, hold_s)
        index = best_candidate(candidates, left)
        first, taken = candidates[0], candidates[index]
        if index == 0:
            return
        self.assertFalse(keeps_request(first, left))
        self.assertTrue(taken.has_room)
        self.assertLessEqual(taken.answer_s, hold_s)
        self.assertLessEqual(taken.estimate.age_s, MAX_REPORT_AGE_S)
        if first.has_room:
            self.assertLessEqual(taken.answer_s * MIN_GAIN, first.answer_s + 1e-9)
        if taken.answer_s > target_s:
            rest = [c for c in candidates[1:index] if c.answer_s <= target_s and c.has_room]
            self.assertFalse([c for c in rest if c.estimate.warm and c.estimate.age_s <= 1.5])


class Herds(unittest.TestCase):
    """Many VMs decide on the same stale figures, without seeing each other's decisions."""

    SERVERS = 40
    VMS = 60
    OBJECTS = 4_000

    def _moved(self, held: list[float], pace: list[float]) -> Counter[int]:
        """Return how many requests each server gets that another one would have answered late."""
        moved: Counter[int] = Counter()
        rng = random.Random(5)
        for _ in range(self.OBJECTS):
            order = rng.sample(range(self.SERVERS), self.SERVERS)[:3]
            estimates = [estimate(held=held[server], pace=pace[server]) for server in order]
            for _ in range(self.VMS):
                index = best_candidate([Candidate(e) for e in estimates], LEFT)
                if index:
                    moved[order[index]] += 1
        return moved

    def test_no_server_gets_more_than_twice_its_part_of_what_moves(self) -> None:
        rng = random.Random(3)
        held = [rng.uniform(0.0, 8.0) for _ in range(self.SERVERS)]
        held[30] = 0.0
        pace = [5.0 if server < 8 else 1.0 for server in range(self.SERVERS)]
        moved = self._moved(held, pace)
        fair = moved.total() / (self.SERVERS - 8)
        self.assertGreater(fair, 1_000)
        self.assertLessEqual(max(moved.values()), 2 * fair)
        # An object whose three servers are all slow still prefers one without a queue.
        self.assertLess(max(moved[server] for server in range(8)), fair / 10)


if __name__ == "__main__":
    unittest.main()
