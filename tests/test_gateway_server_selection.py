"""Selection of a backend server under load, and beside servers that do not answer."""

import asyncio
import unittest

from sprucewinch.gateway.requests.client_request import SHED, Attempt, Verdict
from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.backend_server import BackendServer
from sprucewinch.gateway.statements.statement import read_statement
from sprucewinch.net.connection import Answer
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import NAMES, PipelineFixture, StoreFixture, route
from .test_platform_store import configuration, standin
from .virtual_fleet import VirtualFleet

SERVER_ENTRY = (
    b'{"Service":"rates","Address":"10.1.0.1:80","Zone":"east-a","Version":"v1",'
    b'"Capacity":6,"State":"ready","WarmupLeft":"0ms","Sequence":1}'
)


class SilentServers(unittest.TestCase):
    def test_a_server_that_never_answers_gets_no_more_requests(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop)
            path.world.configure(route())
            silent = path.first()
            silent.spoils = [Spoil.SILENT] * 99
            held = loop.create_task(path.pipeline.run(path.request("q0")))
            await pass_time(0.45)
            reply = await path.pipeline.run(path.request("q1"))
            self.assertEqual((reply.status, len(silent.runs)), (200, 1))
            self.assertEqual((await held).status, 504)
            reply = await path.pipeline.run(path.request("q2"))
            self.assertEqual((reply.status, len(silent.runs)), (200, 1))

        run_virtual(main)

    def test_a_slow_server_that_keeps_answering_is_not_silent(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop)
            path.world.configure(route())
            first = path.first()
            first.work_s = 0.5
            for number in range(12):
                loop.create_task(path.pipeline.run(path.request(f"q{number}")))
                await pass_time(0.15)
            server = path.world.registry.servers[first.server_id]
            self.assertFalse(server.silent(loop.time()))

        run_virtual(main)


