"""Keeps a replica of the store's keys in memory, and decides which version of a key it holds.

Deltas come from listings, watches and peers, in any order and more than once; each item and each
removal carries the store's revision of its change.

A key never returns to an older revision, and a removed key stays removed until a newer write. A
delta may defer large items, that is, only name them: the other changes are applied at once, but
`complete_revision` stays below the revision of the first missing item, so that this VM requests it
again and no peer treats this replica as complete. A snapshot also removes the keys that it does not
list, unless they are newer than the delta. Removals are kept as tombstones for `MAX_TOMBSTONES`
keys; a peer behind a dropped one gets a snapshot.

Revisions are ordered over all eras of the store (`revisions`). A snapshot of a later era than an
item that it lacks comes from a store that has returned from an older copy: `lost` holds the keys
that are missing for that reason, until they are written again or removed in that era.

The order of arrival thus does not matter: a VM may follow the store and several peers at once, and
a small change does not wait for a large one. It is tested by `test_gateway_replica`.
"""

from typing import NamedTuple, Optional

from .revisions import era_of

MAX_TOMBSTONES = 4096
"""Greatest number of tombstones; a peer that is behind a dropped one needs a snapshot."""


class Item(NamedTuple):
    """A key's value at one revision.

    Args:
        key: The key.
        value: Its bytes.
        revision: Revision of its last change.
    """

    key: str
    value: bytes
    revision: int


class Removal(NamedTuple):
    """The removal of a key.

    Args:
        key: The key.
        revision: Revision of its removal, or a later one at which it was missing.
    """

    key: str
    revision: int


class DeferredItem(NamedTuple):
    """An item that a delta names but does not contain, for its size; it is fetched separately.

    Args:
        key: The key.
        revision: Revision of its last change.
        size: Length of its value, in bytes.
    """

    key: str
    revision: int
    size: int


class Delta(NamedTuple):
    """The changes after some revision.

    Args:
        items: Newer items; all items when `is_snapshot`.
        removals: Keys removed since.
        complete_revision: Revision of a replica that has applied the delta and holds the deferred
            items too.
        is_snapshot: True when keys that are not listed were removed.
        deferred: Newer items that the delta names but does not contain.
    """

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    complete_revision: int
    is_snapshot: bool = False
    deferred: tuple[DeferredItem, ...] = ()


class Replica:
    """The newest received state of some prefixes of the store.

    `complete_revision` is the revision up to which all changes were received. `tombstones` holds
    the revision of each recorded removal by key. `min_delta_revision` is the newest revision of a
    removal that may have no tombstone: a delta after an older revision has to be a snapshot. `lost`
    holds the keys that the store has lost by its return from an older copy.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.tombstones: dict[str, int] = {}
        self.complete_revision = 0
        self.min_delta_revision = 0
        self.lost: set[str] = set()

    def apply(self, delta: Delta) -> set[str]:
        """Apply the items and removals that are newer than what is held.

        Args:
            delta: Changes from the store or from a peer.

        Returns:
            The keys whose value or presence changed.
        """
        changed = {item.key for item in delta.items if self._put(item)}
        changed |= {r.key for r in delta.removals if self._remove(r.key, r.revision)}
        if delta.is_snapshot:
            changed |= self._remove_missing(delta)
            # Keys removed before a listing have no tombstone: without a snapshot a peer behind
            # it would keep such a key for ever (`test_gateway_replica.Listings`).
            self.min_delta_revision = max(self.min_delta_revision, delta.complete_revision)
        missing = [item.revision - 1 for item in delta.deferred if self.lacks(item)]
        self.complete_revision = max(
            self.complete_revision, min([delta.complete_revision, *missing])
        )
        return changed

    def lacks(self, deferred: DeferredItem) -> bool:
        """Return whether a deferred item is newer than what is held."""
        return deferred.revision > self._known_revision(deferred.key)

    def since(self, revision: int, *, max_value_bytes: Optional[int] = None) -> Delta:
        """Return the changes after a revision, as a snapshot if tombstones were dropped since.

        Args:
            revision: The revision.
            max_value_bytes: Longest value that the delta contains, in bytes; items with longer ones
                are deferred. None for no limit.
        """
        if revision < self.min_delta_revision:
            return _defer_large_items(
                Delta(tuple(self.items.values()), (), self.complete_revision, True), max_value_bytes
            )
        items = tuple(item for item in self.items.values() if item.revision > revision)
        removals = tuple(Removal(k, r) for k, r in self.tombstones.items() if r > revision)
        return _defer_large_items(Delta(items, removals, self.complete_revision), max_value_bytes)

    def _known_revision(self, key: str) -> int:
        """Return the revision of a key's last known change, or 0 if there is none."""
        held = self.items.get(key)
        return held.revision if held else self.tombstones.get(key, 0)

    def _put(self, item: Item) -> bool:
        held = self.items.get(item.key)
        if item.revision <= self._known_revision(item.key):
            return False
        if held is None and item.revision <= self.complete_revision:
            # It came late: the replica holds all items up to there, so this one was removed.
            return False
        self.tombstones.pop(item.key, None)
        self.lost.discard(item.key)
        self.items[item.key] = item
        return held is None or held.value != item.value

    def _remove(self, key: str, revision: int) -> bool:
        held = self.items.get(key)
        if held is not None and held.revision > revision:
            return False
        if held is None and self.tombstones.get(key, 0) >= revision:
            return False
        self.items.pop(key, None)
        self.lost.discard(key)
        self._add_tombstone(key, revision)
        return held is not None

    def _add_tombstone(self, key: str, revision: int) -> None:
        self.tombstones.pop(key, None)
        self.tombstones[key] = revision
        if len(self.tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self.tombstones))
            self.min_delta_revision = max(self.min_delta_revision, self.tombstones.pop(oldest))

    def _remove_missing(self, delta: Delta) -> set[str]:
        listed = {item.key for item in (*delta.items, *delta.deferred)}
        missing = [item for item in self.items.values() if item.key not in listed]
        removed = {i.key for i in missing if self._remove(i.key, delta.complete_revision)}
        era = era_of(delta.complete_revision)
        self.lost |= {i.key for i in missing if i.key in removed and era_of(i.revision) < era}
        return removed


def _defer_large_items(delta: Delta, max_value_bytes: Optional[int]) -> Delta:
    """Return the delta with items of longer values deferred."""
    if max_value_bytes is None:
        return delta
    small = tuple(item for item in delta.items if len(item.value) <= max_value_bytes)
    large = tuple(item for item in delta.items if len(item.value) > max_value_bytes)
    deferred = tuple(DeferredItem(item.key, item.revision, len(item.value)) for item in large)
    return delta._replace(items=small, deferred=deferred)
