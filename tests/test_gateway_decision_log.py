"""Lines of the decision log: what they say about a request, and the limit on their rate."""

import json
import unittest
from typing import Any

from sprucewinch.gateway.decision_log import DecisionLog
from sprucewinch.gateway.telemetry.line_rate import LineRate
from standins.virtual import VirtualLoop, run_virtual

from .gateway_fakes import PipelineFixture, route


class Lines:
    """A decision log that records its lines."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []
        self.now = 100.0
        self.events = DecisionLog(
            lambda line: self.rows.append(json.loads(line)),
            monotonic=lambda: self.now,
            wall=lambda: self.now,
        )


class Requests(unittest.TestCase):
    def test_a_line_gives_the_reason_of_a_refusal(self) -> None:
        async def main(loop: VirtualLoop) -> dict[str, Any]:
            path = PipelineFixture(loop, servers=1)
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

    def test_a_line_gives_the_result_of_each_attempt(self) -> None:
        async def main(loop: VirtualLoop) -> dict[str, Any]:
            path = PipelineFixture(loop)
            path.world.configure(route())
            path.stop(path.first())
            request = path.request("q")
            reply = await path.pipeline.run(request)
            lines = Lines()
            lines.events.replied(request, reply, 0.06)
            return lines.rows[0]

        row = run_virtual(main)
        self.assertEqual([attempt[1:3] for attempt in row["sends"]][0], ["not-run", "unreachable"])
        self.assertEqual([attempt[1] for attempt in row["sends"]][1], "answered")


class LineRateLimit(unittest.TestCase):
    def test_plain_lines_leave_room_for_others(self) -> None:
        rate = LineRate(0.0)
        plain = sum(rate.admits(0.0, plain=True) for _ in range(1000))
        others = sum(rate.admits(0.0, plain=False) for _ in range(1000))
        self.assertEqual((plain, others), (150, 150))

    def test_the_bucket_refills_up_to_one_burst(self) -> None:
        rate = LineRate(0.0)
        at_start = sum(rate.admits(0.0, plain=False) for _ in range(1000))
        after_1_s = sum(rate.admits(1.0, plain=False) for _ in range(1000))
        after_1000_s = sum(rate.admits(1000.0, plain=False) for _ in range(1000))
        self.assertEqual((at_start, after_1_s, after_1000_s), (300, 150, 300))


class RateAndReport(unittest.TestCase):
    def test_the_rate_of_lines_is_limited_and_dropped_lines_are_counted(self) -> None:
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
