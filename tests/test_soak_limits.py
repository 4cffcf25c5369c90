"""The soak's checks of the limits that all entry VMs keep together."""

import asyncio
import unittest

from standins.scripted_server import ScriptedServer
from tools.soak.backend_servers import SoakServer
from tools.soak.configuration import RATES
from tools.soak.ledger import Attempt, Ledger
from tools.soak.promises.evidence import Evidence
from tools.soak.promises.limits import cold_servers_are_spared, retries_within_budget


class _Day:
    """A handwritten day with two servers of one service."""

    def __init__(self) -> None:
        loop = asyncio.new_event_loop()
        stand_ins = [ScriptedServer(loop, name) for name in ("i-1", "i-2")]
        loop.close()
        self.first, self.second = stand_ins
        self.ledger = Ledger()
        self.servers = tuple(
            SoakServer(each, "rates", "east-a", None)  # type: ignore[arg-type]
            for each in stand_ins
        )

    def ask(self, name: str, at: float, *, repeats: int = 0) -> None:
        """Record a request, which arrives at the first server and then at the second."""
        self.ledger.attempts.append(Attempt(name, RATES, "vm1", at))
        self.first.arrived.append((at, name))
        self.second.arrived += [(at + 0.1, name)] * repeats

    def broken(self) -> set[str]:
        """Return the promises that the day breaks."""
        evidence = Evidence(self.ledger, {}, 1000.0, (), self.servers)
        cold_servers_are_spared(evidence)
        retries_within_budget(evidence)
        return {broken.rule for broken in self.ledger.broken}


class ColdServers(unittest.TestCase):
    def test_too_many_requests_in_a_second_to_a_cold_server(self) -> None:
        for count, late_s, expected in (
            (20, 2.0, set()),
            (21, 2.0, {"FAILBACK"}),
            (99, 0.5, set()),
        ):
            with self.subTest(count=count, late_s=late_s):
                day = _Day()
                day.first.cold_spans.append((100.0, 104.0))
                day.first.arrived += [(100.0 + late_s, f"q{n}") for n in range(count)]
                self.assertEqual(day.broken(), expected)

    def test_requests_to_warm_servers_are_not_limited(self) -> None:
        day = _Day()
        day.first.cold_spans.append((100.0, 104.0))
        day.first.arrived += [(104.5, f"q{n}") for n in range(99)]
        self.assertEqual(day.broken(), set())

    def test_a_server_that_turns_cold_again_is_cold_until_the_later_end(self) -> None:
        loop = asyncio.new_event_loop()
        server = ScriptedServer(loop, "i-1")
        server.turn_cold(5.0)
        server.turn_cold(3.0)
        loop.close()
        (first, second) = server.cold_spans
        self.assertLessEqual(first[1], second[0])
        self.assertEqual(second[1], server.cold_until)


class Retries(unittest.TestCase):
    def test_more_repeats_than_the_ratio_and_the_slack_allow(self) -> None:
        for repeats, expected in ((80, set()), (81, {"BUDGET"})):
            with self.subTest(repeats=repeats):
                day = _Day()
                for number in range(100):
                    day.ask(f"q{number}", 100.0 + number / 100, repeats=number < repeats)
                self.assertEqual(day.broken(), expected)

    def test_requests_of_the_window_before_count_too(self) -> None:
        day = _Day()
        for number in range(200):
            day.ask(f"early{number}", 95.0)
        for number in range(90):
            day.ask(f"q{number}", 103.0, repeats=1)
        self.assertEqual(day.broken(), set())


if __name__ == "__main__":
    unittest.main()
