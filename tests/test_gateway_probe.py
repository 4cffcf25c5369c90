"""What is asked of the servers of a data hall that is taken back, and what follows from it."""

import unittest
from typing import Optional

from sprucewinch.gateway.decision_log import DecisionLog
from sprucewinch.gateway.resources import Evacuation
from sprucewinch.gateway.servers.probe import Prober
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import NAMES, Path, route


async def _taken_back(loop: VirtualLoop, cold_ms: Optional[int]) -> Path:
    """Return a path whose only data hall has just been taken back, its servers asked."""
    path = Path(loop, servers=2)
    path.world.configure(route())
    for server in path.servers.values():
        server.cold_ms = cold_ms
    events = DecisionLog(lambda line: None, monotonic=loop.time, wall=loop.time)
    prober = Prober(path.world.registry, NAMES, events, loop.time)
    task = loop.create_task(prober.run())
    path.world.say("evacuate/east-a", Evacuation("east-a"), loop.time())
    await pass_time(1.0)
    path.world.drop("evacuate/east-a", loop.time())
    await pass_time(0.2)
    task.cancel()
    return path


class TakenBack(unittest.TestCase):
    def _cold(self, cold_ms: Optional[int], after_s: float) -> set[bool]:
        async def main(loop: VirtualLoop) -> set[bool]:
            path = await _taken_back(loop, cold_ms)
            self.assertEqual([s.probes for s in path.servers.values()], [1, 1])
            servers = path.world.registry.servers.values()
            return {server.cold(loop.time() + after_s) for server in servers}

        return run_virtual(main)

    def test_servers_that_say_that_they_are_warm_are_warm(self) -> None:
        self.assertEqual(self._cold(0, 0.0), {False})

    def test_servers_that_say_how_long_they_stay_cold_are_cold_as_long(self) -> None:
        self.assertEqual(self._cold(1000, 1.0), {True})
        self.assertEqual(self._cold(1000, 2.0), {False})

    def test_a_server_that_turned_cold_in_the_evacuation_says_how_long(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop, servers=1)
            path.world.configure(route())
            path.servers["s0"].turn_cold(2.0)
            await pass_time(1.0)
            server = path.world.registry.servers["s0"]
            server.cold_until = loop.time() + 3.0
            events = DecisionLog(lambda line: None, monotonic=loop.time, wall=loop.time)
            await Prober(path.world.registry, NAMES, events, loop.time).ask(server)
            self.assertTrue(server.cold(loop.time() + 0.9))
            self.assertFalse(server.cold(loop.time() + 1.6))

        run_virtual(main)

    def test_servers_that_say_nothing_clear_count_as_cold(self) -> None:
        self.assertEqual(self._cold(None, 2.5), {True})

    def test_an_answer_of_another_server_says_nothing(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = Path(loop, servers=1)
            path.world.configure(route())
            path.servers["s0"].server_id = "another"
            path.servers["s0"].cold_ms = 0
            server = path.world.registry.servers["s0"]
            server.cold_until = loop.time() + 3.0
            events = DecisionLog(lambda line: None, monotonic=loop.time, wall=loop.time)
            await Prober(path.world.registry, NAMES, events, loop.time).ask(server)
            self.assertTrue(server.cold(loop.time() + 2.9))

        run_virtual(main)
