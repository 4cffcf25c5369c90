"""A histogram of latencies that takes memory only for the range in which it has counts.

The buckets and percentiles are those of HdrHistogram with two significant digits, so values are
exact to 1 %. The library `hdrh` allocates all buckets at once, 25 KB for each histogram, and walks
through them in Python for each percentile. With thousands of routes that is most of an entry VM's
memory and seconds of its processor. Here buckets are allocated in blocks when they are first used;
the latencies of a usual route need one to five.

Inputs are latencies in microseconds. Relies on nothing. Tests: `test_gateway_latency_histograms`,
which compares the percentiles with those of `hdrh`.
"""

from array import array
from bisect import bisect_left
from collections.abc import Sequence
from itertools import accumulate

_SUB_BUCKET_BITS = 8
"""Bits of a value that tell buckets apart: 256 sub-buckets are exact to two decimal digits."""

_HALF_BITS = _SUB_BUCKET_BITS - 1
"""Bits of a bucket's number within one doubling of the value."""

_BLOCK_BITS = 5
"""Bits of a bucket's number within its block."""

_BLOCK_SIZE = 1 << _BLOCK_BITS
"""Buckets that are allocated together: 128 bytes of counts."""

_COUNTER_TYPE = "I"
"""Unsigned counters of 4 bytes."""

_MAX_TOTAL = (1 << 32) - 1
"""Latencies after which all counts are halved, so that no counter overflows."""

_EMPTY_BLOCK = array(_COUNTER_TYPE, bytes(_BLOCK_SIZE * array(_COUNTER_TYPE).itemsize))


class SparseHistogram:
    """Counts of latencies by bucket."""

    __slots__ = ("_blocks", "total")

    def __init__(self) -> None:
        self.total = 0
        self._blocks: dict[int, array[int]] = {}

    def record(self, value_us: int) -> None:
        """Count one latency, in whole microseconds from 0 on."""
        shift = max(0, value_us.bit_length() - _SUB_BUCKET_BITS)
        bucket = (shift << _HALF_BITS) + (value_us >> shift)
        block = self._blocks.get(bucket >> _BLOCK_BITS)
        if block is None:
            block = self._blocks[bucket >> _BLOCK_BITS] = _EMPTY_BLOCK[:]
        block[bucket & (_BLOCK_SIZE - 1)] += 1
        self.total += 1
        if self.total >= _MAX_TOTAL:
            self._halve()

    def _halve(self) -> None:
        for number, block in self._blocks.items():
            self._blocks[number] = array(_COUNTER_TYPE, (count // 2 for count in block))
        self.total = sum(map(sum, self._blocks.values()))

    def percentiles(self, percentiles: Sequence[float]) -> list[int]:
        """Return the values at percentiles, in microseconds; 0 for each without a count.

        Args:
            percentiles: Percentiles in ascending order, from 0 (exclusive) to 100.
        """
        if not self.total:
            return [0] * len(percentiles)
        wanted = [max(1, int(percentile * self.total / 100 + 0.5)) for percentile in percentiles]
        found: list[int] = []
        counted = 0
        for number in sorted(self._blocks):
            block = self._blocks[number]
            in_block = sum(block)
            while len(found) < len(wanted) and counted + in_block >= wanted[len(found)]:
                found.append(_nth_value(number, block, wanted[len(found)] - counted))
            counted += in_block
        return found


def _nth_value(number: int, block: Sequence[int], rank: int) -> int:
    """Return the largest value of the bucket that holds the latency of a rank in a block."""
    offset = bisect_left(list(accumulate(block)), rank)
    return _largest_value((number << _BLOCK_BITS) + offset)


def _largest_value(bucket: int) -> int:
    shift = max(0, (bucket >> _HALF_BITS) - 1)
    return ((bucket - (shift << _HALF_BITS) + 1) << shift) - 1
