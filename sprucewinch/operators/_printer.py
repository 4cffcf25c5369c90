"""Prints responses as tables for people or as JSON for programs.

The module owns the formatting of values on the terminal. It depends on no command, and on no field
but `revision` and `configuration`. Tables are printed by Rich, imported only when one is needed,
and TOML by `tomli_w`.
"""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import tomli_w

from ._base_revision import base_revision_comment

_PIPED_TABLE_WIDTH_CHARS = 200
"""Width of tables written to a pipe or file, so that rows stay on one line."""


class Printer:
    """Prints responses.

    Args:
        as_json: Print one JSON value instead of tables.
    """

    def __init__(self, *, as_json: bool = False) -> None:
        self.as_json = as_json

    def record(self, values: Mapping[str, Any]) -> None:
        """Print one record, a line for each value."""
        if self.as_json:
            self._print_json(values)
            return
        for key, value in values.items():
            print(f"{key.replace('_', ' ')}: {_format_value(value)}")

    def record_with_lines(self, values: Mapping[str, Any], lines: Sequence[str]) -> None:
        """Print one record, then lines of text."""
        if self.as_json:
            self._print_json({**values, "lines": list(lines)})
            return
        self.record(values)
        for line in lines:
            print(f"  {line}")

    def rows(self, rows: Sequence[Mapping[str, Any]], title: str) -> None:
        """Print rows as a table."""
        if self.as_json:
            self._print_json(rows)
        else:
            self._print_table(rows, title)

    def sections(self, response: Mapping[str, Any], titles: Mapping[str, str]) -> None:
        """Print a response.

        Args:
            response: The response.
            titles: Title by key, for each list of the response that is printed as a table.
        """
        if self.as_json:
            self._print_json(response)
            return
        self.record({k: v for k, v in response.items() if k not in titles})
        for key, title in titles.items():
            self._print_table(response.get(key, []), title)

    def configuration(self, response: Mapping[str, Any]) -> None:
        """Print a configuration as TOML that `config apply` accepts."""
        if self.as_json:
            self._print_json(response)
            return
        print(base_revision_comment(response["revision"]))
        if response["configuration"] is not None:
            print(tomli_w.dumps(response["configuration"]), end="")

    def _print_json(self, value: Any) -> None:
        json.dump(value, sys.stdout, indent=2)
        print()

    def _print_table(self, rows: Sequence[Mapping[str, Any]], title: str) -> None:
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
            table.add_row(*(Text(_format_value(row.get(column))) for column in columns))
        Console(width=None if sys.stdout.isatty() else _PIPED_TABLE_WIDTH_CHARS).print(table)


def _format_value(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, Mapping):
        return ", ".join(f"{key} {_format_value(item)}" for key, item in value.items()) or "-"
    if isinstance(value, list | tuple):
        return ", ".join(map(_format_value, value)) or "-"
    return str(value)
