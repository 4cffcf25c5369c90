"""Choice of a server under load and beside silent ones, and the learnt times behind it."""

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.expect import WorkTimes
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, run_virtual

from .gateway_fakes import Path, route


class SilentServers(unittest.TestCase):
    def test_a_server_that_answers_nobody_gets_no_more_requests(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop)
            path.world.configure(route())
            silent = path.first()
            silent.spoils = [Spoil.SILENT] * 99
            held = loop.create_task(path.pipeline.run(path.call("q0")))
            await asyncio.sleep(0.45)
            reply = await path.pipeline.run(path.call("q1"))
            self.assertEqual((reply.status, len(silent.runs)), (200, 1))
            self.assertEqual((await held).status, 504)
            reply = await path.pipeline.run(path.call("q2"))
            self.assertEqual((reply.status, len(silent.runs)), (200, 1))

        run_virtual(main)

    def test_a_slow_server_that_goes_on_answering_is_not_silent(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop)
            path.world.configure(route())
            first = path.first()
            first.work_s = 0.5
            for number in range(12):
                loop.create_task(path.pipeline.run(path.call(f"q{number}")))
                await asyncio.sleep(0.15)
            server = path.world.book.servers[first.server_id]
            self.assertFalse(server.silent(loop.time()))

        run_virtual(main)


class Overload(unittest.TestCase):
    def test_requests_beyond_the_first_servers_room_go_where_slots_are_free(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop, servers=3)
            path.world.configure(route())
            for server in path.servers.values():
                server.work_s = 0.3
            calls = [path.pipeline.run(path.call(f"q{n}")) for n in range(9)]
            replies = await asyncio.gather(*calls)
            self.assertEqual({reply.status for reply in replies}, {200})
            self.assertLessEqual(len(path.first().runs), 6)

        run_virtual(main)

    def test_beyond_all_room_requests_are_refused_at_once_as_not_run(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop, servers=2)
            path.world.configure(route())
            for server in path.servers.values():
                server.work_s = 0.3
            started = loop.time()
            calls = [path.pipeline.run(path.call(f"q{n}")) for n in range(40)]
            refused = 0
            for done in asyncio.as_completed(calls):
                reply = await done
                if reply.status == 503:
                    refused += 1
                    self.assertLess(loop.time() - started, 0.01)
                    self.assertIsNotNone(reply.retry_after_s)
            self.assertGreater(refused, 20)
            self.assertEqual(sum(len(s.runs) for s in path.servers.values()), 40 - refused)

        run_virtual(main)


class Learning(unittest.TestCase):
    @given(st.floats(0.02, 2.0), st.floats(1.5, 8.0), st.integers(0, 2**32))
    def test_warm_and_cold_times_are_told_apart(self, warm_s, factor, seed) -> None:
        rng = random.Random(seed)
        times = WorkTimes()
        for _ in range(600):
            seen = rng.random() < 0.8
            base = warm_s if seen else warm_s * factor
            times.learn(base * rng.uniform(0.9, 1.1), seen=seen)
        self.assertAlmostEqual(times.work_s(seen=True), warm_s, delta=warm_s * 0.2)
        self.assertAlmostEqual(times.work_s(seen=False), warm_s * factor, delta=warm_s * factor / 4)
