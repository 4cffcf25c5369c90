"""Statements of a server outlast its entry, older answers, waits for a connection and retries."""

import asyncio
import unittest

from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.backend_server import BackendServer
from sprucewinch.gateway.servers.usability import UnusableReason, unusable_reason
from sprucewinch.gateway.statements.process_statements import (
    ProcessStatements,
    ServerProcessId,
    StatementTable,
)
from sprucewinch.gateway.statements.stated_limit import StatedLimit
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, route

ENTRY = BackendEntry("s0", "rates", "10.0.0.1:80", "east-a", 6, incarnation=7)


class Rows(unittest.TestCase):
    def test_each_process_has_a_row_and_keeps_it_without_an_entry(self) -> None:
        table = StatementTable()
        one = table.of(ServerProcessId.of(ENTRY))
        self.assertIs(table.of(ServerProcessId.of(ENTRY._replace(draining=True))), one)
        other = table.of(ServerProcessId.of(ENTRY._replace(incarnation=8)))
        self.assertIsNot(other, one)
        one.updated_at = other.updated_at = 100.0
        table.forget_old((), 690.0)
        self.assertIs(table.of(ServerProcessId.of(ENTRY)), one)
        table.forget_old({ServerProcessId.of(ENTRY)}, 9000.0)
        self.assertEqual(list(table.rows.values()), [one])

    def test_the_latest_end_of_a_pause_holds(self) -> None:
        stated = ProcessStatements()
        self.assertTrue(stated.start_pause(3.0, 100.0))
        self.assertFalse(stated.start_pause(0.5, 101.0))
        self.assertEqual(stated.declines_until(102.9), 103.0)
        self.assertIsNone(stated.declines_until(103.0))

    def test_a_leaving_server_is_recorded_once(self) -> None:
        calls = []
        table = StatementTable(on_leaving=lambda: calls.append(1))
        stated = table.of(ServerProcessId.of(ENTRY))
        self.assertEqual(
            [table.note_leaving(stated, 1.0), table.note_leaving(stated, 2.0)], [True, 0]
        )
        self.assertEqual((stated.leaving_since, calls), (1.0, [1]))

    def test_the_reason_why_a_server_is_skipped(self) -> None:
        server = BackendServer(ENTRY)
        server.stated.limit.apply_answer(3.0, 99.0, 100.0)
        server.stated.no_token_until = 101.0
        reason = unusable_reason(server, 100.5, lambda *_: False, lambda *_: 1)
        self.assertIs(reason, UnusableReason.LIMITED)
        server.stated.start_pause(1.0, 100.0)
        reason = unusable_reason(server, 100.5, lambda *_: False, lambda *_: 1)
        self.assertIs(reason, UnusableReason.ASKED_REST)
        server.stated.limit = StatedLimit()
        self.assertIsNone(unusable_reason(server, 101.0, lambda *_: False, lambda *_: 1))


class WhileARequestWaits(unittest.TestCase):
    def test_statements_while_its_connection_opens_hold(self) -> None:
        for statement in ("leaves", "rests", "limits"):
            with self.subTest(statement):
                self.assertEqual(
                    run_virtual(
                        lambda loop, statement=statement: self._stated_meanwhile(loop, statement)
                    ),
                    (200, ["not-offered", "answered"]),
                )

    async def _stated_meanwhile(self, loop: VirtualLoop, statement: str) -> tuple[int, list[str]]:
        path = PipelineFixture(loop)
        path.world.configure(route(repeatable=False, max_attempts=1))
        first = path.first()
        path.delay(first, 0.1)
        request = path.request("q")
        task = loop.create_task(path.pipeline.run(request))
        await pass_time(0.05)
        registry = path.world.registry
        stated = registry.servers[first.server_id].stated
        if statement == "leaves":
            registry.statement_table.note_leaving(stated, loop.time())
        elif statement == "rests":
            stated.start_pause(5.0, loop.time())
        else:
            stated.limit.apply_answer(1.0, loop.time(), loop.time())
        reply = await task
        self.assertEqual(first.runs, [])
        return reply.status, [attempt.cause for attempt in request.attempts]


class OlderAnswers(unittest.TestCase):
    def test_an_answer_to_an_earlier_request_ends_no_pause(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False, max_attempts=1))
            server = path.first()
            server.work_s, server.rest = 0.3, "2"
            early = loop.create_task(path.pipeline.run(path.request("early")))
            await pass_time(0.1)
            server.turns_away = lambda: True
            refused = await path.pipeline.run(path.request("q"))
            self.assertEqual((refused.status, (await early).status), (503, 200))
            server.turns_away = lambda: False
            arrived = len(server.arrivals)
            later = await path.pipeline.run(path.request("later"))
            self.assertEqual((later.status, len(server.arrivals)), (503, arrived))
            self.assertGreater(later.retry_after_s or 0.0, 1.5)
            await pass_time((later.retry_after_s or 0.0) + 0.2)
            self.assertEqual((await path.pipeline.run(path.request("back"))).status, 200)

        run_virtual(main)

    def test_the_last_resort_skips_a_server_that_asked_for_a_pause(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            path.world.configure(route())
            registry = path.world.registry
            for server in registry.servers.values():
                server.stated.start_pause(2.0, loop.time())
            replies = await asyncio.gather(
                *(path.pipeline.run(path.request(f"q{number}")) for number in range(6))
            )
            self.assertEqual({reply.status for reply in replies}, {503})
            returns = [reply.retry_after_s or 0.0 for reply in replies]
            self.assertGreaterEqual(min(returns), 2.0)
            self.assertEqual(len(set(returns)), len(returns))
            self.assertEqual(sum(len(s.arrivals) for s in path.servers.values()), 0)

        run_virtual(main)


class NewProcess(unittest.TestCase):
    def test_another_process_under_the_id_has_no_statements(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route())
            registry = path.world.registry
            entry = registry.servers["s0"].backend._replace(incarnation=1)
            path.world.put("servers/s0", entry, loop.time())
            registry.statement_table.note_leaving(registry.servers["s0"].stated, loop.time())
            path.world.put("servers/s0", entry._replace(cold_for_s=0.1), loop.time())
            self.assertEqual(registry.offered("rates"), ())
            path.world.remove("servers/s0", loop.time())
            path.world.put("servers/s0", entry, loop.time())
            self.assertEqual(registry.offered("rates"), ())
            path.world.put("servers/s0", entry._replace(incarnation=2), loop.time())
            self.assertEqual(len(registry.offered("rates")), 1)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
