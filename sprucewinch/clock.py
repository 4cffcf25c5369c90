"""The clock that decisions take as an argument, so that tests need not wait.

The module owns the two kinds of time: monotonic time for durations within a process, and wall-clock
time for what leaves it. It relies on the VM's clocks, which may be wrong or jump; nothing compares
the wall clocks of two VMs. Monotonic time advances while the VM is suspended, so that state from
before a suspension has its real age afterwards, as after any other freeze of the process.
"""

import abc
import time


def since_boot() -> float:
    """Return the time since the VM's boot, its suspensions included, in seconds.

    Linux's CLOCK_MONOTONIC leaves suspensions out. With it, a suspension of 5 s, in which nothing
    arrived, would count as no time at all, and the VM would treat its old state as current.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return a time in seconds that never decreases and includes suspensions."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; the value may jump, and differs between VMs."""


class SystemClock(Clock):
    """The VM's clocks."""

    def monotonic(self) -> float:
        """Return the time since the VM's boot, in seconds."""
        return since_boot()

    def wall(self) -> float:
        """Return the VM's wall clock, in seconds since the epoch."""
        return time.time()
