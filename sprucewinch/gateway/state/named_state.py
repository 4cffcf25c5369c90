"""Counts what is kept by the names of routes and services.

Each part that keeps rows by the name of a route or a service lists its tables (`NamedStateOwner`).
The sizes of the tables show as `state_rows` on `/metrics`, so that growth of the memory can be told
apart by its cause. Tests: `test_gateway_named_state`.
"""

import abc
import enum
from collections.abc import Iterable, MutableMapping
from typing import Any, NamedTuple


class NameKind(enum.Enum):
    """What the rows of a table are named after."""

    ROUTE = "route"
    SERVICE = "service"


class NamedTable(NamedTuple):
    """Rows that one part keeps by the name of a route or service.

    Args:
        title: Title of the table, unique in the process; operators read it on `/metrics`.
        kind: What the rows are named after.
        rows: The rows themselves.
    """

    title: str
    kind: NameKind
    rows: MutableMapping[Any, Any]


class NamedStateOwner(abc.ABC):
    """A part that keeps rows by the names of routes or services."""

    @abc.abstractmethod
    def named_tables(self) -> Iterable[NamedTable]:
        """Return the tables of this part."""


class NamedState:
    """All tables by the names of routes and services in one process.

    Args:
        owners: The parts that keep such tables.
    """

    def __init__(self, owners: Iterable[NamedStateOwner]) -> None:
        self.owners = tuple(owners)

    def row_counts(self) -> dict[str, int]:
        """Return the number of rows of each table, by its title."""
        return {table.title: len(table.rows) for table in self._tables()}

    def _tables(self) -> Iterable[NamedTable]:
        for owner in self.owners:
            yield from owner.named_tables()
