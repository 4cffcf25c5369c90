"""Which requests of a connection run, whose answer is sent, and what follows a close."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.net._answer_order import AnswerOrder


def line(count: int, *, max_begun: int = 2) -> AnswerOrder[int]:
    order: AnswerOrder[int] = AnswerOrder(max_begun)
    for number in range(count):
        order.add(number)
    return order


def begin_all(order: AnswerOrder[int]) -> list[int]:
    begun = []
    while (request := order.begin_next()) is not None:
        begun.append(request)
    return begun


class OneLine(unittest.TestCase):
    def test_an_empty_line_has_no_head(self) -> None:
        order = line(0)
        self.assertEqual((order.head, order.last, len(order), order.full), (None, None, 0, False))
        self.assertIsNone(order.begin_next())

    def test_as_many_begin_as_may_run_at_once(self) -> None:
        order = line(5)
        self.assertEqual(begin_all(order), [0, 1])
        self.assertTrue(order.full)
        order.complete_head()
        self.assertEqual((begin_all(order), order.head), ([2], 1))

    def test_one_that_has_not_begun_is_no_head(self) -> None:
        self.assertIsNone(line(1).head)

    def test_a_closing_answer_drops_all_behind_it(self) -> None:
        order = line(4)
        begin_all(order)
        self.assertEqual(order.close_after_head(), [1, 2, 3])
        self.assertEqual((order.head, order.begun, order.closed), (0, 1, True))

    def test_a_stop_drops_only_what_has_not_begun(self) -> None:
        order = line(4)
        begin_all(order)
        self.assertEqual(order.close_after_begun(), [2, 3])
        self.assertEqual((order.head, order.last, order.closed), (0, 1, True))

    def test_an_end_of_the_connection_drops_all(self) -> None:
        order = line(3)
        begin_all(order)
        self.assertEqual(order.drop_all(), [0, 1, 2])
        self.assertEqual((order.head, order.begun, order.closed), (None, 0, True))
        self.assertEqual(order.close_after_head(), [])

    def test_the_last_may_be_replaced(self) -> None:
        order = line(2)
        begin_all(order)
        self.assertEqual(order.drop_last(), 1)
        order.add(9, is_last=True)
        self.assertEqual((begin_all(order), order.closed, order.last), ([9], True, 9))

    @given(
        st.integers(1, 4),
        st.lists(st.sampled_from(("add", "begin", "complete", "stop", "close", "drop"))),
    )
    def test_requests_begin_and_leave_in_the_order_of_their_arrival(
        self, max_begun: int, steps: list[str]
    ) -> None:
        order: AnswerOrder[int] = AnswerOrder(max_begun)
        waiting: list[int] = []
        begun: list[int] = []
        added = 0
        for step in steps:
            if step == "add" and not order.closed:
                order.add(added)
                waiting.append(added)
                added += 1
            elif step == "begin":
                expected = waiting[0] if waiting and len(begun) < max_begun else None
                self.assertEqual(order.begin_next(), expected)
                if expected is not None:
                    begun.append(waiting.pop(0))
            elif step == "complete" and begun:
                order.complete_head()
                begun.pop(0)
            elif step == "stop":
                self.assertEqual(order.close_after_begun(), waiting)
                waiting.clear()
            elif step == "close" and begun:
                self.assertEqual(order.close_after_head(), begun[1:] + waiting)
                waiting.clear()
                del begun[1:]
            elif step == "drop":
                self.assertEqual(order.drop_all(), begun + waiting)
                waiting.clear()
                begun.clear()
            self.assertEqual(order.head, begun[0] if begun else None)
            self.assertEqual(len(order), len(begun) + len(waiting))


if __name__ == "__main__":
    unittest.main()
