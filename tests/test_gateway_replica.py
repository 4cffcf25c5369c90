"""The replica against a log of writes applied in any order and repeatedly: no key becomes older.

The same is tested with deltas that defer large items, and for a third VM that takes deltas from one
that lacks some of them.
"""

import random
import unittest
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.following.deltas import decode_delta, encode_delta
from sprucewinch.gateway.state import replica as replica_module
from sprucewinch.gateway.state.replica import DeferredItem, Delta, Item, Removal, Replica

_KEYS = ("op/config", "servers/a", "servers/b", "op/evacuate/z")


def _log(choices: list[tuple[int, bool]]) -> list[Item | Removal]:
    """Return a history of writes and removals with increasing revisions."""
    held: set[str] = set()
    log: list[Item | Removal] = []
    for revision, (number, removes) in enumerate(choices, start=1):
        key = _KEYS[number]
        if removes and key in held:
            held.discard(key)
            log.append(Removal(key, revision))
        else:
            held.add(key)
            log.append(Item(key, b"%d" % revision, revision))
    return log


def _state(log: list[Item | Removal]) -> dict[str, bytes]:
    state: dict[str, bytes] = {}
    for entry in log:
        if isinstance(entry, Removal):
            state.pop(entry.key, None)
        else:
            state[entry.key] = entry.value
    return state


def _delta(entries: list[Item | Removal], at: int, is_snapshot: bool = False) -> Delta:
    items = tuple(e for e in entries if isinstance(e, Item))
    return Delta(items, tuple(e for e in entries if isinstance(e, Removal)), at, is_snapshot)


def _values(replica: Replica) -> dict[str, bytes]:
    return {key: item.value for key, item in replica.items.items()}


_HISTORIES = st.lists(st.tuples(st.integers(0, 3), st.booleans()), min_size=1, max_size=30)


class Listings(unittest.TestCase):
    def test_a_removal_before_a_listing_reaches_a_peer_that_holds_the_key(self) -> None:
        """A VM whose history is gone lists the store, and has no tombstones of earlier removals."""
        listed, behind = Replica(), Replica()
        behind.apply(Delta((Item("servers/x", b"", 43),), (), 43))
        listed.apply(Delta((), (), 42))
        listed.apply(Delta((), (), 46, is_snapshot=True))
        behind.apply(listed.since(behind.complete_revision))
        self.assertEqual(behind.items, {})
        self.assertEqual(behind.complete_revision, 46)


class AnyOrder(unittest.TestCase):
    @given(_HISTORIES, st.randoms(use_true_random=False))
    def test_events_in_any_order_and_twice_end_in_the_newest_state(self, choices, rng) -> None:
        log = _log(choices)
        replica = Replica()
        events = [*log, *log]
        rng.shuffle(events)
        for event in events:
            replica.apply(_delta([event], 0))
        self.assertEqual(_values(replica), _state(log))

    @given(_HISTORIES, st.data())
    def test_no_key_returns_to_an_older_revision(self, choices, data) -> None:
        log = _log(choices)
        replica = Replica()
        newest: dict[str, int] = {}
        for _ in range(12):
            event = data.draw(st.sampled_from(log))
            replica.apply(_delta([event], event.revision))
            held = replica.items.get(event.key)
            if held is not None:
                self.assertGreaterEqual(held.revision, newest.get(event.key, 0))
                newest[event.key] = held.revision

    @given(_HISTORIES, st.integers(0, 30), st.integers(0, 30))
    def test_a_peers_delta_brings_a_replica_up_to_date(
        self, choices, seen_here, seen_by_peer
    ) -> None:
        log = _log(choices)
        behind, ahead = Replica(), Replica()
        seen_here, seen_by_peer = sorted((min(seen_here, len(log)), min(seen_by_peer, len(log))))
        behind.apply(_delta(log[:seen_here], seen_here))
        ahead.apply(_delta(log[:seen_by_peer], seen_by_peer))
        behind.apply(decode_delta(encode_delta(ahead.since(behind.complete_revision))))
        self.assertEqual(_values(behind), _values(ahead))

    @given(_HISTORIES, st.integers(0, 30))
    def test_a_listing_after_lost_history_removes_missing_keys(self, choices, seen) -> None:
        log = _log(choices)
        replica = Replica()
        seen = min(seen, len(log))
        replica.apply(_delta(log[:seen], seen))
        newest = {e.key: e for e in log if isinstance(e, Item)}
        held = [newest[key] for key in _state(log)]
        replica.apply(_delta(held, len(log), is_snapshot=True))
        self.assertEqual(_values(replica), _state(log))

    def test_a_delta_after_a_dropped_tombstone_is_a_snapshot(self) -> None:
        replica = Replica()
        for revision in range(1, 6000):
            replica.apply(Delta((), (Removal(f"k{revision}", revision),), revision))
        self.assertTrue(replica.since(1).is_snapshot)
        self.assertFalse(replica.since(5990).is_snapshot)


