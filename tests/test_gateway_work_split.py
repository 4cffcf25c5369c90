"""Usual work on warm and on cold objects, found from the times alone."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.servers.capacity.work_split import WorkSplit, split_work

_TAIL_RATIO = 7.0
_COLD_RATIO = 3.0


def _mixture(
    count: int, cold_fraction: float, tail_fraction: float, spread: float, seed: int
) -> list[float]:
    """Return times of work around 0.3 s on warm objects, with cold ones and a tail of both."""
    rng = random.Random(seed)
    cold, tail = round(count * cold_fraction), round(count * tail_fraction)
    samples = [0.3 * (_COLD_RATIO if number < cold else 1.0) for number in range(count)]
    for at in rng.sample(range(count), tail):
        samples[at] *= _TAIL_RATIO
    return [sample * rng.uniform(1 - spread, 1 + spread) for sample in samples]


class Groups(unittest.TestCase):
    @given(
        st.integers(60, 128),
        st.floats(0.2, 0.8),
        st.floats(0.0, 0.05),
        st.floats(0.0, 0.25),
        st.integers(0, 10_000),
    )
    def test_warm_and_cold_are_told_apart_beside_a_tail(
        self, count: int, cold_fraction: float, tail_fraction: float, spread: float, seed: int
    ) -> None:
        split = split_work(_mixture(count, cold_fraction, tail_fraction, spread, seed))
        self.assertAlmostEqual(split.warm_s, 0.3, delta=0.3 * 0.2)
        assert split.cold_s is not None
        self.assertAlmostEqual(split.cold_s, 0.9, delta=0.9 * 0.3)

    @given(st.integers(60, 128), st.floats(0.0, 0.05), st.integers(0, 10_000))
    def test_a_tail_is_no_group(self, count: int, tail_fraction: float, seed: int) -> None:
        split = split_work(_mixture(count, 0.0, tail_fraction, 0.25, seed))
        self.assertAlmostEqual(split.warm_s, 0.3, delta=0.3 * 0.2)
        self.assertIsNone(split.cold_s)

    def test_a_few_longer_times_are_no_group(self) -> None:
        self.assertEqual(split_work([0.3] * 120 + [0.9] * 8).cold_s, None)
        self.assertAlmostEqual(split_work([0.3] * 112 + [0.9] * 16).cold_s or 0.0, 0.9)

    def test_times_too_far_apart_have_another_cause_than_warmth(self) -> None:
        split = split_work([0.3] * 80 + [3.6] * 48)
        self.assertIsNone(split.cold_s)
        self.assertAlmostEqual(split.warm_s, 0.3)

    def test_times_of_both_kinds_that_vary_widely_are_told_apart(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            mixed = _mixture(128, 0.4, 0.03, 0.0, seed)
            split = split_work([sample * rng.lognormvariate(0.0, 0.4) for sample in mixed])
            self.assertTrue(0.2 < split.warm_s < 0.42, split)
            assert split.cold_s is not None
            self.assertTrue(0.6 < split.cold_s < 1.3, split)

    def test_times_that_vary_by_a_third_are_one_group(self) -> None:
        rng = random.Random(1)
        samples = [0.3 * rng.lognormvariate(0.0, 0.33) for _ in range(128)]
        split = split_work(samples)
        self.assertIsNone(split.cold_s)
        self.assertAlmostEqual(split.warm_s, 0.3, delta=0.05)

    @given(st.lists(st.floats(0.001, 60.0), min_size=1, max_size=60), st.randoms())
    def test_the_order_of_samples_changes_nothing(
        self, samples: list[float], rng: random.Random
    ) -> None:
        split = split_work(samples)
        rng.shuffle(samples)
        self.assertEqual(split_work(samples), split)
        self.assertTrue(min(samples) * 0.999 <= split.warm_s <= max(samples) * 1.001)

    def test_few_samples_are_one_group(self) -> None:
        self.assertAlmostEqual(split_work([0.5]).warm_s, 0.5)
        self.assertEqual(split_work([0.3, 0.3, 0.9, 0.9])[1], None)
        found = split_work([0.3] * 4 + [0.9] * 4)
        self.assertIsInstance(found, WorkSplit)
        self.assertAlmostEqual(found.cold_s or 0.0, 0.9)


if __name__ == "__main__":
    unittest.main()
