"""The pace of one backend server: which statement counts, and how it fades."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.servers.capacity.pace import PACE_HALF_LIFE_S, PaceEstimate


def _paced(pace: float, at: float) -> PaceEstimate:
    estimate = PaceEstimate()
    estimate.record(pace, at)
    return estimate


class Fading(unittest.TestCase):
    def test_a_server_that_states_none_works_as_usual(self) -> None:
        estimate = PaceEstimate()
        estimate.record(None, 1.0)
        self.assertIsNone(estimate.stated)
        self.assertEqual(estimate.pace(1.0), 1.0)

    def test_a_statement_fades_to_the_usual_pace(self) -> None:
        for pace in (0.5, 2.5, 5.0):
            estimate = _paced(pace, 10.0)
            self.assertEqual(estimate.pace(10.0), pace)
            half = estimate.pace(10.0 + PACE_HALF_LIFE_S)
            self.assertAlmostEqual(half, (pace + 1.0) / 2)
            self.assertAlmostEqual(estimate.pace(30.0), 1.0)

    def test_a_statement_of_a_later_moment_counts_in_full(self) -> None:
        self.assertEqual(_paced(2.5, 10.0).pace(9.0), 2.5)

    def test_an_answer_without_a_pace_leaves_the_last_one(self) -> None:
        estimate = _paced(2.5, 10.0)
        estimate.record(None, 10.1)
        self.assertEqual(estimate.stated, 2.5)

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(5, 500)), min_size=1), st.randoms())
    def test_the_newest_statement_counts_in_any_order(
        self, statements: list[tuple[int, int]], rng: object
    ) -> None:
        at, percent = max(statements)
        rng.shuffle(statements)  # type: ignore[attr-defined]
        estimate = PaceEstimate()
        for stated_at, stated in statements:
            estimate.record(stated / 100, float(stated_at))
        self.assertEqual((estimate.stated_at, estimate.stated), (float(at), percent / 100))


if __name__ == "__main__":
    unittest.main()
