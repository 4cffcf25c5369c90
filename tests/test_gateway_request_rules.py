"""Rules that end a request: how long it is held, whether it is sent again, what its caller gets."""

import itertools
import random
import unittest
from typing import Optional

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.callers.body_admission import (
    BodyAdmission,
    BodyMemory,
    admit_body,
)
from sprucewinch.gateway.requests.callers.request_reader import RequestReader
from sprucewinch.gateway.requests.client_request import (
    TIMED_OUT,
    Attempt,
    Blocked,
    BlockedReason,
    ClientRequest,
    RefusalReason,
    Verdict,
)
from sprucewinch.gateway.requests.outcome import final_answer
from sprucewinch.gateway.requests.outcome.hold_time import (
    ANSWER_MARGIN_S,
    DEFAULT_WAIT_S,
    MAX_WAIT_S,
    HoldBound,
    WaitSource,
    caller_wait,
    hold_time,
)
from sprucewinch.gateway.requests.outcome.retry_decision import (
    RetryReason,
    decide_retry,
    without_budget,
)
from sprucewinch.net.connection import Answer

from .gateway_fakes import NAMES, route

_PROMISES = (408, 421, 429, 503)


def _request(*attempts: Attempt) -> ClientRequest:
    """Return a request that arrived at 10 s, whose caller leaves at 12.5 s."""
    path = "/rates/a"
    request = ClientRequest("q", "GET", "quotes.example", path, path, (), b"", 10.0, 12.5)
    request.attempts.extend(attempts)
    return request


def _answered(status: int) -> Attempt:
    return Attempt("s0", Verdict.ANSWERED, True, "answered", Answer(status, (), b""))


def _unanswered(verdict: Verdict, why: str, *, arrived: bool = True) -> Attempt:
    return Attempt("s0", verdict, arrived, why)


class CallersWait(unittest.TestCase):
    def test_each_source(self) -> None:
        for text, seconds, source in (
            ("2500", 2.5, WaitSource.STATED),
            ("300001", MAX_WAIT_S, WaitSource.CAPPED),
            (None, DEFAULT_WAIT_S, WaitSource.ABSENT),
            ("", DEFAULT_WAIT_S, WaitSource.ABSENT),
            ("soon", DEFAULT_WAIT_S, WaitSource.UNREADABLE),
            ("-1", DEFAULT_WAIT_S, WaitSource.UNREADABLE),
            ("inf", DEFAULT_WAIT_S, WaitSource.UNREADABLE),
            ("nan", DEFAULT_WAIT_S, WaitSource.UNREADABLE),
        ):
            with self.subTest(text):
                self.assertEqual(caller_wait(text), (seconds, source))


class HoldTimes(unittest.TestCase):
    def _hold(self, timeout_s: Optional[float]) -> tuple[float, HoldBound]:
        return tuple(hold_time(_request(), route(timeout_s=timeout_s)))

    def test_the_routes_time_or_shortly_before_the_caller_leaves(self) -> None:
        self.assertEqual(self._hold(0.8), (10.8, HoldBound.ROUTE))
        self.assertEqual(self._hold(9.0), (12.5 - ANSWER_MARGIN_S, HoldBound.CALLER))
        self.assertEqual(self._hold(None), (12.5 - ANSWER_MARGIN_S, HoldBound.CALLER))


class RetryDecisions(unittest.TestCase):
    """Each reason, on a route of two runs."""

    def _reason(self, *attempts: Attempt, repeatable: bool = True) -> RetryReason:
        found = route(max_attempts=2, repeatable=repeatable)
        return decide_retry(_request(*attempts), found, attempts[-1]).reason

    def test_a_servers_own_answer(self) -> None:
        failure = _answered(500)
        self.assertIs(self._reason(_answered(404)), RetryReason.SERVER_ANSWERED)
        self.assertIs(self._reason(failure), RetryReason.SERVER_FAILED)
        self.assertIs(self._reason(failure, failure), RetryReason.FAILURE_IS_FINAL)
        self.assertIs(self._reason(failure, repeatable=False), RetryReason.FAILURE_IS_FINAL)

    def test_an_attempt_that_may_have_run(self) -> None:
        lost = _unanswered(Verdict.UNKNOWN, "reset")
        late = _unanswered(Verdict.UNKNOWN, TIMED_OUT)
        self.assertIs(self._reason(lost), RetryReason.NOT_ANSWERED)
        self.assertIs(self._reason(lost, lost), RetryReason.MAY_HAVE_RUN)
        self.assertIs(self._reason(lost, repeatable=False), RetryReason.MAY_HAVE_RUN)
        self.assertIs(self._reason(late), RetryReason.TIME_IS_UP)

    def test_an_attempt_that_did_not_run(self) -> None:
        shed = _unanswered(Verdict.NOT_RUN, "shed-503")
        dark = _unanswered(Verdict.NOT_RUN, "unreachable", arrived=False)
        self.assertIs(self._reason(shed, repeatable=False), RetryReason.NOT_ANSWERED)
        self.assertIs(self._reason(shed, shed, shed), RetryReason.TOO_MANY_ATTEMPTS)
        self.assertIs(self._reason(dark, dark), RetryReason.UNREACHABLE)
        self.assertIs(self._reason(dark, dark, dark), RetryReason.TOO_MANY_UNREACHABLE)

    def test_only_a_server_that_got_nothing_costs_no_retry(self) -> None:
        dark = _unanswered(Verdict.NOT_RUN, "unreachable", arrived=False)
        self.assertFalse(decide_retry(_request(dark), route(), dark).costs_retry)
        for attempt in (_answered(500), _unanswered(Verdict.NOT_RUN, "shed-503")):
            self.assertTrue(decide_retry(_request(attempt), route(), attempt).costs_retry)

    def test_without_budget_nothing_is_sent_again(self) -> None:
        for verdict, refusal in (
            (Verdict.ANSWERED, None),
            (Verdict.NOT_RUN, RefusalReason.NO_ROOM),
            (Verdict.UNKNOWN, RefusalReason.FAILED),
        ):
            decision = without_budget(_unanswered(verdict, ""))
            self.assertEqual((decision.again, decision.refusal), (False, refusal))
            self.assertIs(decision.reason, RetryReason.BUDGET_SPENT)


