"""The time of a suspension counts as passed, as it does for a process that is frozen."""

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
            self.assertAlmostEqual(
                SystemClock().monotonic() - clock_without_suspension(), 5.0, places=1
            )
            loop = boot_time_loop.BootTimeEventLoop()
            self.assertAlmostEqual(loop.time() - clock_without_suspension(), 5.0, places=1)
            loop.close()
            self.assertLess(time.monotonic() - before, 5.0)

    def test_a_timeout_that_passed_in_a_suspension_ends_with_the_next_event(self) -> None:
        """A VM is suspended for 60 s while a request has 30 s left; an event follows."""

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
    """A simulated suspension, which CLOCK_BOOTTIME counts and CLOCK_MONOTONIC does not."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.skipped_s = 0.0

    def begin(self) -> None:
        self.skipped_s = self.seconds

    def read(self, clock_id: int) -> float:
        skipped_s = self.skipped_s if clock_id == time.CLOCK_BOOTTIME else 0.0
        return _clock_gettime(clock_id) + skipped_s


_clock_gettime = time.clock_gettime


def clock_without_suspension() -> float:
    """Return the time since boot without a test's simulated suspension."""
    return _clock_gettime(time.CLOCK_BOOTTIME)


def _suspended_for(seconds: float) -> object:
    suspension = _Suspension(seconds)
    suspension.begin()
    return suspension.read


if __name__ == "__main__":
    unittest.main()
