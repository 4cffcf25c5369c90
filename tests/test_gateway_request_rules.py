"""Rules for one request: body, server selection, room, time left, retries and final answer."""

import itertools
import random
import unittest
from typing import Optional, Union

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.requests.callers.body_admission import (
    BodyAdmission,
    BodyMemory,
    admit_body,
)
from sprucewinch.gateway.requests.callers.request_reader import RequestReader
from sprucewinch.gateway.requests.choice.room import no_room_reason, queue_position, room_wait_s
from sprucewinch.gateway.requests.client_request import (
    TIMED_OUT,
    Attempt,
    Blocked,
    BlockedReason,
    ClientRequest,
    RefusalReason,
    SelectionReason,
    Verdict,
)
from sprucewinch.gateway.requests.connection_reuse import MAX_NON_REPEATABLE_IDLE_S, max_idle_s
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
from sprucewinch.gateway.requests.outcome.time_left import has_time
from sprucewinch.gateway.resources import Route
from sprucewinch.gateway.servers.pool import CONNECT_TIMEOUT_S
from sprucewinch.net.connection import Answer
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .formats_gateway import VirtualGateway
from .gateway_fakes import NAMES, PipelineFixture, route

_PROMISES = (408, 421, 429, 503)


def _request(*attempts: Attempt) -> ClientRequest:
    """Return a request that arrived at 10 s, whose caller leaves at 12.5 s."""
    path = "/rates/a"
    request = ClientRequest("q", "GET", "quotes.example", path, path, (), b"", 10.0, 12.5)
    request.attempts.extend(attempts)
    return request


def _answered(status: int) -> Attempt:
    return Attempt("s0", Verdict.ANSWERED, True, "answered", Answer(status, (), b""))


def _unanswered(verdict: Verdict, cause: str, *, may_have_arrived: bool = True) -> Attempt:
    return Attempt("s0", verdict, may_have_arrived, cause)


class CallersWait(unittest.TestCase):
    def test_each_source_of_a_callers_wait(self) -> None:
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

    def test_the_routes_timeout_or_the_callers_deadline_minus_the_margin(self) -> None:
        self.assertEqual(self._hold(0.8), (10.8, HoldBound.ROUTE))
        self.assertEqual(self._hold(9.0), (12.5 - ANSWER_MARGIN_S, HoldBound.CALLER))
        self.assertEqual(self._hold(None), (12.5 - ANSWER_MARGIN_S, HoldBound.CALLER))


class RetryDecisions(unittest.TestCase):
    """Each reason for or against a retry, on a route that allows two runs."""

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
        reset = _unanswered(Verdict.UNKNOWN, "reset")
        timed_out = _unanswered(Verdict.UNKNOWN, TIMED_OUT)
        self.assertIs(self._reason(reset), RetryReason.NOT_ANSWERED)
        self.assertIs(self._reason(reset, reset), RetryReason.MAY_HAVE_RUN)
        self.assertIs(self._reason(reset, repeatable=False), RetryReason.MAY_HAVE_RUN)
        self.assertIs(self._reason(timed_out), RetryReason.TIME_IS_UP)
        never_sent = _unanswered(Verdict.NOT_RUN, TIMED_OUT, may_have_arrived=False)
        self.assertIs(self._reason(never_sent), RetryReason.TIME_IS_UP)

    def test_an_attempt_that_did_not_run(self) -> None:
        shed = _unanswered(Verdict.NOT_RUN, "shed-503")
        unreachable = _unanswered(Verdict.NOT_RUN, "unreachable", may_have_arrived=False)
        self.assertIs(self._reason(shed, repeatable=False), RetryReason.NOT_ANSWERED)
        self.assertIs(self._reason(shed, shed, shed), RetryReason.TOO_MANY_ATTEMPTS)
        silent = unreachable._replace(seconds=CONNECT_TIMEOUT_S)
        self.assertIs(self._reason(*[unreachable] * 15), RetryReason.UNREACHABLE)
        self.assertIs(self._reason(*[unreachable] * 16), RetryReason.TOO_MANY_UNREACHABLE)
        self.assertIs(self._reason(unreachable, silent, silent), RetryReason.UNREACHABLE)
        self.assertIs(self._reason(silent, silent, silent), RetryReason.TOO_MANY_UNREACHABLE)

    def test_a_server_that_got_no_byte_does_not_count_as_an_attempt(self) -> None:
        shed = _unanswered(Verdict.NOT_RUN, "shed-503")
        unreachable = _unanswered(Verdict.NOT_RUN, "unreachable", may_have_arrived=False)
        not_offered = _unanswered(Verdict.NOT_RUN, "not-offered", may_have_arrived=False)
        for unsent in (unreachable, not_offered):
            self.assertIs(self._reason(unsent, shed, shed), RetryReason.NOT_ANSWERED)
            self.assertIs(self._reason(unsent, shed, shed, shed), RetryReason.TOO_MANY_ATTEMPTS)
        self.assertIs(
            self._reason(not_offered, not_offered, not_offered, not_offered),
            RetryReason.NOT_OFFERED,
        )
        self.assertIs(
            self._reason(not_offered, not_offered, unreachable, unreachable),
            RetryReason.UNREACHABLE,
        )

    def test_only_a_server_that_got_no_byte_costs_no_retry(self) -> None:
        unreachable = _unanswered(Verdict.NOT_RUN, "unreachable", may_have_arrived=False)
        not_offered = _unanswered(Verdict.NOT_RUN, "not-offered", may_have_arrived=False)
        self.assertFalse(decide_retry(_request(unreachable), route(), unreachable).uses_budget)
        self.assertFalse(decide_retry(_request(not_offered), route(), not_offered).uses_budget)
        for attempt in (_answered(500), _unanswered(Verdict.NOT_RUN, "shed-503")):
            self.assertTrue(decide_retry(_request(attempt), route(), attempt).uses_budget)

    def test_without_budget_nothing_is_retried(self) -> None:
        for verdict, refusal in (
            (Verdict.ANSWERED, None),
            (Verdict.NOT_RUN, RefusalReason.NO_ROOM),
            (Verdict.UNKNOWN, RefusalReason.FAILED),
        ):
            decision = without_budget(_unanswered(verdict, ""))
            self.assertEqual((decision.retry, decision.refusal), (False, refusal))
            self.assertIs(decision.reason, RetryReason.BUDGET_SPENT)


