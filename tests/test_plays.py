"""Tables and charts that compare entries of the journal."""

import json
import tempfile
import unittest
from io import StringIO
from pathlib import Path

from rich.console import Console

from tools.plays import PlayError, days_table, prices_table, read
from tools.plays_chart import chart, draw


def _day(name: str, worth: float, calls: float, rules: dict) -> dict:
    return {
        "name": name,
        "G": worth,
        "served": 0.9,
        "refused": 0.01,
        "failed": 0.02,
        "rules": rules,
        "prices": [["cloud calls", 100.0, calls], ["duties missed", 0.0, 0.0]],
        "seed": 7,
    }


class Entries(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self._write("aaaa", _day("quiet-1", 0.8, 0.02, {}), _day("scale-1", 0.6, 0.04, {}))
        self._write("bbbb", _day("scale-1", 0.7, 0.01, {"SHIFT": 1}))

    def _write(self, entry_id: str, *days: dict) -> None:
        table = {"id": entry_id, "argv": ["../x/a.toml", "--why", "b"], "why": "b", "days": days}
        (self.folder / f"20261202T100000-{entry_id}.json").write_text(json.dumps(table))

    def test_common_days_are_listed_side_by_side_with_broken_rules(self) -> None:
        entries = [read("aaaa", self.folder), read("bbbb", self.folder)]
        lines = days_table(entries)
        self.assertEqual(len(lines), 3)
        self.assertIn("| scale-1 | 0.600, 0.900, 0.010, 0.020 | 0.700,", lines[2])
        self.assertTrue(lines[2].endswith("broken: SHIFT |"))
        self.assertEqual(entries[0].site, "a")

    def test_prices_are_means_of_common_days_without_negligible_ones(self) -> None:
        entries = [read("aaaa", self.folder)]
        self.assertEqual(prices_table(entries)[2:], ["| cloud calls | 0.0300 |"])

    def test_unreadable_entries_are_reported_with_their_problem(self) -> None:
        self._write("cccc", {"name": "quiet-1"})
        for entry_id, words in (("dddd", "0 entries"), ("cccc", "run, score or hunt")):
            with self.subTest(entry_id), self.assertRaises(PlayError) as caught:
                read(entry_id, self.folder)
            self.assertIn(words, str(caught.exception))

    def test_the_chart_draws_a_bar_for_each_entry_and_common_day(self) -> None:
        entries = [read("aaaa", self.folder), read("bbbb", self.folder)]
        console = Console(width=80, file=StringIO())
        console.print(chart(entries, ["before", "after"]))
        drawn = console.file.getvalue()  # type: ignore[attr-defined]
        self.assertNotIn("quiet-1", drawn)
        for words in ("scale-1", "before", "0.600", "after", "0.700 broken"):
            self.assertIn(words, drawn)

    def test_names_that_do_not_match_the_entries_are_refused(self) -> None:
        with self.assertRaisesRegex(PlayError, "one name for each id"):
            draw("", "before")
