"""The end of a connection counts as a crash only where new connections are refused."""

import asyncio
import unittest

from sprucewinch.gateway.crashes.fingerprint import fingerprint, target_hash
from sprucewinch.gateway.requests.client_request import CRASHED, ENDED
from sprucewinch.gateway.resources import Evacuation
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, route


def _fingerprint(**changes: object) -> bytes:
    plain: dict = {
        "method": "POST",
        "host": "quotes.example",
        "target": "/rates/a?q=1",
        "headers": (("x-request-id", "q1"), ("cookie", "caller=7")),
        "body": b"lane",
    }
    return fingerprint(**{**plain, **changes}, id_header="x-request-id")


class Fingerprints(unittest.TestCase):
    def test_ids_and_trace_headers_of_attempts_do_not_count(self) -> None:
        again = (("cookie", "caller=7"), ("traceparent", "00-1"), ("x-request-id", "q2"))
        self.assertEqual(_fingerprint(headers=again), _fingerprint())

    def test_everything_else_counts_and_so_does_the_caller(self) -> None:
        others = [
            _fingerprint(method="PUT"),
            _fingerprint(host="other.example"),
            _fingerprint(target="/rates/a?q=2"),
            _fingerprint(body=b"lane2"),
            _fingerprint(headers=(("cookie", "caller=8"),)),
            _fingerprint(headers=(("cookie", "caller=7"), ("authorization", "b"))),
            _fingerprint(target="/rates/a?q=1cookie", headers=(("", "caller=7"),)),
        ]
        self.assertEqual(len({_fingerprint(), *others}), len(others) + 1)

    def test_the_host_is_compared_without_case(self) -> None:
        self.assertEqual(_fingerprint(host="Quotes.Example"), _fingerprint())
        self.assertEqual(target_hash("GET", "A.b", "/c"), target_hash("GET", "a.B", "/c"))


class Crashes(unittest.TestCase):
    def test_a_refused_connection_proves_that_the_process_ended(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            server = path.first()
            loop.call_later(0.02, path.stop, server)
            request = path.request("q")
            reply = await path.pipeline.run(request)
            self.assertEqual([a.cause for a in request.attempts], [CRASHED])
            self.assertEqual(reply.status, 502)

        run_virtual(main)

    def test_a_lost_answer_proves_nothing_and_the_new_connection_is_used(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            path.first().spoils = [Spoil.LOST]
            first, second = path.request("q1"), path.request("q2")
            await path.pipeline.run(first)
            await path.pipeline.run(second)
            self.assertEqual([a.cause for a in first.attempts], [ENDED])
            self.assertEqual([a.cause for a in second.attempts], ["answered"])
            self.assertEqual(path.pool.opened, 2)

        run_virtual(main)

    def test_a_server_behind_a_network_cut_proves_nothing(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            server = path.first()
            loop.call_later(0.02, path.silence, server)
            loop.call_later(0.03, server.reset)
            request = path.request("q")
            await path.pipeline.run(request)
            self.assertEqual([a.cause for a in request.attempts], [ENDED])

        run_virtual(main)

    def test_a_refusal_beside_an_open_connection_proves_nothing(self) -> None:
        """A server that has too many connections refuses new ones, and goes on serving."""

        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            server = path.first()
            server.work_s = 0.3
            stays = asyncio.create_task(path.pipeline.run(path.request("stays")))
            await pass_time(0.01)
            server.work_s = 0.05
            server.spoils = [Spoil.LOST]
            loop.call_later(0.03, loop.listeners.pop, path.addresses[server.server_id])
            cut = path.request("cut")
            await path.pipeline.run(cut)
            self.assertEqual([a.cause for a in cut.attempts], [ENDED])
            self.assertEqual((await stays).status, 200)

        run_virtual(main)

    def test_a_server_that_leaves_has_not_crashed(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            server = path.first()
            loop.call_later(0.01, path.world.put, "evacuate/east-a", Evacuation("east-a"))
            loop.call_later(0.02, path.stop, server)
            request = path.request("q")
            await path.pipeline.run(request)
            self.assertEqual([a.cause for a in request.attempts], [ENDED])

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
