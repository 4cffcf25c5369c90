"""This VM's view of the store: the replica's items, decoded into resources.

Owns the replica, the resources by type, and the listeners that receive each change. Relies on a
decoder of the platform's adapter. Only a newer version replaces a configuration, and the removal of
a configuration is ignored.

An item that cannot be decoded is reported to `on_unreadable`, and the resource decoded before is
kept, so that an operator's mistake removes no route. A backend server whose entry cannot be decoded
is removed, however, as another writer may have overwritten the entry long after the server left.
"""

import abc
from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

from ..resources import (
    BackendEntry,
    Evacuation,
    Member,
    Resource,
    RouteConfiguration,
)
from .replica import Delta, Item, Replica


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
    """

    key: str
    before: Optional[Resource]
    after: Optional[Resource]
    revision: int
    at: float
    unreadable: bool = False


Listener = Callable[[Change], None]


class StoreView:
    """Decoded resources, none of which returns to an older revision.

    Args:
        decoder: Decodes items.
        on_unreadable: Called with the key of an item that cannot be decoded, and the cause.
    """

    def __init__(
        self,
        decoder: Decoder,
        on_unreadable: Callable[[str, str], None] = lambda _key, _cause: None,
    ) -> None:
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

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is held."""
        return self.configuration is not None

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
        self._decode_changed(self.replica.apply(Delta((item,), (), 0)), now)

    def confirm(self, at: float) -> None:
        """Record that a store follower holds no newer revision than this VM.

        Args:
            at: Monotonic time of the store's answer to that follower, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, at)

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
            return self._remove(Change(key, before, None, revision, now))
        try:
            after = self.decoder.decode(item)
        except MalformedItemError as error:
            self.on_unreadable(key, str(error))
            if not isinstance(before, BackendEntry):
                return []
            return self._remove(Change(key, before, None, revision, now, unreadable=True))
        if after is None or after == before:
            return []
        return self._put(Change(key, before, after, revision, now))

    def _remove(self, change: Change) -> list[Change]:
        before = change.before
        if before is None or isinstance(before, RouteConfiguration):
            return []
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
