"""No request is held beyond its route's timeout, whatever it waits for."""

import asyncio
import unittest
from typing import Any, Optional

from sprucewinch.gateway.crashes.quarantine_entry import QuarantineEntry
from sprucewinch.gateway.requests.client_request import RefusalReason, Reply
from sprucewinch.gateway.resources import BackendEntry, QuarantinedRequest
from sprucewinch.gateway.statements.process_statements import ProcessStatements
from sprucewinch.gateway.statements.server_quotas import UNLIMITED, ServerGrant
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, UnlimitedServerQuotas, route

TIMEOUT_S = 0.8
TOLERANCE_S = 0.01


class SlowServerQuotas(UnlimitedServerQuotas):
    """Grants each request after some time.

    Args:
        seconds: Time until a grant, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    async def take(self, _backend: BackendEntry, _stated: ProcessStatements) -> ServerGrant:
        await asyncio.sleep(self.seconds)
        return UNLIMITED


class Held(unittest.TestCase):
    async def _run(
        self, path: PipelineFixture, **changes: Any
    ) -> tuple[float, Optional[RefusalReason], Reply]:
        """Return how long a request was held, its refusal and its answer."""
        started = path.loop.time()
        reply = await path.pipeline.run(path.request("q", **changes))
        return path.loop.time() - started, reply.refusal, reply

    def test_while_the_store_does_not_answer_for_its_trial(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop)
            path.world.configure(route(timeout_s=TIMEOUT_S))
            quarantined = QuarantinedRequest("00", "00", "GET /rates/a", 0.0, (), 0, 3)
            entry = QuarantineEntry(quarantined, loop.time() - 9e9, revision=1)
            quarantine = path.pipeline.quarantine

            async def take_trial(_entry: QuarantineEntry) -> bool:
                await pass_time(1.5)
                return True

            quarantine.refusal = lambda _request: entry  # type: ignore[method-assign]
            quarantine.take_trial = take_trial  # type: ignore[method-assign]
            held_s, refusal, reply = await self._run(path)
            self.assertAlmostEqual(held_s, TIMEOUT_S, delta=TOLERANCE_S)
            self.assertIs(refusal, RefusalReason.CRASHES_SERVERS)
            self.assertEqual((reply.status, path.runs("q")), (503, 0))

        run_virtual(main)

    def test_while_the_quota_of_a_server_is_asked_for(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop)
            path.world.configure(route(timeout_s=TIMEOUT_S, repeatable=False))
            path.choice.server_quotas = SlowServerQuotas(1.0)
            held_s, refusal, reply = await self._run(path)
            self.assertAlmostEqual(held_s, TIMEOUT_S, delta=TOLERANCE_S)
            self.assertIs(refusal, RefusalReason.NO_TIME)
            self.assertEqual((reply.status, path.runs("q")), (503, 0))

        run_virtual(main)

    def test_while_it_is_checked_whether_its_server_has_crashed(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(timeout_s=TIMEOUT_S, repeatable=False))
            server = path.first()
            server.work_s, server.spoils = TIMEOUT_S - 0.02, [Spoil.LOST]
            loop.call_later(0.5, path.silence, server)
            held_s, refusal, reply = await self._run(path)
            self.assertAlmostEqual(held_s, TIMEOUT_S, delta=TOLERANCE_S)
            self.assertEqual((reply.status, refusal), (502, RefusalReason.FAILED))

        run_virtual(main)


class NeverSent(unittest.TestCase):
    """A request whose time is over before its first byte was sent has not run."""

    def _answer(self, *, repeatable: bool) -> tuple[int, Optional[RefusalReason], int]:
        async def main(loop: VirtualLoop) -> tuple[int, Optional[RefusalReason], int]:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(timeout_s=0.2, repeatable=repeatable))
            path.silence(path.first())
            started = loop.time()
            reply = await path.pipeline.run(path.request("q"))
            self.assertAlmostEqual(loop.time() - started, 0.2, delta=TOLERANCE_S)
            self.assertIsNotNone(reply.retry_after_s)
            return reply.status, reply.refusal, path.runs("q")

        return run_virtual(main)

    def test_its_answer_promises_that(self) -> None:
        expected = (503, RefusalReason.NO_TIME, 0)
        self.assertEqual(self._answer(repeatable=False), expected)
        self.assertEqual(self._answer(repeatable=True), expected)

    def test_one_that_was_sent_gets_no_promise(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(timeout_s=0.2, repeatable=False))
            path.first().work_s = 9.0
            reply = await path.pipeline.run(path.request("q"))
            self.assertEqual((reply.status, path.runs("q")), (504, 1))

        run_virtual(main)

    def test_a_retry_that_was_never_sent_takes_back_no_doubt(self) -> None:
        """The first server may have run it, so that the answer promises nothing."""

        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            path.world.configure(route(timeout_s=0.2))
            first = path.first()
            first.spoils = [Spoil.LOST]
            for server in path.servers.values():
                if server is not first:
                    path.silence(server)
            reply = await path.pipeline.run(path.request("q"))
            self.assertEqual((reply.status, reply.refusal), (504, RefusalReason.TIMEOUT))

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
