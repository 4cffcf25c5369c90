"""Rule: which of two versions of a key is held, in a replica of the store's keys in memory.

Question: does an item or a removal that arrives change what is held?

Inputs: deltas from listings, watches and peers, in any order and more than once; each item and each
removal has the store's revision of its change.

Rule: a key never goes back to an older revision, and a removed key stays removed until a newer
write. A whole delta also removes the keys that it lacks, unless they are newer than it. Removals
are held for `MAX_REMOVED` keys; a peer behind the oldest of them gets a whole delta.

Why: with it the order of arrival does not matter, so that a VM may follow the store and several
peers at once. Tests: `test_gateway_replica`.
"""

from typing import NamedTuple

MAX_REMOVED = 4096
"""Removed keys held at the most; a peer that is behind a dropped one needs a whole delta. A guess,
never measured."""


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


class Delta(NamedTuple):
    """What has changed after some revision.

    Args:
        items: Newer items; all items when `whole`.
        removals: Keys removed since.
        at: Revision that this brings a replica to.
        whole: True when keys that are not listed were removed.
    """

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    at: int
    whole: bool = False


class Replica:
    """The newest received state of some prefixes of the store.

    `at` is the revision up to which changes were received. `floor` is the newest revision of a
    removal that was dropped: a delta after an older revision has to be whole.
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
        self.at = max(self.at, delta.at)
        return changed

    def since(self, revision: int) -> Delta:
        """Return what has changed after a revision; whole when removals were dropped since."""
        if revision < self.floor:
            return Delta(tuple(self.items.values()), (), self.at, whole=True)
        items = tuple(item for item in self.items.values() if item.revision > revision)
        gone = tuple(Removal(k, r) for k, r in self.removed.items() if r > revision)
        return Delta(items, gone, self.at)

    def _put(self, item: Item) -> bool:
        held = self.items.get(item.key)
        known = held.revision if held else self.removed.get(item.key, 0)
        if item.revision <= known:
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
        listed = {item.key for item in delta.items}
        missing = [key for key in self.items if key not in listed]
        return {key for key in missing if self._remove(key, delta.at)}
