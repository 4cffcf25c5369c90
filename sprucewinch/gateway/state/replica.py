"""Rule: which of two versions of a key is held, in a replica of the store's keys in memory.

Question: does an item or a removal that arrives change what is held?

Inputs: deltas from listings, watches and peers, in any order and more than once; each item and each
removal has the store's revision of its change.

Rule: a key never goes back to an older revision, and a removed key stays removed until a newer
write. A delta may leave large items out and only name them: what is newer is held at once, but `at`
stays before the first item that is missing, so that this VM asks for it again and no peer takes
what is held here for complete. A whole delta also removes the keys that it does not list, unless
they are newer than it. Removals are held for `MAX_REMOVED` keys; a peer behind the oldest of them
gets a whole delta.

Why: with it the order of arrival does not matter, so that a VM may follow the store and several
peers at once, and a small change does not wait for a large one. Tests: `test_gateway_replica`.
"""

from typing import NamedTuple, Optional

MAX_REMOVED = 4096
"""Removed keys held at the most; a peer that is behind a dropped one needs a whole delta."""


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
    """A key that was removed.

    Args:
        key: The key.
        revision: Revision of its removal, or a later one at which it was missing.
    """

    key: str
    revision: int


class DeferredItem(NamedTuple):
    """An item that a delta names and leaves out for its size; it is fetched by itself.

    Args:
        key: The key.
        revision: Revision of its last change.
        size: Length of its value, in bytes.
    """

    key: str
    revision: int
    size: int


class Delta(NamedTuple):
    """What has changed after some revision.

    Args:
        items: Newer items; all items when `whole`.
        removals: Keys removed since.
        at: Revision that this brings a replica to, once it holds the deferred items too.
        whole: True when keys that are not listed were removed.
        deferred: Newer items that are left out.
    """

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    at: int
    whole: bool = False
    deferred: tuple[DeferredItem, ...] = ()


class Replica:
    """The newest received state of some prefixes of the store.

    `at` is the revision up to which changes were received. `floor` is the newest revision of a
    removal that may not be recorded here: a delta after an older revision has to be whole.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.removed: dict[str, int] = {}
        self.at = 0
        self.floor = 0

    def apply(self, delta: Delta) -> set[str]:
        """Apply the items and removals that are newer than what is held.

        Args:
            delta: Changes from the store or from a peer.

        Returns:
            The keys whose value or presence changed.
        """
        changed = {item.key for item in delta.items if self._put(item)}
        changed |= {r.key for r in delta.removals if self._remove(r.key, r.revision)}
        if delta.whole:
            changed |= self._remove_missing(delta)
            # What went before a listing is not recorded here: a peer behind it needs a whole delta,
            # or it keeps a removed key for good (`test_gateway_replica.Listings`).
            self.floor = max(self.floor, delta.at)
        missing = [item.revision - 1 for item in delta.deferred if self.lacks(item)]
        self.at = max(self.at, min([delta.at, *missing]))
        return changed

    def lacks(self, deferred: DeferredItem) -> bool:
        """Return whether an item that was left out is newer than what is held."""
        return deferred.revision > self._known_revision(deferred.key)

    def since(self, revision: int, *, most_bytes: Optional[int] = None) -> Delta:
        """Return what has changed after a revision; whole when removals were dropped since.

        Args:
            revision: The revision.
            most_bytes: Length of a value beyond which its item is deferred; None for no limit.
        """
        if revision < self.floor:
            return _deferring(Delta(tuple(self.items.values()), (), self.at, True), most_bytes)
        items = tuple(item for item in self.items.values() if item.revision > revision)
        gone = tuple(Removal(k, r) for k, r in self.removed.items() if r > revision)
        return _deferring(Delta(items, gone, self.at), most_bytes)

    def _known_revision(self, key: str) -> int:
        """Return the revision of a key's last change that is known here; 0 for none."""
        held = self.items.get(key)
        return held.revision if held else self.removed.get(key, 0)

    def _put(self, item: Item) -> bool:
        held = self.items.get(item.key)
        if item.revision <= self._known_revision(item.key):
            return False
        self.removed.pop(item.key, None)
        self.items[item.key] = item
        return held is None or held.value != item.value

    def _remove(self, key: str, revision: int) -> bool:
        held = self.items.get(key)
        if held is not None and held.revision > revision:
            return False
        if held is None and self.removed.get(key, 0) >= revision:
            return False
        self.items.pop(key, None)
        self._record_removal(key, revision)
        return held is not None

    def _record_removal(self, key: str, revision: int) -> None:
        self.removed.pop(key, None)
        self.removed[key] = revision
        if len(self.removed) > MAX_REMOVED:
            oldest = next(iter(self.removed))
            self.floor = max(self.floor, self.removed.pop(oldest))

    def _remove_missing(self, delta: Delta) -> set[str]:
        listed = {item.key for item in (*delta.items, *delta.deferred)}
        missing = [key for key in self.items if key not in listed]
        return {key for key in missing if self._remove(key, delta.at)}


def _deferring(delta: Delta, most_bytes: Optional[int]) -> Delta:
    """Return a delta whose items with longer values are named instead of sent."""
    if most_bytes is None:
        return delta
    small = tuple(item for item in delta.items if len(item.value) <= most_bytes)
    large = tuple(item for item in delta.items if len(item.value) > most_bytes)
    deferred = tuple(DeferredItem(item.key, item.revision, len(item.value)) for item in large)
    return delta._replace(items=small, deferred=deferred)