class FinalAnswers(unittest.TestCase):
    def test_no_promise_once_a_server_may_have_run_it(self) -> None:
        reset = _unanswered(Verdict.UNKNOWN, "reset")
        shed = _unanswered(Verdict.NOT_RUN, "shed-503")
        for refusal, attempts in itertools.product(
            (
                RefusalReason.TIMEOUT,
                RefusalReason.NO_TIME,
                RefusalReason.NO_ROOM,
                RefusalReason.NO_SERVER,
            ),
            ((reset,), (reset, shed), (shed, reset)),
        ):
            request = _request(*attempts)
            reply = final_answer.not_served(request, route(), refusal, random.Random(1))
            self.assertNotIn(reply.status, _PROMISES)
            self.assertIsNone(reply.retry_after_s)

    def test_a_request_that_did_not_run_gets_a_promise_and_retry_after(self) -> None:
        request = _request(_unanswered(Verdict.NOT_RUN, "shed-503"))
        reply = final_answer.not_served(request, route(), RefusalReason.TIMEOUT, random.Random(1))
        self.assertEqual((reply.status, reply.refusal), (503, RefusalReason.NO_TIME))
        low, high = final_answer.RETRY_AFTER_RANGE_S
        self.assertTrue(low <= reply.retry_after_s <= high)

    def test_a_servers_failure_is_forwarded(self) -> None:
        request = _request(_answered(500), _unanswered(Verdict.UNKNOWN, "reset"))
        reply = final_answer.not_served(request, route(), RefusalReason.FAILED, random.Random(1))
        self.assertEqual((reply.status, reply.refusal), (500, None))

    def test_a_stop_promises_no_run_only_before_a_server_got_the_request(self) -> None:
        request = _request()
        self.assertEqual(final_answer.stopped(request, random.Random(1)).status, 503)
        request.at_server = True
        self.assertEqual(final_answer.stopped(request, random.Random(1)).status, 502)


class BodiesInMemory(unittest.TestCase):
    def test_a_body_may_fill_what_the_memory_leaves(self) -> None:
        memory = BodyMemory(400)
        self.assertEqual([memory.make_room(size, 0.0) for size in (100, 101)], [True, False])
        memory.take(80)
        self.assertEqual([memory.make_room(size, 0.0) for size in (20, 21)], [True, False])
        self.assertEqual(memory.held_bytes, 80)
        memory.take(80)
        self.assertFalse(memory.make_room(1, 0.0))
        memory.release(160)
        self.assertTrue(memory.make_room(100, 0.0))

    def test_an_incomplete_body_is_refused_with_its_reason(self) -> None:
        self.assertIs(admit_body(10, 10, complete=True), BodyAdmission.ADMITTED)
        self.assertIs(admit_body(11, 10, complete=False), BodyAdmission.TOO_LARGE)
        self.assertIs(admit_body(5, 10, complete=False), BodyAdmission.NO_MEMORY)


