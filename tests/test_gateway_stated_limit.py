"""The limit of a server's process that a VM applies: stated to it, reported by others, ended."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.quotas.bucket import QuotaBucket
from sprucewinch.gateway.quotas.quota import hall_quota
from sprucewinch.gateway.statements.stated_limit import (
    MIN_PER_S,
    REPORTED_KEPT_S,
    StatedLimit,
)

WINDOW_S = 4.0


class StatedToThisVm(unittest.TestCase):
    def test_it_holds_until_the_answer_to_a_later_request_states_none(
        self,
    ) -> None:
        limit = StatedLimit()
        self.assertTrue(limit.apply_answer(3.0, 9.9, 10.0))
        self.assertEqual(limit.rate_per_s(500.0), 3.0)
        self.assertFalse(limit.apply_answer(None, 9.99, 500.0))
        self.assertEqual(limit.rate_per_s(500.0), 3.0)
        self.assertTrue(limit.apply_answer(None, 10.01, 500.0))

    def test_after_its_end_the_rate_grows_until_there_is_no_limit(self) -> None:
        limit = StatedLimit()
        limit.apply_answer(3.0, 9.9, 10.0)
        limit.apply_answer(None, 11.0, 11.1)
        rates = [limit.rate_per_s(11.1 + tenth / 10) for tenth in range(30)]
        self.assertEqual(rates, sorted(rates))
        self.assertAlmostEqual(rates[0], 3.0)
        self.assertLess(rates[10], 13.0)
        self.assertIsNone(limit.rate_per_s(14.2))

    def test_the_lower_of_two_overlapping_answers_holds(self) -> None:
        limit = StatedLimit()
        limit.apply_answer(3.0, 9.0, 10.0)
        limit.apply_answer(8.0, 9.5, 10.1)
        self.assertEqual(limit.rate_per_s(10.1), 3.0)
        limit.apply_answer(8.0, 10.2, 10.3)
        self.assertEqual(limit.rate_per_s(10.3), 8.0)

    def test_a_limit_of_zero_still_allows_the_lowest_rate(self) -> None:
        limit = StatedLimit()
        limit.apply_answer(0.0, 9.9, 10.0)
        self.assertEqual(limit.rate_per_s(10.0), MIN_PER_S)


class ReportedByOthers(unittest.TestCase):
    def test_it_lapses_after_a_time(self) -> None:
        limit = StatedLimit()
        limit.apply_report(3.0, 0.2, 10.0)
        self.assertEqual(limit.rate_per_s(10.0), 3.0)
        self.assertIsNone(limit.rate_per_s(9.8 + REPORTED_KEPT_S + 0.01))

    def test_an_older_report_changes_nothing(self) -> None:
        limit = StatedLimit()
        limit.apply_answer(3.0, 9.9, 10.0)
        limit.apply_report(9.0, 1.0, 10.5)
        limit.apply_report(None, 0.4, 10.5)
        self.assertEqual(limit.rate_per_s(10.5), 3.0)
        limit.apply_answer(None, 10.6, 10.7)
        limit.apply_report(3.0, 0.5, 10.8)
        self.assertIsNotNone(limit.ended_at)

    def test_a_newer_report_changes_and_ends_what_the_server_stated(self) -> None:
        limit = StatedLimit()
        limit.apply_answer(3.0, 9.9, 10.0)
        limit.apply_report(2.0, 0.0, 11.0)
        self.assertEqual(limit.rate_per_s(100.0), 2.0)
        limit.apply_report(None, 0.1, 13.0)
        self.assertIsNone(limit.rate_per_s(17.0))


class ReferenceServer:
    """Reference model: a server that states a limit, or none, from given times on.

    Args:
        changes: Time in seconds and limit in requests a second of each change, in order.
    """

    def __init__(self, changes: list[tuple[float, float | None]]) -> None:
        self.changes = changes

    def states(self, at: float) -> float | None:
        """Return the limit that an answer made at some time states."""
        stated = [limit for moment, limit in self.changes if moment <= at]
        return stated[-1] if stated else None


_MOMENTS = st.floats(0.0, 20.0)
_CHANGES = st.lists(st.tuples(_MOMENTS, st.none() | st.floats(0.5, 20.0)), max_size=5)


class AnyOrder(unittest.TestCase):
    @settings(max_examples=300)
    @given(_CHANGES, st.lists(st.tuples(_MOMENTS, st.floats(0, 3), st.floats(0, 3)), max_size=30))
    def test_once_all_answers_have_arrived_the_last_statement_holds(
        self,
        changes: list[tuple[float, float | None]],
        answers: list[tuple[float, float, float]],
    ) -> None:
        """Answers take any time to be made and to arrive; two more follow one after the other."""
        server = ReferenceServer(sorted(changes, key=lambda change: change[0]))
        limit = StatedLimit()
        made = [(began + work + way, began, began + work) for began, work, way in answers]
        for arrived, began, stated_at in [*sorted(made), (31.0, 30.0, 30.5), (33.0, 32.0, 32.5)]:
            limit.apply_answer(server.states(stated_at), began, arrived)
        last = server.states(33.0)
        self.assertEqual(limit.rate_per_s(50.0), last)

    @settings(max_examples=300)
    @given(
        st.floats(0.25, 200.0),
        st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(1, 8)), max_size=80),
        st.integers(0, 80),
    )
    def test_what_owners_grant_stays_within_the_bound_when_the_owner_changes(
        self, rate: float, asks: list[tuple[float, int]], taken_over_at: int
    ) -> None:
        """The next owner begins with a bucket of its own, in the middle of any window."""
        quota = hall_quota("s", rate, "h")
        bucket = QuotaBucket(quota.limit, 1.0, 0.0)
        now, given_at = 0.0, []
        for number, (pause_s, count) in enumerate(asks):
            now += pause_s
            if number == taken_over_at:
                bucket = QuotaBucket(quota.limit, 1.0, now)
            given_at += [now] * bucket.take(count, now)
        for start in given_at:
            in_window = sum(start <= at <= start + WINDOW_S for at in given_at)
            self.assertLessEqual(in_window, 1.5 * rate * WINDOW_S + 5)


if __name__ == "__main__":
    unittest.main()
