"""A call times out when its bytes stop or its total time is over, never because of its size.

Tests `Patience` by itself and against a simple oracle, and `run_while_progress` on the virtual loop
with work whose bytes arrive at given times.
"""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, Optional

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.net._progress_timeout import Patience, run_while_progress
from standins.virtual import VirtualLoop, pass_time, run_virtual

_PATIENCE = Patience(first_s=1.0, silence_s=0.5, most_s=4.0)
_EVEN = Patience(first_s=0.6, silence_s=0.6, most_s=4.0)
_SECONDS = st.floats(min_value=0.0, max_value=100.0)


class Sender:
    """Work whose bytes arrive after given pauses, and which then ends.

    Args:
        loop: Source of time.
        pauses_s: Time before each byte, in seconds; after the last the work ends.
        earlier_s: Age of a byte of an earlier answer, in seconds; None for none.
    """

    def __init__(
        self, loop: VirtualLoop, pauses_s: list[float], earlier_s: Optional[float] = None
    ) -> None:
        self.loop = loop
        self.pauses_s = pauses_s
        self.last_byte_at = None if earlier_s is None else loop.time() - earlier_s
        self.cancelled = False

    async def run(self) -> str:
        """Send the bytes, and return that all were sent."""
        try:
            for pause_s in self.pauses_s:
                await pass_time(pause_s)
                self.last_byte_at = self.loop.time()
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        return "all"


class Outcome:
    """Result of a sender's work, how long it took, and whether it was cancelled."""

    def __init__(self) -> None:
        self.result: Optional[str] = None
        self.took_s = 0.0
        self.cancelled = False


def _outcome(
    pauses_s: list[float], *, earlier_s: Optional[float] = None, patience: Patience = _PATIENCE
) -> Outcome:
    """Run a sender under the given timeouts."""

    async def main(loop: VirtualLoop) -> Outcome:
        outcome = Outcome()
        sender = Sender(loop, pauses_s, earlier_s)
        started = loop.time()
        try:
            work = sender.run()
            outcome.result = await run_while_progress(work, lambda: sender.last_byte_at, patience)
        except TimeoutError:
            outcome.result = None
        outcome.took_s = loop.time() - started
        await pass_time(0.0)
        outcome.cancelled = sender.cancelled
        return outcome

    return run_virtual(main)


class Until(unittest.TestCase):
    def test_before_the_first_byte_the_first_limit_counts(self) -> None:
        self.assertEqual(_PATIENCE.until(10.0, None), 11.0)

    def test_after_a_byte_silence_counts(self) -> None:
        self.assertEqual(_PATIENCE.until(10.0, 12.0), 12.5)

    def test_a_byte_at_the_start_belongs_to_this_answer(self) -> None:
        patience = Patience(first_s=0.5, silence_s=1.0, most_s=4.0)
        self.assertEqual(patience.until(10.0, 10.0), 11.0)
        self.assertEqual(patience.until(10.0, 9.99), 10.5)

    def test_silence_counts_from_the_first_bytes_limit_on(self) -> None:
        self.assertEqual(_PATIENCE.until(10.0, 10.1), 11.0)
        self.assertEqual(_PATIENCE.until(10.0, 10.6), 11.1)

    def test_a_byte_before_the_start_does_not_count(self) -> None:
        self.assertEqual(_PATIENCE.until(10.0, 9.99), 11.0)

    def test_the_whole_time_counts_at_the_last(self) -> None:
        self.assertEqual(_PATIENCE.until(10.0, 13.9), 14.0)
        self.assertEqual(Patience(5.0, 0.5, 4.0).until(10.0, None), 14.0)

    @given(_SECONDS, _SECONDS, _SECONDS)
    def test_a_limit_in_all_does_not_depend_on_bytes(self, started, byte_at, limit_s) -> None:
        patience = Patience.in_all(limit_s)
        self.assertEqual(patience.until(started, None), started + limit_s)
        self.assertEqual(patience.until(started, max(started, byte_at)), started + limit_s)

    @given(_SECONDS, st.lists(_SECONDS, min_size=1), _SECONDS, _SECONDS, _SECONDS)
    def test_later_bytes_never_shorten_it_and_the_whole_time_bounds_it(
        self, started, bytes_at, first_s, silence_s, most_s
    ) -> None:
        patience = Patience(first_s, silence_s, most_s)
        later = sorted(started + at for at in bytes_at)
        limits = [patience.until(started, at) for at in later]
        self.assertEqual(limits, sorted(limits))
        self.assertLessEqual(max(limits), started + most_s)
        self.assertLessEqual(patience.until(started, None), started + most_s)


