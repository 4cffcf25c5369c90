"""The clock that decisions take as an argument, so that tests need not wait.

Owns the two kinds of time: monotonic for durations within a process, wall-clock for what leaves it.
Relies on the VM's clocks, which may be wrong or jump: nothing compares the wall clocks of two
VMs. Monotonic time goes on while the VM is suspended, so that what was held before is as old
afterwards as it is: a suspension is a freeze to all that judges by age.
"""

import abc
import time


def since_boot() -> float:
    """Return the time since the VM's boot, its suspensions included, in seconds.

    Linux's steady clock leaves suspensions out: with it, 5 s in which nothing arrived pass for
    none, and the VM serves by what it held before as if that were fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return a time in seconds that never runs backwards, and counts suspensions."""

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
