"""Reasons why a backend server gets no new requests, and why a wait for room ends."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.backend_server import BackendServer
from sprucewinch.gateway.servers.capacity.room_queue import QueuePosition, RoomQueue, WaitEnd
from sprucewinch.gateway.servers.usability import (
    UnusableReason,
    not_offered_reason,
    unusable_reason,
)
from standins.virtual import VirtualLoop, pass_time, run_virtual

_ENTRY = BackendEntry("s0", "rates", "10.0.0.1:80", "east-a", 6)
_NOW = 100.0


class Offered(unittest.TestCase):
    @given(st.booleans(), st.booleans())
    def test_a_server_is_offered_unless_it_drains_or_its_hall_is_evacuated(
        self, draining: bool, evacuated: bool
    ) -> None:
        entry = _ENTRY._replace(draining=draining)
        reason = not_offered_reason(entry, {"east-a"} if evacuated else {"west-a"})
        if draining:
            self.assertIs(reason, UnusableReason.DRAINING)
        else:
            self.assertIs(reason, UnusableReason.EVACUATED if evacuated else None)


class Skipped(unittest.TestCase):
    @given(st.booleans(), st.booleans(), st.booleans(), st.booleans())
    def test_the_first_reason_that_holds_is_returned(
        self, backing_off: bool, silent: bool, ejected: bool, cold: bool
    ) -> None:
        server = BackendServer(_ENTRY)
        if backing_off:
            server.record_failure(_NOW)
        if silent:
            server.started.append(_NOW - 1.0)
        if cold:
            server.cold_until = _NOW + 1.0
        holds = {
            UnusableReason.RESTING: backing_off,
            UnusableReason.SILENT: silent,
            UnusableReason.EJECTED: ejected,
            UnusableReason.COLD: cold,
        }
        expected = next((reason for reason, held in holds.items() if held), None)
        reason = unusable_reason(server, _NOW, lambda *_: ejected, lambda *_: 0)
        self.assertIs(reason, expected)

    def test_a_cold_server_gets_its_allowance(self) -> None:
        server = BackendServer(_ENTRY)
        server.cold_until = _NOW + 1.0
        self.assertIsNone(unusable_reason(server, _NOW, lambda *_: False, lambda *_: 1))
        server.cold_sends.record(_NOW)
        reason = unusable_reason(server, _NOW, lambda *_: False, lambda *_: 1)
        self.assertIs(reason, UnusableReason.COLD)


class WaitsForRoom(unittest.TestCase):
    def test_a_wait_ends_after_its_longest_time(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            queue = RoomQueue()
            end = await queue.wait(0.1, QueuePosition(1, 0.0), 1)
            self.assertIs(end, WaitEnd.TIMED_OUT)
            self.assertTrue(end.may_check_again)
            self.assertEqual(queue.waiters, [])

        run_virtual(main)

    def test_the_most_urgent_wakes_first_and_displaces_the_last(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            queue = RoomQueue()
            positions = [
                QueuePosition(2, 1.0),
                QueuePosition(2, 2.0),
                QueuePosition(0, 3.0),
                QueuePosition(2, 4.0),
            ]
            waits = [loop.create_task(queue.wait(1.0, position, 2)) for position in positions]
            await pass_time(0.01)
            self.assertTrue(queue.has_waiter_ahead_of(QueuePosition(1, 0.0)))
            self.assertFalse(queue.has_waiter_ahead_of(QueuePosition(0, 2.5)))
            self.assertTrue(queue.has_waiter_ahead_of(QueuePosition(0, 3.5)))
            queue.wake_next()
            queue.wake_next()
            ends = await asyncio.gather(*waits)
            expected = [WaitEnd.WOKEN, WaitEnd.DISPLACED, WaitEnd.WOKEN, WaitEnd.QUEUE_FULL]
            self.assertEqual(ends, expected)
            self.assertEqual([end.may_check_again for end in ends], [True, False, True, False])

        run_virtual(main)

    def test_a_request_that_waits_again_is_ordered_by_its_deadline(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            queue = RoomQueue()
            order: list[float] = []

            async def wait(deadline: float) -> None:
                await queue.wait(1.0, QueuePosition(1, deadline), 3)
                order.append(deadline)

            waits = [loop.create_task(wait(deadline)) for deadline in (2.0, 3.0, 1.0)]
            await pass_time(0.01)
            for _ in waits:
                queue.wake_next()
                await pass_time(0.01)
            self.assertEqual(order, [1.0, 2.0, 3.0])

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
