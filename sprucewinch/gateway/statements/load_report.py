"""Reads the load report of a backend server: its requests, its slots and its pace.

The report is a list of figures, separated by commas: requests running, requests waiting, slots, and
from some servers the pace, which says how long work takes there at the moment, in per cent of its
usual time. A server shares its host with others, so its pace may change several times a second
while its load does not. Figures after the fourth belong to later versions of the format and are
ignored.

The first three figures are needed together. A report in which one of them cannot be read states
nothing. A pace that cannot be read, or that no server can have, is left out, and the others count:
placement needs the load more than the pace, and without a pace a server counts as usual.

Owns the format of the report and the range of the pace; relies on nothing. Unreadable reports are
counted in `load_reports_unreadable`. Tests: tests/test_gateway_load_report.py.
"""

import re
from typing import NamedTuple, Optional

MIN_PACE = 0.05
"""Smallest pace that counts: a server that works twenty times as fast as usual."""

MAX_PACE = 100.0
"""Largest pace that counts. A slower server answers nothing within any deadline; a larger figure is
a fault of the report, and the server's answer times show what is true."""

_PACE_PERCENT = 100.0
"""Stated pace of a server at which work takes its usual time, in per cent."""

_FIGURE = re.compile(r"[0-9]{1,9}", re.ASCII)
"""A figure of a report: digits without a sign; more than nine are no amount of requests."""

_LOAD_FIGURES = 3
"""Figures that every report has: running, waiting, slots."""


class LoadReport(NamedTuple):
    """The load that a backend server states in an answer.

    Args:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once.
        pace: Factor on the usual time of work there at the moment, above 1 for a slow server; None
            if the server states none.
    """

    running: int
    waiting: int
    slots: int
    pace: Optional[float] = None

    @property
    def held(self) -> int:
        """Return the number of requests that the server holds, running and waiting."""
        return self.running + self.waiting


class ParsedLoad(NamedTuple):
    """The result of reading a report.

    Args:
        report: The report; None if it states nothing.
        unreadable: True if a report was present and it, or its pace, could not be read.
    """

    report: Optional[LoadReport] = None
    unreadable: bool = False


_NOTHING_STATED = ParsedLoad()
_UNREADABLE = ParsedLoad(unreadable=True)


def parse_load(text: Optional[str]) -> ParsedLoad:
    """Return the load report of an answer.

    Args:
        text: Value of the header; None if the answer has none.
    """
    if text is None:
        return _NOTHING_STATED
    words = [word.strip() for word in text.split(",")]
    figures = words[:_LOAD_FIGURES]
    if len(figures) < _LOAD_FIGURES or not all(_FIGURE.fullmatch(word) for word in figures):
        return _UNREADABLE
    report = LoadReport(*(int(word) for word in figures))
    if len(words) == _LOAD_FIGURES:
        return ParsedLoad(report)
    pace = _parse_pace(words[_LOAD_FIGURES])
    return ParsedLoad(report._replace(pace=pace), unreadable=pace is None)


def _parse_pace(word: str) -> Optional[float]:
    """Return a pace as a factor; None if it cannot be read or no server can have it."""
    if not _FIGURE.fullmatch(word):
        return None
    pace = int(word) / _PACE_PERCENT
    return pace if MIN_PACE <= pace <= MAX_PACE else None
