"""Rules of the summaries of server loads: what is sent to whom, how old it is, what counts."""

import random
import unittest
from typing import NamedTuple, Optional

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.load_sharing.load_summary import LoadRow, load_row, process_key
from sprucewinch.gateway.load_sharing.pending_loads import MAX_ROW_AGE_S, PendingLoads
from sprucewinch.gateway.load_sharing.received_loads import ReceivedLoads
from sprucewinch.gateway.load_sharing.recipients import (
    MAX_BYTES_PER_S,
    PACKET_OVERHEAD_BYTES,
    FleetSize,
    Turns,
    recipient_counts,
    usable_seconds,
)
from sprucewinch.gateway.load_sharing.sender_clocks import SenderClocks
from sprucewinch.gateway.resources import BackendEntry

from .gateway_fakes import StoreFixture

_INTERVAL_S = 0.25


def _entry(number: int, incarnation: Optional[int] = 5) -> BackendEntry:
    address = f"10.0.0.{number}:80"
    return BackendEntry(f"s{number}", "rates", address, "east-a", 6, incarnation=incarnation)


def _world(servers: int = 4) -> StoreFixture:
    world = StoreFixture()
    for number in range(servers):
        world.put(f"servers/s{number}", _entry(number))
    return world


class Pending(unittest.TestCase):
    def _rows(self, heard: dict[str, tuple[int, float]], max_rows: int) -> list[int]:
        """Return the processes in a message after one that told all servers as usual."""
        world, pending = _world(), PendingLoads()
        for server in world.registry.servers.values():
            pending.record(server, 6, 1.0, 9.0)
        pending.take(78, 9.2)
        for name, (held, pace) in heard.items():
            pending.record(world.registry.servers[name], held, pace, 10.0)
        return [row.process for row in pending.take(max_rows, 10.1)]

    def test_what_changed_most_goes_first(self) -> None:
        heard = {"s0": (6, 1.0), "s1": (24, 1.0), "s2": (6, 2.5), "s3": (7, 1.0)}
        self.assertEqual(
            set(self._rows(heard, 2)), {process_key(_entry(1)), process_key(_entry(2))}
        )

    def test_the_newest_statement_of_a_server_is_told_once(self) -> None:
        world, pending = _world(), PendingLoads()
        server = world.registry.servers["s0"]
        pending.record(server, 6, 1.0, 10.0)
        pending.record(server, 9, 2.5, 10.1)
        self.assertEqual(pending.take(78, 10.2), (load_row(server.backend, 9, 2.5, 0.1),))
        self.assertEqual(pending.take(78, 10.3), ())

    def test_what_does_not_fit_waits_until_it_is_of_no_use(self) -> None:
        world, pending = _world(), PendingLoads()
        for number, server in enumerate(world.registry.servers.values()):
            pending.record(server, 6 + number, 1.0, 10.0)
        self.assertEqual(len(pending.take(3, 10.1)), 3)
        self.assertEqual(len(pending.take(3, 10.2)), 1)
        pending.record(world.registry.servers["s0"], 6, 1.0, 10.0)
        self.assertEqual(pending.take(3, 10.1 + MAX_ROW_AGE_S), ())

    def test_a_servers_next_process_is_not_compared_with_the_last(self) -> None:
        world, pending = _world(), PendingLoads()
        pending.record(world.registry.servers["s0"], 30, 5.0, 9.0)
        pending.take(78, 9.1)
        world.put("servers/s0", _entry(0, 6), 9.5)
        pending.record(world.registry.servers["s0"], 30, 5.0, 10.0)
        pending.record(world.registry.servers["s1"], 9, 1.0, 10.0)
        rows = pending.take(1, 10.1)
        self.assertEqual([row.process for row in rows], [process_key(_entry(0, 6))])


