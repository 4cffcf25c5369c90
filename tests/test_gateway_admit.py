"""Choice of a server under load and beside silent ones."""

import asyncio
import unittest

from sprucewinch.gateway.model import Backend
from sprucewinch.gateway.servers import Server
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import Path, route


class SilentServers(unittest.TestCase):
    def test_a_server_that_answers_nobody_gets_no_more_requests(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop)
            path.world.configure(route())
            silent = path.first()
            silent.spoils = [Spoil.SILENT] * 99
            held = loop.create_task(path.pipeline.run(path.call("q0")))
            await pass_time(0.45)
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
                await pass_time(0.15)
            server = path.world.book.servers[first.server_id]
            self.assertFalse(server.silent(loop.time()))

        run_virtual(main)


class Overload(unittest.TestCase):
    def _runs_after_a_push(self, busy: int) -> list[int]:
        """Return how many of 20 requests about one object run on its servers, in their order.

        Args:
            busy: Requests that each other server holds already.
        """

        async def main(loop: VirtualLoop) -> list[int]:
            path = Path(loop, servers=3)
            path.world.configure(route())
            order = path.placer.place("rates", "lane-1", (), loop.time()).servers
            for server in order:
                path.servers[server.backend.id].work_s = 0.3
            for server in order[1:]:
                server.told_load(busy, 0, loop.time())
            calls = [path.pipeline.run(path.call(f"q{n}")) for n in range(20)]
            replies = await asyncio.gather(*calls)
            self.assertEqual({reply.status for reply in replies}, {200, 503})
            return [len(path.servers[server.backend.id].runs) for server in order]

        return run_virtual(main)

    def test_requests_beyond_the_first_servers_room_go_to_no_busy_server(self) -> None:
        self.assertEqual(self._runs_after_a_push(busy=4)[1:], [0, 0])

    def test_the_next_server_helps_while_it_is_nearly_idle_and_no_other_does(self) -> None:
        first, following, third = self._runs_after_a_push(busy=0)
        self.assertEqual((first, third), (6, 0))
        self.assertTrue(1 <= following <= 3, following)

    def test_room_that_comes_soon_is_waited_for(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop, servers=1)
            path.world.configure(route(aim_s=0.5))
            server = path.first()
            server.work_s = 0.09
            calls = [path.pipeline.run(path.call(f"q{n}")) for n in range(10)]
            replies = await asyncio.gather(*calls)
            self.assertEqual({reply.status for reply in replies}, {200})
            ids = [run.request_id for run in server.runs]
            self.assertEqual(set(ids[:6]), {f"q{n}" for n in range(6)})

        run_virtual(main)

    def test_a_crowded_server_gets_less_and_a_free_one_more_again(self) -> None:
        server = Server(Backend("s0", "rates", "10.0.0.1:80", "east-a", 6))
        for number in range(20):
            server.told_load(6, 12, number * 0.25)
        self.assertEqual(int(server.window), 1)
        for number in range(40):
            server.told_load(3, 0, 10.0 + number * 0.1)
        self.assertEqual(server.window, 6.0)

    def test_beyond_all_room_requests_are_refused_early_as_not_run(self) -> None:
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
                    self.assertLess(loop.time() - started, 0.3 / 4)
                    self.assertIsNotNone(reply.retry_after_s)
            self.assertGreater(refused, 20)
            self.assertEqual(sum(len(s.runs) for s in path.servers.values()), 40 - refused)

        run_virtual(main)


class Priorities(unittest.TestCase):
    def test_the_most_urgent_waiting_request_gets_the_next_room(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop, servers=1)
            path.world.configure(
                route(aim_s=0.9, priority=2),
                route(name="r2", prefix="/urgent/", aim_s=0.9, priority=1),
            )
            server = path.first()
            server.work_s = 0.3
            tasks = []
            for number in range(6):
                tasks.append(loop.create_task(path.pipeline.run(path.call(f"r{number}"))))
                await pass_time(0.03)
            tasks += [loop.create_task(path.pipeline.run(path.call(f"q{n}"))) for n in range(6)]
            await pass_time(0.005)
            urgent = [path.call(f"u{n}", path="/urgent/a", target="/urgent/a") for n in range(2)]
            tasks += [loop.create_task(path.pipeline.run(call)) for call in urgent]
            replies = await asyncio.gather(*tasks)
            self.assertEqual([run.request_id[0] for run in server.runs], ["r"] * 6 + ["u"] * 2)
            self.assertEqual([reply.status for reply in replies[-2:]], [200] * 2)
            refused = [reply for reply in replies if reply.status == 503]
            self.assertEqual(len(refused), 6)
            self.assertTrue(all(reply.retry_after_s for reply in refused))

        run_virtual(main)
