import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from sprucewinch.steering.placement import Shares, block_key, make_shares, moved_part, step_towards
from sprucewinch.steering.shift import ShiftLimit, ShiftLimiter

ORDER = ("east", "west", "north")
WEIGHTS = st.fixed_dictionaries(
    dict.fromkeys(ORDER, st.floats(0, 1, allow_nan=False, width=32))
).filter(lambda weights: sum(weights.values()) > 0.01)
BLOCKS = [block_key(f"10.1.{i}.0", "rates") for i in range(2000)]
COUNT_TOLERANCE = 0.05
"""Allowed difference between a share and the fraction counted over the blocks: five standard
deviations of that count."""

SETTINGS = settings(max_examples=30, stateful_step_count=30, deadline=None)
LIMIT = ShiftLimit(cap=0.2, window_s=10.0, ttl_s=2.0)


def regions_of_blocks(shares: Shares) -> list[str]:
    return [shares.region_of(key) for key in BLOCKS]


def moved_fraction(old: list[str], new: list[str]) -> float:
    return sum(a != b for a, b in zip(old, new, strict=True)) / len(BLOCKS)


class MovedPart(unittest.TestCase):
    @given(WEIGHTS, WEIGHTS)
    def test_closed_form_agrees_with_counted_blocks(self, old: dict, new: dict) -> None:
        a, b = make_shares(ORDER, old), make_shares(ORDER, new)
        self.assertAlmostEqual(
            moved_fraction(regions_of_blocks(a), regions_of_blocks(b)),
            moved_part(a, b),
            delta=COUNT_TOLERANCE,
        )

    @given(WEIGHTS)
    def test_blocks_follow_the_shares(self, weights: dict) -> None:
        shares = make_shares(ORDER, weights)
        placed = regions_of_blocks(shares)
        for region in ORDER:
            self.assertAlmostEqual(
                placed.count(region) / len(BLOCKS), shares.share(region), delta=COUNT_TOLERANCE
            )

    def test_only_blocks_of_changed_regions_move(self) -> None:
        """Leaving one region moves its blocks and no others."""
        old = make_shares(ORDER, {"east": 0.8, "west": 0.1, "north": 0.1})
        new = make_shares(ORDER, {"west": 0.5, "north": 0.5})
        self.assertAlmostEqual(moved_part(old, new), 0.8)
        moves = [
            (a, b)
            for a, b in zip(regions_of_blocks(old), regions_of_blocks(new), strict=True)
            if a != b
        ]
        self.assertEqual({a for a, _ in moves}, {"east"})

    @given(WEIGHTS, WEIGHTS, st.floats(0.0, 1.0))
    def test_step_uses_its_allowance_and_no_more(self, old: dict, new: dict, part: float) -> None:
        a, b = make_shares(ORDER, old), make_shares(ORDER, new)
        moved = moved_part(a, step_towards(a, b, part))
        self.assertLessEqual(moved, part + 1e-9)
        self.assertGreaterEqual(moved, min(part, moved_part(a, b)) - 0.001)


