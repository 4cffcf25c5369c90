"""Memory of bodies counts as they arrive; stalled ones are evicted."""

import asyncio
import unittest
from typing import Any, Optional

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.callers.body_admission import (
    MIN_STALL_S,
    READING_FRACTION,
    ArrivingBody,
    BodyAdmission,
    BodyMemory,
)
from sprucewinch.gateway.requests.callers.body_reader import BodyReader
from sprucewinch.net.asgi import AsgiBody
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .formats_gateway import VirtualGateway
from .pipelined_caller import connect, request

MEMORY_BYTES = 4000
BUDGET_BYTES = 1000
SHARED_BYTES = int(BUDGET_BYTES * READING_FRACTION)


class Arriving(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = BodyMemory(MEMORY_BYTES)
        self.evicted: list[str] = []

    def begin(self, name: str, now: float = 0.0) -> ArrivingBody:
        body = ArrivingBody(lambda: self.evicted.append(name))
        self.memory.begin(body, now)
        return body

    def test_the_first_body_may_use_all_and_the_others_share_a_part(self) -> None:
        first, second = self.begin("first"), self.begin("second")
        self.assertTrue(self.memory.grow(second, SHARED_BYTES, 0.0))
        self.assertFalse(self.memory.grow(second, 1, 0.0))
        self.assertTrue(self.memory.grow(first, BUDGET_BYTES - SHARED_BYTES, 0.0))
        self.assertFalse(self.memory.grow(first, 1, 0.0))
        self.assertEqual(self.memory.held_bytes, BUDGET_BYTES)

    def test_the_body_that_is_stalled_for_the_longest_is_evicted(self) -> None:
        # Guards against stalled uploads that keep out those that go on.
        bodies = [self.begin(name) for name in "abcd"]
        for number, body in enumerate(bodies[1:]):
            self.assertTrue(self.memory.grow(body, 80, number / 10))
        late = self.begin("late", MIN_STALL_S)
        self.assertTrue(self.memory.grow(late, 80, MIN_STALL_S + 0.05))
        # `a` holds nothing; `c` and `d` are not stalled yet.
        self.assertEqual(self.evicted, ["b"])

    def test_an_evicted_body_is_counted_no_more(self) -> None:
        first, second = self.begin("first"), self.begin("second")
        self.memory.grow(first, BUDGET_BYTES, 0.0)
        self.assertFalse(self.memory.grow(second, 1, MIN_STALL_S - 0.1))
        self.assertTrue(self.memory.grow(second, 1, MIN_STALL_S))
        self.assertEqual((self.evicted, self.memory.held_bytes), (["first"], 1))
        self.memory.end(first)
        self.memory.end(second)
        self.assertEqual((self.memory.held_bytes, self.memory.arriving_bytes), (0, 0))

    def test_room_is_made_by_evicting_stalled_bodies(self) -> None:
        # Guards against a stalled body that has all requests of its VM refused.
        first = self.begin("first")
        self.memory.grow(first, BUDGET_BYTES, 0.0)
        self.assertFalse(self.memory.make_room(1, MIN_STALL_S - 0.1))
        self.assertTrue(self.memory.make_room(1, MIN_STALL_S))
        self.assertEqual((self.evicted, self.memory.held_bytes), (["first"], 0))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("begin", "grow", "end")),
                st.integers(0, 5),
                st.integers(1, 400),
                st.floats(0.0, 1.0),
            ),
            max_size=60,
        )
    )
    def test_the_memory_is_the_sum_of_what_has_arrived_and_within_its_bound(
        self, steps: list[tuple[str, int, int, float]]
    ) -> None:
        memory, now = BodyMemory(MEMORY_BYTES), 0.0
        bodies: dict[int, ArrivingBody] = {}
        sizes: dict[ArrivingBody, int] = {}
        for step, number, size, pause_s in steps:
            now += pause_s
            body: Optional[ArrivingBody] = bodies.get(number)
            if step == "begin" and body is None:
                body = bodies[number] = ArrivingBody(lambda: None)
                memory.begin(body, now)
                sizes[body] = 0
            elif step == "grow" and body is not None and not body.evicted:
                if memory.grow(body, size, now):
                    sizes[body] += size
            elif step == "end" and body is not None:
                memory.end(bodies.pop(number))
                del sizes[body]
            kept = {body: size for body, size in sizes.items() if not body.evicted}
            self.assertEqual(memory.held_bytes, sum(kept.values()))
            self.assertLessEqual(memory.held_bytes, BUDGET_BYTES)
            beside_first = list(kept.values())[1:]
            self.assertLessEqual(sum(beside_first), BUDGET_BYTES)


def body_of(*chunks: bytes, ends: bool = True) -> AsgiBody:
    """Return a body whose chunks have arrived; one that does not end is stalled then."""
    messages = [
        {"type": "http.request", "body": chunk, "more_body": not ends or number < len(chunks) - 1}
        for number, chunk in enumerate(chunks)
    ]

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop(0)
        await asyncio.Event().wait()
        raise AssertionError

    return AsgiBody(receive)


