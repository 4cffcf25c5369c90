"""This VM's view of the store: the replica's items, decoded into resources.

Owns the replica, the resources by type, and the listeners that receive each change. Relies on a
decoder of the platform's adapter. Only a newer version replaces a configuration, and the removal of
a configuration is ignored.

When the store returns from an older copy (`revisions`), what this VM knows stands against the copy:
a newer configuration by its version, a server's newer entry by its number (`entry_order`).
Evacuations and registered VMs that the copy lacks are kept for `_LOST_KEPT_S`, in which operators
and VMs write them again. `on_era` is called before the first delta of a new era is applied.

An item that cannot be decoded is reported to `on_unreadable`, and the resource decoded before is
kept, so that an operator's mistake removes no route. A backend server whose entry cannot be decoded
is removed, however, as another writer may have overwritten the entry long after the server left.
"""

import abc
from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

from ..events import EventLog, NoEvents
from ..resources import (
    BackendEntry,
    Evacuation,
    Member,
    Resource,
    RouteConfiguration,
)
from .entry_order import EntryOrder
from .replica import Delta, Item, Replica
from .revisions import era_of

_MAX_COPY_AGE_S = 15.0
"""Age of the oldest copy that the store returns from, in seconds. What this VM has held for longer
is not missing because of the copy: it was removed."""

_LOST_KEPT_S = 4.0
"""Time for which evacuations and VMs are kept that the store has lost, in seconds; below the time
that the platform gives an evacuation to be in force."""

_APPLY_STEP = "store-changes"
"""Name of this step among those that hold the event loop."""


class MalformedItemError(Exception):
    """An item of the store cannot be decoded; the message gives the reason."""


class Decoder(abc.ABC):
    """Decodes the store's items."""

    @abc.abstractmethod
    def decode(self, item: Item) -> Optional[Resource]:
        """Return the resource of an item, or None for a key that the routed path does not read.

        Raises:
            MalformedItemError: If its value does not decode.
        """


class Change(NamedTuple):
    """The addition, change or removal of one resource.

    Args:
        key: Key of its item.
        before: The resource before; None for an addition.
        after: The resource now; None for a removal.
        revision: Revision of the item, or of its removal.
        at: Monotonic time at which this VM received it, in seconds.
        unreadable: True when the resource was removed because its item can no longer be decoded.
        lost: True when the store has lost the item by its return from an older copy.
    """

    key: str
    before: Optional[Resource]
    after: Optional[Resource]
    revision: int
    at: float
    unreadable: bool = False
    lost: bool = False


Listener = Callable[[Change], None]


