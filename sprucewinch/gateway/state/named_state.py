"""Drops what is kept by the name of a route or service once the configuration has no such name.

`NamedState` is the one place that is told of removed names. Each part that keeps rows by the name
of a route or a service lists its tables (`NamedStateOwner`), and this module deletes the rows. It
decides when a name is gone: a route's at the configuration without it, a service's
`REMOVED_SERVICE_KEPT_S` later, so that a configuration that is rolled back soon finds the retry
budget, the shift limit and the usual times of the service again. A removed route that returns
begins anew. A service is also in force while a backend server of it is registered.

A request in flight may add a row for a removed name again; a sweep drops it within
`_SWEEP_INTERVAL_S`. What is kept by backend server, workspace, VM or caller is bounded by its
owners.

Inputs are the configurations and entries of `StoreView` and monotonic times in seconds. The sizes
of the tables show as `state_rows` on `/metrics`. Tests: `test_gateway_named_state`.
"""

import abc
import enum
from collections.abc import Callable, Hashable, Iterable, MutableMapping
from typing import Any, NamedTuple

from ..resources import RouteConfiguration
from .store_view import Change, StoreView

REMOVED_SERVICE_KEPT_S = 15.0
"""Time for which the rows of a removed service are kept, in seconds: longer than any window over
which retries and shifts between regions are limited."""

_MAX_REMOVED_SERVICES = 200
"""Removed services whose rows are kept; beyond that, those removed first are dropped early, so that
a series of large configurations does not fill the memory."""

_SWEEP_INTERVAL_S = 10.0
"""Time between two sweeps for rows that requests in flight added, in seconds."""


class NameKind(enum.Enum):
    """What the rows of a table are named after."""

    ROUTE = "route"
    SERVICE = "service"


def _itself(key: Any) -> str:
    return str(key)


def _drop_always(_name: str, _now: float) -> bool:
    return False


class NamedTable(NamedTuple):
    """Rows that one part keeps by the name of a route or service.

    Args:
        title: Title of the table, unique in the process; operators read it on `/metrics`.
        kind: What the rows are named after.
        rows: The rows themselves.
        name_of: Returns the name that a key contains.
        needs: Returns whether a row that is no longer in force is still needed, given its name and
            the monotonic time in seconds.
    """

    title: str
    kind: NameKind
    rows: MutableMapping[Any, Any]
    name_of: Callable[[Hashable], str] = _itself
    needs: Callable[[str, float], bool] = _drop_always


class NamedStateOwner(abc.ABC):
    """A part that keeps rows by the names of routes or services."""

    @abc.abstractmethod
    def named_tables(self) -> Iterable[NamedTable]:
        """Return the tables of this part."""


class NamedState:
    """All tables by the names of routes and services in one process.

    Args:
        store_view: This VM's view of the store.
        owners: The parts that keep such tables.
    """

    def __init__(self, store_view: StoreView, owners: Iterable[NamedStateOwner]) -> None:
        self.store_view = store_view
        self.owners = tuple(owners)
        self._routes: frozenset[str] = frozenset()
        self._services: frozenset[str] = frozenset()
        self._removed_services: dict[str, float] = {}
        self._swept_at = float("-inf")
        store_view.listeners.append(self._on_change)

    def row_counts(self) -> dict[str, int]:
        """Return the number of rows of each table, by its title."""
        return {table.title: len(table.rows) for table in self._tables()}

    def sweep(self, now: float) -> None:
        """Drop rows of removed names if a sweep is due; part of the regular upkeep.

        Args:
            now: Monotonic time, in seconds.
        """
        if now - self._swept_at >= _SWEEP_INTERVAL_S and self.store_view.has_configuration:
            self._drop_removed(now)

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self._follow(change.after, change.at)
            self._drop_removed(change.at)

    def _follow(self, configuration: RouteConfiguration, now: float) -> None:
        services = {part.service for route in configuration.routes for part in route.parts}
        services.update(configuration.services)
        self._routes = frozenset(route.name for route in configuration.routes)
        removed = dict.fromkeys(self._services - services, now)
        kept = {n: at for n, at in self._removed_services.items() if n not in services}
        newest = list((kept | removed).items())[-_MAX_REMOVED_SERVICES:]
        self._removed_services = dict(newest)
        self._services = frozenset(services)

    def _drop_removed(self, now: float) -> None:
        self._swept_at = now
        self._removed_services = {
            name: at
            for name, at in self._removed_services.items()
            if now - at < REMOVED_SERVICE_KEPT_S
        }
        registered = {entry.service for entry in self.store_view.backends.values()}
        in_force = {
            NameKind.ROUTE: self._routes,
            NameKind.SERVICE: self._services | registered | self._removed_services.keys(),
        }
        for table in self._tables():
            _drop_rows(table, in_force[table.kind], now)

    def _tables(self) -> Iterable[NamedTable]:
        for owner in self.owners:
            yield from owner.named_tables()


def _drop_rows(table: NamedTable, in_force: frozenset[str], now: float) -> None:
    gone = [
        key
        for key in table.rows
        if (name := table.name_of(key)) not in in_force and not table.needs(name, now)
    ]
    for key in gone:
        del table.rows[key]
