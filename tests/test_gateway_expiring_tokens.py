"""Tokens that can be spent for a limited time."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.expiring_tokens import ExpiringTokens

_LIFETIME_S = 5.0
_BUCKET_S = 0.25


class Tokens(unittest.TestCase):
    def test_parts_add_up_and_are_spent_once(self) -> None:
        tokens = ExpiringTokens(_LIFETIME_S)
        for _ in range(10):
            tokens.add(100.0, 0.1)
        self.assertTrue(tokens.take(100.0))
        self.assertFalse(tokens.take(100.0))

    def test_the_oldest_are_spent_first(self) -> None:
        tokens = ExpiringTokens(_LIFETIME_S)
        tokens.add(100.0, 1.0)
        tokens.add(103.0, 1.0)
        self.assertTrue(tokens.take(104.0))
        self.assertEqual(tokens.level(105.5), 1.0)
        self.assertEqual(tokens.level(108.5), 0.0)

    @given(st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 20), st.booleans()), max_size=60))
    def test_beside_a_list_of_single_tokens(self, steps) -> None:
        tokens, now = ExpiringTokens(_LIFETIME_S), 100.0
        held: list[float] = []
        for pause_s, tenths, takes in steps:
            now += pause_s
            tokens.add(now, tenths / 10)
            held += [now - now % _BUCKET_S] * tenths
            held = [bucket for bucket in held if bucket + _LIFETIME_S > now]
            self.assertAlmostEqual(tokens.level(now), len(held) / 10, places=6)
            if takes:
                self.assertEqual(tokens.take(now), len(held) >= 10)
                held = held[10:] if len(held) >= 10 else held


if __name__ == "__main__":
    unittest.main()
