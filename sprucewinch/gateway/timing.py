"""Sources of time and randomness for background loops.

Owns the pair that each loop gets in its constructor, so that tests can control both. Relies on
nothing.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

_MAX_JITTER = 0.1
"""Largest fraction of an interval by which jitter shortens or lengthens it."""


class Timing(NamedTuple):
    """Sources of time and randomness.

    Args:
        monotonic: Returns the monotonic time, in seconds.
        rng: Source of randomness.
    """

    monotonic: Callable[[], float]
    rng: random.Random

    def jittered(self, seconds: float) -> float:
        """Return an interval in seconds with jitter, so VMs that start together drift apart."""
        return seconds * self.rng.uniform(1 - _MAX_JITTER, 1 + _MAX_JITTER)