class Spent(unittest.TestCase):
    """Bytes that summaries cost a VM, in both directions."""

    def _received(self, sizes: dict[str, int], summary_bytes: int) -> dict[str, float]:
        """Return the bytes a second that a VM of each region sends and receives, at most."""
        vms = sum(sizes.values())
        sent: dict[str, tuple[float, float]] = {}
        for region, size in sizes.items():
            fleet = FleetSize(size - 1, vms - size, len(sizes))
            counts = recipient_counts(fleet, summary_bytes, _INTERVAL_S)
            packet = (summary_bytes + PACKET_OVERHEAD_BYTES) / _INTERVAL_S
            sent[region] = counts.own_region * packet, counts.other_regions * packet
        spent = {}
        for region in sizes:
            others = sum(
                sizes[other] * sent[other][1] / (vms - sizes[other])
                for other in sizes
                if other != region
            )
            spent[region] = sum(sent[region]) + sent[region][0] + others
        return spent

    @given(
        st.lists(st.integers(1, 400), min_size=1, max_size=8),
        st.integers(40, 1200),
    )
    def test_no_vm_exceeds_the_bound_in_any_fleet(
        self, sizes: list[int], summary_bytes: int
    ) -> None:
        regions = {f"r{number}": size for number, size in enumerate(sizes)}
        for spent in self._received(regions, summary_bytes).values():
            self.assertLessEqual(spent, MAX_BYTES_PER_S * 1.000001)

    def test_a_small_fleet_tells_all_of_its_region(self) -> None:
        counts = recipient_counts(FleetSize(3, 8, 3), 64, _INTERVAL_S)
        self.assertEqual(counts.own_region, 3.0)
        self.assertGreaterEqual(counts.other_regions, 1.0)

    def test_a_larger_message_goes_to_fewer(self) -> None:
        fleet = FleetSize(24, 50, 3)
        small = recipient_counts(fleet, 150, _INTERVAL_S)
        large = recipient_counts(fleet, 1200, _INTERVAL_S)
        self.assertGreater(small.own_region, 4 * large.own_region)
        self.assertGreater(large.own_region, 0.5)

    def test_a_fleet_of_one_region_has_no_others(self) -> None:
        self.assertEqual(recipient_counts(FleetSize(2, 0, 1), 64, 0.25).other_regions, 0.0)

    def test_a_vm_that_stood_still_does_not_catch_up(self) -> None:
        self.assertEqual(usable_seconds(60.0, _INTERVAL_S), 2 * _INTERVAL_S)
        self.assertEqual(usable_seconds(0.2, _INTERVAL_S), 0.2)


class InTurn(unittest.TestCase):
    @given(st.integers(1, 40), st.floats(0.1, 12.0), st.integers(1, 200))
    def test_all_are_told_equally_often(self, vms: int, count: float, rounds: int) -> None:
        turns, told = Turns("me"), dict.fromkeys((f"vm{n}" for n in range(vms)), 0)
        turns.set_names(told)
        for _ in range(rounds):
            chosen = turns.next(min(count, vms), lambda _name: True)
            self.assertEqual(len(chosen), len(set(chosen)))
            for name in chosen:
                told[name] += 1
        self.assertLessEqual(max(told.values()) - min(told.values()), 1)
        self.assertAlmostEqual(sum(told.values()), min(count, vms) * rounds, delta=1.01)

    def test_vms_begin_at_different_places(self) -> None:
        names = [f"vm{n}" for n in range(30)]
        first = set()
        for name in names:
            turns = Turns(name)
            turns.set_names(each for each in names if each != name)
            first.update(turns.next(1.0, lambda _name: True))
        self.assertGreater(len(first), 20)

    def test_those_out_of_touch_are_passed_over(self) -> None:
        turns = Turns("me")
        turns.set_names(("vm0", "vm1", "vm2"))
        for _ in range(4):
            self.assertEqual(turns.next(2.0, lambda name: name == "vm1"), ["vm1"])

    def test_the_turn_goes_on_after_a_vm_has_joined(self) -> None:
        turns = Turns("me")
        names = [f"vm{n}" for n in range(6)]
        turns.set_names(names)
        told = turns.next(3.0, lambda _name: True)
        turns.set_names([*names, "vm6"])
        told += turns.next(4.0, lambda _name: True)
        self.assertGreaterEqual(len(set(told)), 6)


