"""How fast the requests of a service may move to other regions, and back."""

import random
import unittest
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.regions.shares import SHIFT_WINDOW_S, RegionShares
from sprucewinch.gateway.requests.choice.region_moves import RegionMoves

_CAP = 0.15
_STEP = 0.4 * _CAP


class ScriptedShares(RegionShares):
    """Shares that moved as much as the test says."""

    def __init__(self, moved: float = 0.0) -> None:
        self.moved = moved

    def moved_recently(self, _service: str, _now: float) -> float:
        return self.moved


class _Sent(NamedTuple):
    at: float
    moved: bool


def _run(moves: RegionMoves, wishes: list[tuple[float, bool]]) -> list[_Sent]:
    """Send requests at times; those that want to move do so if they may, the others if they should.

    Args:
        moves: Limits the moves.
        wishes: Time of each request, and whether it wants to move.
    """
    sent = []
    for at, wants in wishes:
        moved = moves.may_move("rates") if wants else moves.should_move("rates")
        moves.record("rates", at, wants=wants, moved=moved)
        sent.append(_Sent(at, moved))
    return sent


def _part(sent: list[_Sent], start: float) -> float:
    """Return the part of the requests of the window from a time on that moved."""
    window = [s.moved for s in sent if start <= s.at < start + SHIFT_WINDOW_S]
    return sum(window) / len(window) if window else 0.0


def _at_rate(
    per_s: float, rng: random.Random, start: float, end: float
) -> list[tuple[float, bool]]:
    """Return requests at random times up to 40 s, which want to move between two times."""
    now, wishes = 0.0, []
    while (now := now + rng.expovariate(per_s)) < 40.0:
        wishes.append((now, start <= now < end))
    return wishes


class OneVm(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.floats(0.001, 0.3), st.booleans()), max_size=300),
        st.sampled_from([0.0, 0.02, 0.04, 0.12]),
    )
    def test_the_moves_of_any_span_are_bounded_by_a_part_that_changes_slowly(
        self, steps: list[tuple[float, bool]], shares_moved: float
    ) -> None:
        """The oracle is the fastest growth: no part moves at first, and it grows by the limit."""
        now, wishes = 100.0, []
        for pause_s, wants in steps:
            now += pause_s
            wishes.append((now, wants))
        sent = _run(RegionMoves(ScriptedShares(shares_moved), _CAP, "vm0"), wishes)
        step = max(0.0, _STEP - shares_moved)
        for start in range(0, len(sent), 10):
            most, moved = 3.0, 0
            for one in sent[start:]:
                most += min(1.0, step * (one.at - sent[0].at) / SHIFT_WINDOW_S)
                moved += one.moved
                self.assertLess(moved, most)

    def test_the_part_grows_and_falls_by_the_limit(self) -> None:
        wishes = [(number / 100, 500 <= number < 1_500) for number in range(4_000)]
        sent = _run(RegionMoves(ScriptedShares(), _CAP, "vm0"), wishes)
        parts = [_part(sent, float(second)) for second in range(0, 38, 2)]
        self.assertEqual(parts[:2], [0.0, 0.0])
        for before, after in zip(parts, parts[1:], strict=False):
            self.assertLessEqual(abs(after - before), _STEP + 0.01)
        self.assertAlmostEqual(max(parts), 0.27, delta=0.03)
        self.assertEqual(parts[-1], 0.0)

    def test_the_part_follows_the_requests_that_want_to_move(self) -> None:
        wishes = [(number / 100, number % 5 == 0) for number in range(3_000)]
        sent = _run(RegionMoves(ScriptedShares(), _CAP, "vm0"), wishes)
        self.assertAlmostEqual(_part(sent, 26.0), 0.2, delta=0.02)

    def test_moves_of_the_shares_take_from_the_limit(self) -> None:
        for shares_moved, expected in ((0.0, 2 * _STEP), (0.04, 2 * (_STEP - 0.04)), (0.07, 0.0)):
            moves = RegionMoves(ScriptedShares(shares_moved), _CAP, "vm0")
            sent = _run(moves, [(number / 100, True) for number in range(500)])
            self.assertAlmostEqual(_part(sent, 3.0), expected, delta=0.01)

    def test_while_the_shares_move_the_part_stays_as_it_is(self) -> None:
        shares = ScriptedShares()
        moves = RegionMoves(shares, _CAP, "vm0")
        _run(moves, [(number / 100, True) for number in range(400)])
        shares.moved = 0.1
        sent = _run(moves, [(4.0 + number / 100, False) for number in range(600)])
        self.assertAlmostEqual(_part(sent, 8.0), 2 * _STEP, delta=0.02)

    def test_moves_that_find_no_server_are_not_kept_for_later(self) -> None:
        moves = RegionMoves(ScriptedShares(), _CAP, "vm0")
        for number in range(1_000):
            moves.record("rates", number / 100, wants=True, moved=False)
        sent = _run(moves, [(10.0 + number / 1_000, True) for number in range(10)])
        self.assertLessEqual(sum(s.moved for s in sent), 5)

    def test_services_count_by_themselves_and_none_moves_before_it_is_seen(self) -> None:
        moves = RegionMoves(ScriptedShares(), _CAP, "vm0")
        self.assertFalse(moves.may_move("rates"))
        for number in range(400):
            moves.record("rates", number / 100, wants=True, moved=False)
        self.assertTrue(moves.may_move("rates"))
        self.assertFalse(moves.may_move("quotes"))


class Fleet(unittest.TestCase):
    """VMs that each see too few requests to move a whole one of them."""

    def _parts(self, vms: int, per_s: float) -> list[float]:
        """Return the part that moved in each window of a fleet; all want to from 10 to 20 s on."""
        rng = random.Random(1)
        sent = []
        for number in range(vms):
            moves = RegionMoves(ScriptedShares(), _CAP, f"vm{number}")
            sent += _run(moves, _at_rate(per_s, rng, 10.0, 20.0))
        return [_part(sent, tenth / 10) for tenth in range(370)]

    def test_their_limits_add_up_to_the_limit_of_the_fleet(self) -> None:
        for vms, per_s in ((200, 1.0), (60, 4.0), (20, 5.0), (12, 40.0)):
            with self.subTest(vms=vms, per_s=per_s):
                parts = self._parts(vms, per_s)
                window = int(SHIFT_WINDOW_S * 10)
                changes = [b - a for a, b in zip(parts, parts[window:], strict=False)]
                self.assertLessEqual(max(map(abs, changes)), _CAP)
                self.assertGreater(max(parts), 3 * _STEP)
                self.assertLess(parts[340], _STEP)


if __name__ == "__main__":
    unittest.main()
