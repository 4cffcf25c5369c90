"""The replica against a log of writes: any order, any repetition, never older."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.following.deltas import decode_delta, encode_delta
from sprucewinch.gateway.state.replica import Delta, Item, Removal, Replica

_KEYS = ("op/config", "servers/a", "servers/b", "op/evacuate/z")


def _log(choices: list[tuple[int, bool]]) -> list[Item | Removal]:
    """Return a history of writes and removals with growing revisions."""
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


def _delta(entries: list[Item | Removal], at: int, whole: bool = False) -> Delta:
    items = tuple(e for e in entries if isinstance(e, Item))
    return Delta(items, tuple(e for e in entries if isinstance(e, Removal)), at, whole)


def _values(replica: Replica) -> dict[str, bytes]:
    return {key: item.value for key, item in replica.items.items()}


_HISTORIES = st.lists(st.tuples(st.integers(0, 3), st.booleans()), min_size=1, max_size=30)


class Listings(unittest.TestCase):
    def test_a_removal_that_a_listing_hid_reaches_a_peer_that_holds_the_key(self) -> None:
        """A VM that lost the history lists, and has no record of what went meanwhile."""
        listed, behind = Replica(), Replica()
        behind.apply(Delta((Item("servers/x", b"", 43),), (), 43))
        listed.apply(Delta((), (), 42))
        listed.apply(Delta((), (), 46, whole=True))
        behind.apply(listed.since(behind.at))
        self.assertEqual(behind.items, {})
        self.assertEqual(behind.at, 46)


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
    def test_no_key_ever_goes_back(self, choices, data) -> None:
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
    def test_a_peers_delta_brings_a_replica_up_to_date(self, choices, mine, theirs) -> None:
        log = _log(choices)
        behind, ahead = Replica(), Replica()
        mine, theirs = sorted((min(mine, len(log)), min(theirs, len(log))))
        behind.apply(_delta(log[:mine], mine))
        ahead.apply(_delta(log[:theirs], theirs))
        behind.apply(decode_delta(encode_delta(ahead.since(behind.at))))
        self.assertEqual(_values(behind), _values(ahead))

    @given(_HISTORIES, st.integers(0, 30))
    def test_a_listing_after_lost_history_removes_what_is_gone(self, choices, seen) -> None:
        log = _log(choices)
        replica = Replica()
        seen = min(seen, len(log))
        replica.apply(_delta(log[:seen], seen))
        newest = {e.key: e for e in log if isinstance(e, Item)}
        held = [newest[key] for key in _state(log)]
        replica.apply(_delta(held, len(log), whole=True))
        self.assertEqual(_values(replica), _state(log))

    def test_a_delta_beyond_the_remembered_removals_is_whole(self) -> None:
        replica = Replica()
        for revision in range(1, 6000):
            replica.apply(Delta((), (Removal(f"k{revision}", revision),), revision))
        self.assertTrue(replica.since(1).whole)
        self.assertFalse(replica.since(5990).whole)