class Dated(unittest.TestCase):
    def test_a_late_message_is_dated_by_one_that_came_at_once(self) -> None:
        clocks = SenderClocks()
        self.assertEqual(clocks.sent_at(7, 100.0, 20.0), 20.0)
        self.assertEqual(clocks.sent_at(7, 101.0, 25.0), 21.0)
        self.assertEqual(clocks.sent_at(8, 101.0, 25.0), 25.0)

    def test_a_message_that_comes_faster_dates_those_after_it(self) -> None:
        clocks = SenderClocks()
        clocks.sent_at(7, 100.0, 25.0)
        self.assertEqual(clocks.sent_at(7, 101.0, 21.0), 21.0)
        self.assertEqual(clocks.sent_at(7, 102.0, 24.0), 22.0)

    def test_clocks_that_drift_apart_are_followed(self) -> None:
        clocks = SenderClocks()
        late = 0.0
        for number in range(4 * 3600):
            now = number / 4
            late = now - clocks.sent_at(7, now * 0.9998, now)
        self.assertLess(late, 0.02)

    def test_a_sender_that_is_gone_is_forgotten(self) -> None:
        clocks = SenderClocks()
        clocks.sent_at(7, 100.0, 25.0)
        clocks.forget_old(80.0)
        self.assertTrue(clocks.knows(7))
        clocks.forget_old(90.0)
        self.assertFalse(clocks.knows(7))


class Statement(NamedTuple):
    """What a server stated to a VM: when, in milliseconds, and the row's figures."""

    server: int
    at_ms: int
    held: int
    pace_percent: int


class Message(NamedTuple):
    """A summary: the sender, when it was sent, and the statements in it."""

    sender: int
    sent_ms: int
    statements: tuple[Statement, ...]


_STATEMENTS = st.builds(
    Statement, st.integers(0, 3), st.integers(0, 900), st.integers(0, 20), st.integers(5, 500)
)
_SUMMARIES = st.builds(
    Message,
    st.integers(0, 3),
    st.integers(900, 1000),
    st.lists(_STATEMENTS, max_size=5).map(tuple),
)


class NewestCounts(unittest.TestCase):
    @given(st.lists(_SUMMARIES, min_size=1, max_size=12), st.randoms())
    def test_any_order_and_copies_give_the_newest_statement_of_each(
        self, messages: list[Message], rng: random.Random
    ) -> None:
        copies = messages + rng.choices(messages, k=3)
        rng.shuffle(copies)
        world, clocks = _world(), SenderClocks()
        received = ReceivedLoads(world.registry)
        # The first message of each sender comes at once; all others come up to a second late.
        for sender in range(4):
            clocks.sent_at(sender, 0.0, 10.0)
        now = 11.0
        for message in copies:
            now += rng.uniform(0.0, 0.05)
            sent_at = clocks.sent_at(message.sender, message.sent_ms / 1000, now)
            received.apply(_rows(message), sent_at, now)
        for number, server in enumerate(world.registry.servers.values()):
            stated = [s for m in messages for s in m.statements if s.server == number]
            if not stated:
                self.assertEqual(server.estimate.recorded_at, float("-inf"))
                continue
            newest_ms = max(s.at_ms for s in stated)
            newest = [s for s in stated if s.at_ms == newest_ms]
            self.assertAlmostEqual(server.estimate.recorded_at, 10.0 + newest_ms / 1000)
            self.assertIn(server.estimate.others, {float(s.held) for s in newest})
            self.assertIn(server.pace.stated, {s.pace_percent / 100 for s in newest})


