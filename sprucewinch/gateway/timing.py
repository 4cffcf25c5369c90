"""Where a loop takes its time and its randomness from."""

import random
from collections.abc import Callable
from typing import NamedTuple

_JITTER = 0.1
"""Part of a pause by which it is shortened or lengthened at most. A guess, never measured."""


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
