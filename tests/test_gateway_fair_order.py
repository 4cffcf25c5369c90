"""Fair shares: a workspace that sends many times its usual rate takes no room from others."""

import math
import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.pipeline import Pipeline
from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.workspaces.fair_order import FairOrder
from sprucewinch.gateway.workspaces.keys import key_digest
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, route


def workspace(name: str, rate: float = 4.0) -> Workspace:
    return Workspace(name, (key_digest(name),), rate_per_s=rate, burst=rate)


class Shares(unittest.TestCase):
    def test_a_workspace_within_its_share_is_not_ahead(self) -> None:
        order = FairOrder()
        for step in range(60):
            steps = [order.record_request(workspace(name), step / 10) for name in "abc"]
            self.assertEqual(steps[-1], 0)

    def test_a_workspace_that_sends_more_is_ahead_by_its_excess(self) -> None:
        order = FairOrder()
        ahead = 0
        for step in range(400):
            now = step / 100
            if step % 10 == 0:
                quiet = [order.record_request(workspace(f"w{n}"), now) for n in range(9)]
                self.assertEqual(sum(quiet), 0)
            ahead = order.record_request(workspace("hot"), now)
        self.assertGreaterEqual(ahead, 3)

    def test_a_larger_weight_allows_more(self) -> None:
        order = FairOrder()
        for step in range(400):
            now = step / 100
            if step % 10 == 0:
                order.record_request(workspace("small", 4.0), now)
            self.assertEqual(order.record_request(workspace("large", 40.0), now), 0)

    def test_an_idle_workspace_is_removed(self) -> None:
        order = FairOrder()
        for step in range(200):
            order.record_request(workspace("was hot"), step / 100)
            order.record_request(workspace(f"w{step % 9}"), step / 100)
        for step in range(300):
            order.record_request(workspace("other"), 30.0 + step / 100)
        self.assertEqual(list(order.by_name), ["other"])
        self.assertEqual(order.record_request(workspace("was hot"), 34.0), 0)

    def test_requests_without_a_workspace_are_not_ahead(self) -> None:
        order = FairOrder()
        self.assertEqual([order.record_request(None, 0.0) for _ in range(3)], [0, 0, 0])

    @given(st.lists(st.tuples(st.sampled_from("aabc"), st.floats(0, 0.5)), max_size=200))
    def test_the_result_agrees_with_counts_of_a_plain_list(
        self, sent: list[tuple[str, float]]
    ) -> None:
        """The oracle sums every request since the start, each decayed."""
        order, now, past = FairOrder(), 0.0, []
        for name, pause in sent:
            now += pause
            past.append((name, now))
            ahead = order.record_request(workspace(name), now)
            counts: dict[str, float] = {}
            for other, at in past:
                counts[other] = counts.get(other, 0.0) + math.exp(at - now)
            expected = counts[name] * len(counts) / sum(counts.values())
            self.assertAlmostEqual(ahead, max(0, math.floor(expected) - 1), delta=1)


async def served_in_time(loop: VirtualLoop, burst_factor: float) -> Counter[str]:
    """Return each workspace's requests served in time, at nine tenths of the servers' capacity."""
    path = PipelineFixture(loop, servers=4)
    for server in path.servers.values():
        server.slots, server.work_s = 6, 0.1
    names = [f"w{n}" for n in range(10)]
    world = path.world
    world.configure(route())
    held = world.store_view.configuration
    assert held is not None
    workspaces = tuple(workspace(name, 34.0) for name in names)
    world.put("configuration", held._replace(workspaces=workspaces, version=2))
    served: Counter[str] = Counter()

    async def send(name: str, number: int, key: str) -> None:
        request = path.request(f"{name}-{number}", key=key, api_key=key_digest(name))
        if await path.pipeline.admit(request) is None:
            reply = await path.pipeline.run(request)
            if reply.status == 200 and loop.time() - request.arrived_at <= 0.3:
                served[name] += 1

    async def caller(name: str) -> None:
        rng = random.Random(name)
        rate = 0.9 * 240 / len(names) * (burst_factor if name == "w0" else 1.0)
        for number in range(int(rate * 8)):
            await pass_time(rng.expovariate(rate))
            loop.create_task(send(name, number, f"object-{rng.randrange(40)}"))

    tasks = [loop.create_task(caller(name)) for name in names]
    for task in tasks:
        await task
    await pass_time(3.0)
    return served


class HotWorkspace(unittest.TestCase):
    def test_a_burst_of_one_workspace_takes_no_room_from_others(self) -> None:
        calm = run_virtual(lambda loop: served_in_time(loop, 1.0))
        hot = run_virtual(lambda loop: served_in_time(loop, 7.5))
        others = [hot[name] / calm[name] for name in calm if name != "w0"]
        self.assertGreater(min(others), 0.95, (calm, hot))

    def test_the_pipeline_has_one_order_for_each_service(self) -> None:
        async def main(loop: VirtualLoop) -> Pipeline:
            path = PipelineFixture(loop)
            path.world.configure(route())
            await path.pipeline.run(path.request("q1"))
            return path.pipeline

        self.assertEqual(list(run_virtual(main).fair_orders), ["rates"])