class StoreView:
    """Decoded resources, none of which returns to an older revision.

    Args:
        decoder: Decodes items.
        on_unreadable: Called with the key of an item that cannot be decoded, and the cause.
        events: Measures how long changes hold the event loop; None to measure none.
    """

    def __init__(
        self,
        decoder: Decoder,
        on_unreadable: Callable[[str, str], None] = lambda _key, _cause: None,
        *,
        events: Optional[EventLog] = None,
    ) -> None:
        self.events = events or NoEvents()
        self.replica = Replica()
        self.decoder = decoder
        self.on_unreadable = on_unreadable
        self.resources: dict[str, Resource] = {}
        self.configuration: Optional[RouteConfiguration] = None
        self.backends: dict[str, BackendEntry] = {}
        self.members: dict[str, Member] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.generation = 0
        self.confirmed_at = float("-inf")
        self.store_answered_at = float("-inf")
        self.revision = 0
        self.listeners: list[Listener] = []
        self.on_era: list[Callable[[int], None]] = []
        self.entry_order = EntryOrder()
        self._lost_until: dict[str, float] = {}
        self._received_at: dict[str, float] = {}

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is held."""
        return self.configuration is not None

    @property
    def is_loaded(self) -> bool:
        """Whether the store's items are held, from the store or from another VM."""
        return self.confirmed_at > float("-inf")

    @property
    def era(self) -> int:
        """Era of the store that this VM has seen."""
        return era_of(self.replica.complete_revision)

    @property
    def complete_revision(self) -> int:
        """Newest revision of a resource up to which this VM holds all changes."""
        return min(self.revision, self.replica.complete_revision)

    def apply(self, delta: Delta, now: float) -> None:
        """Apply a delta of the store or of a peer, and notify the listeners of the changes.

        Args:
            delta: The delta.
            now: Monotonic time, in seconds.
        """
        with self.events.loop_step(_APPLY_STEP):
            self._apply(delta, now)

    def _apply(self, delta: Delta, now: float) -> None:
        era = era_of(delta.complete_revision)
        if self.replica.complete_revision and era > self.era:
            # Other VMs have to learn of the era before the first change in it.
            self.revision = max(self.revision, delta.complete_revision)
            for listener in self.on_era:
                listener(era)
        changed = self.replica.apply(delta)
        if self.replica.complete_revision >= delta.complete_revision:
            self.confirmed_at = now
        self._decode_changed(changed, now)

    def apply_item(self, item: Item, now: float) -> None:
        """Apply an item that a delta deferred; it does not confirm the revision of other items.

        Args:
            item: The item.
            now: Monotonic time, in seconds.
        """
        with self.events.loop_step(_APPLY_STEP):
            self._decode_changed(self.replica.apply(Delta((item,), (), 0)), now)

    def confirm(self, at: float) -> None:
        """Record that a store follower holds no newer revision than this VM.

        Args:
            at: Monotonic time of the store's answer to that follower, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, at)

    def is_lost(self, key: str) -> bool:
        """Return whether the store has lost a key by its return from an older copy."""
        return key in self.replica.lost

    def drop_lost(self, now: float) -> None:
        """Drop what the store has lost and nobody wrote again; part of the upkeep."""
        revision = self.replica.complete_revision
        changes = []
        for key in [key for key, until in self._lost_until.items() if until <= now]:
            del self._lost_until[key]
            changes += self._drop(Change(key, self.resources[key], None, revision, now))
        if changes:
            self._notify_listeners(changes)

    def record_store_answer(self, now: float) -> None:
        """Record that the store has answered this VM itself.

        Args:
            now: Monotonic time, in seconds.
        """
        self.store_answered_at = now

    def _decode_changed(self, keys: set[str], now: float) -> None:
        changes = [change for key in sorted(keys) for change in self._decode_key(key, now)]
        if changes:
            self._notify_listeners(changes)

    def _notify_listeners(self, changes: list[Change]) -> None:
        self.generation += 1
        self.evacuated = frozenset(e.hall for e in self._resources_of(Evacuation))
        for change in changes:
            for listener in self.listeners:
                listener(change)

    def _resources_of(self, kind: type) -> Iterable:
        return [held for held in self.resources.values() if isinstance(held, kind)]

    def _decode_key(self, key: str, now: float) -> list[Change]:
        item = self.replica.items.get(key)
        before = self.resources.get(key)
        revision = (
            item.revision
            if item
            else self.replica.tombstones.get(key, self.replica.complete_revision)
        )
        self.revision = max(self.revision, revision)
        if item is None:
            held_s = now - self._received_at.pop(key, now)
            lost = key in self.replica.lost and held_s < _MAX_COPY_AGE_S
            return self._remove(Change(key, before, None, revision, now, lost=lost))
        self._received_at[key] = now
        self._lost_until.pop(key, None)
        try:
            after = self.decoder.decode(item)
        except MalformedItemError as error:
            self.on_unreadable(key, str(error))
            if not isinstance(before, BackendEntry):
                return []
            return self._remove(Change(key, before, None, revision, now, unreadable=True))
        if isinstance(after, BackendEntry) and self._is_known(after, before, revision):
            return []
        if after is None or after == before:
            return []
        return self._put(Change(key, before, after, revision, now))

    def _is_known(self, entry: BackendEntry, before: Optional[Resource], revision: int) -> bool:
        """Return whether a server's entry is outdated, or states what is held."""
        if self.entry_order.is_outdated(entry, revision):
            return True
        self.entry_order.record(entry, revision)
        return entry.states_as(before)

    def _remove(self, change: Change) -> list[Change]:
        before = change.before
        if before is None or isinstance(before, RouteConfiguration):
            return []
        if isinstance(before, BackendEntry):
            self.entry_order.record_removal(before.id, change.revision, change.at)
        if isinstance(before, (Evacuation, Member)) and change.lost:
            self._lost_until[change.key] = change.at + _LOST_KEPT_S
            return []
        return self._drop(change)

    def _drop(self, change: Change) -> list[Change]:
        before = change.before
        self._lost_until.pop(change.key, None)
        del self.resources[change.key]
        if isinstance(before, BackendEntry):
            self.backends.pop(before.id, None)
        elif isinstance(before, Member):
            self.members.pop(before.name, None)
        return [change]

    def _put(self, change: Change) -> list[Change]:
        after = change.after
        assert after is not None
        if isinstance(after, RouteConfiguration):
            held = self.configuration
            if held is not None and after.version <= held.version:
                return []
            self.configuration = after
        elif isinstance(after, BackendEntry):
            self.backends[after.id] = after
        elif isinstance(after, Member):
            self.members[after.name] = after
        self.resources[change.key] = after
        return [change]