_SIZED = st.lists(
    st.tuples(st.integers(0, 3), st.booleans(), st.integers(0, 9)), min_size=1, max_size=25
)
"""A key's index, whether it is removed, and the length of its value in bytes."""


_HISTORY_COUNT = 300
"""Number of histories in a test that draws them by seed."""


@st.composite
def _cut_histories(draw: st.DrawFn) -> tuple[list[Item | Removal], tuple[int, int, int]]:
    """Return a history and three positions in it."""
    log = _sized_log(draw(_SIZED))
    place = st.integers(0, len(log))
    return log, (draw(place), draw(place), draw(place))


def _drawn_history(rng: random.Random) -> tuple[list[Item | Removal], tuple[int, int, int]]:
    """Return a history with many removals, and three positions in it in ascending order."""
    length = rng.randint(1, 25)
    choices = [(rng.randrange(4), rng.random() < 0.5, rng.randrange(10)) for _ in range(length)]
    first, second, third = sorted(rng.randint(0, length) for _ in range(3))
    return _sized_log(choices), (first, second, third)


def _sized_log(choices: list[tuple[int, bool, int]]) -> list[Item | Removal]:
    """Return a history whose values are padded to the given lengths."""
    log = _log([(number, removes) for number, removes, _ in choices])
    sizes = [size for _, _, size in choices]
    return [
        entry._replace(value=entry.value.rjust(size, b"-")) if isinstance(entry, Item) else entry
        for entry, size in zip(log, sizes, strict=True)
    ]


def _replica_of(log: list[Item | Removal]) -> Replica:
    """Return a replica that has applied a history in order, one change at a time."""
    replica = Replica()
    for entry in log:
        replica.apply(_delta([entry], entry.revision))
    return replica


def _sent(ahead: Replica, after: int, max_value_bytes: int) -> Delta:
    """Return a delta as it arrives at another VM."""
    return decode_delta(encode_delta(ahead.since(after, max_value_bytes=max_value_bytes)))


def _deferred_items(ahead: Replica, delta: Delta) -> list[Item]:
    """Return the items that a delta of a replica defers."""
    return [ahead.items[item.key] for item in delta.deferred]


def _missing_changes(
    replica: Replica, known: list[Item | Removal], log: list[Item | Removal]
) -> list[Item | Removal]:
    """Return the newest known changes up to a replica's `at` that it lacks, one for each key."""
    newest = {entry.key: entry for entry in known}
    covered = [entry for entry in newest.values() if entry.revision <= replica.complete_revision]
    return [entry for entry in covered if not _includes(replica, entry, log)]


def _includes(replica: Replica, entry: Item | Removal, log: list[Item | Removal]) -> bool:
    held = replica.items.get(entry.key)
    if held is not None:
        return held.revision >= entry.revision
    later = (e for e in log if e.key == entry.key and e.revision >= entry.revision)
    return any(isinstance(e, Removal) for e in later)


class CheckedReplica:
    """A replica that is checked after each delta.

    Args:
        case: The test case.
        log: The whole history.
        seen: Number of its changes that the replica starts with.
    """

    def __init__(self, case: unittest.TestCase, log: list[Item | Removal], seen: int) -> None:
        self.case = case
        self.log = log
        self.replica = _replica_of(log[:seen])
        self.newest = self._revisions()

    def apply(self, delta: Delta, known: list[Item | Removal]) -> None:
        """Apply a delta, and check that no revision decreases and that `at` covers no missing key.

        Args:
            delta: The delta.
            known: The history up to the revision held by the first VM that sent a delta.
        """
        before = self.replica.complete_revision
        self.replica.apply(delta)
        self.case.assertGreaterEqual(self.replica.complete_revision, before)
        for key, revision in self._revisions().items():
            self.case.assertGreaterEqual(revision, self.newest.get(key, 0), key)
            self.newest[key] = revision
        self.case.assertEqual(_missing_changes(self.replica, known, self.log), [])

    def apply_entry(self, entry: Item | Removal) -> None:
        """Apply one change that arrived separately and does not confirm other changes."""
        self.apply(_delta([entry], 0), self.log)

    def _revisions(self) -> dict[str, int]:
        held = {key: item.revision for key, item in self.replica.items.items()}
        return {**self.replica.tombstones, **held}


