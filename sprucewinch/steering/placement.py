"""Placement of client blocks: which region serves a block, given the shares of a service.

This module decides which region serves a block or an object, and computes which part of all blocks
moves when shares change. It takes the `Shares` of the regions (together 1) and the key of a block
or object (8 bytes). `BlockTable` owns the client blocks of a configuration; no other state is kept.

Placement is weighted rendezvous hashing. The hash of a key and a region gives an exponentially
distributed number that never changes, and the key goes to the region whose number divided by its
weight is smallest.

With this method the part of keys that a change of weights moves has a closed form, so it can be
bounded without counting, and nothing moves between regions whose weights stay in proportion. With
thresholds on one hash, removing one of three regions also moved keys between the two others, 1.5
times as many as needed.

The result shows in `sprucewinch explain`, as `key` and `region`. `tests.test_shift.MovedPart`
checks the closed form against counted blocks.
"""

import functools
import ipaddress
import math
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Optional

import xxhash

from .._hash import hash32

_HASH_SPACE = float(1 << 32)
"""Number of values of the 32-bit hash."""

_BISECTIONS = 30
"""Steps of the bisection between two shares, which find a step to a billionth of the distance."""

_MAX_CACHED_SEEDS = 1024
"""Most region names whose hashes are cached; far above the number of regions in a fleet."""

_IPV4 = 4
"""IPv4 in the `version` attribute of `ipaddress` objects."""

_IPV6 = 6
"""IPv6 in the `version` attribute of `ipaddress` objects."""


@functools.lru_cache(maxsize=_MAX_CACHED_SEEDS)
def _seed(region: str) -> int:
    return hash32(region)


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of regions, which decide the region of each key.

    Args:
        regions: Names of regions, in the configuration's order.
        weights: Share of each region; each 0 or more, together 1.
    """

    regions: tuple[str, ...]
    weights: tuple[float, ...]
    _drawn: tuple[tuple[str, float, int], ...] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        pairs = zip(self.regions, self.weights, strict=True)
        candidates = tuple(
            (region, weight, _seed(region)) for region, weight in pairs if weight > 0
        )
        object.__setattr__(self, "_drawn", candidates)

    def share(self, region: str) -> float:
        """Return the share of one region; 0 for a region that is not listed."""
        if region not in self.regions:
            return 0.0
        return self.weights[self.regions.index(region)]

    def as_dict(self) -> dict[str, float]:
        """Return the shares by region."""
        return dict(zip(self.regions, self.weights, strict=True))

    def region_of(self, key: bytes) -> str:
        """Return the region of a block or object.

        Args:
            key: The block's key for a service, as `block_key` returns it.
        """
        best, smallest = self._drawn[0][0], math.inf
        if len(self._drawn) == 1:
            return best
        for region, weight, seed in self._drawn:
            uniform = (xxhash.xxh32_intdigest(key, seed) + 1) / _HASH_SPACE
            scaled = -math.log(uniform) / weight
            if scaled < smallest:
                best, smallest = region, scaled
        return best


def make_shares(order: Sequence[str], weights: Mapping[str, float]) -> Shares:
    """Build shares from weights.

    Args:
        order: Regions in the configuration's order.
        weights: Finite weights of 0 or more, not all 0; a region without one gets 0.

    Returns:
        Normalised shares.
    """
    total = sum(weights.get(region, 0.0) for region in order)
    return Shares(tuple(order), tuple(weights.get(region, 0.0) / total for region in order))


def moved_part(old: Shares, new: Shares) -> float:
    """Return the part of blocks that a change of shares moves, in `[0, 1]`.

    A block stays in region *r* when its scaled number there is the smallest under both sets of
    weights, that is, when its number in every other region *s* is at least
    `max(w_s / w_r, w'_s / w'_r)` times as large. The numbers are exponentially distributed, so the
    probability of that is one over the sum of these ratios, with 1 for *r* itself.

    Args:
        old: Shares before.
        new: Shares after; the same regions.
    """
    pairs = [(a, b) for a, b in zip(old.weights, new.weights, strict=True) if a > 0 or b > 0]
    stay = 0.0
    for a, b in pairs:
        if a > 0 and b > 0:
            stay += 1.0 / sum(max(x / a, y / b) for x, y in pairs)
    return max(0.0, 1.0 - stay)


def step_towards(old: Shares, new: Shares, allowance: float) -> Shares:
    """Move shares towards a target without moving more than an allowance of blocks.

    Args:
        old: Shares now; the same regions as `new`.
        new: Target.
        allowance: Largest part of blocks that may move, in `[0, 1]`.

    Returns:
        Shares on the straight line from `old` to `new`; `old` when no step is small enough.
    """
    if moved_part(old, new) <= allowance:
        return new
    low, high = 0.0, 1.0
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        if moved_part(old, _between(old, new, middle)) <= allowance:
            low = middle
        else:
            high = middle
    return _between(old, new, low) if low > 0 else old


def _between(old: Shares, new: Shares, fraction: float) -> Shares:
    """Return the shares at a fraction of the way from `old` to `new`."""
    pairs = zip(old.weights, new.weights, strict=True)
    return Shares(old.regions, tuple(a + (b - a) * fraction for a, b in pairs))


def block_key(block: str, service: str) -> bytes:
    """Return a client block's key for one service, which never changes."""
    return xxhash.xxh64_digest(f"{service}|{block}".encode())


class BlockTable:
    """Client blocks and their regions, as sorted arrays of integers.

    Args:
        blocks: Pairs of a block in CIDR notation and its client region; blocks must not overlap.

    Raises:
        ValueError: When a block is not valid CIDR notation.
    """

    __slots__ = ("_ends", "_indexes", "_starts", "_v6", "regions")

    def __init__(self, blocks: Iterable[tuple[str, str]]) -> None:
        self.regions: list[str] = []
        self._starts = array("L")
        self._ends = array("L")
        self._indexes = array("H")
        self._v6: list[tuple[int, int, int]] = []
        self._add_blocks(blocks)

    def _add_blocks(self, blocks: Iterable[tuple[str, str]]) -> None:
        indexes: dict[str, int] = {}
        rows: list[tuple[int, int, int]] = []
        for block, region in blocks:
            network = ipaddress.ip_network(block)
            index = indexes.setdefault(region, len(indexes))
            row = (int(network.network_address), int(network.broadcast_address), index)
            (rows if network.version == _IPV4 else self._v6).append(row)
        rows.sort()
        self._v6.sort()
        self.regions = list(indexes)
        self._starts.extend(row[0] for row in rows)
        self._ends.extend(row[1] for row in rows)
        self._indexes.extend(row[2] for row in rows)

    def __len__(self) -> int:
        return len(self._starts) + len(self._v6)

    def region_of(self, address: str) -> Optional[str]:
        """Return the client region of an address or block; None when no block contains it.

        Raises:
            ValueError: When the text is neither an IP address nor a block.
        """
        ip = ipaddress.ip_address(address.partition("/")[0])
        number = int(ip)
        if ip.version == _IPV6:
            return self._region_of_v6(number)
        index = bisect_right(self._starts, number) - 1
        if index < 0 or number > self._ends[index]:
            return None
        return self.regions[self._indexes[index]]

    def _region_of_v6(self, number: int) -> Optional[str]:
        index = bisect_right(self._v6, number, key=lambda row: row[0]) - 1
        if index < 0 or number > self._v6[index][1]:
            return None
        return self.regions[self._v6[index][2]]
