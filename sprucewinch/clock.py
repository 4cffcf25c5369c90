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
        """Return seconds since the epoch; may jump, and differs between VMs."""


class SystemClock(Clock):
    """The VM's clocks."""

    def monotonic(self) -> float:
        """Return the VM's monotonic clock, in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the VM's wall clock, in seconds since the epoch."""
        return time.time()
