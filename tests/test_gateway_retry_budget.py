"""The retry budget of one service at one VM, and over all processes of a fleet."""

import itertools
import unittest

from hypothesis import example, given, settings, target
from hypothesis import strategies as st

from sprucewinch.gateway.requests.retry_budget import WindowRetryBudget
from sprucewinch.gateway.settings import Bounds
from standins.virtual import VirtualLoop, run_virtual

from .gateway_fakes import BOUNDS, PipelineFixture, route

_MANY = 500
_BOUNDS = Bounds(retry_ratio=0.2, retry_window_s=10.0, retry_slack=60.0)


def _taken(budget: WindowRetryBudget, now: float, vm_count: int = 1) -> int:
    """Take retries until none is left, and return their number."""
    return next(taken for taken in range(_MANY) if not budget.take(now, vm_count))


class Limit(unittest.TestCase):
    def test_a_process_that_has_just_started_has_none(self) -> None:
        self.assertEqual(_taken(WindowRetryBudget(_BOUNDS, 100.0), 103.0), 0)

    def test_each_request_adds_half_of_the_ratio_from_the_start_on(self) -> None:
        budget = WindowRetryBudget(_BOUNDS, 100.0)
        for _ in range(100):
            budget.record_request(100.0, 4)
        self.assertEqual(_taken(budget, 101.0, vm_count=4), 10)

    def test_time_adds_half_of_the_share_of_the_slack_in_a_window(self) -> None:
        budget = WindowRetryBudget(_BOUNDS, 100.0)
        self.assertEqual(_taken(budget, 113.0, vm_count=4), int(0.5 * 0.9 * 60.0 / 4))
        self.assertEqual(_taken(budget, 113.0, vm_count=4), 0)
        self.assertEqual(_taken(budget, 123.0, vm_count=4), int(0.5 * 0.9 * 60.0 / 4))

    def test_what_was_added_expires_within_the_window(self) -> None:
        budget = WindowRetryBudget(_BOUNDS._replace(retry_slack=0.0), 100.0)
        for _ in range(100):
            budget.record_request(100.0, 1)
        self.assertEqual(_taken(budget, 109.1), 0)


class Reload(unittest.TestCase):
    def test_a_reload_grants_no_second_budget(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop)
            path.world.configure(route())
            await path.pipeline.run(path.request("q"))
            budget, now = path.pipeline.budgets.of("rates"), loop.time() + 20.0
            self.assertGreater(_taken(budget, now), 0)
            path.pipeline.set_bounds(BOUNDS)
            self.assertEqual(_taken(budget, now), 0)
            path.pipeline.set_bounds(BOUNDS._replace(retry_slack=2 * BOUNDS.retry_slack))
            self.assertEqual(_taken(budget, now), 0)
            doubled = 0.5 * 0.9 * 2 * BOUNDS.retry_slack
            later = _taken(budget, now + 10.0)
            self.assertLessEqual(later, doubled)
            self.assertGreater(later, 0.9 * doubled)

        run_virtual(main)

    def test_a_reload_keeps_the_request_counts(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop)
            path.world.configure(route())
            await path.pipeline.run(path.request("q"))
            before = path.pipeline.arrivals_per_s("rates", loop.time())
            path.pipeline.set_bounds(BOUNDS)
            self.assertEqual(path.pipeline.arrivals_per_s("rates", loop.time()), before)

        run_virtual(main)


class Spending(unittest.TestCase):
    def test_a_retry_that_may_go_to_two_services_is_taken_from_both_or_none(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            budgets = PipelineFixture(loop).pipeline.budgets
            budgets.started_at = loop.time()
            for _ in range(10):
                budgets.record_request("a")
            self.assertFalse(budgets.take_any(("a", "b")))
            for _ in range(10):
                budgets.record_request("b")
            self.assertTrue(budgets.take_any(("a", "b")))
            self.assertFalse(budgets.take("a"))
            self.assertFalse(budgets.take("b"))

        run_virtual(main)


_VMS = 4
_STEPS = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.5, 3.0, 4.5, 8.0)),
        st.sampled_from((0, 1, 2, _VMS, _VMS, _VMS)),
        st.sampled_from(("requests", "retries", "retries", "starts", "reloads")),
        st.sampled_from((1, 200)),
    ),
    min_size=8,
    max_size=40,
)
"""Steps: a pause in seconds, a VM or all of them, what happens there, and how often."""


_TWO_PULSES = [
    (0.0, _VMS, "requests", 200),
    (8.0, _VMS, "retries", 200),
    (3.0, _VMS, "requests", 200),
    (0.5, _VMS, "retries", 200),
]
_STARTS = [(0.5, _VMS, "retries", 200), (0.5, _VMS, "starts", 1)] * 5


class AnyCourse(unittest.TestCase):
    @settings(max_examples=400, deadline=None)
    @given(_STEPS, st.sampled_from((0, 5, 40, 400)), st.integers(0, 3), st.booleans())
    @example(_TWO_PULSES, 5, 0, True)
    @example(_STARTS, 40, 0, False)
    def test_the_fleet_keeps_its_limit_over_all_processes(
        self, steps, slack, unknown, asked
    ) -> None:
        """Beside an oracle that counts as the platform does, with arrivals up to 1 s late."""
        bounds = _BOUNDS._replace(retry_slack=float(slack))
        now, vm_count = 1000.0, _VMS + unknown
        budgets = [WindowRetryBudget(bounds, 0.0) for _ in range(_VMS)]
        requests: list[float] = []
        retries: list[float] = []
        for number, (pause_s, chosen, what, count) in enumerate(steps):
            now += pause_s
            for vm in range(_VMS) if chosen == _VMS else (chosen,):
                if what == "starts":
                    budgets[vm] = WindowRetryBudget(bounds, now)
                elif what == "reloads":
                    budgets[vm].set_bounds(bounds)
                elif what == "requests" and asked:
                    for _ in range(count):
                        budgets[vm].record_request(now, vm_count)
                    requests += [now] * count
                elif what == "retries":
                    taken = sum(budgets[vm].take(now, vm_count) for _ in range(count))
                    retries += [now + number % 2] * taken
        beyond = _beyond_limit(requests, retries, slack)
        target(beyond)
        self.assertLessEqual(beyond, 0.0)


def _beyond_limit(requests: list[float], retries: list[float], slack: float) -> float:
    """Return by how much retries exceed the limit in the worst window."""
    starts = {at - 10.0 for at in (*retries, *requests)} | {*retries, *requests}
    worst = -slack
    for start, edge in itertools.product(starts, (0.0, 0.001)):
        allowed = max(
            _count(requests, start + edge + shift - 1.0, 12.0) for shift in (0.0, -10.0, -5.0)
        )
        worst = max(worst, _count(retries, start + edge, 10.0) - 0.2 * allowed - slack)
    return worst


def _count(times: list[float], start: float, window_s: float) -> int:
    return sum(start <= at < start + window_s for at in times)


if __name__ == "__main__":
    unittest.main()
