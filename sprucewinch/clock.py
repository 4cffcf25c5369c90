"""Time, passed in everywhere so that decisions can be tested without waiting."""

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never run backwards within one process."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; may jump, and differs between machines."""


class SystemClock(Clock):
    """The machine's clocks."""

    def monotonic(self) -> float:
        """Return the machine's monotonic clock, in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's wall clock, in seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that stands still until it is told to advance.

    Args:
        start: First reading of both clocks, in seconds.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the reading, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the reading, in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by some seconds."""
        self.now += seconds
