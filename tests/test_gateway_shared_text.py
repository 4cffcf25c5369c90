"""Texts for operators are rendered in slices, so that requests go on meanwhile.

A fetch of the metrics of an entry VM with thousands of routes stopped its event loop for seconds.
Requests that had timed out got their answers late.
"""

import asyncio
import unittest
from collections.abc import Iterator

from sprucewinch.gateway.decision_log import DecisionLog
from sprucewinch.gateway.shared_text import SharedText

from .manual_clock import ManualClock

_PART_S = 0.001


class _Parts:
    """Parts that take `_PART_S` each; records how many were taken when."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.count = count
        self.started = 0
        self.taken = 0

    def __call__(self) -> Iterator[str]:
        self.started += 1
        for number in range(self.count):
            self.now += _PART_S
            self.taken += 1
            yield f"{number}\n"

    def text(self) -> SharedText:
        return SharedText("metrics", self, monotonic=lambda: self.now)


class Slices(unittest.IsolatedAsyncioTestCase):
    async def test_other_work_goes_on_while_a_text_is_rendered(self) -> None:
        # Guards against metrics of many routes that are rendered in one go on the event loop.
        parts = _Parts(100)
        rendering = asyncio.create_task(parts.text().render())
        taken = []
        while not rendering.done():
            taken.append(parts.taken)
            await asyncio.sleep(0)
        steps = [after - before for before, after in zip(taken, taken[1:], strict=False)]
        self.assertLessEqual(max(steps), 2)
        self.assertEqual(await rendering, "".join(f"{n}\n" for n in range(100)).encode())

    async def test_requests_at_the_same_time_share_one_rendering(self) -> None:
        # Guards against fetches that add up: two at once took twice as long.
        parts = _Parts(20)
        text = parts.text()
        first, second = await asyncio.gather(text.render(), text.render())
        self.assertEqual((first, parts.started), (second, 1))
        await text.render()
        self.assertEqual(parts.started, 2)

    async def test_a_reader_that_leaves_takes_the_text_from_no_other(self) -> None:
        parts = _Parts(20)
        text = parts.text()
        leaving = asyncio.create_task(text.render())
        staying = asyncio.create_task(text.render())
        await asyncio.sleep(0)
        leaving.cancel()
        self.assertEqual(len(await staying), len("".join(f"{n}\n" for n in range(20))))
        self.assertEqual(parts.started, 1)

    async def test_a_rendering_that_fails_is_not_kept(self) -> None:
        parts = _Parts(1)

        def fail_once() -> Iterator[str]:
            if not parts.started:
                parts.started += 1
                raise ValueError("a part that fails")
            return parts()

        text = SharedText("metrics", fail_once, monotonic=lambda: parts.now)
        with self.assertRaises(ValueError):
            await text.render()
        self.assertEqual(await text.render(), b"0\n")


class LoopHolds(unittest.TestCase):
    def test_metrics_and_a_line_name_the_step_that_held_the_loop(self) -> None:
        clock, lines = ManualClock(), []
        events = DecisionLog(lines.append, monotonic=clock.monotonic, wall=clock.wall)
        for seconds in (0.25, 0.01):
            with events.loop_step("metrics"):
                clock.now += seconds
        events.loop_holds.record_late(0.25)
        gauges = events.loop_holds.gauges()
        self.assertEqual(gauges['loop_hold_max_ms{step="metrics"}'], 250.0)
        self.assertEqual(gauges['loop_holds_long{step="metrics"}'], 1)
        self.assertAlmostEqual(gauges['loop_late_ms{quantile="100"}'], 250.0, delta=2.5)
        self.assertEqual(len(lines), 1)
        self.assertIn('"event":"loop-hold","step":"metrics","ms":250.0', lines[0])
