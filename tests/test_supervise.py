import asyncio
import unittest
from unittest import mock

from sprucewinch._supervise import Step, forever
from sprucewinch.gateway import daemon
from sprucewinch.gateway.daemon import Gateway
from sprucewinch.gateway.decision_log import DecisionLog
from sprucewinch.hall import loops as _loops


class Steps:
    """A step whose first two runs fail, whose next two return, and whose fifth never returns."""

    def __init__(self) -> None:
        self.runs = 0
        self.blocked = asyncio.Event()

    async def run(self) -> None:
        self.runs += 1
        if self.runs <= 2:
            raise ValueError(f"run {self.runs}")
        if self.runs > 4:
            self.blocked.set()
            await asyncio.Event().wait()


class Forever(unittest.IsolatedAsyncioTestCase):
    async def test_a_step_runs_again_after_failures_and_ends(self) -> None:
        steps, failures = Steps(), []

        def failed(step: Step, error: Exception) -> None:
            assert isinstance(error, Exception), "a cancelled step has not failed"
            failures.append((step, str(error)))

        task = asyncio.ensure_future(forever(steps.run, failed, pause_s=0))
        await asyncio.wait_for(steps.blocked.wait(), 5)
        self.assertEqual(failures, [(steps.run, "run 1"), (steps.run, "run 2")])
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(len(failures), 2)

    async def test_only_failures_are_followed_by_the_pause(self) -> None:
        steps, pauses = Steps(), []

        async def sleep(pause_s: float) -> None:
            pauses.append(pause_s)

        with mock.patch.object(asyncio, "sleep", sleep):
            task = asyncio.ensure_future(forever(steps.run, mock.Mock(), pause_s=0.2))
            await asyncio.wait_for(steps.blocked.wait(), 5)
        task.cancel()
        self.assertEqual(pauses, [0.2, 0.2])


class Lines(unittest.TestCase):
    def test_the_own_path_logs_the_steps_name(self) -> None:
        with mock.patch.object(_loops.log, "trouble") as trouble:
            _loops._log_failure(_loops.Loops._tick_loop, ValueError("x"))
        trouble.assert_called_once_with(
            "event=loop-fault step=_tick_loop error=ValueError('x')",
        )
        self.assertEqual(_loops.TICK_S, 0.5)

    def test_the_routed_path_counts_and_logs_the_loops_full_name(self) -> None:
        gateway = mock.Mock(events=mock.Mock(spec=DecisionLog))
        Gateway._loop_failed(gateway, Gateway._tick_loop, ValueError("x"))
        gateway.events.count.assert_called_once_with("loop_faults")
        gateway.events.state.assert_called_once_with(
            "fault", loop="Gateway._tick_loop", error="ValueError('x')"
        )
        self.assertEqual(daemon._TICK_INTERVAL_S, 0.2)
