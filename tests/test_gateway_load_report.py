"""Load reports: three figures and the pace; what cannot be read states nothing and is counted."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.statements.load_report import (
    MAX_PACE,
    MIN_PACE,
    LoadReport,
    ParsedLoad,
    parse_load,
)

UNREADABLE = ParsedLoad(None, unreadable=True)


class Reports(unittest.TestCase):
    def test_three_figures_have_no_pace(self) -> None:
        self.assertEqual(parse_load("3,0,8"), ParsedLoad(LoadReport(3, 0, 8)))

    def test_the_fourth_figure_is_the_pace_in_per_cent(self) -> None:
        self.assertEqual(parse_load("3,1,8,100"), ParsedLoad(LoadReport(3, 1, 8, 1.0)))
        self.assertEqual(parse_load(" 3, 1 ,8, 250 "), ParsedLoad(LoadReport(3, 1, 8, 2.5)))

    def test_figures_of_later_versions_are_ignored(self) -> None:
        self.assertEqual(parse_load("3,1,8,50,7,x"), ParsedLoad(LoadReport(3, 1, 8, 0.5)))

    def test_without_its_first_three_figures_a_report_states_nothing(self) -> None:
        for text in ("", ",", "3", "3,0", "a,0,8", "-3,0,8", "3,0,", "3,,8,100", "1e9,0,8,100"):
            with self.subTest(text=text):
                self.assertEqual(parse_load(text), UNREADABLE)
        self.assertEqual(parse_load("3,0,\u00b2"), UNREADABLE)
        self.assertEqual(parse_load(f"{'9' * 5000},0,8"), UNREADABLE)

    def test_an_impossible_pace_is_left_out_and_the_load_counts(self) -> None:
        for pace in ("0", "1000000000", "-100", "fast", "", "1.5", "4", "10001"):
            with self.subTest(pace=pace):
                parsed = parse_load(f"3,1,8,{pace}")
                self.assertEqual(parsed, ParsedLoad(LoadReport(3, 1, 8), unreadable=True))

    def test_an_answer_without_a_report_is_not_unreadable(self) -> None:
        self.assertEqual(parse_load(None), ParsedLoad(None, unreadable=False))

    @given(st.text(st.characters(max_codepoint=255), max_size=40))
    def test_any_text_is_read_without_an_error(self, text: str) -> None:
        parsed = parse_load(text)
        if parsed.report is not None and parsed.report.pace is not None:
            self.assertTrue(MIN_PACE <= parsed.report.pace <= MAX_PACE)

    @given(st.integers(0, 999), st.integers(0, 999), st.integers(0, 99), st.integers(5, 10_000))
    def test_sound_reports_are_read_as_stated(
        self, running: int, waiting: int, slots: int, percent: int
    ) -> None:
        parsed = parse_load(f"{running},{waiting},{slots},{percent}")
        self.assertEqual(parsed, ParsedLoad(LoadReport(running, waiting, slots, percent / 100)))
        assert parsed.report is not None
        self.assertEqual(parsed.report.held, running + waiting)
