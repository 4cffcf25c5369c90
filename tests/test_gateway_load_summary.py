"""The message about server loads: its size, its ranges and the names of processes."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.load_sharing.load_summary import (
    MAX_AGE_MS,
    MAX_HELD,
    MAX_PACE_PERCENT,
    MAX_ROWS,
    MAX_SUMMARY_BYTES,
    LoadRow,
    LoadSummary,
    is_valid,
    load_row,
    process_key,
    stated_pace,
)
from sprucewinch.gateway.resources import BackendEntry

_BACKEND = BackendEntry("s0", "rates", "10.0.0.1:80", "east-a", 6)


class Size(unittest.TestCase):
    def test_the_largest_message_fits(self) -> None:
        row = LoadRow(2**32 - 1, MAX_HELD, MAX_PACE_PERCENT, MAX_AGE_MS)
        summary = LoadSummary(2**32 - 1, 2**53, (row,) * MAX_ROWS)
        self.assertLessEqual(len(msgspec.msgpack.encode(summary)), MAX_SUMMARY_BYTES)
        longer = LoadSummary(2**32 - 1, 2**53, (row,) * (MAX_ROWS + 1))
        self.assertGreater(len(msgspec.msgpack.encode(longer)), MAX_SUMMARY_BYTES)


class Rows(unittest.TestCase):
    @given(st.integers(0, 10**9), st.floats(0.05, 1000.0), st.floats(-1.0, 1e6))
    def test_every_row_that_is_made_is_valid(self, held: int, pace: float, age_s: float) -> None:
        self.assertTrue(is_valid(load_row(_BACKEND, held, pace, age_s)))

    def test_figures_beyond_their_range_are_not(self) -> None:
        good = LoadRow(1, 6, 250, 90)
        self.assertTrue(is_valid(good))
        for change in ({"age_ms": -1}, {"held": -1}, {"pace_percent": -5}, {"held": 10**6}):
            row = msgspec.structs.replace(good, **change)
            self.assertFalse(is_valid(row), change)

    def test_a_row_keeps_what_was_stated(self) -> None:
        row = load_row(_BACKEND, 7, 2.5, 0.09)
        self.assertEqual((row.held, stated_pace(row), row.age_ms), (7, 2.5, 90))
        self.assertIsNone(stated_pace(LoadRow(1, 7, 0, 90)))

    def test_each_process_of_a_server_has_a_name_of_its_own(self) -> None:
        names = {process_key(_BACKEND._replace(incarnation=n)) for n in (None, 5, 6)}
        names.add(process_key(_BACKEND._replace(id="s1", incarnation=5)))
        self.assertEqual(len(names), 4)


if __name__ == "__main__":
    unittest.main()
