"""Kept connections: how many are kept, for how long, and when one is not used again."""

import asyncio
import unittest

from sprucewinch.gateway.servers.pool import MAX_IDLE_CONNECTIONS, ConnectionPool
from standins.scripted_server import ScriptedServer, Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, route

ADDRESS = "10.0.0.1:80"
_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\nx-request-id: q\r\n\r\n"


def _started(loop: VirtualLoop) -> tuple[ConnectionPool, ScriptedServer]:
    server = ScriptedServer(loop, "s0")
    loop.listen(ADDRESS, server.accept)
    return ConnectionPool("x-request-id", loop.time), server


class Kept(unittest.TestCase):
    def test_a_connection_is_used_again_until_it_was_idle_too_long(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            pool, _ = _started(loop)
            first = await pool.take(ADDRESS)
            pool.give_back(ADDRESS, first, keep_s=4.0)
            self.assertIs(await pool.take(ADDRESS), first)
            pool.give_back(ADDRESS, first, keep_s=4.0)
            loop.instant.skipped_s += 3.1
            self.assertIsNot(await pool.take(ADDRESS), first)
            self.assertFalse(first.alive)

        run_virtual(main)

    def test_one_idle_longer_than_a_request_allows_is_kept_for_others(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            pool, _ = _started(loop)
            first = await pool.take(ADDRESS)
            pool.give_back(ADDRESS, first)
            loop.instant.skipped_s += 2.0
            second = await pool.take(ADDRESS, max_idle_s=2.0)
            self.assertIsNot(second, first)
            self.assertTrue(first.alive)
            self.assertIs(await pool.take(ADDRESS, max_idle_s=2.1), first)
            self.assertIsNot(await pool.take(ADDRESS, max_idle_s=0.0), second)

        run_virtual(main)

    def test_a_closed_connection_is_not_returned(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            pool, server = _started(loop)
            first = await pool.take(ADDRESS)
            pool.give_back(ADDRESS, first)
            server.reset()
            await pass_time(2 * loop.delay_s)
            second = await pool.take(ADDRESS)
            self.assertEqual((await second.exchange(_REQUEST, request_id="q")).status, 200)
            self.assertEqual(pool.opened, 2)

        run_virtual(main)

    def test_after_a_time_out_a_request_that_must_not_run_twice_gets_a_new_connection(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            both = [path.pipeline.run(path.request(f"q{number}")) for number in range(2)]
            self.assertEqual([reply.status for reply in await asyncio.gather(*both)], [200, 200])
            path.first().spoils = [Spoil.SILENT]
            silent = await path.pipeline.run(path.request("silent"))
            after = await path.pipeline.run(path.request("after"))
            self.assertEqual((silent.status, after.status, path.pool.opened), (504, 200, 3))

        run_virtual(main)

    def test_vms_divide_the_connections_that_a_server_accepts(self) -> None:
        for vms in (12, 89, 2800):
            with self.subTest(vms=vms):
                pool = ConnectionPool("x", lambda: 0.0)
                pool.share(1770, vms)
                self.assertTrue(1 <= pool.max_idle <= MAX_IDLE_CONNECTIONS)
        pool.share(390, 89)
        self.assertLessEqual(pool.max_idle * 89, 390 / 2)

    def test_no_more_connections_are_idle_than_allowed(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            pool, server = _started(loop)
            pool.share(8, 2)
            taken = [await pool.take(ADDRESS) for _ in range(5)]
            for connection in taken:
                pool.give_back(ADDRESS, connection)
            self.assertEqual(sum(connection.alive for connection in taken), 2)

        run_virtual(main)
