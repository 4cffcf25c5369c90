"""Lines of the decision log: what they say of a request, and that their number is bounded."""

import json
import unittest
from typing import Any

from sprucewinch.gateway.decision_log import DecisionLog
from sprucewinch.gateway.telemetry.line_rate import LineRate
from standins.virtual import VirtualLoop, run_virtual

from .gateway_fakes import Path, route


class Lines:
    """A decision log whose lines are kept."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []
        self.now = 100.0
        self.events = DecisionLog(
            lambda line: self.rows.append(json.loads(line)),
            monotonic=lambda: self.now,
            wall=lambda: self.now,
        )


class Requests(unittest.TestCase):
    def test_a_line_says_what_decided_a_refusal(self) -> None:
        async def main(loop: VirtualLoop) -> dict[str, Any]:
            path = Path(loop, servers=1)
            path.world.configure(route())
            server = path.world.registry.servers["s0"]
            server.record_load(6, 18, loop.time())
            request = path.request("q")
            reply = await path.pipeline.run(request)
            lines = Lines()
            lines.events.replied(request, reply, 0.06)
            return lines.rows[0]

        row = run_virtual(main)
        self.assertEqual((row["id"], row["outcome"], row["status"]), ("q", "no-room", 503))
        self.assertEqual(row["blocked"]["server_id"], "s0")
        self.assertGreater(row["blocked"]["load"], 12)
        self.assertGreaterEqual(row["blocked"]["told_s"], 0)

    def test_a_line_says_what_became_of_each_send(self) -> None:
        async def main(loop: VirtualLoop) -> dict[str, Any]:
            path = Path(loop)
            path.world.configure(route())
            path.stop(path.first())
            request = path.request("q")
            reply = await path.pipeline.run(request)
            lines = Lines()
            lines.events.replied(request, reply, 0.06)
            return lines.rows[0]

        row = run_virtual(main)
        self.assertEqual([send[1:3] for send in row["sends"]][0], ["not-run", "unreachable"])
        self.assertEqual([send[1] for send in row["sends"]][1], "answered")


class LineRates(unittest.TestCase):
    def test_plain_lines_leave_room_for_others(self) -> None:
        rate = LineRate(0.0)
        plain = sum(rate.admits(0.0, plain=True) for _ in range(1000))
        others = sum(rate.admits(0.0, plain=False) for _ in range(1000))
        self.assertEqual((plain, others), (150, 150))

    def test_the_bucket_fills_again_and_no_further_than_a_burst(self) -> None:
        rate = LineRate(0.0)
        first = sum(rate.admits(0.0, plain=False) for _ in range(1000))
        later = sum(rate.admits(1.0, plain=False) for _ in range(1000))
        much_later = sum(rate.admits(1000.0, plain=False) for _ in range(1000))
        self.assertEqual((first, later, much_later), (300, 150, 300))


class Volume(unittest.TestCase):
    def test_lines_are_bounded_and_what_is_dropped_is_counted(self) -> None:
        lines = Lines()
        for number in range(10_000):
            lines.now += 0.001
            lines.events.state("something", number=number)
        self.assertLess(len(lines.rows), 300 + 150 * 10 + 10)
        self.assertEqual(len(lines.rows) + lines.events.counters["lines_dropped"], 10_000)

    def test_the_report_has_counters_gauges_and_latency(self) -> None:
        lines = Lines()
        lines.events.counters["requests_answered"] = 3
        text = lines.events.report({"in_flight": 2})
        self.assertIn("requests_answered 3\n", text)
        self.assertIn("in_flight 2\n", text)
