import json
import logging
import unittest

from sprucewinch.log import _JsonFormatter, _TextFormatter, parse_line

LINE = "event=platform state=down problem='no answer; try again'"


def record(message: str) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "f", 1, "%s", (message,), None)


class Lines(unittest.TestCase):
    def test_words_keep_quoted_values_whole(self) -> None:
        words = parse_line(LINE)
        self.assertEqual(words["problem"], "no answer; try again")
        self.assertEqual(parse_line("plain words"), {"message": "plain words"})
        self.assertEqual(parse_line("it's broken"), {"message": "it's broken"})

    def test_json(self) -> None:
        row = json.loads(_JsonFormatter().format(record(LINE)))
        self.assertEqual((row["event"], row["state"], row["level"]), ("platform", "down", "info"))

    def test_text(self) -> None:
        text = _TextFormatter().format(record(LINE))
        self.assertRegex(text, r"^time='.+' level=info event=platform state=down")