class Overload(unittest.TestCase):
    def _runs_under_load(self, busy: int) -> list[int]:
        """Return how many of 20 requests about one object run on its servers, in their order.

        Args:
            busy: Requests that each of the other servers holds already.
        """

        async def main(loop: VirtualLoop) -> list[int]:
            path = PipelineFixture(loop, servers=3)
            path.world.configure(route())
            order = path.ranker.rank("rates", "lane-1", (), loop.time()).servers
            for server in order:
                path.servers[server.backend.id].work_s = 0.3
            for server in order[1:]:
                server.record_load(busy, 0, loop.time())
            calls = [path.pipeline.run(path.request(f"q{n}")) for n in range(20)]
            replies = await asyncio.gather(*calls)
            self.assertEqual({reply.status for reply in replies}, {200, 503})
            return [len(path.servers[server.backend.id].runs) for server in order]

        return run_virtual(main)

    def test_a_full_server_does_not_spill_over_to_busy_ones(self) -> None:
        self.assertEqual(self._runs_under_load(busy=4)[1:], [0, 0])

    def test_a_full_server_spills_over_only_to_the_next_one_while_that_is_idle(self) -> None:
        first, following, third = self._runs_under_load(busy=0)
        self.assertEqual((first, third), (6, 0))
        self.assertTrue(1 <= following <= 3, following)

    def test_a_busy_server_spills_over_where_the_object_is_warm(
        self,
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=3)
            path.world.configure(route())
            order = path.ranker.rank("rates", "lane-1", (), loop.time()).servers
            order[0].record_load(8, 0, loop.time())
            self.assertEqual(await self._runs_after_one_more(path, order), [1, 0, 0])
            order[0].record_load(9, 0, loop.time())
            self.assertEqual(await self._runs_after_one_more(path, order), [1, 1, 0])
            order[0].record_load(6, 0, loop.time())
            self.assertEqual(await self._runs_after_one_more(path, order), [1, 2, 0])
            order[1].record_load(3, 0, loop.time())
            self.assertEqual(await self._runs_after_one_more(path, order), [2, 2, 0])

        run_virtual(main)

    def test_only_a_server_without_room_spills_over_to_another_region(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2, halls=("east-a", "west-a"))
            path.world.configure(route())
            order = path.ranker.rank("rates", "lane-1", (), loop.time()).servers
            order[0].record_load(7, 0, loop.time())
            self.assertEqual(await self._runs_after_one_more(path, order), [1, 0])
            order[0].record_load(13, 0, loop.time())
            self.assertEqual(await self._runs_after_one_more(path, order), [1, 1])

        run_virtual(main)

    async def _runs_after_one_more(
        self, path: PipelineFixture, order: tuple[BackendServer, ...]
    ) -> list[int]:
        """Send one more request about an object and return the number of runs at each server."""
        reply = await path.pipeline.run(path.request(f"n{path.loop.time()}"))
        self.assertEqual(reply.status, 200)
        return [len(path.servers[server.backend.id].runs) for server in order]

    def test_a_request_waits_for_room_that_is_freed_soon(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(latency_target_s=1.0))
            server = path.first()
            server.work_s = 0.09
            calls = [path.pipeline.run(path.request(f"q{n}")) for n in range(10)]
            replies = await asyncio.gather(*calls)
            self.assertEqual({reply.status for reply in replies}, {200})
            ids = [run.request_id for run in server.runs]
            self.assertEqual(set(ids[:6]), {f"q{n}" for n in range(6)})

        run_virtual(main)

    def test_overload_lowers_the_concurrency_limit_and_free_slots_raise_it(self) -> None:
        server = BackendServer(BackendEntry("s0", "rates", "10.0.0.1:80", "east-a", 6))
        for number in range(20):
            server.record_load(6, 12, number * 0.25)
        self.assertEqual(int(server.concurrency_limit), 1)
        for number in range(40):
            server.record_load(3, 0, 10.0 + number * 0.1)
        self.assertEqual(server.concurrency_limit, 6.0)

    def test_a_server_that_refuses_with_free_slots_is_not_treated_as_full(self) -> None:
        for load, limit in (("2,0,6", 6.0), ("6,3,6", 4.2), ("2,0,6,100", 6.0), ("", 4.2)):
            with self.subTest(load=load):
                self.assertAlmostEqual(run_virtual(lambda loop, x=load: self._shed(loop, x)), limit)

    def test_answers_raise_the_limit_of_a_server_that_reports_no_load(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route())
            server = path.world.registry.servers["s0"]
            for second in range(20):
                server.limit.decrease(float(second))
            self.assertEqual(server.limit.value, 1.0)
            for number in range(80):
                await path.pipeline.run(path.request(f"q{number}"))
            self.assertEqual(server.limit.value, 6.0)

        run_virtual(main)

    async def _shed(self, loop: VirtualLoop, load: str) -> float:
        """Return a server's limit after it refused one request and reported a load."""
        path = PipelineFixture(loop, servers=1)
        path.world.configure(route(repeatable=False))
        server = path.world.registry.servers["s0"]
        headers = ((NAMES.request_id, "q"), *(((NAMES.load, load),) if load else ()))
        answer = Answer(503, headers, b"")
        now = loop.time()
        statement = read_statement(answer, NAMES, "q", now)
        attempt = Attempt("s0", Verdict.NOT_RUN, True, f"{SHED}-503", answer, statement=statement)
        path.sender.feedback._update_server(path.request("q"), server, attempt, now, now)
        self.assertEqual(server.backoff_until > loop.time(), not load.startswith("2,0,6"))
        return server.limit.value

    def test_requests_beyond_the_servers_room_are_refused_early_as_not_run(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            path.world.configure(route())
            for server in path.servers.values():
                server.work_s = 0.3
            started = loop.time()
            calls = [path.pipeline.run(path.request(f"q{n}")) for n in range(40)]
            refusals = 0
            for done in asyncio.as_completed(calls):
                reply = await done
                if reply.status == 503:
                    refusals += 1
                    self.assertLess(loop.time() - started, 0.3 / 4)
                    self.assertIsNotNone(reply.retry_after_s)
            self.assertGreater(refusals, 20)
            self.assertEqual(sum(len(s.runs) for s in path.servers.values()), 40 - refusals)

        run_virtual(main)


class Priorities(unittest.TestCase):
    def test_the_most_urgent_waiting_request_gets_the_next_room(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(
                route(latency_target_s=1.8, priority=2),
                route(name="r2", prefix="/urgent/", latency_target_s=1.8, priority=1),
            )
            server = path.first()
            server.work_s = 0.3
            tasks = []
            for number in range(6):
                tasks.append(loop.create_task(path.pipeline.run(path.request(f"r{number}"))))
                await pass_time(0.03)
            tasks += [loop.create_task(path.pipeline.run(path.request(f"q{n}"))) for n in range(6)]
            await pass_time(0.005)
            urgent = [path.request(f"u{n}", path="/urgent/a", target="/urgent/a") for n in range(2)]
            tasks += [loop.create_task(path.pipeline.run(request)) for request in urgent]
            replies = await asyncio.gather(*tasks)
            self.assertEqual([run.request_id[0] for run in server.runs], ["r"] * 6 + ["u"] * 2)
            self.assertEqual([reply.status for reply in replies[-2:]], [200] * 2)
            refusals = [reply for reply in replies if reply.status == 503]
            self.assertEqual(len(refusals), 6)
            self.assertTrue(all(reply.retry_after_s for reply in refusals))

        run_virtual(main)

    async def _six_run_and_six_wait(self, path: PipelineFixture) -> list[asyncio.Task]:
        """Send a server of six slots six requests that end one by one, then six that wait there.

        The requests that wait are sent 3 ms apart.
        """
        path.world.configure(route(latency_target_s=4.0))
        server = path.first()
        server.work_s = 0.3
        tasks = []
        for name, pause_s in (("r", 0.03), ("w", 0.003)):
            for number in range(6):
                request = path.request(f"{name}{number}")
                tasks.append(path.loop.create_task(path.pipeline.run(request)))
                await pass_time(pause_s)
        self.assertEqual(len(server.runs), 6)
        return tasks

    def test_waiting_requests_of_equal_rank_get_room_in_order_of_arrival(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            replies = await asyncio.gather(*await self._six_run_and_six_wait(path))
            self.assertEqual([reply.status for reply in replies], [200] * 12)
            waited = [run.request_id for run in path.first().runs[6:]]
            self.assertEqual(waited, [f"w{number}" for number in range(6)])

        run_virtual(main)

    def test_a_retrying_caller_goes_before_those_that_came_after_its_first_try(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            tasks = await self._six_run_and_six_wait(path)
            returned = path.request("again", deadline=loop.time() + 1.5)
            self.assertEqual((await path.pipeline.run(returned)).status, 200)
            replies = await asyncio.gather(*tasks)
            self.assertEqual([reply.status for reply in replies], [200] * 11 + [503])
            self.assertEqual(path.first().runs[6].request_id, "again")

        run_virtual(main)


class QueuesThatFit(unittest.TestCase):
    """How many requests queue at a server depends on their latency and on the route's timeout."""

    def _runs(self, work_s: float, timeout_s: float) -> tuple[int, set[int]]:
        """Return how many of 12 requests a server of six slots got at once, and all statuses."""

        async def main(loop: VirtualLoop) -> tuple[int, set[int]]:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(timeout_s=timeout_s, repeatable=False))
            server = path.first()
            server.work_s = work_s
            server.slots = 6
            backend_server = path.world.registry.servers[server.server_id]
            backend_server.record_load(6, 2, loop.time())
            path.world.registry.record_success(backend_server, work_s, loop.time())
            before = len(server.arrivals)
            calls = [path.pipeline.run(path.request(f"q{n}", key="")) for n in range(12)]
            replies = await asyncio.gather(*calls)
            return len(server.arrivals) - before, {reply.status for reply in replies}

        return run_virtual(main)

    def test_requests_that_would_exceed_the_routes_timeout_are_not_queued(self) -> None:
        sent, statuses = self._runs(0.9, 1.0)
        self.assertEqual((sent, statuses), (0, {503}))

    def test_short_requests_are_queued(self) -> None:
        self.assertGreaterEqual(self._runs(0.1, 1.0)[0], 4)


class OverloadedServers(unittest.TestCase):
    def test_vms_that_sent_no_request_learn_that_a_server_is_overloaded(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = standin(loop)
            store.put("op/config", configuration(3))
            store.put("servers/s0", SERVER_ENTRY)
            fleet = VirtualFleet(loop, store, 6)
            await pass_time(4.0)
            now = loop.time()
            registry = fleet.vms[0].registry
            registry.record_load(registry.servers["s0"], 6, 1, now)
            await pass_time(0.05)
            self.assertEqual(self._loads_at_the_others(fleet), [0.0] * 5)
            registry.record_load(registry.servers["s0"], 6, 12, now)
            await pass_time(0.05)
            for load in self._loads_at_the_others(fleet):
                self.assertGreater(load, 15.0)

        run_virtual(main)

    def _loads_at_the_others(self, fleet: VirtualFleet) -> list[float]:
        now = fleet.loop.time()
        return [round(m.registry.servers["s0"].load(now), 1) for m in fleet.vms[1:]]

    def test_overload_of_a_server_is_not_reported_at_every_answer(self) -> None:
        world = StoreFixture()
        world.put("servers/s0", BackendEntry("s0", "rates", "10.0.0.1:80", "east-a", 6))
        for number in range(40):
            world.registry.record_load(world.registry.servers["s0"], 6, 12, 10.0 + number * 0.01)
        self.assertEqual(len(world.reports.overloads), 2)