class FleetShift(RuleBasedStateMachine):
    """Several VMs that receive plans at different times; the test counts where callers are sent.

    Callers are spread evenly over the VMs. Within any window, at most the cap of all callers may be
    sent to another region than before.
    """

    limiter_class = ShiftLimiter
    vms = 3

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        start = make_shares(ORDER, {"east": 1.0})
        self.targets = [start] * self.vms
        self.limiters = [self.limiter_class(start, LIMIT) for _ in range(self.vms)]
        self.sent = [regions_of_blocks(start)] * self.vms
        self.moves: list[tuple[float, float]] = []

    def move(self, *indexes: int) -> None:
        for index in indexes or range(self.vms):
            limiter = self.limiters[index]
            before = limiter.current
            if limiter.move(self.targets[index], self.now) == before:
                continue
            new = regions_of_blocks(limiter.current)
            self.moves.append((self.now, moved_fraction(self.sent[index], new) / self.vms))
            self.sent[index] = new
            self.check_window()

    def check_window(self) -> None:
        recent = [part for at, part in self.moves if at >= self.now - LIMIT.window_s]
        assert sum(recent) <= LIMIT.cap + COUNT_TOLERANCE, recent

    @rule(weights=WEIGHTS)
    def all_get_a_plan(self, weights: dict) -> None:
        self.targets = [make_shares(ORDER, weights)] * self.vms
        self.move()

    @rule(weights=WEIGHTS, index=st.integers(0, 2))
    def one_gets_a_plan(self, weights: dict, index: int) -> None:
        self.targets[index] = make_shares(ORDER, weights)
        self.move()

    @rule(seconds=st.floats(0.05, 4))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.move()

    @precondition(lambda self: len({limiter.current for limiter in self.limiters}) == 1)
    @rule(index=st.integers(0, 2))
    def a_vm_is_replaced(self, index: int) -> None:
        """A new process starts from the plan that all VMs follow and counts the cap as spent."""
        current = self.limiters[index].current
        self.limiters[index] = self.limiter_class(current, LIMIT, spent_at=self.now)

    @rule(seconds=st.integers(1, 30))
    def one_pauses_and_resumes(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            self.move(1, 2)
        self.move()


FleetShift.TestCase.settings = SETTINGS


class UncappedLimiter(ShiftLimiter):
    """A wrong version that moves to its target at once."""

    def allowance(self, now: float) -> float:
        return 100.0

    def propose(self, target: Shares, now: float) -> Shares:
        return target


class ShortWindowLimiter(ShiftLimiter):
    """A wrong version that counts only the moves of the last second."""

    def allowance(self, now: float) -> float:
        return self.limit.cap if not self._moves or self._moves[-1].at < now - 1 else 0.0

    def propose(self, target: Shares, now: float) -> Shares:
        return step_towards(self.current, target, self.allowance(now))


TestFleetShift = FleetShift.TestCase


class WrongVersionsAreFound(unittest.TestCase):
    def play(self, limiter_class: type[ShiftLimiter]) -> None:
        machine = type("Fleet", (FleetShift,), {"limiter_class": limiter_class})()
        machine.all_get_a_plan({"west": 1.0})
        for _ in range(8):
            machine.time_passes(2.0)

    def test_check_fails_for_limiters_that_exceed_the_cap(self) -> None:
        for wrong in (UncappedLimiter, ShortWindowLimiter):
            with self.subTest(wrong.__name__), self.assertRaises(AssertionError):
                self.play(wrong)

    def test_same_steps_pass_with_the_real_limiter(self) -> None:
        self.play(ShiftLimiter)


class ShiftLimiterCases(unittest.TestCase):
    def test_full_shift_takes_as_long_as_the_cap_requires(self) -> None:
        east, west = make_shares(ORDER, {"east": 1}), make_shares(ORDER, {"west": 1})
        limiter, now = ShiftLimiter(east, LIMIT), 0.0
        while limiter.current != west:
            now += 0.1
            limiter.move(west, now)
        self.assertGreaterEqual(now, (1 / LIMIT.cap - 1) * LIMIT.window_s)
        self.assertLess(now, (1 / LIMIT.cap + 1) * (LIMIT.window_s + LIMIT.ttl_s))

    def test_lowered_cap_counts_what_was_moved(self) -> None:
        east, west = make_shares(ORDER, {"east": 1}), make_shares(ORDER, {"west": 1})
        limiter = ShiftLimiter(east, LIMIT)
        for tenth in range(30):
            limiter.move(west, tenth / 10)
        limiter.set_limit(LIMIT._replace(cap=0.05))
        self.assertEqual(limiter.allowance(3.0), 0.0)
        self.assertEqual(limiter.move(west, 3.1).share("west"), limiter.current.share("west"))

    def test_new_process_moves_nothing_within_its_first_window(self) -> None:
        east, west = make_shares(ORDER, {"east": 1}), make_shares(ORDER, {"west": 1})
        limiter = ShiftLimiter(east, LIMIT, spent_at=0.0)
        self.assertEqual(limiter.move(west, 11.0), east)
        self.assertNotEqual(limiter.move(west, 12.1), east)

    def test_moves_back_and_forth_both_count_against_the_cap(self) -> None:
        east, west = make_shares(ORDER, {"east": 1}), make_shares(ORDER, {"west": 1})
        limiter, total, before = ShiftLimiter(east, LIMIT), 0.0, east
        for step in range(100):
            current = limiter.move(west if step % 2 else east, step / 10)
            total += moved_part(before, current)
            before = current
        self.assertLessEqual(total, LIMIT.cap + 1e-9)
