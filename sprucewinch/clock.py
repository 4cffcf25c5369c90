"""The clock that decisions take as an argument, so that tests need not wait.

Owns the two kinds of time: monotonic for durations within a process, wall-clock for what leaves it.
Relies on the VM's clocks, which may be wrong or jump: nothing compares the wall clocks of two
VMs.
"""

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return a time in seconds that never runs backwards within one process."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; the value may jump, and differs between VMs."""


class SystemClock(Clock):
    """The VM's clocks."""

    def monotonic(self) -> float:
        """Return the VM's monotonic clock, in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the VM's wall clock, in seconds since the epoch."""
        return time.time()
