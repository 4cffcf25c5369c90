"""Sources of time and randomness of a loop.

Owns the pair that each loop gets in its constructor, so that tests steer both. Relies on nothing.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

_JITTER = 0.1
"""Fraction of a pause by which it is shortened or lengthened at most."""


class Timing(NamedTuple):
    """Sources of time and randomness.

    Args:
        monotonic: Returns the monotonic time, in seconds.
        rng: Source of randomness.
    """

    monotonic: Callable[[], float]
    rng: random.Random

    def jittered(self, seconds: float) -> float:
        """Return a pause of about some seconds, so that VMs that start together drift apart."""
        return seconds * self.rng.uniform(1 - _JITTER, 1 + _JITTER)
