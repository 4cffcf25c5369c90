"""What arriving bytes belong to, and when they are late, against a plain account of the events."""

import unittest
from typing import Optional

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.net._inbound import LINGER_S, Inbound, ReadState
from sprucewinch.net.listener_limits import ListenerLimits

HEADER_S, IDLE_S, BODY_BYTES = 3.0, 5.0, 100


def limits() -> ListenerLimits:
    """Return the limits of a listener."""
    return ListenerLimits(
        1000, connections=9, requests=9, header_s=HEADER_S, idle_s=IDLE_S, body_bytes=BODY_BYTES
    )


class States(unittest.TestCase):
    def test_each_state_has_a_deadline(self) -> None:
        # Guards against a connection that outlasts a stalled caller.
        inbound = Inbound(limits(), 0.0)
        found = [(inbound.state, inbound.deadline)]
        inbound.begin_head(1.0)
        found.append((inbound.state, inbound.deadline))
        inbound.begin_body(2.0)
        inbound.add_body(10, 2.5)
        found.append((inbound.state, inbound.deadline))
        inbound.answer(3.0, current=True)
        found.append((inbound.state, inbound.deadline))
        inbound.linger(4.0)
        found.append((inbound.state, inbound.deadline))
        self.assertEqual(
            found,
            [
                (ReadState.IDLE, 5.0),
                (ReadState.HEAD, 4.0),
                (ReadState.BODY, 7.5),
                (ReadState.DISCARDED, 7.5),
                (ReadState.LINGERING, 4.5),
            ],
        )

    def test_bytes_extend_a_discarded_body_only_to_the_idle_timeout_after_its_answer(self) -> None:
        inbound = Inbound(limits(), 0.0)
        inbound.begin_body(0.0)
        inbound.answer(1.0, current=True)
        for tick in range(20):
            inbound.add_body(1, tick / 2)
        self.assertEqual(inbound.deadline, 1.0 + IDLE_S)

    def test_bytes_extend_lingering_only_to_its_longest_time(self) -> None:
        inbound = Inbound(limits(), 0.0)
        inbound.linger(0.0)
        for tick in range(10):
            inbound.ignore(tick / 4)
        self.assertEqual(inbound.deadline, LINGER_S)

    def test_an_answer_of_another_request_leaves_the_body_wanted(self) -> None:
        inbound = Inbound(limits(), 0.0)
        inbound.begin_body(0.0)
        inbound.answer(1.0, current=False)
        self.assertIs(inbound.state, ReadState.BODY)

    def test_a_body_beyond_the_limit_is_too_long_to_discard(self) -> None:
        inbound = Inbound(limits(), 0.0)
        inbound.begin_body(0.0)
        inbound.add_body(BODY_BYTES, 0.0)
        self.assertFalse(inbound.body_too_long)
        inbound.add_body(1, 0.0)
        self.assertTrue(inbound.body_too_long)

    def test_headers_without_a_limit_have_no_deadline(self) -> None:
        inbound = Inbound(ListenerLimits(1000, connections=9, requests=9), 0.0)
        inbound.begin_head(1.0)
        self.assertIsNone(inbound.deadline)


class Property(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.sampled_from(("bytes", "answer", "resume")), st.floats(0.0, 3.0)),
            max_size=20,
        )
    )
    def test_a_body_is_awaited_from_its_last_byte_and_its_answer(
        self, steps: list[tuple[str, float]]
    ) -> None:
        inbound, now, progress_at = Inbound(limits(), 0.0), 0.0, 0.0
        answered_at: Optional[float] = None
        inbound.begin_head(now)
        inbound.begin_body(now)
        for name, pause_s in steps:
            now += pause_s
            if name == "bytes":
                inbound.add_body(1, now)
                progress_at = now
            elif answered_at is not None:
                continue
            elif name == "answer":
                inbound.answer(now, current=True)
                answered_at = now
            else:
                inbound.resume(now)
                progress_at = now
        state = ReadState.BODY if answered_at is None else ReadState.DISCARDED
        latest = progress_at if answered_at is None else min(progress_at, answered_at)
        self.assertEqual((inbound.state, inbound.deadline), (state, latest + IDLE_S))
        inbound.end_message(now)
        self.assertEqual((inbound.state, inbound.deadline), (ReadState.IDLE, now + IDLE_S))
