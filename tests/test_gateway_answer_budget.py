"""Memory of answers that callers have not read: what it costs them, and what it costs others."""

import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from sprucewinch.gateway.events import EventLog
from sprucewinch.gateway.listeners import MAX_REQUESTS_AT_ONCE
from sprucewinch.gateway.requests.callers.answer_budget import AnswerBudget
from sprucewinch.gateway.requests.callers.body_admission import BodyMemory
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .formats_gateway import VirtualGateway
from .pipelined_app import OneConnection
from .pipelined_caller import request

_LARGE_BYTES = 3_000_000
_MOST_CONNECTIONS = 60
"""More connections than use up a quarter of 300 MB with one such answer each."""


class Recorded(EventLog):
    """Records what is reported."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.counted: list[str] = []

    def state(self, event: str, **fields: Any) -> None:
        self.events.append({"event": event, **fields})

    def count(self, counter: str) -> None:
        self.counted.append(counter)


class OneBudget(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = BodyMemory(64_000)
        self.log = Recorded()
        self.budget = AnswerBudget(self.memory, self.log)

    def test_bodies_and_answers_share_it(self) -> None:
        self.assertEqual((self.memory.max_bytes, self.budget.connection_bytes), (16_000, 1000))
        self.memory.take(7000)
        self.budget.change(999)
        self.assertFalse(self.budget.short)
        self.budget.change(1)
        self.assertTrue(self.budget.short)
        rooms = [self.memory.make_room(size, 0.0) for size in (8000, 8001)]
        self.assertEqual(rooms, [True, False])
        self.budget.change(7999)
        self.assertFalse(self.budget.used_up)
        self.memory.take(1)
        self.assertTrue(self.budget.used_up)
        self.assertFalse(self.memory.make_room(1, 0.0))
        self.memory.release(7001)
        self.budget.change(-8999)
        self.assertEqual((self.memory.used_bytes, self.budget.short), (0, False))

    def test_who_is_given_up_is_counted_and_told(self) -> None:
        self.memory.take(30)
        self.budget.change(20)
        self.budget.closed_unread(20, 5.04)
        self.assertEqual(self.log.counted, ["connections_closed_unread"])
        expected = {
            "event": "caller-reads-nothing",
            "held_bytes": 20,
            "unread_s": 5.0,
            "answer_bytes": 20,
            "body_bytes": 30,
            "budget_bytes": 16_000,
        }
        self.assertEqual(self.log.events, [expected])


Play = Callable[["Vm"], Coroutine[Any, Any, None]]


class Vm:
    """A VM with one backend server whose answers are large, and connections of its callers."""

    def __init__(self, vm: VirtualGateway) -> None:
        self.vm = vm
        self.app = vm.gateway.requests.app
        self.server = vm.servers[0]
        self.server.work_s = 0.02
        self.large = b"x" * _LARGE_BYTES
        self.server.answer_of = lambda run: self.large if "large" in run.target else b"small"

    def connect(self, *, stalled: bool = False) -> OneConnection:
        limits = self.vm.gateway.listeners.limits
        one = OneConnection(
            self.app, max_at_once=MAX_REQUESTS_AT_ONCE, limits=limits, memory=self.app.answers
        )
        one.transport.stalled = stalled
        return one

    async def answers(self, count: int = 1) -> list[int]:
        """Return the statuses of a caller that reads, one request after the other."""
        one = self.connect()
        for number in range(count):
            one.receive(request(f"o{number}"))
            await pass_time(0.1)
        return statuses(one)

    async def use_up(self) -> list[OneConnection]:
        """Let callers that read nothing use up the budget."""
        stalled: list[OneConnection] = []
        while not self.app.answers.used_up:
            if len(stalled) == _MOST_CONNECTIONS:
                raise AssertionError(f"{len(stalled)} unread answers do not use up the budget")
            stalled.append(self.connect(stalled=True))
            stalled[-1].receive(request("large", "/rates/large"))
            await pass_time(0.05)
        return stalled


def statuses(one: OneConnection) -> list[int]:
    """Return the statuses of the answers that a caller has read."""
    return [int(part[:3]) for part in one.written.split(b"HTTP/1.1 ")[1:]]


async def read_until(one: OneConnection, condition: Callable[[], bool]) -> None:
    """Let a caller read until a condition holds, at most for 5 s."""
    for _ in range(500):
        if condition():
            return
        one.transport.read()
        await pass_time(0.01)
    raise AssertionError("the caller does not get what it should read")


def play(main: Play) -> None:
    """Run a test on a virtual loop."""

    async def run(loop: VirtualLoop) -> None:
        await main(Vm(await VirtualGateway(loop, servers=1).started()))

    run_virtual(run)


class CallersThatReadNothing(unittest.TestCase):
    def test_an_unread_answer_is_counted_until_it_is_read(self) -> None:
        async def main(vm: Vm) -> None:
            one = vm.connect(stalled=True)
            one.receive(request("q", "/rates/large"))
            await pass_time(0.2)
            held = vm.app.bodies.answer_bytes
            self.assertAlmostEqual(held, _LARGE_BYTES, delta=1000)
            self.assertLess(len(one.transport.unread), 200_000)
            await read_until(one, lambda: not one.transport.unread)
            await pass_time(0.5)
            self.assertEqual((statuses(one), vm.app.bodies.answer_bytes), ([200], 0))
            self.assertEqual(one.written.count(b"x" * _LARGE_BYTES), 1)
            self.assertEqual((vm.app.in_flight, vm.app.buffered), (0, 0))

        play(main)

    def test_an_answer_that_waits_for_its_turn_is_counted(self) -> None:
        async def main(vm: Vm) -> None:
            one = vm.connect()
            vm.server.work_s = 0.5
            one.receive(request("q0"))
            await pass_time(0.1)
            vm.server.work_s = 0.1
            one.receive(request("q1", "/rates/large"))
            await pass_time(0.2)
            self.assertEqual(vm.app.bodies.answer_bytes, _LARGE_BYTES)
            self.assertEqual(vm.app.answers.behind, 1)
            await pass_time(0.5)
            self.assertEqual((statuses(one), vm.app.bodies.answer_bytes), ([200, 200], 0))
            self.assertEqual(vm.app.answers.behind, 0)

        play(main)

    def test_beyond_its_bound_a_connection_is_not_read_further_and_goes_on_later(self) -> None:
        async def main(vm: Vm) -> None:
            one = vm.connect(stalled=True)
            one.receive(*(request(f"q{n}", "/rates/large") for n in range(20)))
            await pass_time(1.0)
            self.assertEqual(vm.app.in_flight, MAX_REQUESTS_AT_ONCE)
            self.assertFalse(one.transport.reads)
            await read_until(one, lambda: len(one.written) >= 1.5 * _LARGE_BYTES)
            self.assertEqual(vm.app.in_flight, MAX_REQUESTS_AT_ONCE - 1)
            self.assertEqual(await vm.answers(3), [200] * 3)
            await read_until(one, lambda: not one.transport.unread)
            await pass_time(1.0)
            one.transport.stalled = False
            one.transport.read()
            await pass_time(3.0)
            self.assertEqual(len(statuses(one)), 20)
            self.assertTrue(one.transport.reads)

        play(main)

    def test_few_requests_are_not_read_either_while_their_connection_holds_too_much(self) -> None:
        async def main(vm: Vm) -> None:
            one = vm.connect(stalled=True)
            one.receive(request("q0", "/rates/large"), request("q1", "/rates/large"))
            await pass_time(0.3)
            one.receive(request("q2"))
            await pass_time(0.3)
            self.assertEqual((len(vm.server.runs), one.transport.reads), (2, False))
            one.transport.stalled = False
            one.transport.read()
            await pass_time(1.0)
            self.assertEqual(statuses(one), [200] * 3)

        play(main)

    def test_a_connection_that_was_blocked_goes_on_once_all_is_read(self) -> None:
        async def main(vm: Vm) -> None:
            one = vm.connect(stalled=True)
            one.receive(request("q0"))
            await pass_time(0.1)
            vm.app.bodies.take(vm.app.bodies.max_bytes)
            one.receive(request("q1"))
            await pass_time(0.1)
            vm.app.bodies.release(vm.app.bodies.max_bytes)
            self.assertEqual((len(vm.server.runs), one.transport.reads), (1, False))
            one.transport.stalled = False
            one.transport.read()
            await pass_time(0.5)
            self.assertEqual(statuses(one), [200, 200])

        play(main)

    def test_with_the_budget_used_up_others_are_refused_before_they_are_passed_on(self) -> None:
        async def main(vm: Vm) -> None:
            await vm.use_up()
            one = vm.connect()
            runs = len(vm.server.runs)
            one.receive(request("other"))
            await pass_time(0.1)
            self.assertEqual((statuses(one), len(vm.server.runs)), ([503], runs))
            self.assertIn(b"retry-after: 1\r\n", one.written)
            self.assertTrue(one.written.endswith(b'{"reason":"no-room"}'))

        play(main)

    def test_those_that_read_nothing_are_closed_and_others_served_again(self) -> None:
        async def main(vm: Vm) -> None:
            stalled = await vm.use_up()
            await pass_time(6.0)
            closed = [one.transport.closing for one in stalled]
            self.assertIn(True, closed)
            self.assertFalse(vm.app.answers.short)
            self.assertEqual(await vm.answers(3), [200] * 3)
            rows = vm.vm.rows("caller-reads-nothing")
            self.assertEqual(len(rows), closed.count(True))
            self.assertGreaterEqual(rows[0]["unread_s"], 5.0)
            self.assertIn(f"connections_closed_unread {len(rows)}\n", vm.vm.metrics())

        play(main)

    def test_one_that_reads_slowly_gets_its_whole_answer(self) -> None:
        async def main(vm: Vm) -> None:
            slow = vm.connect(stalled=True)
            slow.receive(request("slow", "/rates/large"))
            await pass_time(0.2)
            others = await vm.use_up()
            for _ in range(600):
                slow.transport.read(20_000)
                await pass_time(0.05)
            self.assertEqual(slow.written.count(b"x" * _LARGE_BYTES), 1)
            self.assertIn(True, [one.transport.closing for one in others])

        play(main)

    def test_a_stalled_caller_that_leaves_gives_its_memory_back(self) -> None:
        async def main(vm: Vm) -> None:
            one = vm.connect(stalled=True)
            one.receive(*(request(f"q{n}", "/rates/large") for n in range(5)))
            await pass_time(0.5)
            self.assertGreater(vm.app.bodies.answer_bytes, 3 * _LARGE_BYTES)
            one.leave()
            await pass_time(0.1)
            self.assertEqual((vm.app.bodies.answer_bytes, vm.app.in_flight), (0, 0))
            self.assertEqual(vm.app.answers.behind, 0)

        play(main)

    def test_a_closing_answer_that_stays_unread_is_given_up_too(self) -> None:
        async def main(vm: Vm) -> None:
            one = vm.connect(stalled=True)
            one.receive(request("q", "/rates/small", more="connection: close\r\n"))
            await pass_time(0.1)
            self.assertTrue(one.transport.closing)
            self.assertGreater(vm.app.bodies.answer_bytes, 0)
            vm.app.bodies.take(vm.app.bodies.max_bytes)
            await pass_time(6.0)
            self.assertEqual(vm.app.bodies.answer_bytes, 0)
            self.assertEqual(len(vm.vm.rows("caller-reads-nothing")), 1)

        play(main)


if __name__ == "__main__":
    unittest.main()
