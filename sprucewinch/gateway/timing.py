"""Where a loop takes its time and its randomness from."""

import random
from collections.abc import Callable
from typing import NamedTuple


class Timing(NamedTuple):
    """Sources of time and randomness.

    Args:
        monotonic: Returns the monotonic time, in seconds.
        rng: Source of randomness.
    """

    monotonic: Callable[[], float]
    rng: random.Random
