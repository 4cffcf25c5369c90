"""What this VM believes: the replica's items, decoded, each with the time it was learnt."""

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
    """An item of the store cannot be read; the message says what is wrong with it."""


class Decoder(abc.ABC):
    """Reads the store's items."""

    @abc.abstractmethod
    def decode(self, item: Item) -> Optional[Resource]:
        """Return what an item says; None when it says nothing that matters here.

        Raises:
            MalformedItemError: When it cannot be read.
        """


class Change(NamedTuple):
    """One fact that was learnt, changed or dropped.

    Args:
        key: Key of its item.
        before: What was believed; None when it is new.
        after: What is believed now; None when it is gone.
        revision: Revision of the item, or of its removal.
        at: Monotonic time at which this VM received it, in seconds.
    """

    key: str
    before: Optional[Resource]
    after: Optional[Resource]
    revision: int
    at: float


Listener = Callable[[Change], None]


class StoreView:
    """Decoded facts, never older than what was believed before.

    Args:
        decoder: Reads items.
        on_unreadable: Told of an item that cannot be read, with the cause.
    """

    def __init__(
        self,
        decoder: Decoder,
        on_unreadable: Callable[[str, str], None] = lambda _key, _cause: None,
    ) -> None:
        self.replica = Replica()
        self.decoder = decoder
        self.on_unreadable = on_unreadable
        self.facts: dict[str, Resource] = {}
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
        """Tell whether a configuration is known."""
        return self.configuration is not None

    @property
    def complete_revision(self) -> int:
        """Return the newest revision of a fact up to which nothing is missing here."""
        return min(self.revision, self.replica.at)

    def apply(self, delta: Delta, now: float) -> None:
        """Take over what a store or a peer says.

        Args:
            delta: The changes.
            now: Monotonic time, in seconds.
        """
        changed = self.replica.apply(delta)
        self.confirmed_at = now
        changes = [change for key in sorted(changed) for change in self._learn(key, now)]
        if changes:
            self._report(changes)

    def confirm(self, at: float) -> None:
        """Note that a store follower vouches for what is held here.

        Args:
            at: Monotonic time of the store's answer to that follower, in seconds.
        """
        self.confirmed_at = max(self.confirmed_at, at)

    def store_answered(self, now: float) -> None:
        """Note that the store itself has answered this VM.

        Args:
            now: Monotonic time, in seconds.
        """
        self.store_answered_at = now

    def _report(self, changes: list[Change]) -> None:
        self.generation += 1
        self.evacuated = frozenset(e.hall for e in self._of(Evacuation))
        for change in changes:
            for listener in self.listeners:
                listener(change)

    def _of(self, kind: type) -> Iterable:
        return [fact for fact in self.facts.values() if isinstance(fact, kind)]

    def _learn(self, key: str, now: float) -> list[Change]:
        item = self.replica.items.get(key)
        before = self.facts.get(key)
        revision = item.revision if item else self.replica.removed.get(key, self.replica.at)
        self.revision = max(self.revision, revision)
        if item is None:
            return self._drop(Change(key, before, None, revision, now))
        try:
            after = self.decoder.decode(item)
        except MalformedItemError as error:
            self.on_unreadable(key, str(error))
            return []
        if after is None or after == before:
            return []
        return self._keep(Change(key, before, after, revision, now))

    def _drop(self, change: Change) -> list[Change]:
        before = change.before
        if before is None or isinstance(before, RouteConfiguration):
            return []
        del self.facts[change.key]
        if isinstance(before, BackendEntry):
            self.backends.pop(before.id, None)
        elif isinstance(before, Member):
            self.members.pop(before.name, None)
        return [change]

    def _keep(self, change: Change) -> list[Change]:
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
        self.facts[change.key] = after
        return [change]
