"""A bar chart of plays of the users' bench, for the terminal or as an SVG picture.

    python -m tools.plays_chart --ids=4e436bf1,937f69c3 --names=before,after --out=chart.svg

shows the worth of each day that the entries have in common, one bar for each entry.
"""

import sys
from collections.abc import Sequence
from io import StringIO
from pathlib import Path

import fire
from rich.bar import Bar
from rich.console import Console
from rich.table import Table

from sprucewinch.errors import SprucewinchError

from .plays import Entry, PlayError, common_days, read

_WIDTH = 96
"""Width of the chart, in characters."""

_COLOURS = ("blue", "green", "yellow", "magenta", "cyan", "red")


def chart(entries: Sequence[Entry], names: Sequence[str]) -> Table:
    """Return a table of bars.

    Args:
        entries: Entries of one site.
        names: What to call each of them.
    """
    table = Table("day", "played", "worth", "", title=entries[0].site, expand=True)
    for day in common_days(entries):
        for number, (entry, name) in enumerate(zip(entries, names, strict=True)):
            play = entry.days[day]
            colour = "bright_black" if play.rules else _COLOURS[number % len(_COLOURS)]
            bar = Bar(1.0, 0.0, max(0.0, play.worth), color=colour)
            word = f"{play.worth:.3f}" + (" broken" if play.rules else "")
            table.add_row(day if number == 0 else "", name, word, bar)
    return table


def draw(ids: str, names: str = "", out: str = "") -> None:
    """Draw the worth of some entries day by day.

    Args:
        ids: Ids of entries of one site, with commas between them.
        names: What to call each of them, likewise; their ids when empty.
        out: SVG file to write; the terminal when empty.
    """
    entries = [read(entry_id) for entry_id in _words(ids)]
    called = _words(names) or [entry.id for entry in entries]
    if not entries or len(called) != len(entries):
        raise PlayError("ids and names differ in number", "give one name for each id")
    if len({entry.site for entry in entries}) > 1:
        raise PlayError("the entries are of different sites", "draw entries of one site")
    console = Console(width=_WIDTH, record=bool(out), file=StringIO() if out else None)
    console.print(chart(entries, called))
    if out:
        Path(out).parent.mkdir(parents=True, exist_ok=True)
        console.save_svg(out, title="worth by day")


def _words(text: str) -> list[str]:
    return [word.strip() for word in text.split(",") if word.strip()]


if __name__ == "__main__":
    try:
        fire.Fire(fire.decorators.SetParseFn(str)(draw), name="plays_chart")
    except SprucewinchError as error:
        print(f"plays_chart: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