class Progress(unittest.TestCase):
    def test_a_first_byte_that_is_too_late_ends_it(self) -> None:
        outcome = _outcome([1.2])
        self.assertIsNone(outcome.result)
        self.assertAlmostEqual(outcome.took_s, 1.0)
        self.assertTrue(outcome.cancelled)

    def test_a_first_byte_may_take_longer_than_silence(self) -> None:
        self.assertEqual(_outcome([0.9]).result, "all")

    def test_silence_ends_it(self) -> None:
        outcome = _outcome([0.9, 0.4, 0.6])
        self.assertIsNone(outcome.result)
        self.assertAlmostEqual(outcome.took_s, 0.9 + 0.4 + 0.5)
        self.assertTrue(outcome.cancelled)

    def test_a_trickle_ends_with_the_whole_time(self) -> None:
        outcome = _outcome([0.4] * 50)
        self.assertIsNone(outcome.result)
        self.assertAlmostEqual(outcome.took_s, 4.0)
        self.assertTrue(outcome.cancelled)

    def test_a_slow_but_steady_answer_is_returned(self) -> None:
        outcome = _outcome([0.4] * 9)
        self.assertEqual(outcome.result, "all")
        self.assertAlmostEqual(outcome.took_s, 3.6)
        self.assertFalse(outcome.cancelled)

    def test_a_byte_of_an_earlier_answer_does_not_count(self) -> None:
        self.assertEqual(_outcome([0.9], earlier_s=0.1).result, "all")
        late = _outcome([1.2], earlier_s=0.1)
        self.assertAlmostEqual(late.took_s, 1.0)

    def test_silence_after_an_early_byte_ends_it_at_the_first_bytes_limit(self) -> None:
        """A peer may send its headers at once and the rest when it has data to send."""
        outcome = _outcome([0.1, 5.0])
        self.assertIsNone(outcome.result)
        self.assertAlmostEqual(outcome.took_s, 1.0)
        self.assertEqual(_outcome([0.1, 0.85]).result, "all")

    @given(st.lists(st.integers(1, 8), min_size=1, max_size=15))
    def test_it_ends_where_the_first_limit_is_passed(self, tenths) -> None:
        pauses_s = [0.01 + tenth / 10 for tenth in tenths]
        outcome = _outcome(pauses_s, patience=_EVEN)
        ends_s = _expected_end(pauses_s, _EVEN)
        self.assertEqual(outcome.result, None if ends_s is not None else "all")
        self.assertAlmostEqual(outcome.took_s, sum(pauses_s) if ends_s is None else ends_s)


def _expected_end(pauses_s: list[float], patience: Patience) -> Optional[float]:
    """Return when a call with these pauses times out, in seconds; None when it does not."""
    passed_s = 0.0
    allowed_s = patience.first_s
    for pause_s in pauses_s:
        limit_s = min(passed_s + allowed_s, patience.most_s)
        passed_s += pause_s
        if passed_s > limit_s:
            return limit_s
        allowed_s = patience.silence_s
    return None


class Ends(unittest.TestCase):
    def test_cancelling_the_caller_cancels_the_work(self) -> None:
        async def main(loop: VirtualLoop) -> bool:
            sender = Sender(loop, [0.4] * 5)
            progress = run_while_progress(sender.run(), lambda: sender.last_byte_at, _PATIENCE)
            caller = loop.create_task(progress)
            await pass_time(0.5)
            caller.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await caller
            await pass_time(0.0)
            return sender.cancelled

        self.assertTrue(run_virtual(main))

    def test_the_works_own_error_passes_through(self) -> None:
        with self.assertRaisesRegex(ValueError, "of its own"):
            self._run(_fail_with(ValueError("of its own")))

    def test_an_error_of_work_that_sent_nothing_comes_at_once(self) -> None:
        async def main(loop: VirtualLoop) -> float:
            started = loop.time()
            with self.assertRaises(ConnectionRefusedError):
                work = _fail_with(ConnectionRefusedError())()
                await run_while_progress(work, lambda: None, _PATIENCE)
            return loop.time() - started

        self.assertAlmostEqual(run_virtual(main), 0.1)

    def _run(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        async def main(_loop: VirtualLoop) -> None:
            await run_while_progress(work(), lambda: None, _PATIENCE)

        run_virtual(main)


def _fail_with(error: Exception) -> Callable[[], Coroutine[Any, Any, None]]:
    async def work() -> None:
        await pass_time(0.1)
        raise error

    return work


if __name__ == "__main__":
    unittest.main()
