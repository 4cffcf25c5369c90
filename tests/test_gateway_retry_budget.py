"""The retry budget of one service at one VM."""

import unittest

from sprucewinch.gateway.requests.retry_budget import WindowRetryBudget
from sprucewinch.gateway.settings import Bounds
from standins.virtual import VirtualLoop, run_virtual

from .gateway_fakes import BOUNDS, PipelineFixture, route

_MANY = 500


def _taken(budget: WindowRetryBudget, now: float, vm_count: int = 1) -> int:
    """Take retries until none is left, and return their number."""
    return next(taken for taken in range(_MANY) if not budget.take(now, vm_count))


class Limit(unittest.TestCase):
    def test_a_fraction_of_ratio_and_slack_is_available_in_a_window(self) -> None:
        budget = WindowRetryBudget(Bounds(retry_ratio=0.2, retry_window_s=10.0, retry_slack=60.0))
        for _ in range(100):
            budget.record_request(1.0)
        self.assertEqual(_taken(budget, 1.0, vm_count=4), int(0.75 * (0.2 * 100 + 60.0 / 4)))
        self.assertEqual(_taken(budget, 5.0, vm_count=4), 0)

    def test_the_budget_is_restored_after_the_window(self) -> None:
        budget = WindowRetryBudget(Bounds(retry_ratio=0.2, retry_window_s=10.0, retry_slack=60.0))
        self.assertEqual(_taken(budget, 1.0), 45)
        self.assertEqual(_taken(budget, 13.0), 45)


class Reload(unittest.TestCase):
    def test_a_reload_grants_no_second_budget(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop)
            path.world.configure(route())
            await path.pipeline.run(path.request("q"))
            spent = _taken(path.pipeline.budgets.of("rates"), loop.time())
            self.assertGreater(spent, 0)
            path.pipeline.set_bounds(BOUNDS)
            self.assertEqual(_taken(path.pipeline.budgets.of("rates"), loop.time()), 0)
            path.pipeline.set_bounds(BOUNDS._replace(retry_slack=2 * BOUNDS.retry_slack))
            more = _taken(path.pipeline.budgets.of("rates"), loop.time())
            self.assertEqual(more, int(0.75 * BOUNDS.retry_slack))

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
