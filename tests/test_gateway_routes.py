"""Route lookup against a simple oracle, and the shares of split routes."""

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.routes import RouteTable
from sprucewinch.gateway.requests.split import Splits
from sprucewinch.gateway.resources import RouteConfiguration, WeightedService

from .gateway_fakes import route

_SEGMENTS = st.sampled_from(("a", "b", "ab", ""))
_PATHS = st.lists(_SEGMENTS, max_size=4).map("/".join)


class LongestPrefix(unittest.TestCase):
    @given(st.sets(_PATHS, max_size=6), _PATHS, st.booleans())
    def test_the_longest_prefix_wins(self, prefixes, path, slash) -> None:
        listed = [f"/{p}/".replace("//", "/") for p in prefixes]
        asked = "/" + path + ("/" if slash else "")
        routes = tuple(route(name=p, prefix=p) for p in listed)
        found = RouteTable(RouteConfiguration(1, routes, {})).find("quotes.example", asked)
        oracle = max((p for p in listed if asked.startswith(p)), key=len, default=None)
        self.assertEqual(found.name if found else None, oracle)

    def test_hosts_are_compared_without_case_or_port(self) -> None:
        table = RouteTable(RouteConfiguration(1, (route(),), {}))
        self.assertIsNotNone(table.find("Quotes.Example:8080", "/rates/x"))
        self.assertIsNone(table.find("other.example", "/rates/x"))
        self.assertIsNone(table.find("quotes.example", "/rates"))


class SplitShares(unittest.TestCase):
    @given(st.floats(0.05, 0.95), st.integers(2, 80), st.integers(0, 2**32))
    def test_each_part_gets_its_weight_of_any_300_requests(self, weight, objects, seed) -> None:
        rng = random.Random(seed)
        parts = (WeightedService("one", weight), WeightedService("two", 1 - weight))
        split = route(parts=parts)
        splits = Splits()
        chosen = [splits.service(split, f"o{rng.randrange(objects)}") for _ in range(900)]
        for start in (0, 300, 600):
            share = Counter(chosen[start : start + 300])["one"] / 300
            self.assertAlmostEqual(share, weight, delta=0.1)

    def test_objects_mostly_stay_with_one_service(self) -> None:
        rng = random.Random(1)
        split = route(parts=(WeightedService("one", 90.0), WeightedService("two", 10.0)))
        splits = Splits()
        seen: dict[str, Counter] = {}
        for _ in range(3000):
            key = f"o{rng.randrange(60)}"
            seen.setdefault(key, Counter())[splits.service(split, key)] += 1
        stayed = sum(max(c.values()) for c in seen.values()) / 3000
        self.assertGreater(stayed, 0.9)