class FinalAnswers(unittest.TestCase):
    def test_no_promise_once_a_server_may_have_run_it(self) -> None:
        lost = _unanswered(Verdict.UNKNOWN, "reset")
        shed = _unanswered(Verdict.NOT_RUN, "shed-503")
        for refusal, attempts in itertools.product(
            (RefusalReason.TIMEOUT, RefusalReason.NO_ROOM, RefusalReason.NO_SERVER),
            ((lost,), (lost, shed), (shed, lost)),
        ):
            request = _request(*attempts)
            reply = final_answer.not_served(request, route(), refusal, random.Random(1))
            self.assertNotIn(reply.status, _PROMISES)
            self.assertIsNone(reply.retry_after_s)

    def test_a_request_that_ran_nowhere_gets_a_promise_and_a_time(self) -> None:
        request = _request(_unanswered(Verdict.NOT_RUN, "shed-503"))
        reply = final_answer.not_served(request, route(), RefusalReason.TIMEOUT, random.Random(1))
        self.assertEqual((reply.status, reply.refusal), (503, RefusalReason.NO_ROOM))
        low, high = final_answer.RETRY_AFTER_RANGE_S
        self.assertTrue(low <= reply.retry_after_s <= high)

    def test_a_servers_failure_is_passed_on(self) -> None:
        request = _request(_answered(500), _unanswered(Verdict.UNKNOWN, "reset"))
        reply = final_answer.not_served(request, route(), RefusalReason.FAILED, random.Random(1))
        self.assertEqual((reply.status, reply.refusal), (500, None))

    def test_a_stop_promises_only_what_no_server_has_seen(self) -> None:
        request = _request()
        self.assertEqual(final_answer.stopped(request, random.Random(1)).status, 503)
        request.at_server = True
        self.assertEqual(final_answer.stopped(request, random.Random(1)).status, 502)


class BodiesInMemory(unittest.TestCase):
    def test_a_body_may_fill_what_the_limit_and_the_memory_leave(self) -> None:
        memory = BodyMemory(400)
        self.assertEqual((memory.room_bytes(30), memory.room_bytes(300)), (30, 100))
        memory.take(80)
        self.assertEqual((memory.room_bytes(30), memory.held_bytes), (20, 80))
        memory.take(80)
        self.assertEqual(memory.room_bytes(30), 0)
        memory.release(160)
        self.assertEqual(memory.room_bytes(30), 30)

    def test_what_does_not_end_is_refused_with_its_reason(self) -> None:
        self.assertIs(admit_body(10, 10, complete=True), BodyAdmission.ADMITTED)
        self.assertIs(admit_body(11, 10, complete=False), BodyAdmission.TOO_LARGE)
        self.assertIs(admit_body(5, 10, complete=False), BodyAdmission.NO_MEMORY)


class ReadRequests(unittest.TestCase):
    def test_the_first_of_two_headers_counts_and_own_ones_stay_here(self) -> None:
        headers = (
            (NAMES.deadline_ms, "soon"),
            (NAMES.deadline_ms, "2500"),
            (NAMES.request_id, "q1"),
            ("host", "quotes.example"),
            ("content-length", "0"),
        )
        scope = {
            "method": "GET",
            "raw_path": b"/rates/a?q=1",
            "headers": [(name.encode(), value.encode()) for name, value in headers],
        }
        read = RequestReader(NAMES).read(scope, b"", 10.0)
        self.assertIs(read.wait_source, WaitSource.UNREADABLE)
        self.assertEqual(read.request.deadline, 10.0 + DEFAULT_WAIT_S)
        self.assertEqual((read.request.id, read.request.path), ("q1", "/rates/a"))
        self.assertNotIn(NAMES.deadline_ms, dict(read.request.headers))
        self.assertNotIn("content-length", dict(read.request.headers))


class BlockedFields(unittest.TestCase):
    @given(st.floats(0, 1e9), st.floats(0, 1e9), st.floats(0, allow_infinity=True))
    def test_the_fields_of_a_line_keep_their_names_and_have_numbers(self, limit, load, age) -> None:
        blocked = Blocked("s0", BlockedReason.LOAD_LIMIT, 3, limit, load, age)
        fields = blocked.log_fields()
        self.assertEqual(list(fields), ["server_id", "in_flight", "window", "load", "told_s"])
        self.assertLessEqual(fields["told_s"], 1e6)
        self.assertEqual(list(Blocked("").log_fields().values()), ["", 0, 0.0, 0.0, 0.0])
