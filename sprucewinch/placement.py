"""Placement of client blocks: which region serves a block, given the shares of a service."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Optional

from ._hash import hash32

HASH_SPACE = 1 << 32
"""Client blocks are hashed to a point in `[0, HASH_SPACE)`."""


class Shares(NamedTuple):
    """Shares of regions, in a fixed order of regions, as ascending thresholds.

    Args:
        regions: Names of regions, in the configuration's order.
        thresholds: For each region the upper end of its interval, in `[0, 1]`; the last is 1.
    """

    regions: tuple[str, ...]
    thresholds: tuple[float, ...]

    def share(self, region: str) -> float:
        """Return the share of one region; 0 for a region that is not listed."""
        if region not in self.regions:
            return 0.0
        index = self.regions.index(region)
        return self.thresholds[index] - (self.thresholds[index - 1] if index else 0.0)

    def as_dict(self) -> dict[str, float]:
        """Return the shares by region."""
        return {region: self.share(region) for region in self.regions}

    def region_at(self, point: float) -> str:
        """Return the region whose interval holds a point of `[0, 1)`."""
        index = bisect_right(self.thresholds, point)
        return self.regions[min(index, len(self.regions) - 1)]


def make_shares(order: Sequence[str], weights: Mapping[str, float]) -> Shares:
    """Build shares from weights.

    Args:
        order: Regions in the configuration's order.
        weights: Finite weights of 0 or more, not all 0; a region without one gets 0.

    Returns:
        Normalised shares.
    """
    total = sum(weights.get(region, 0.0) for region in order)
    thresholds = []
    reached = 0.0
    for region in order:
        reached += weights.get(region, 0.0) / total
        thresholds.append(min(reached, 1.0))
    thresholds[-1] = 1.0
    return Shares(tuple(order), tuple(thresholds))


def shift_bound(old: Shares, new: Shares) -> float:
    """Return an upper bound of the part of callers that a change of shares moves.

    Each threshold that moves by d takes callers across one border only, so the moved part is at
    most the sum of all d. For two regions the bound is exact.
    """
    return sum(abs(a - b) for a, b in zip(old.thresholds, new.thresholds, strict=True))


def step_towards(old: Shares, new: Shares, allowance: float) -> Shares:
    """Move shares towards a target without moving more than an allowance of callers.

    Args:
        old: Shares now; the same regions as `new`.
        new: Target.
        allowance: Largest part of callers that may move, in `[0, 1]`.

    Returns:
        Shares on the straight line from `old` to `new`.
    """
    distance = shift_bound(old, new)
    if distance <= allowance:
        return new
    part = max(0.0, allowance / distance)
    pairs = zip(old.thresholds, new.thresholds, strict=True)
    moved = tuple(a + (b - a) * part for a, b in pairs)
    return Shares(old.regions, moved)


def block_point(block: str, service: str) -> float:
    """Return a client block's fixed point in `[0, 1)` for one service."""
    return hash32(f"{service}|{block}") / HASH_SPACE


class BlockTable:
    """Client blocks and their regions, as sorted arrays of integers.

    Args:
        blocks: Pairs of a block in CIDR notation and its client region; blocks do not overlap.
    """

    __slots__ = ("_ends", "_indexes", "_starts", "_v6", "regions")

    def __init__(self, blocks: Iterable[tuple[str, str]]) -> None:
        self.regions: list[str] = []
        self._starts = array("L")
        self._ends = array("L")
        self._indexes = array("H")
        self._v6: list[tuple[int, int, int]] = []
        self._fill(blocks)

    def _fill(self, blocks: Iterable[tuple[str, str]]) -> None:
        numbers: dict[str, int] = {}
        rows: list[tuple[int, int, int]] = []
        for block, region in blocks:
            network = ipaddress.ip_network(block)
            number = numbers.setdefault(region, len(numbers))
            row = (int(network.network_address), int(network.broadcast_address), number)
            (rows if network.version == 4 else self._v6).append(row)
        rows.sort()
        self._v6.sort()
        self.regions = list(numbers)
        self._starts.extend(row[0] for row in rows)
        self._ends.extend(row[1] for row in rows)
        self._indexes.extend(row[2] for row in rows)

    def __len__(self) -> int:
        return len(self._starts) + len(self._v6)

    def region_of(self, address: str) -> Optional[str]:
        """Return the client region of an address or block; None when no block holds it.

        Raises:
            ValueError: When the text is neither an IP number nor a block.
        """
        ip = ipaddress.ip_address(address.partition("/")[0])
        number = int(ip)
        if ip.version == 6:
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
