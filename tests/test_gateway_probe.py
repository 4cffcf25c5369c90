"""Probes of servers whose data hall returns from an evacuation, and what follows from answers."""

import random
import unittest
from typing import Optional

from sprucewinch.gateway.decision_log import DecisionLog
from sprucewinch.gateway.resources import Evacuation
from sprucewinch.gateway.servers.backend_server import BackendServer
from sprucewinch.gateway.servers.probe import Prober
from sprucewinch.gateway.statements.statements import Statements
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import NAMES, PipelineFixture, route


def prober_of(path: PipelineFixture) -> Prober:
    """Return a prober of the servers of a path."""
    time = path.loop.time
    events = DecisionLog(lambda line: None, monotonic=time, wall=time)
    registry = path.world.registry
    statements = Statements(
        registry.statement_table, path.world.reports.send_statement, events, random.Random(1)
    )
    return Prober(registry, statements, NAMES, events, monotonic=time, wall=time)


async def _after_evacuation(loop: VirtualLoop, cold_ms: Optional[int]) -> PipelineFixture:
    """Return a path whose only data hall returned from an evacuation, with its servers probed."""
    path = PipelineFixture(loop, servers=2)
    path.world.configure(route())
    for server in path.servers.values():
        server.cold_ms = cold_ms
    prober = prober_of(path)
    task = loop.create_task(prober.run())
    path.world.put("evacuate/east-a", Evacuation("east-a"), loop.time())
    await pass_time(1.0)
    path.world.remove("evacuate/east-a", loop.time())
    await pass_time(0.2)
    task.cancel()
    return path


class AfterEvacuation(unittest.TestCase):
    def _cold(self, cold_ms: Optional[int], after_s: float) -> set[bool]:
        async def main(loop: VirtualLoop) -> set[bool]:
            path = await _after_evacuation(loop, cold_ms)
            self.assertEqual([s.probes for s in path.servers.values()], [1, 1])
            servers = path.world.registry.servers.values()
            return {server.cold(loop.time() + after_s) for server in servers}

        return run_virtual(main)

    def test_servers_that_state_that_they_are_warm_are_warm(self) -> None:
        self.assertEqual(self._cold(0, 0.0), {False})

    def test_servers_stay_cold_for_the_time_that_they_state(self) -> None:
        self.assertEqual(self._cold(1000, 1.0), {True})
        self.assertEqual(self._cold(1000, 2.0), {False})

    def test_a_server_that_turned_cold_during_the_evacuation_states_its_time(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route())
            path.servers["s0"].turn_cold(2.0)
            await pass_time(1.0)
            server = path.world.registry.servers["s0"]
            server.cold_until = loop.time() + 3.0
            await prober_of(path).probe(server)
            self.assertTrue(server.cold(loop.time() + 0.9))
            self.assertFalse(server.cold(loop.time() + 1.6))

        run_virtual(main)

    def test_servers_without_a_clear_answer_count_as_cold(self) -> None:
        self.assertEqual(self._cold(None, 2.5), {True})

    def test_an_answer_of_another_server_does_not_count(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route())
            path.servers["s0"].server_id = "another"
            path.servers["s0"].cold_ms = 0
            server = path.world.registry.servers["s0"]
            server.cold_until = loop.time() + 3.0
            await prober_of(path).probe(server)
            self.assertTrue(server.cold(loop.time() + 2.9))

        run_virtual(main)


class ServersStatements(unittest.TestCase):
    def test_a_leaving_paused_or_limited_server_is_not_probed(self) -> None:
        async def main(loop: VirtualLoop) -> list[int]:
            path = PipelineFixture(loop, servers=4)
            path.world.configure(route())
            leaving, paused, limited, plain = servers = self._servers(path)
            path.world.registry.statement_table.note_leaving(leaving.stated, loop.time())
            paused.stated.start_pause(2.0, loop.time())
            limited.stated.limit.apply_answer(3.0, loop.time(), loop.time())
            for server in servers:
                await prober_of(path).probe(server)
            return [server.probes for server in path.servers.values()]

        self.assertEqual(run_virtual(main), [0, 0, 0, 1])

    def _servers(self, path: PipelineFixture) -> list[BackendServer]:
        return list(path.world.registry.servers.values())

    def test_statements_in_the_answer_to_a_probe_count(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=3)
            path.world.configure(route())
            path.servers["s0"].says["Server-Leaving"] = "1"
            path.servers["s1"].says["Server-Limit"] = "3"
            path.servers["s2"].turns_probes_away, path.servers["s2"].rest = True, "2"
            leaving, limited, paused = servers = self._servers(path)
            for server in servers:
                await prober_of(path).probe(server)
            now = loop.time()
            self.assertTrue(leaving.leaving)
            self.assertEqual(limited.stated.limit.rate_per_s(now), 3.0)
            self.assertGreaterEqual(paused.stated.declines_until(now) or 0.0, now + 1.9)
            reported = [report.server for report in path.world.reports.statements]
            self.assertEqual(reported, ["s0", "s1"])

        run_virtual(main)

    def test_statements_of_another_process_at_its_address_do_not_count(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route())
            script = path.servers["s0"]
            script.server_id, script.rest, script.turns_probes_away = "another", "2", True
            script.says |= {"Server-Leaving": "1", "Server-Limit": "3"}
            (server,) = self._servers(path)
            await prober_of(path).probe(server)
            self.assertEqual(script.probes, 1)
            self.assertFalse(server.stated.has_statement(loop.time()))

        run_virtual(main)
