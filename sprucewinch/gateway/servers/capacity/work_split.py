"""Tells work on warm objects from work on cold ones, from the times alone.

A server that keeps an object warm answers several times faster than one that does not. A VM of a
large fleet cannot know which of its answers were warm, as another VM may have warmed the object.
The times show it: they form two groups, with a few far longer times beside them. `split_work`
looks for the two groups with the least sum of distances from their medians, distances being ratios
of times. They are told apart if

- each holds at least `_MIN_GROUP_FRACTION` of the samples and `_MIN_GROUP_SAMPLES`. The longer
  times of about 3 in 100 requests at any server are too few for a group;
- each sample is in the group whose median is nearer;
- their medians differ by a factor between `_MIN_RATIO` and `_MAX_RATIO`. Times of one kind that
  vary by a third give two halves with closer medians.

Otherwise the samples are one group. Medians are used because a few long times do not move them. The
bounds rather take one kind of widely varying times for two groups than two kinds for one: the first
error makes the warm time a quarter too short, the second puts both usual times between the two.

Assumptions: the object's warmth is the greatest cause of difference between the times of one kind,
after the queue and the server's pace have been taken out. If nearly all samples are cold, they are
taken for warm ones until some warm ones arrive; the groups are then found anew, as nothing is kept
from earlier samples.

Owns the bounds above; relies on no other module. Tests: `test_gateway_work_split`.
"""

import itertools
import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple, Optional

_MIN_GROUP_FRACTION = 0.1
"""Smallest part of the samples that is a group: three times the part of requests that take far
longer at any server."""

_MIN_GROUP_SAMPLES = 4
"""Fewest samples that are a group."""

_MIN_RATIO = 1.9
"""Smallest ratio of the medians of two groups."""

_MAX_RATIO = 5.0
"""Largest ratio of the medians of two groups; times beyond it have other causes."""


class WorkSplit(NamedTuple):
    """Usual times of work of one kind, in seconds.

    Args:
        warm_s: Time where the object is warm, or of all samples if they are one group.
        cold_s: Time where it is cold; None if the samples are one group.
    """

    warm_s: float
    cold_s: Optional[float] = None


def split_work(samples: Sequence[float]) -> WorkSplit:
    """Return the usual times of the two groups of samples, or of all.

    Args:
        samples: Times of work, in seconds, in any order; at least one, all above zero.
    """
    logs = sorted(math.log(sample) for sample in samples)
    end = _best_split(logs)
    if end is None:
        return WorkSplit(math.exp(statistics.median(logs)))
    warm, cold = logs[:end], logs[end:]
    low, high = statistics.median(warm), statistics.median(cold)
    if not logs[end - 1] <= (low + high) / 2 <= logs[end]:
        return WorkSplit(math.exp(statistics.median(logs)))
    return WorkSplit(math.exp(low), math.exp(high))


def _best_split(logs: Sequence[float]) -> Optional[int]:
    """Return how many of the sorted samples form the lower group with the least distances."""
    sums = (0.0, *itertools.accumulate(logs))
    count = len(logs)
    smallest = max(_MIN_GROUP_SAMPLES, math.ceil(_MIN_GROUP_FRACTION * count))
    best: Optional[int] = None
    least = math.inf
    for end in range(smallest, count - smallest + 1):
        apart = _median(logs, end, count) - _median(logs, 0, end)
        if math.log(_MIN_RATIO) <= apart <= math.log(_MAX_RATIO):
            distance = _distance(sums, 0, end) + _distance(sums, end, count)
            if distance < least:
                least, best = distance, end
    return best


def _median(logs: Sequence[float], start: int, end: int) -> float:
    middle = (start + end) // 2
    if (end - start) % 2:
        return logs[middle]
    return (logs[middle - 1] + logs[middle]) / 2


def _distance(sums: Sequence[float], start: int, end: int) -> float:
    """Return the sum of the distances from the median of a part of the sorted samples.

    Args:
        sums: Sums of the first samples, from 0 samples on.
        start: First sample of the part.
        end: Sample after the last one of the part.
    """
    lower_end, upper_start = (start + end) // 2, (start + end + 1) // 2
    return (sums[end] - sums[upper_start]) - (sums[lower_end] - sums[start])
