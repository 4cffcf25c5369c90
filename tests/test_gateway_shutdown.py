"""Deadlines of the steps of a graceful stop."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.lifecycle.shutdown import stop_times


class StopTimesCases(unittest.TestCase):
    def test_a_usual_grace_period_leaves_time_for_callers_and_for_final_answers(self) -> None:
        times = stop_times(100.0, 6.0)
        self.assertAlmostEqual(times.accept_until, 103.2)
        self.assertAlmostEqual(times.closed_by, 105.3)
        self.assertAlmostEqual(times.answered_by, 105.6)

    @given(st.floats(0, 1e6), st.floats(0.7, 60))
    def test_the_steps_follow_each_other_and_end_before_the_process_is_killed(
        self, now: float, grace_s: float
    ) -> None:
        times = stop_times(now, grace_s)
        self.assertLessEqual(times.accept_until, times.closed_by)
        self.assertLess(times.closed_by, times.answered_by)
        self.assertLess(times.answered_by, now + grace_s)


if __name__ == "__main__":
    unittest.main()
