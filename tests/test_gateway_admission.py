"""The rule of admission alone: sent, waits, or refused at once."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.estimates.admission_verdict import AdmissionReason, AdmissionVerdict
from sprucewinch.gateway.requests.admission.admission import Asked, RoomThere, decide
from sprucewinch.gateway.requests.admission.turn import Turn
from sprucewinch.gateway.requests.outcome.return_times import MIN_RETRY_AFTER_S

from .estimate_fakes import estimate

WORK_S = 0.2
TARGET_S = 0.6

times = st.floats(-1.0, 5.0)
asks = st.builds(
    Asked,
    target_s=times,
    left_s=times,
    first_target_s=st.floats(0.05, 2.0),
    may_return=st.booleans(),
    may_wait=st.booleans(),
    turn=st.builds(Turn, st.booleans(), st.booleans(), st.booleans(), st.booleans()),
)
rooms = st.builds(
    RoomThere,
    st.builds(
        lambda **fields: estimate(**fields),
        held=st.floats(0.0, 40.0),
        pace=st.floats(0.2, 5.0),
        work_s=st.floats(0.01, 2.0),
        queued_work_s=st.floats(0.01, 2.0),
        age_s=st.floats(0.0, 3.0),
    ),
    waiting_ahead=st.integers(0, 6),
    in_flight=st.integers(0, 12),
)


def _asked(**changes: object) -> Asked:
    """Return a first attempt that arrives now."""
    return Asked(TARGET_S, 2.0, TARGET_S)._replace(**changes)


def _room(
    held: float, *, waiting_ahead: int = 0, in_flight: int = 4, **changes: object
) -> RoomThere:
    """Return the room at a server of six slots with a new figure."""
    fields = {"held": held, "work_s": WORK_S, "queued_work_s": WORK_S, "age_s": 0.0, **changes}
    return RoomThere(estimate(**fields), waiting_ahead, in_flight)


class Reasons(unittest.TestCase):
    def _check(self, asked: Asked, room: RoomThere, reason: AdmissionReason) -> AdmissionVerdict:
        verdict = decide(asked, room)
        self.assertIs(verdict.reason, reason)
        sent = reason in (AdmissionReason.IN_TIME, AdmissionReason.LATE_BUT_WORTH)
        self.assertEqual(verdict.admitted, sent)
        return verdict

    def test_an_answer_in_time_is_sent(self) -> None:
        self._check(_asked(), _room(0.0), AdmissionReason.IN_TIME)
        self._check(_asked(), _room(16.9), AdmissionReason.IN_TIME)

    def test_a_first_attempt_that_would_be_late_is_refused_at_once(self) -> None:
        verdict = self._check(_asked(), _room(17.1), AdmissionReason.TARGET_MISSED)
        self.assertEqual(verdict.wait_s, 0.0)

    def test_without_time_to_return_it_is_sent_late_where_a_slot_is_free(self) -> None:
        last = _asked(may_return=False, target_s=0.1)
        self._check(last, _room(5.0), AdmissionReason.LATE_BUT_WORTH)
        self._check(last, _room(5.1), AdmissionReason.TARGET_MISSED)

    def test_under_overload_a_late_answer_needs_an_idle_server(self) -> None:
        late = _asked(may_return=False, target_s=0.1, turn=Turn(overload=True))
        self._check(late, _room(5.0), AdmissionReason.TARGET_MISSED)
        self._check(late, _room(2.0), AdmissionReason.LATE_BUT_WORTH)
        self._check(late, _room(2.0, age_s=3.0), AdmissionReason.TARGET_MISSED)

    def test_an_answer_after_the_caller_has_left_is_not_sent(self) -> None:
        self._check(_asked(left_s=0.19), _room(0.0), AdmissionReason.DEADLINE_MISSED)
        missed = _asked(left_s=0.3, may_return=False)
        self._check(missed, _room(12.0), AdmissionReason.DEADLINE_MISSED)

    def test_out_of_turn_a_first_attempt_is_refused_at_once(self) -> None:
        out = _asked(turn=Turn(come=False))
        self.assertEqual(self._check(out, _room(6.0), AdmissionReason.TARGET_MISSED).wait_s, 0.0)
        out = out._replace(turn=Turn(come=False, urgent_first=True))
        self._check(out, _room(6.0), AdmissionReason.MORE_URGENT_WAITS)

    def test_a_returning_caller_waits_for_a_place_that_comes_in_time(self) -> None:
        back = _asked(turn=Turn(come=False), may_return=False, target_s=0.45)
        verdict = self._check(back, _room(5.0), AdmissionReason.TARGET_MISSED)
        self.assertAlmostEqual(verdict.wait_s, 0.25)
        behind = decide(back, _room(5.0, waiting_ahead=5))
        self.assertEqual((behind.reason, behind.wait_s), (AdmissionReason.MORE_URGENT_WAITS, 0.0))
        self.assertEqual(decide(back, _room(5.0, in_flight=0)).wait_s, 0.0)
        crowded_out = back._replace(turn=Turn(come=False, crowded_out=True))
        self.assertEqual(decide(crowded_out, _room(5.0)).wait_s, 0.0)
        self.assertEqual(decide(back._replace(may_wait=False), _room(5.0)).wait_s, 0.0)

    def test_nobody_goes_before_those_that_wait(self) -> None:
        self._check(_asked(), _room(0.0, waiting_ahead=1), AdmissionReason.MORE_URGENT_WAITS)

    def test_work_as_long_as_the_target_is_sent_late_instead_of_refused(self) -> None:
        tight = _asked(first_target_s=1.0, target_s=1.0)
        for work_s in (0.95, 1.4):
            there = {"work_s": work_s, "queued_work_s": work_s}
            free = decide(tight, _room(5.0, **there))
            self.assertTrue(free.admitted)
            self.assertTrue(decide(tight, _room(6.0, **there)).admitted)
            self.assertFalse(decide(tight, _room(9.0, **there)).admitted)


class Properties(unittest.TestCase):
    @given(asks, rooms)
    def test_what_is_sent_is_expected_before_its_caller_gives_up(
        self, asked: Asked, room: RoomThere
    ) -> None:
        verdict = decide(asked, room)
        if verdict.admitted:
            self.assertLessEqual(room.estimate.answer_s, asked.left_s)
            self.assertTrue(asked.turn.come)
            self.assertEqual((room.waiting_ahead, verdict.wait_s), (0, 0.0))

    @given(asks, rooms)
    def test_the_reason_says_whether_it_was_sent(self, asked: Asked, room: RoomThere) -> None:
        verdict = decide(asked, room)
        sent = verdict.reason in (AdmissionReason.IN_TIME, AdmissionReason.LATE_BUT_WORTH)
        self.assertEqual(verdict.admitted, sent)

    @given(asks, rooms)
    def test_a_wait_ends_while_its_answer_can_still_be_in_time(
        self, asked: Asked, room: RoomThere
    ) -> None:
        verdict = decide(asked, room)
        if verdict.wait_s:
            self.assertFalse(verdict.admitted or asked.may_return)
            self.assertLessEqual(verdict.wait_s + room.work_s, asked.target_s + 1e-9)
            self.assertLessEqual(room.next_place_s, verdict.wait_s)

    @given(asks, rooms)
    def test_a_first_attempt_never_waits(self, asked: Asked, room: RoomThere) -> None:
        self.assertEqual(decide(asked._replace(may_return=True), room).wait_s, 0.0)

    @given(asks, rooms, st.floats(0.0, 20.0))
    def test_less_held_never_turns_a_sent_request_away(
        self, asked: Asked, room: RoomThere, less: float
    ) -> None:
        if decide(asked, room).admitted:
            held = max(0.0, room.estimate.held - less)
            easier = room._replace(estimate=room.estimate._replace(held=held))
            self.assertTrue(decide(asked, easier).admitted)

    @given(asks, rooms)
    def test_the_verdict_agrees_with_a_plain_oracle(self, asked: Asked, room: RoomThere) -> None:
        """The oracle knows new figures only, and neither tight targets nor callers that wait."""
        room = room._replace(estimate=room.estimate._replace(age_s=0.0, pace=1.0), waiting_ahead=0)
        asked = asked._replace(turn=Turn())
        seen = room.estimate
        spare_s = asked.target_s - seen.work_s
        if asked.first_target_s - seen.work_s < MIN_RETRY_AFTER_S:
            return
        if seen.answer_s > asked.left_s:
            expected = AdmissionReason.DEADLINE_MISSED
        elif abs(seen.wait_s - spare_s) < 1e-9:
            return
        elif seen.wait_s < spare_s:
            expected = AdmissionReason.IN_TIME
        elif seen.wait_s == 0.0 and not (asked.may_return and spare_s >= MIN_RETRY_AFTER_S):
            expected = AdmissionReason.LATE_BUT_WORTH
        else:
            expected = AdmissionReason.TARGET_MISSED
        self.assertIs(decide(asked, room).reason, expected)


if __name__ == "__main__":
    unittest.main()
