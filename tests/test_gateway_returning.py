"""Recognition of callers that return after a refusal, by the time that they have left."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.admission.returning import FIRST_ATTEMPT, ReturningCallers
from sprucewinch.gateway.requests.client_request import CallerHistory
from sprucewinch.gateway.requests.outcome.return_times import MIN_RETRY_AFTER_S

USUAL_S = 2.5


def _after_first_attempts(count: int = 40, usual_s: float = USUAL_S) -> ReturningCallers:
    callers = ReturningCallers()
    for _ in range(count):
        callers.attempt("r", usual_s)
    return callers


class Recognition(unittest.TestCase):
    def test_each_history(self) -> None:
        for used_s, history in (
            (0.0, CallerHistory.FIRST),
            (0.03, CallerHistory.FIRST),
            (0.05, CallerHistory.REPEATING),
            (MIN_RETRY_AFTER_S - 0.001, CallerHistory.REPEATING),
            (MIN_RETRY_AFTER_S + 0.001, CallerHistory.RETURNING),
            (2.0, CallerHistory.RETURNING),
        ):
            with self.subTest(used_s):
                found = _after_first_attempts().attempt("r", USUAL_S - used_s)
                self.assertIs(found.history, history)
                expected_s = 0.0 if history is CallerHistory.FIRST else used_s
                self.assertAlmostEqual(found.tried_for_s, expected_s)

    def test_nobody_is_recognised_before_a_usual_time_is_known(self) -> None:
        callers = ReturningCallers()
        callers.attempt("r", USUAL_S)
        self.assertEqual(callers.attempt("r", 1.0), FIRST_ATTEMPT)

    def test_routes_are_apart(self) -> None:
        callers = _after_first_attempts()
        for _ in range(40):
            callers.attempt("other", 1.0)
        self.assertEqual(callers.attempt("other", 1.0), FIRST_ATTEMPT)
        self.assertIs(callers.attempt("r", 1.0).history, CallerHistory.RETURNING)

    def test_one_odd_caller_does_not_make_returning_callers_of_all(self) -> None:
        callers = _after_first_attempts()
        callers.attempt("r", 300.0)
        for _ in range(40):
            self.assertEqual(callers.attempt("r", USUAL_S), FIRST_ATTEMPT)

    def test_callers_that_each_choose_their_own_time_are_first_attempts(self) -> None:
        rng, callers = random.Random(1), ReturningCallers()
        attempts = [callers.attempt("r", rng.uniform(0.5, 8.0)) for _ in range(2000)]
        known = sum(a.history is not CallerHistory.FIRST for a in attempts[40:])
        self.assertLess(known, 40)

    def test_a_change_of_the_usual_time_is_learned_both_ways(self) -> None:
        for usual_s in (1.5, 4.0):
            callers = _after_first_attempts(1000)
            for _ in range(1000):
                callers.attempt("r", usual_s)
            self.assertEqual(callers.attempt("r", usual_s), FIRST_ATTEMPT)
            self.assertIs(callers.attempt("r", usual_s - 0.3).history, CallerHistory.RETURNING)

    @given(st.floats(1.0, 10.0), st.lists(st.floats(0.15, 0.9), min_size=1, max_size=300))
    def test_two_returns_for_each_first_attempt_hide_nothing(
        self, usual_s: float, used: list[float]
    ) -> None:
        """The oracle knows which attempts are first ones."""
        callers = _after_first_attempts(usual_s=usual_s)
        for number, used_s in enumerate(used):
            self.assertEqual(callers.attempt("r", usual_s), FIRST_ATTEMPT)
            for spread_s in (0.0, number / 400):
                found = callers.attempt("r", usual_s - used_s - spread_s * 0.1)
                self.assertIs(found.history, CallerHistory.RETURNING)

    def test_what_is_known_is_bounded(self) -> None:
        rng, callers = random.Random(2), ReturningCallers()
        for _ in range(20_000):
            callers.attempt("r", rng.uniform(0.1, 300.0))
        self.assertLess(len(callers.by_route["r"]._buckets), 600)
        callers.forget_others({"another"})
        self.assertEqual(callers.by_route, {})


if __name__ == "__main__":
    unittest.main()
