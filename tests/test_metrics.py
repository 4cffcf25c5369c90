import unittest

from sprucewinch.hall.metrics import Label, Metrics, RateMeter, merge_reports
from tests.fakes import configure, node


class Measures(unittest.TestCase):
    def test_report_and_merge(self) -> None:
        metrics, label = Metrics(), Label("rates", "van-1", "nearest@1")
        for milliseconds in range(1, 101):
            metrics.answered(label, milliseconds / 1000)
        metrics.refused(label, "no-room")
        metrics.record_headroom(label, 0.25)
        metrics.drained("server:x", 1.5)
        report = metrics.report()
        self.assertEqual(report["latency_ms"][0]["count"], 100)
        self.assertAlmostEqual(report["latency_ms"][0]["p50"], 50, delta=2)
        self.assertAlmostEqual(report["headroom"][0]["least"], 0.25, delta=0.01)
        merged = merge_reports([report, report])
        self.assertEqual(merged["counters"]["answered"], 200)
        self.assertEqual(len(merged["refusals"]), 2)

    def test_number_of_labels_is_bounded(self) -> None:
        made = node()
        configure(made)
        for number in range(10_000):
            made.metrics.refused(made.label(f"made-up-{number}"), "no-such-service")
        self.assertEqual(len(made.metrics.refusals), 1)
        for number in range(500):
            made.metrics.answered(Label("rates", "h", f"policy@{number}"), 0.01)
        self.assertLessEqual(len(made.metrics.latency), 200)

    def test_label_has_a_digest_of_the_program(self) -> None:
        made = node()
        configure(made)
        label = made.label("rates")
        self.assertRegex(label.policy, r"^nearest@[0-9a-f]{8}$")

    def test_rate_is_smoothed(self) -> None:
        meter = RateMeter(smooth_s=2.0)
        for _ in range(20):
            meter.count = 50
            meter.tick(0.5)
        self.assertAlmostEqual(meter.per_s, 100.0, delta=1.0)
        meter.tick(0.0)
        self.assertAlmostEqual(meter.per_s, 100.0, delta=1.0)