def _rows(message: Message) -> tuple[LoadRow, ...]:
    return tuple(
        LoadRow(process_key(_entry(s.server)), s.held, s.pace_percent, message.sent_ms - s.at_ms)
        for s in message.statements
    )


class Dropped(unittest.TestCase):
    def _used(self, row: LoadRow, sent_at: float = 10.0, now: float = 10.0) -> bool:
        received = ReceivedLoads(_world().registry)
        received.apply((row,), sent_at, now)
        self.assertEqual(received.used + received.dropped, 1)
        return bool(received.used)

    def test_only_rows_that_are_young_and_on_a_known_process_count(self) -> None:
        good = load_row(_entry(0), 7, 2.5, 0.09)
        self.assertTrue(self._used(good))
        max_age_ms = int(MAX_ROW_AGE_S * 1000)
        for name, row in (
            ("negative age", LoadRow(good.process, 7, 250, -1)),
            ("too old", LoadRow(good.process, 7, 250, max_age_ms + 1)),
            ("earlier process", load_row(_entry(0, 4), 7, 2.5, 0.09)),
            ("unknown server", load_row(_entry(9), 7, 2.5, 0.09)),
            ("no amount", LoadRow(good.process, -7, 250, 90)),
        ):
            self.assertFalse(self._used(row), name)
        self.assertFalse(self._used(good, now=10.0 + MAX_ROW_AGE_S))

    def test_what_a_vm_heard_itself_later_stays(self) -> None:
        world = _world()
        server = world.registry.servers["s0"]
        world.registry.record_load(server, 3, 0, 10.0, 1.0)
        received = ReceivedLoads(world.registry)
        received.apply((load_row(server.backend, 30, 5.0, 0.1),), 10.05, 10.06)
        self.assertEqual((server.load(10.0), server.pace.stated), (3.0, 1.0))
        received.apply((load_row(server.backend, 30, 5.0, 0.01),), 10.05, 10.06)
        self.assertEqual(server.pace.stated, 5.0)
        self.assertEqual((received.used, received.dropped), (1, 1))

    def test_a_server_that_started_anew_is_not_taken_for_its_former_process(self) -> None:
        world = _world()
        received = ReceivedLoads(world.registry)
        row = load_row(_entry(0), 30, 5.0, 0.01)
        received.apply((row,), 10.0, 10.0)
        world.put("servers/s0", _entry(0, 6), 10.1)
        received.apply((row,), 10.2, 10.2)
        self.assertEqual((received.used, received.dropped), (1, 1))
        self.assertEqual(world.registry.servers["s0"].load(10.2), 0.0)

    def test_a_server_that_has_joined_is_known_after_a_moment(self) -> None:
        world = _world()
        received = ReceivedLoads(world.registry)
        received.apply((load_row(_entry(0), 3, 1.0, 0.0),), 10.0, 10.0)
        world.put("servers/s8", _entry(8), 10.1)
        row = load_row(_entry(8), 3, 1.0, 0.0)
        received.apply((row,), 10.6, 10.6)
        self.assertEqual(received.used, 2)

    def test_two_processes_of_one_name_are_both_unknown(self) -> None:
        world = _world(0)
        first, second = _colliding_entries()
        world.put(f"servers/{first.id}", first)
        world.put(f"servers/{second.id}", second)
        received = ReceivedLoads(world.registry)
        received.apply((load_row(first, 3, 1.0, 0.0),), 10.0, 10.0)
        self.assertEqual((received.used, received.dropped), (0, 1))


def _colliding_entries() -> tuple[BackendEntry, BackendEntry]:
    """Return the entries of two processes whose names in messages are equal."""
    seen: dict[int, int] = {}
    for number in range(1_000_000):
        entry = _entry(number)
        key = process_key(entry)
        if key in seen:
            return _entry(seen[key]), entry
        seen[key] = number
    raise AssertionError("no two names are equal")


if __name__ == "__main__":
    unittest.main()
