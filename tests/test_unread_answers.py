"""When a connection's further requests wait, and when a caller that reads nothing is given up."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.net._unread_answers import UNREAD_TIMEOUT_S, UnreadAnswers
from sprucewinch.net.answer_memory import AnswerMemory, UncountedAnswers


class Memory(AnswerMemory):
    """A memory of 1000 bytes, of which a connection may hold 100."""

    connection_bytes = 100

    def __init__(self) -> None:
        self.held = 0
        self.others = 0

    @property
    def short(self) -> bool:
        return self.held + self.others >= 500

    @property
    def used_up(self) -> bool:
        return self.held + self.others >= 1000

    def change(self, size_bytes: int) -> None:
        self.held += size_bytes

    def change_behind(self, requests: int) -> None:
        """Nothing depends on it here."""

    def closed_unread(self, held_bytes: int, unread_s: float) -> None:
        """Nothing depends on it here."""


class OneConnection(unittest.TestCase):
    def test_further_requests_wait_beyond_the_bound_of_a_connection(self) -> None:
        unread = UnreadAnswers(Memory())
        unread.wait(100)
        self.assertFalse(unread.blocks)
        unread.measure(1, 1, 0.0)
        self.assertTrue(unread.blocks)
        unread.wait(-100)
        self.assertFalse(unread.blocks)

    def test_with_the_memory_used_up_they_wait_only_where_something_is_held(self) -> None:
        memory = Memory()
        unread = UnreadAnswers(memory)
        memory.others = 1000
        self.assertFalse(unread.blocks)
        unread.wait(1)
        self.assertTrue(unread.blocks)

    def test_a_caller_that_reads_nothing_is_given_up_while_memory_is_short(self) -> None:
        memory = Memory()
        unread = UnreadAnswers(memory)
        unread.measure(10, 10, 100.0)
        unread.measure(10, 10, 100.0 + UNREAD_TIMEOUT_S)
        self.assertEqual(unread.unread_s(100.0 + UNREAD_TIMEOUT_S), UNREAD_TIMEOUT_S)
        self.assertFalse(unread.gives_up(100.0 + UNREAD_TIMEOUT_S))
        memory.others = 490
        self.assertFalse(unread.gives_up(99.9 + UNREAD_TIMEOUT_S))
        self.assertTrue(unread.gives_up(100.0 + UNREAD_TIMEOUT_S))

    def test_one_that_reads_a_little_is_kept_also_when_more_is_written(self) -> None:
        memory = Memory()
        memory.others = 990
        unread = UnreadAnswers(memory)
        for second in range(60):
            unread.measure(10 + second, 10, float(second))
            self.assertFalse(unread.gives_up(float(second) + 0.9))

    def test_more_that_is_written_is_no_reading(self) -> None:
        memory = Memory()
        memory.others = 990
        unread = UnreadAnswers(memory)
        for second in range(6):
            unread.measure(10 + second, 10 + second, float(second))
        self.assertTrue(unread.gives_up(5.0))

    def test_time_without_anything_to_read_does_not_count(self) -> None:
        memory = Memory()
        memory.others = 990
        unread = UnreadAnswers(memory)
        unread.measure(10, 0, 0.0)
        self.assertFalse(unread.gives_up(60.0))
        unread.measure(30, 20, 60.0)
        self.assertFalse(unread.gives_up(60.0))
        self.assertTrue(unread.gives_up(60.0 + UNREAD_TIMEOUT_S))

    def test_a_listener_without_a_budget_blocks_nothing(self) -> None:
        unread = UnreadAnswers(UncountedAnswers())
        unread.wait(1 << 40)
        unread.measure(1 << 40, 1 << 40, 0.0)
        self.assertFalse(unread.blocks)
        self.assertFalse(unread.gives_up(1e9))

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 300), st.booleans())))
    def test_the_memory_holds_the_sum_of_what_connections_hold(
        self, steps: list[tuple[int, int, bool]]
    ) -> None:
        memory = Memory()
        connections = [UnreadAnswers(memory) for _ in range(4)]
        waiting, unsent = [0] * 4, [0] * 4
        for number, size, waits in steps:
            if waits:
                connections[number].wait(size - waiting[number])
                waiting[number] = size
            else:
                connections[number].measure(1000, size, 0.0)
                unsent[number] = size
            self.assertEqual(memory.held, sum(waiting) + sum(unsent))
            self.assertEqual(connections[number].held_bytes, waiting[number] + unsent[number])
        for connection, held in zip(connections, waiting, strict=True):
            connection.end()
            connection.wait(-held)
        self.assertEqual(memory.held, 0)


if __name__ == "__main__":
    unittest.main()
