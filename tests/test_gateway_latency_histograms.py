"""Latency histograms by route: their values are those of HdrHistogram, in far less memory."""

import tracemalloc
import unittest

from hdrh.histogram import HdrHistogram
from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.telemetry.latency_histograms import LatencyHistograms
from sprucewinch.gateway.telemetry.sparse_histogram import SparseHistogram

MAX_US = 600_000_000
PERCENTILES = (50, 90, 99, 100)

_ROUTES = 1000
_MAX_BYTES_PER_ROUTE = 2000
"""Bound from the platform: the largest configuration has some 4,000 routes, whose histograms are to
take less than a twentieth of the smallest VM's 200 MB."""

_values = st.one_of(st.integers(1, 600), st.integers(1, MAX_US))


class Percentiles(unittest.TestCase):
    @given(st.lists(_values, min_size=1, max_size=60))
    @settings(max_examples=200, deadline=None)
    def test_values_are_those_of_the_library_with_two_digits(self, values: list[int]) -> None:
        plain, sparse = HdrHistogram(1, MAX_US, 2), SparseHistogram()
        for value in values:
            plain.record_value(value)
            sparse.record(value)
        expected = [plain.get_value_at_percentile(percentile) for percentile in PERCENTILES]
        self.assertEqual(sparse.percentiles(PERCENTILES), expected)

    def test_without_a_latency_all_values_are_0(self) -> None:
        self.assertEqual(SparseHistogram().percentiles(PERCENTILES), [0, 0, 0, 0])

    def test_halved_counts_keep_the_percentiles(self) -> None:
        histogram = SparseHistogram()
        for value in range(1, 1001):
            for _ in range(4):
                histogram.record(value)
        before = histogram.percentiles((50, 90, 99))
        histogram._halve()
        self.assertEqual(histogram.total, 2000)
        self.assertEqual(histogram.percentiles((50, 90, 99)), before)


class Memory(unittest.TestCase):
    def test_thousands_of_routes_take_little_memory(self) -> None:
        # Guards against 25 KB for each route of a configuration with thousands of them.
        histograms = LatencyHistograms()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(_ROUTES):
            for each in range(5):
                histograms.observe(f"r{number}", 0.1 + 0.01 * each)
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held / _ROUTES, _MAX_BYTES_PER_ROUTE)
