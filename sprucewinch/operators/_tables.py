"""Prints answers for people, as tables, and for programs, as JSON.

Owns how a value looks on the terminal; knows no command and no field but `revision` and
`configuration`. Relies on Rich for tables, imported only when one is printed, and on `tomli_w`.
"""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import tomli_w

from ._base_revision import base_line

_PIPE_COLUMNS = 200
"""Width of tables that no terminal shows, in characters, so that rows stay on one line."""


class Printer:
    """Prints answers.

    Args:
        as_json: Print one JSON value instead of tables.
    """

    def __init__(self, *, as_json: bool = False) -> None:
        self.as_json = as_json

    def record(self, values: Mapping[str, Any]) -> None:
        """Print one record."""
        if self.as_json:
            self._json(values)
            return
        for key, value in values.items():
            print(f"{key.replace('_', ' ')}: {_text(value)}")

    def record_with_lines(self, values: Mapping[str, Any], lines: Sequence[str]) -> None:
        """Print one record and lines of text below it."""
        if self.as_json:
            self._json({**values, "lines": list(lines)})
            return
        self.record(values)
        for line in lines:
            print(f"  {line}")

    def rows(self, rows: Sequence[Mapping[str, Any]], title: str) -> None:
        """Print a table."""
        if self.as_json:
            self._json(rows)
        else:
            self._table(rows, title)

    def sections(self, answer: Mapping[str, Any], titles: Mapping[str, str]) -> None:
        """Print an answer whose lists are tables, by key and title."""
        if self.as_json:
            self._json(answer)
            return
        self.record({k: v for k, v in answer.items() if k not in titles})
        for key, title in titles.items():
            self._table(answer.get(key, []), title)

    def configuration(self, answer: Mapping[str, Any]) -> None:
        """Print a configuration as TOML that can be applied again."""
        if self.as_json:
            self._json(answer)
            return
        print(base_line(answer["revision"]))
        if answer["configuration"] is not None:
            print(tomli_w.dumps(answer["configuration"]), end="")

    def _json(self, value: Any) -> None:
        json.dump(value, sys.stdout, indent=2)
        print()

    def _table(self, rows: Sequence[Mapping[str, Any]], title: str) -> None:
        from rich.console import Console
        from rich.table import Table
        from rich.text import Text

        if not rows:
            print(f"{title}: none")
            return
        columns = list(dict.fromkeys(key for row in rows for key in row))
        table = Table(title=title, title_justify="left")
        for column in columns:
            table.add_column(column.replace("_", " "))
        for row in rows:
            table.add_row(*(Text(_text(row.get(column))) for column in columns))
        Console(width=None if sys.stdout.isatty() else _PIPE_COLUMNS).print(table)


def _text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, Mapping):
        return ", ".join(f"{key} {_text(item)}" for key, item in value.items()) or "-"
    if isinstance(value, list | tuple):
        return ", ".join(map(_text, value)) or "-"
    return str(value)