class ReadRequests(unittest.TestCase):
    def test_the_first_of_two_headers_counts_and_own_ones_are_not_forwarded(self) -> None:
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


class Selections(unittest.TestCase):
    """The reason why a server is selected, or why none is."""

    def _choose(
        self, *loads: int, tried: int = 0, warm: int = 0, halls: tuple[str, ...] = ("east-a",)
    ) -> tuple[int, Union[SelectionReason, BlockedReason]]:
        """Return the index of the selected server in the ranking, or -1, and the reason.

        Args:
            *loads: Requests that each server holds, in the order of the ranking.
            tried: Number of servers that could not be reached before.
            warm: Index of the server that was sent the object recently.
            halls: Data halls of the servers, in turn.
        """

        async def main(loop: VirtualLoop) -> tuple[int, Union[SelectionReason, BlockedReason]]:
            path = PipelineFixture(loop, servers=len(loads), halls=halls)
            ranking = path.ranker.rank("rates", "lane-1", (), loop.time())
            for server, load in zip(ranking.servers, loads, strict=True):
                server.estimate.record(load, server.in_flight, loop.time())
            ids = [server.backend.id for server in ranking.servers]
            unreachable = [Attempt(i, Verdict.NOT_RUN, False, "unreachable") for i in ids[:tried]]
            request = _request(*unreachable)
            request.key = "lane-1"
            path.outliers.sent_objects.record(ids[warm], request.key, loop.time())
            chosen = path.choice.selector.choose(
                request, ranking, "rates", loop.time(), route(timeout_s=None)
            )
            if isinstance(chosen, RefusalReason):
                return -1, request.blocked.reason
            return ids.index(chosen.server.backend.id), chosen.reason

        return run_virtual(main)

    def test_the_first_usable_server_is_selected(self) -> None:
        self.assertEqual(self._choose(0, 0), (0, SelectionReason.FIRST_CHOICE))
        self.assertEqual(self._choose(0, 0, tried=1), (1, SelectionReason.FIRST_USABLE))
        self.assertEqual(self._choose(0, tried=1), (-1, BlockedReason.NO_SERVER))

    def test_a_busy_server_spills_over_to_the_next_one(self) -> None:
        self.assertEqual(self._choose(8, 2), (0, SelectionReason.FIRST_CHOICE))
        self.assertEqual(self._choose(9, 2), (1, SelectionReason.SHARES_BUSY))
        self.assertEqual(self._choose(6, 2, warm=1), (1, SelectionReason.SHARES_BUSY))
        self.assertEqual(self._choose(5, 2, warm=1), (0, SelectionReason.FIRST_CHOICE))
        self.assertEqual(self._choose(12, 2), (1, SelectionReason.HELPS_FULL))
        self.assertEqual(self._choose(12, 3), (-1, BlockedReason.LOAD_LIMIT))

    def test_only_a_full_server_spills_over_to_another_region(self) -> None:
        halls = ("east-a", "west-a")
        self.assertEqual(self._choose(6, 0, halls=halls), (0, SelectionReason.FIRST_CHOICE))
        self.assertEqual(self._choose(12, 2, halls=halls), (1, SelectionReason.HELPS_FULL))
        self.assertEqual(self._choose(12, 3, halls=halls), (-1, BlockedReason.LOAD_LIMIT))

    def test_the_concurrency_limit_and_more_urgent_requests_leave_no_room(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            server, registry = path.world.registry.servers["s0"], path.world.registry
            first, urgent = path.request("q0"), path.request("q1")
            waits = loop.create_task(server.wait_for_room(0.1, queue_position(urgent, route())))
            await pass_time(0.01)
            self._assert_no_room(path, first, route(priority=1), BlockedReason.OTHER_WAITS)
            self._assert_no_room(path, path.request("q2"), route(), BlockedReason.OTHER_WAITS)
            self.assertIsNone(no_room_reason(server, urgent, route(), registry.times, loop.time()))
            server.in_flight = 6
            self._assert_no_room(path, urgent, route(), BlockedReason.CONCURRENCY_LIMIT)
            await waits

        run_virtual(main)

    def _assert_no_room(
        self,
        path: PipelineFixture,
        request: ClientRequest,
        request_route: Route,
        expected: BlockedReason,
    ) -> None:
        registry = path.world.registry
        reason = no_room_reason(
            registry.servers["s0"], request, request_route, registry.times, path.loop.time()
        )
        self.assertIs(reason, expected)

    def test_only_a_request_without_attempts_waits_for_room(self) -> None:
        self.assertAlmostEqual(room_wait_s(_request(), route(latency_target_s=1.0), 10.0), 0.1)
        reset = _unanswered(Verdict.UNKNOWN, "reset")
        self.assertEqual(room_wait_s(_request(reset), route(), 10.0), 0.0)


class TimeLeft(unittest.TestCase):
    def test_a_request_needs_the_shortest_latency_of_its_service(self) -> None:
        self.assertTrue(has_time(10.0, 9.9, 0.0))
        self.assertTrue(has_time(10.0, 9.9, 0.05))
        self.assertFalse(has_time(10.0, 9.9, 0.2))
        self.assertFalse(has_time(10.0, 10.0, 0.0))

    def test_a_request_with_less_time_is_refused_at_once_and_not_sent(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            path.world.configure(route(repeatable=False))
            for server in path.servers.values():
                server.work_s = 0.3
            for number in range(30):
                await path.pipeline.run(path.request(f"q{number}"))
            before = loop.time()
            short = path.request("short", deadline=before + 0.2)
            reply = await path.pipeline.run(short)
            self.assertEqual((reply.status, reply.refusal), (503, RefusalReason.NO_TIME))
            self.assertIsNotNone(reply.retry_after_s)
            self.assertEqual((loop.time(), short.attempts), (before, []))

        run_virtual(main)

    def test_a_request_with_less_time_that_may_have_run_gets_no_promise(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            path.world.configure(route())
            for server in path.servers.values():
                server.work_s = 0.3
            for number in range(30):
                await path.pipeline.run(path.request(f"q{number}"))
            path.first().spoils = [Spoil.LOST]
            request = path.request("short", deadline=loop.time() + 0.5)
            reply = await path.pipeline.run(request)
            self.assertEqual((reply.status, len(request.attempts)), (504, 1))

        run_virtual(main)


class KeptConnections(unittest.TestCase):
    def test_a_non_repeatable_request_needs_a_recently_used_connection(self) -> None:
        reset = _unanswered(Verdict.UNKNOWN, "reset")
        once = route(repeatable=False)
        self.assertEqual(max_idle_s(_request(), route()), float("inf"))
        self.assertEqual(max_idle_s(_request(), once), MAX_NON_REPEATABLE_IDLE_S)
        self.assertEqual(max_idle_s(_request(reset), route()), 0.0)
        self.assertEqual(max_idle_s(_request(reset), once), 0.0)

    def test_a_non_repeatable_request_opens_a_connection_after_idle_time(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route(repeatable=False))
            opened = []
            for number, pause_s in enumerate(
                (0.0, MAX_NON_REPEATABLE_IDLE_S / 2, MAX_NON_REPEATABLE_IDLE_S + 0.1)
            ):
                await pass_time(pause_s)
                reply = await path.pipeline.run(path.request(f"q{number}"))
                self.assertEqual(reply.status, 200)
                opened.append(path.pool.opened)
            self.assertEqual(opened, [1, 1, 2])

        run_virtual(main)


class CallersSide(unittest.TestCase):
    def test_an_unreadable_deadline_is_counted_and_a_missing_one_is_not(self) -> None:
        async def main(loop: VirtualLoop) -> tuple[str, str]:
            vm = await VirtualGateway(loop).started()
            await vm.ask("/x")
            before = vm.metrics()
            await vm.ask("/x", headers=((NAMES.deadline_ms, "soon"),))
            return before, vm.metrics()

        before, after = run_virtual(main)
        self.assertNotIn("requests_with_unreadable_deadline", before)
        self.assertIn("requests_with_unreadable_deadline 1\n", after)

    def test_a_body_without_memory_is_refused_with_retry_after(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop).started()
            app = vm.gateway.requests.app
            app.bodies.take(app.bodies.max_bytes)
            answer = await vm.ask("/book/1", method="POST", body=b"x")
            self.assertEqual((answer.status, answer.body), (503, b'{"reason":"no-room"}'))
            self.assertIn("retry-after: 1\n", answer.headers)
            self.assertEqual(app.buffered, app.bodies.max_bytes)

        run_virtual(main)


class BlockedFields(unittest.TestCase):
    @given(st.floats(0, 1e9), st.floats(0, 1e9), st.floats(0, allow_infinity=True))
    def test_log_fields_have_fixed_names_and_finite_numbers(self, limit, load, age) -> None:
        blocked = Blocked("s0", BlockedReason.LOAD_LIMIT, 3, limit, load, age)
        fields = blocked.log_fields()
        self.assertEqual(list(fields), ["server_id", "in_flight", "window", "load", "told_s"])
        self.assertLessEqual(fields["told_s"], 1e6)
        self.assertEqual(list(Blocked("").log_fields().values()), ["", 0, 0.0, 0.0, 0.0])