class Reading(unittest.TestCase):
    def read(
        self, body: AsgiBody, stated: Optional[int] = None, *, limit: int = 600, held: int = 0
    ) -> tuple[BodyAdmission, BodyMemory]:
        """Read a body for 1 s at most."""
        memory = BodyMemory(MEMORY_BYTES)
        memory.take(held)

        async def main(loop: VirtualLoop) -> BodyAdmission:
            reader = BodyReader(memory, loop.time)
            return await reader.read(body, stated, limit_bytes=limit, until=loop.time() + 1.0)

        return run_virtual(main), memory

    def test_a_whole_body_is_kept_and_counted(self) -> None:
        body = body_of(b"ab", b"c")
        found, memory = self.read(body, 3)
        self.assertIs(found, BodyAdmission.ADMITTED)
        self.assertEqual((body.first, body.complete, memory.held_bytes), (b"abc", True, 3))
        self.assertEqual(memory.arriving_bytes, 0)

    def test_a_stated_length_is_refused_before_the_body_is_read(self) -> None:
        for stated, held, expected in (
            (601, 0, BodyAdmission.TOO_LARGE),
            (600, 0, BodyAdmission.ADMITTED),
            (500, 501, BodyAdmission.NO_MEMORY),
        ):
            with self.subTest(stated=stated, held=held):
                found, memory = self.read(body_of(b"x" * stated), stated, held=held)
                self.assertIs(found, expected)
                admitted = stated if expected is BodyAdmission.ADMITTED else 0
                self.assertEqual(memory.held_bytes, held + admitted)

    def test_a_body_without_a_length_is_refused_as_soon_as_it_is_too_large(self) -> None:
        for chunks, held, expected in (
            ((b"x" * 600, b"x"), 0, BodyAdmission.TOO_LARGE),
            ((b"x" * 300, b"x" * 300), 500, BodyAdmission.NO_MEMORY),
        ):
            with self.subTest(expected):
                found, memory = self.read(body_of(*chunks, ends=False), held=held)
                self.assertIs(found, expected)
                self.assertEqual(memory.held_bytes, held)

    def test_a_body_that_is_not_whole_in_time_is_late(self) -> None:
        found, memory = self.read(body_of(b"x", ends=False), 600)
        self.assertIs(found, BodyAdmission.LATE)
        self.assertEqual((memory.held_bytes, memory.arriving), (0, 0))


class WholeVm(unittest.TestCase):
    def test_an_upload_that_is_not_whole_in_its_time_is_refused_then(self) -> None:
        # Guards against requests that outlast the timeout of their route without an answer.
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            caller = await connect(loop, vm)
            began = loop.time()
            upload = request("q0", "/book/1", method="POST", body=b"x" * 900)
            caller.send(upload[:-100])
            await caller.until_answered(1)
            self.assertEqual(caller.answers[0].status, 503)
            self.assertIn(b"retry-after: ", caller.answers[0].headers)
            self.assertAlmostEqual(loop.time() - began, 0.5, delta=0.05)
            caller.send(upload[-100:], request("q1", "/book/1", method="POST", body=b"x"))
            await caller.until_answered(2)
            self.assertEqual(caller.answers[1].status, 200)
            self.assertEqual([run.request_id for run in vm.servers[0].runs], ["q1"])
            self.assertEqual(vm.gateway.requests.app.buffered, 0)

        run_virtual(main)

    def test_a_stalled_upload_with_all_memory_keeps_out_nobody(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            app = vm.gateway.requests.app
            app.bodies.max_bytes = 900
            stalled = await connect(loop, vm)
            head = request("s", "/none/1", method="POST", more="transfer-encoding: chunked\r\n")
            stalled.send(head + b"384\r\n" + b"x" * 900 + b"\r\n")
            await pass_time(MIN_STALL_S + 0.1)
            self.assertTrue(app.answers.used_up)
            other = await connect(loop, vm)
            other.send(request("o1"), request("o2", "/book/1", method="POST", body=b"x" * 800))
            await other.until_answered(2)
            self.assertEqual([answer.status for answer in other.answers], [200, 200])
            self.assertEqual([answer.status for answer in stalled.answers], [503])

        run_virtual(main)

    def test_stalled_uploads_do_not_keep_out_others(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            app = vm.gateway.requests.app
            app.bodies.max_bytes = 5000
            stalled = [await connect(loop, vm) for _ in range(12)]
            for number, caller in enumerate(stalled):
                data = request(f"s{number}", "/none/1", method="POST", body=b"x" * 900)
                caller.send(data[:-1])
            await pass_time(MIN_STALL_S + 0.1)
            self.assertLessEqual(app.buffered, 5000 * READING_FRACTION + 900)
            other = await connect(loop, vm)
            for number in range(5):
                other.send(request(f"o{number}", "/book/1", method="POST", body=b"x" * 800))
                await other.until_answered(number + 1)
            self.assertEqual([answer.status for answer in other.answers], [200] * 5)
            refused = [caller.answers[0].status for caller in stalled if caller.answers]
            self.assertEqual(set(refused), {503})
            for caller in stalled:
                caller.transport.abort()
            await pass_time(0.1)

        run_virtual(main)
