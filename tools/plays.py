"""Compares plays of the users' bench side by side, from the entries that it left in `journal/`.

    python -m tools.plays 4e436bf1 937f69c3

prints, for every day that the entries have in common by name, worth and what became of requests,
then every price that took a thousandth of worth or more in any of them.
"""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import fire
import msgspec

from sprucewinch.errors import SprucewinchError

JOURNAL = Path("journal")
_LEAST_PRICE = 0.001
"""Worth of a day below which a price is not listed: what the table rounds to."""


class PlayError(SprucewinchError):
    """An entry of the journal is not there or cannot be read."""

    exit_code = 2


class Play(NamedTuple):
    """One day of an entry.

    Args:
        worth: Worth of the day, prices deducted.
        served: Credit earned for each credit owed.
        refused: Part of the requests that ended refused.
        failed: Part of the requests that ended otherwise without an answer.
        rules: Names of the rules that were broken.
        prices: What each price took of the worth.
    """

    worth: float
    served: float
    refused: float
    failed: float
    rules: tuple[str, ...]
    prices: dict[str, float]


class Entry(NamedTuple):
    """One entry of the journal.

    Args:
        id: Its id.
        site: Name of the site.
        why: Why it was played.
        days: Its days by name.
    """

    id: str
    site: str
    why: str
    days: dict[str, Play]


class _Day(msgspec.Struct):
    name: str
    G: float
    served: float
    refused: float
    failed: float
    rules: dict[str, object]
    prices: list[tuple[str, float, float]]


class _File(msgspec.Struct):
    id: str
    argv: list[str]
    why: str
    days: list[_Day]

    def site(self) -> str:
        """Return the name of the site file that was played."""
        return next((Path(word).stem for word in self.argv if word.endswith(".toml")), "")


def read(entry_id: str, folder: Path = JOURNAL) -> Entry:
    """Return an entry of the journal.

    Args:
        entry_id: Its id, as the bench prints it after `snapshot`.
        folder: Where the journal is.

    Raises:
        PlayError: When there is none of this id, or it cannot be read.
    """
    paths = sorted(folder.glob(f"*-{entry_id}.json"))
    if len(paths) != 1:
        raise PlayError(f"{len(paths)} entries of id {entry_id!r}", f"look into {folder}")
    try:
        file = msgspec.json.decode(paths[0].read_bytes(), type=_File)
    except msgspec.MsgspecError as error:
        raise PlayError(f"{paths[0]}: {error}", "name an entry of a run, score or hunt") from None
    return Entry(file.id, file.site(), file.why, {day.name: _play(day) for day in file.days})


def _play(day: _Day) -> Play:
    prices = {name: share for name, _, share in day.prices}
    return Play(day.G, day.served, day.refused, day.failed, tuple(sorted(day.rules)), prices)


def days_table(entries: Sequence[Entry]) -> list[str]:
    """Return a Markdown table of the days that all entries have."""
    ids = [entry.id for entry in entries]
    lines = [f"| day | {' | '.join(f'{i}: worth, served, refused, failed' for i in ids)} |"]
    lines.append("| --- |" + " --- |" * len(ids))
    for name in common_days(entries):
        cells = [_cell(entry.days[name]) for entry in entries]
        lines.append(f"| {name} | {' | '.join(cells)} |")
    return lines


def prices_table(entries: Sequence[Entry]) -> list[str]:
    """Return a Markdown table of mean prices over the days that all entries have."""
    names = common_days(entries)
    rows: dict[str, list[float]] = {}
    for entry in entries:
        for price in {price for name in names for price in entry.days[name].prices}:
            rows.setdefault(price, [])
    for price, row in rows.items():
        row += [_mean([e.days[n].prices.get(price, 0.0) for n in names]) for e in entries]
    lines = [f"| price, mean of the days | {' | '.join(entry.id for entry in entries)} |"]
    lines.append("| --- |" + " --- |" * len(entries))
    for price, row in sorted(rows.items(), key=lambda item: -max(item[1])):
        if max(row) >= _LEAST_PRICE:
            lines.append(f"| {price} | {' | '.join(f'{value:.4f}' for value in row)} |")
    return lines


def common_days(entries: Sequence[Entry]) -> list[str]:
    """Return the names of the days that all entries have."""
    return [name for name in entries[0].days if all(name in entry.days for entry in entries)]


def _cell(play: Play) -> str:
    text = f"{play.worth:.3f}, {play.served:.3f}, {play.refused:.3f}, {play.failed:.3f}"
    return f"{text}, broken: {' '.join(play.rules)}" if play.rules else text


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def compare(*entry_ids: str) -> None:
    """Print the tables of some entries.

    Args:
        entry_ids: Ids of entries of one site.
    """
    entries = [read(str(entry_id)) for entry_id in entry_ids]
    if not entries:
        raise PlayError("no entry is named", "give ids such as 4e436bf1")
    if len({entry.site for entry in entries}) > 1:
        raise PlayError("the entries are of different sites", "compare entries of one site")
    for entry in entries:
        print(f"{entry.id}: {entry.why}")
    print()
    print("\n".join(days_table(entries)))
    print()
    print("\n".join(prices_table(entries)))


if __name__ == "__main__":
    try:
        fire.Fire(fire.decorators.SetParseFn(str)(compare), name="plays")
    except SprucewinchError as error:
        print(f"plays: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
