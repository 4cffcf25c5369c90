"""Retry-After of callers that were refused because a server had no room."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.client_request import RefusalReason
from sprucewinch.gateway.requests.outcome.return_times import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RetryAfterTimes,
)
from standins.virtual import VirtualLoop, run_virtual

from .gateway_fakes import PipelineFixture, StoreFixture, route


def _times(loop: VirtualLoop, latency_s: float) -> RetryAfterTimes:
    registry = PipelineFixture(loop, servers=1).world.registry
    registry.record_success(registry.servers["s0"], latency_s, loop.time())
    return RetryAfterTimes(registry, random.Random(1))


class ReturnsOfRefusedCallers(unittest.TestCase):
    @given(st.floats(0.01, 2.0), st.integers(1, 200))
    def test_retries_are_bounded_and_follow_the_rate_of_freed_slots(
        self, latency_s, callers
    ) -> None:
        async def main(loop: VirtualLoop) -> list[float]:
            times = _times(loop, latency_s)
            return [times.retry_after_s("s0", 10.0) for _ in range(callers)]

        returns = run_virtual(main)
        least, most = min(returns), max(returns)
        self.assertTrue(MIN_RETRY_AFTER_S <= least <= most <= MAX_RETRY_AFTER_S + MIN_RETRY_AFTER_S)
        room_per_s = 6 / latency_s
        for end in (0.3, 0.5):
            back = sum(after_s < end for after_s in returns)
            self.assertLessEqual(back, room_per_s * end + 1)

    def test_callers_refused_first_retry_about_first(self) -> None:
        async def main(loop: VirtualLoop) -> list[float]:
            times = _times(loop, 0.6)
            return [times.retry_after_s("s0", 10.0) for _ in range(6)]

        returns = run_virtual(main)
        for earlier, later in zip(returns, returns[2:], strict=False):
            self.assertLess(earlier, later)

    def test_a_server_that_is_gone_or_never_answered_has_no_retry_after(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            times = RetryAfterTimes(path.world.registry, random.Random(1))
            self.assertIsNone(times.retry_after_s("s0", 10.0))
            path.world.registry.record_success(path.world.registry.servers["s0"], 0.1, 10.0)
            self.assertIsNotNone(times.retry_after_s("s0", 10.0))
            path.world.remove("servers/s0", 10.0)
            self.assertIsNone(times.retry_after_s("s0", 10.0))
            self.assertEqual(times.schedules, {})

        run_virtual(main)

    @given(st.floats(0.1, 500.0), st.lists(st.floats(0.01, 3.0), min_size=1, max_size=100))
    def test_times_by_kind_are_within_the_bounds_of_each_caller(
        self, rate_per_s: float, latest: list[float]
    ) -> None:
        times = RetryAfterTimes(StoreFixture().registry, random.Random(1))
        for latest_s in latest:
            after_s = times.retry_after_room_s("kind", rate_per_s, latest_s, 10.0)
            bound_s = max(MIN_RETRY_AFTER_S, min(latest_s, MAX_RETRY_AFTER_S + MIN_RETRY_AFTER_S))
            self.assertTrue(MIN_RETRY_AFTER_S <= after_s <= bound_s, (after_s, latest_s))

    def test_kinds_have_orders_of_their_own_which_are_bounded(self) -> None:
        times = RetryAfterTimes(StoreFixture().registry, random.Random(1))
        for _ in range(50):
            later_s = times.retry_after_room_s("first", 10.0, 9.0, 10.0)
        self.assertGreater(later_s, times.retry_after_room_s("other", 10.0, 9.0, 10.0))
        for number in range(3000):
            times.retry_after_room_s(number, 10.0, 9.0, 10.0)
        self.assertLessEqual(len(times._schedules_by_kind), 1000)

    def test_a_refusal_for_lack_of_room_has_this_retry_after(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(latency_target_s=0.1))
            registry = path.world.registry
            server = registry.servers["s0"]
            registry.record_success(server, 0.06, loop.time())
            server.record_load(14, 0, loop.time())
            reply = await path.pipeline.run(path.request("q"))
            self.assertIs(reply.refusal, RefusalReason.NO_ROOM)
            self.assertLessEqual(reply.retry_after_s, 2 * MIN_RETRY_AFTER_S)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
