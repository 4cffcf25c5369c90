"""The order of VMs for a key."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch._hash import hash64
from sprucewinch.gateway.membership.vm_ring import VmRing

_NAMES = st.sets(st.sampled_from([f"vm{number}" for number in range(60)]))


class Order(unittest.TestCase):
    @given(_NAMES, st.text(max_size=5), st.integers(1, 4))
    def test_each_vm_is_met_once_from_the_keys_point_on(self, names, key, points) -> None:
        def distance(name: str) -> int:
            places = (hash64(f"ring|{number}|{name}") for number in range(points))
            return min((place - hash64(key) - 1) % 2**64 for place in places)

        ring = VmRing(names, points=points)
        self.assertEqual(list(ring.order(key)), sorted(names, key=distance))
        self.assertEqual(ring.count, len(names))

    @given(_NAMES, _NAMES, st.text(max_size=5))
    def test_a_vm_that_comes_or_goes_leaves_the_others_in_order(self, names, more, key) -> None:
        before = list(VmRing(names).order(key))
        after = [name for name in VmRing(names | more).order(key) if name in names]
        self.assertEqual(before, after)

    @given(_NAMES, st.text(max_size=5), st.integers(0, 80))
    def test_the_first_are_the_beginning_of_the_order(self, names, key, count) -> None:
        ring = VmRing(names)
        self.assertEqual(ring.first(key, count), list(ring.order(key))[:count])


if __name__ == "__main__":
    unittest.main()
