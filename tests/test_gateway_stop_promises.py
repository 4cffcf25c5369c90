"""A stop promises "not run" only for what no backend server has run or will run."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.requests.client_request import Attempt, ClientRequest, Verdict
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, route
from .test_gateway_hedging import HEDGE_FACTOR, WORK_S, hedging_path

RUN_S = 0.1
_END_S = 4.0


async def stop_status(path: PipelineFixture, request: ClientRequest, after_s: float) -> int:
    """Run a request, end it by a stop after some time, and return the status of its answer."""
    task = asyncio.create_task(path.pipeline.run(request))
    await asyncio.wait([task], timeout=after_s)
    if task.done():
        return task.result().status
    task.cancel()
    await asyncio.wait([task])
    return path.pipeline.stop_reply(request).status


class Record(unittest.TestCase):
    def test_a_recorded_attempt_tells_from_then_on(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            for verdict in Verdict:
                request = path.request("q")
                request.at_server = True
                self.assertTrue(request.may_have_run)
                request.record(Attempt("s0", verdict, True, ""))
                self.assertEqual(request.may_have_run, verdict is not Verdict.NOT_RUN)

        run_virtual(main)


class StopDuringAnAttempt(unittest.TestCase):
    def test_no_promise_while_it_is_checked_whether_the_server_crashed(self) -> None:
        # Guards against a second run of a booking whose answer was lost during a stop.
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            server = path.first()
            server.work_s, server.spoils = RUN_S, [Spoil.LOST]
            loop.call_later(RUN_S / 2, path.silence, server)
            self.assertEqual(await stop_status(path, path.request("q"), RUN_S + 0.1), 502)
            self.assertEqual(path.runs("q"), 1)

        run_virtual(main)

    @settings(max_examples=200, deadline=None)
    @given(
        st.sampled_from((Spoil.NONE, Spoil.LOST, Spoil.CUT, Spoil.SILENT, Spoil.FAILED)),
        st.booleans(),
        st.booleans(),
        st.floats(0.0, 0.6),
    )
    def test_at_any_moment_a_promise_is_true(
        self, spoil: Spoil, repeatable: bool, silenced: bool, after_s: float
    ) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            path.world.configure(route(repeatable=repeatable, max_attempts=2))
            for server in path.servers.values():
                server.work_s, server.spoils = RUN_S, [spoil]
                if silenced:
                    loop.call_later(RUN_S / 2, path.silence, server)
            status = await stop_status(path, path.request("q"), after_s)
            await pass_time(_END_S)
            if path.runs("q"):
                self.assertNotIn(status, (408, 421, 429, 503))

        run_virtual(main)

    def test_no_promise_when_one_of_two_tries_has_run(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = hedging_path(loop)
            request = path.request("q")
            first = path.first(request.key)
            first.work_s, first.spoils = 7 * WORK_S, [Spoil.LOST]
            loop.call_later(WORK_S, path.silence, first)
            after_s = HEDGE_FACTOR * WORK_S + 0.2
            self.assertEqual(await stop_status(path, request, after_s), 502)

        run_virtual(main)