class Deferral(unittest.TestCase):
    @given(_cut_histories(), st.integers(0, 9), st.randoms(use_true_random=False))
    def test_deferred_items_in_any_order_beside_newer_changes_end_in_the_newest_state(
        self, history, max_value_bytes, rng
    ) -> None:
        log, cuts = history
        seen, sent, _ = sorted(cuts)
        known = log[:sent]
        ahead = _replica_of(known)
        behind = CheckedReplica(self, log, seen)
        delta = _sent(ahead, behind.replica.complete_revision, max_value_bytes)
        behind.apply(delta, known)
        later = [*_deferred_items(ahead, delta), *log[sent:]]
        rng.shuffle(later)
        for entry in later:
            behind.apply_entry(entry)
        self.assertEqual(_values(behind.replica), _state(log))

    @given(_SIZED, st.integers(0, 25), st.integers(0, 9))
    def test_at_reaches_that_of_the_peer_once_nothing_is_missing(
        self, choices, seen, max_value_bytes
    ) -> None:
        log = _sized_log(choices)
        ahead = _replica_of(log)
        behind = CheckedReplica(self, log, min(seen, len(log)))
        delta = _sent(ahead, behind.replica.complete_revision, max_value_bytes)
        behind.apply(delta, log)
        self.assertEqual(
            behind.replica.complete_revision == ahead.complete_revision, not delta.deferred
        )
        for item in _deferred_items(ahead, delta):
            behind.apply_entry(item)
        behind.apply(_sent(ahead, behind.replica.complete_revision, max_value_bytes), log)
        self.assertEqual(behind.replica.complete_revision, ahead.complete_revision)

    @given(_SIZED, st.integers(0, 9))
    def test_only_longer_values_are_deferred(self, choices, max_value_bytes) -> None:
        ahead = _replica_of(_sized_log(choices))
        delta = ahead.since(0, max_value_bytes=max_value_bytes)
        self.assertTrue(all(len(item.value) <= max_value_bytes for item in delta.items))
        self.assertTrue(all(item.size > max_value_bytes for item in delta.deferred))
        named = {(i.key, i.revision, len(i.value)) for i in ahead.items.values()}
        sent = {(i.key, i.revision, len(i.value)) for i in delta.items}
        self.assertEqual(sent | set(map(tuple, delta.deferred)), named)
        self.assertEqual(ahead.since(0).deferred, ())

    @given(_cut_histories(), st.integers(0, 9), st.randoms(use_true_random=False))
    def test_a_third_vm_behind_one_that_lacks_items_ends_in_the_newest_state(
        self, history, max_value_bytes, rng
    ) -> None:
        self._relay(*history, max_value_bytes, rng)

    def test_a_third_vm_ends_in_the_newest_state_when_tombstones_were_dropped(self) -> None:
        """Few histories have this effect, so many are drawn, by seed."""
        for seed in range(_HISTORY_COUNT):
            rng = random.Random(seed)
            log, cuts = _drawn_history(rng)
            with patch.object(replica_module, "MAX_TOMBSTONES", rng.randrange(3)):
                self._relay(log, cuts, rng.randrange(10), rng)

    def _relay(
        self,
        log: list[Item | Removal],
        cuts: tuple[int, int, int],
        max_value_bytes: int,
        rng: random.Random,
    ) -> None:
        """Let a VM receive a part of another's items, and a third VM receive deltas of both."""
        partial_seen, third_seen, sent = cuts
        known = log[: max(sent, partial_seen)]
        ahead = _replica_of(known)
        partial = CheckedReplica(self, log, partial_seen)
        third = CheckedReplica(self, log, third_seen)
        delta = _sent(ahead, partial.replica.complete_revision, max_value_bytes)
        partial.apply(delta, known)
        for item in _deferred_items(ahead, delta):
            if rng.random() < 0.5:
                partial.apply_entry(item)
        third.apply(partial.replica.since(third.replica.complete_revision), known)
        third.apply(_replica_of(log).since(third.replica.complete_revision), log)
        self.assertEqual(_values(third.replica), _state(log))

    def test_a_vm_that_listed_the_store_passes_on_earlier_removals(self) -> None:
        """A VM that starts has no tombstones from before its listing; a peer may hold such keys."""
        gone, kept = Item("servers/a", b"a", 1), Item("servers/b", b"b", 2)
        behind = _replica_of([gone, kept])
        started = Replica()
        started.apply(Delta((kept,), (), 3, is_snapshot=True))
        behind.apply(started.since(behind.complete_revision))
        self.assertEqual(_values(behind), {"servers/b": b"b"})

    def test_a_snapshot_defers_longer_values_too(self) -> None:
        small, large = Item("servers/a", b"a", 1), Item("op/config", b"long", 2)
        with patch.object(replica_module, "MAX_TOMBSTONES", 0):
            ahead = _replica_of([small, large, Removal("servers/b", 3)])
        delta = _sent(ahead, 0, 3)
        self.assertEqual(delta, Delta((small,), (), 3, True, (DeferredItem("op/config", 2, 4),)))

    def test_a_snapshot_does_not_remove_deferred_items(self) -> None:
        held = Replica()
        held.apply(Delta((Item("op/config", b"old", 1),), (), 1))
        named = DeferredItem("op/config", 5, 99_999)
        held.apply(Delta((), (), 6, is_snapshot=True, deferred=(named,)))
        self.assertEqual(_values(held), {"op/config": b"old"})
        self.assertEqual(held.complete_revision, 4)
