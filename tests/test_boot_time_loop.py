"""A suspension is a freeze to a VM: the time in which it stood still counts."""

import asyncio
import time
import unittest
from unittest import mock

from sprucewinch import boot_time_loop
from sprucewinch.clock import SystemClock


class BootTime(unittest.TestCase):
    def test_both_sources_of_time_count_suspensions(self) -> None:
        with mock.patch.object(time, "clock_gettime", _suspended_for(5.0)):
            before = time.monotonic()
            self.assertAlmostEqual(SystemClock().monotonic() - clock_without(), 5.0, places=1)
            loop = boot_time_loop.BootTimeEventLoop()
            self.assertAlmostEqual(loop.time() - clock_without(), 5.0, places=1)
            loop.close()
            self.assertLess(time.monotonic() - before, 5.0)

    def test_a_timeout_that_passed_in_a_suspension_ends_with_the_next_event(self) -> None:
        """The VM is suspended for 60 s while a request has 30 s left; an event comes after it."""

        async def main() -> float:
            started = time.monotonic()
            asyncio.get_running_loop().call_later(0.05, suspension.begin)
            asyncio.get_running_loop().call_later(0.1, lambda: None)
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(30.0):
                    await asyncio.Event().wait()
            return time.monotonic() - started

        suspension = _Suspension(60.0)
        with mock.patch.object(time, "clock_gettime", suspension.read):
            self.assertLess(boot_time_loop.run(main()), 10.0)


class _Suspension:
    """A suspension that the steady clock does not count."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.passed = 0.0

    def begin(self) -> None:
        self.passed = self.seconds

    def read(self, clock_id: int) -> float:
        passed = self.passed if clock_id == time.CLOCK_BOOTTIME else 0.0
        return _clock_gettime(clock_id) + passed


_clock_gettime = time.clock_gettime


def clock_without() -> float:
    """Return the time since boot without any suspension of a test."""
    return _clock_gettime(time.CLOCK_BOOTTIME)


def _suspended_for(seconds: float) -> object:
    suspension = _Suspension(seconds)
    suspension.begin()
    return suspension.read


if __name__ == "__main__":
    unittest.main()
