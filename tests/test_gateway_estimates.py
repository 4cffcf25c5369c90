"""Values that decisions under load share: expected answer times and the room of a service."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.estimates.admission_verdict import AdmissionReason, AdmissionVerdict
from sprucewinch.gateway.estimates.service_room import ServiceRoom, sum_room
from sprucewinch.gateway.resources import BackendEntry

from .estimate_fakes import StatedEstimates, estimate


class AnswerTimes(unittest.TestCase):
    def test_a_server_with_a_free_slot_takes_its_work_times_its_pace(self) -> None:
        self.assertEqual(estimate(held=5.0).wait_s, 0.0)
        self.assertAlmostEqual(estimate(held=5.0, pace=2.0).answer_s, 0.6)

    def test_a_queue_adds_one_round_of_the_held_work_for_each_request_per_slot(self) -> None:
        self.assertAlmostEqual(estimate(held=11.0).wait_s, 0.3)
        self.assertAlmostEqual(estimate(held=11.0, pace=2.0, work_s=1.0).answer_s, 0.6 + 2.0)

    def test_a_server_that_states_no_slots_is_no_division_by_zero(self) -> None:
        self.assertGreater(estimate(slots=0).wait_s, 0.0)

    @given(
        st.floats(0, 100),
        st.floats(0, 100),
        st.floats(0.05, 100),
        st.floats(0, 10),
        st.floats(0, 10),
    )
    def test_more_load_or_a_slower_pace_never_shortens_the_answer(
        self, held: float, more: float, pace: float, work_s: float, queued_s: float
    ) -> None:
        before = estimate(held=held, pace=pace, work_s=work_s, queued_work_s=queued_s)
        self.assertGreaterEqual(before._replace(held=held + more).answer_s, before.answer_s)
        self.assertGreaterEqual(before._replace(pace=pace * 2).answer_s, before.answer_s)


class Rooms(unittest.TestCase):
    def test_full_servers_do_not_use_up_the_free_slots_of_others(self) -> None:
        room = sum_room([estimate(held=12.0), estimate(held=2.0, age_s=9.0)], max_age_s=1.0)
        self.assertEqual(room, ServiceRoom(12, 14.0, 4.0, 6, 6.0))
        self.assertAlmostEqual(room.utilization, 14 / 12)

    def test_a_service_without_servers_has_no_room(self) -> None:
        self.assertEqual(sum_room([], 1.0), ServiceRoom())
        self.assertEqual(ServiceRoom().utilization, float("inf"))


class Verdicts(unittest.TestCase):
    def test_the_reasons_have_fixed_words_in_the_log(self) -> None:
        words = {
            AdmissionReason.IN_TIME: "in-time",
            AdmissionReason.LATE_BUT_WORTH: "late",
            AdmissionReason.MORE_URGENT_WAITS: "more-urgent-waits",
            AdmissionReason.TARGET_MISSED: "target-missed",
            AdmissionReason.DEADLINE_MISSED: "deadline-missed",
        }
        self.assertEqual({reason: reason.value for reason in AdmissionReason}, words)
        verdict = AdmissionVerdict(True, AdmissionReason.IN_TIME)
        self.assertEqual((verdict.wait_s, verdict.retry_after_s), (0.0, None))


class Stated(unittest.TestCase):
    def test_a_server_without_a_stated_estimate_is_idle(self) -> None:
        estimates = StatedEstimates()
        estimates.by_id["s1"] = estimate(server_id="s1", held=9.0)
        idle = BackendEntry("s0", "rates", "10.0.0.1:80", "east-a", 4)
        found = estimates.estimate(idle, "r", "lane", 0.0)
        self.assertEqual((found.server_id, found.slots, found.free_slots), ("s0", 4, 4.0))
        self.assertEqual(estimates.estimate(idle._replace(id="s1"), "r", "", 0.0).held, 9.0)
