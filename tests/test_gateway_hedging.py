"""Second tries of requests that run unusually long, beside the first."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.client_request import HEDGED, Verdict
from sprucewinch.gateway.requests.hedging.hedge_rule import (
    HEDGE_FACTOR,
    hedge_delay_s,
    may_hedge,
)
from sprucewinch.gateway.settings import Bounds
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .estimate_fakes import StatedEstimates, estimate
from .gateway_fakes import PipelineFixture, route

WORK_S = 0.3
TIMEOUT_S = 2.5


def hedging_path(loop: VirtualLoop, **changes: object) -> PipelineFixture:
    """Return a pipeline of three servers that state load and pace, on one repeatable route."""
    path = PipelineFixture(loop, servers=3)
    path.world.configure(route(timeout_s=TIMEOUT_S, latency_target_s=1.0, **changes))
    path.pipeline.choice.selector.estimates = StatedEstimates()
    for server in path.servers.values():
        server.work_s = WORK_S
    return path


class Delays(unittest.TestCase):
    def test_a_second_try_starts_after_a_multiple_of_the_expected_time(self) -> None:
        first = estimate(work_s=0.3, pace=2.0)
        delay_s = hedge_delay_s(route(), first, held_s=5.0)
        self.assertAlmostEqual(delay_s or 0.0, HEDGE_FACTOR * 0.6)

    def test_none_for_requests_that_must_not_run_twice(self) -> None:
        self.assertIsNone(hedge_delay_s(route(repeatable=False), estimate(), 5.0))
        self.assertIsNone(hedge_delay_s(route(max_attempts=1), estimate(), 5.0))

    def test_none_while_nothing_is_known(self) -> None:
        self.assertIsNone(hedge_delay_s(route(), None, 5.0))
        self.assertIsNone(hedge_delay_s(route(), estimate(work_s=0.0), 5.0))
        self.assertIsNone(hedge_delay_s(route(), estimate(age_s=float("inf")), 5.0))

    def test_none_when_the_second_answer_would_come_too_late(self) -> None:
        self.assertIsNone(hedge_delay_s(route(), estimate(work_s=0.3), held_s=0.8))

    @given(st.floats(0.01, 3), st.floats(0.1, 5), st.floats(0, 30), st.floats(0, 10))
    def test_the_second_try_leaves_time_for_the_usual_work(
        self, work_s: float, pace: float, held: float, held_s: float
    ) -> None:
        first = estimate(work_s=work_s, pace=pace, held=held)
        delay_s = hedge_delay_s(route(), first, held_s)
        if delay_s is not None:
            self.assertLess(delay_s + work_s, held_s)
            self.assertGreaterEqual(delay_s, first.answer_s)


class SecondServers(unittest.TestCase):
    def test_only_with_most_slots_free_by_a_recent_report(self) -> None:
        self.assertTrue(may_hedge(estimate(held=3.0), 1.0))
        self.assertFalse(may_hedge(estimate(held=4.0), 1.0))
        self.assertFalse(may_hedge(estimate(age_s=3.0), 1.0))
        self.assertFalse(may_hedge(estimate(age_s=float("inf")), 1.0))

    def test_only_with_time_for_its_answer(self) -> None:
        self.assertFalse(may_hedge(estimate(work_s=0.3, pace=4.0), 1.0))


class Tries(unittest.TestCase):
    def test_a_request_that_runs_seven_times_as_long_is_answered_by_the_second_server(
        self,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            request = path.request("q")
            first = path.first(request.key)
            first.work_s = 7 * WORK_S
            reply = await path.pipeline.run(request)
            self.assertEqual(reply.status, 200)
            self.assertLess(loop.time() - request.arrived_at, (HEDGE_FACTOR + 2) * WORK_S)
            self.assertEqual(path.runs("q"), 2)
            self.assertEqual(
                [(a.verdict, a.cause) for a in request.attempts],
                [(Verdict.UNKNOWN, HEDGED), (Verdict.ANSWERED, "answered")],
            )
            self.assertEqual(
                path.world.registry.servers[request.attempts[0].server_id].in_flight, 0
            )
            self.assertFalse(request.at_server)

        run_virtual(main)

    def test_an_answer_in_usual_time_makes_no_second_try(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            for number in range(20):
                await path.pipeline.run(path.request(f"q{number}"))
                self.assertEqual(path.runs(f"q{number}"), 1)

        run_virtual(main)

    def test_the_first_answer_is_taken_when_it_comes_before_the_second(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            request = path.request("q")
            for server in path.servers.values():
                server.work_s = 2.2 * WORK_S
            reply = await path.pipeline.run(request)
            self.assertEqual(reply.status, 200)
            self.assertAlmostEqual(loop.time() - request.arrived_at, 2.2 * WORK_S, delta=0.1)
            self.assertEqual(request.attempts[-1].server_id, path.first(request.key).server_id)

        run_virtual(main)

    def test_requests_that_must_not_run_twice_wait_for_their_one_server(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop, repeatable=False)
            path.first("lane-1").work_s = 7 * WORK_S
            reply = await path.pipeline.run(path.request("q", key="lane-1"))
            self.assertEqual((reply.status, path.runs("q")), (200, 1))

        run_virtual(main)

    def test_a_busy_service_gets_no_second_tries(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            estimates = path.pipeline.choice.selector.estimates
            for server_id in path.servers:
                estimates.by_id[server_id] = estimate(server_id=server_id, held=5.0)
            path.first("lane-1").work_s = 7 * WORK_S
            await path.pipeline.run(path.request("q", key="lane-1"))
            self.assertEqual(path.runs("q"), 1)

        run_virtual(main)

    def test_second_tries_are_taken_from_the_retry_budget(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            path.pipeline.set_bounds(Bounds(retry_ratio=0.0, retry_slack=0.0))
            path.first("lane-1").work_s = 7 * WORK_S
            await path.pipeline.run(path.request("q", key="lane-1"))
            self.assertEqual(path.runs("q"), 1)

        run_virtual(main)

    def test_a_caller_that_leaves_ends_both_tries(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            for server in path.servers.values():
                server.work_s = 7 * WORK_S
            request = path.request("q")
            task = asyncio.create_task(path.pipeline.run(request))
            await pass_time(HEDGE_FACTOR * WORK_S + 0.2)
            self.assertEqual(path.runs("q"), 2)
            task.cancel()
            await asyncio.wait([task])
            servers = path.world.registry.servers.values()
            self.assertEqual([server.in_flight for server in servers], [0, 0, 0])
            self.assertTrue(request.at_server)

        run_virtual(main)

    def test_when_both_fail_the_caller_gets_no_promise(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            for server in path.servers.values():
                server.work_s = 60.0
            request = path.request("q")
            reply = await path.pipeline.run(request)
            self.assertEqual((reply.status, path.runs("q")), (504, 2))
            self.assertLess(loop.time() - request.arrived_at, TIMEOUT_S + 0.1)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
