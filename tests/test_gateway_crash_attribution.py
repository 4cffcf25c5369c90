"""Which requests are found to crash servers, compared with a brute-force oracle and under load."""

import random
import unittest
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.crashes import crash_log
from sprucewinch.gateway.crashes.crash_attribution import (
    MIN_CRASHES,
    assess,
    count_consecutive,
    count_incidents,
)
from sprucewinch.gateway.crashes.crash_log import CrashLog, ServerProcess, Suspect, SuspectRun

REQUESTS = tuple(bytes([number]) * 16 for number in range(4))


class Run(NamedTuple):
    """A request's run at a server that crashed, as one VM saw it."""

    request: bytes
    started: float
    vm: str


class Crash(NamedTuple):
    """The crash of a server."""

    server: int
    at: float
    runs: tuple[Run, ...]


class Success(NamedTuple):
    """A success of a request."""

    request: bytes
    at: float


def _suspect(run: Run) -> Suspect:
    return Suspect(run.request, run.request[0], "GET /a", run.started)


def deliver(log: CrashLog, report: "Crash | Success") -> None:
    """Deliver one report to a VM's log."""
    if isinstance(report, Success):
        log.record_success(report.request, report.at)
        return
    process = ServerProcess(f"i-{report.server}")
    for run in report.runs:
        log.add(process, "rates", report.at, {run.request: _suspect(run)}, (run.vm,))


def oracle(
    events: Sequence["Crash | Success"], request: bytes, refused: frozenset[bytes] = frozenset()
) -> tuple[int, int]:
    """Return the crashes and how many are needed, by trying every choice of runs."""
    crashes = [e for e in events if isinstance(e, Crash)]
    there = {crash.server: _there(events, crash) for crash in crashes}
    own = [
        crash
        for crash in crashes
        if request in there[crash.server] and not (refused - {request}) & there[crash.server].keys()
    ]
    if not own:
        return 0, MIN_CRASHES
    runs = [(there[crash.server][request], crash.at) for crash in own]
    since = min(start for start, _ in runs)
    without = sorted(
        e.at
        for e in crashes
        if request not in there[e.server]
        and e.at >= since
        and not (refused - {request}) & there[e.server].keys()
    )
    groups = sum(
        number == 0 or at - without[number - 1] > 0.25 for number, at in enumerate(without)
    )
    companions = [
        other
        for other in REQUESTS
        if other != request and all(other in there[crash.server] for crash in own)
    ]
    return _longest(runs), MIN_CRASHES + min(2, groups + bool(companions))


def _there(events: Sequence["Crash | Success"], crash: Crash) -> dict[bytes, float]:
    """Return the suspects of a crash, with the first start of each."""
    found: dict[bytes, float] = {}
    for run in crash.runs:
        successes = [e.at for e in events if isinstance(e, Success) and e.request == run.request]
        if max(successes, default=-1) < crash.at:
            found[run.request] = min(run.started, found.get(run.request, run.started))
    return found


def _longest(runs: list[tuple[float, float]]) -> int:
    best = 0
    for choice in range(1 << len(runs)):
        chosen = [run for number, run in enumerate(runs) if choice >> number & 1]
        chosen.sort(key=lambda run: (run[1], run[0]))
        if all(
            b[0] >= a[1] - 0.04 and b[1] - a[1] >= 0.04
            for a, b in zip(chosen, chosen[1:], strict=False)
        ):
            best = max(best, len(chosen))
    return best


_AT = st.integers(0, 200).map(lambda tick: tick / 10)


@st.composite
def histories(draw: st.DrawFn) -> list["Crash | Success"]:
    """Return crashes and successes; each server crashes once."""
    events: list[Crash | Success] = []
    for server in range(draw(st.integers(0, 8))):
        at = draw(_AT)
        runs = draw(
            st.lists(
                st.builds(
                    Run,
                    st.sampled_from(REQUESTS),
                    st.floats(0, 1).map(lambda part, at=at: at - part),
                    st.sampled_from(("vm0", "vm1", "vm2")),
                ),
                min_size=1,
                max_size=6,
            )
        )
        events.append(Crash(server, at, tuple(runs)))
    events += draw(st.lists(st.builds(Success, st.sampled_from(REQUESTS), _AT), max_size=3))
    return events


def _reports(events: Iterable["Crash | Success"]) -> list["Crash | Success"]:
    """Return the reports of the VMs, one for each run."""
    parts: list[Crash | Success] = []
    for event in events:
        if isinstance(event, Success):
            parts.append(event)
        else:
            parts += [event._replace(runs=(run,)) for run in event.runs]
    return parts


class Oracle(unittest.TestCase):
    @settings(max_examples=300)
    @given(histories(), st.randoms(use_true_random=False))
    def test_any_order_and_number_of_reports_gives_the_same(
        self, events: list["Crash | Success"], rng: random.Random
    ) -> None:
        reports = _reports(events)
        reports += [report for report in reports if rng.random() < 0.3]
        rng.shuffle(reports)
        log = CrashLog()
        for report in reports:
            deliver(log, report)
        refused = frozenset(request for request in REQUESTS if rng.random() < 0.2)
        for request in REQUESTS:
            assessment = assess(log, request, refused)
            self.assertEqual(tuple(assessment), oracle(events, request, refused))

    @settings(max_examples=100)
    @given(histories(), st.randoms(use_true_random=False))
    def test_lost_reports_get_no_request_refused_that_was_at_fewer_crashes(
        self, events: list["Crash | Success"], rng: random.Random
    ) -> None:
        log = CrashLog()
        for report in _reports(events):
            if rng.random() < 0.7:
                deliver(log, report)
        for request in REQUESTS:
            there = sum(
                isinstance(e, Crash) and request in {s.request for s in e.runs} for e in events
            )
            if assess(log, request).must_refuse:
                self.assertGreaterEqual(there, MIN_CRASHES)


class Loads(unittest.TestCase):
    def test_one_request_that_ends_each_server_is_refused_at_the_third(self) -> None:
        log = CrashLog()
        for number in range(3):
            self.assertFalse(assess(log, REQUESTS[0]).must_refuse)
            beside = Run(bytes([100 + number]), number - 0.4, "vm1")
            crashing = Run(REQUESTS[0], number - 0.04, "vm0")
            deliver(log, Crash(number, float(number), (crashing, beside)))
        self.assertTrue(assess(log, REQUESTS[0]).must_refuse)

    def test_a_data_hall_that_loses_power_gets_no_request_refused(self) -> None:
        log = CrashLog()
        for number in range(10):
            runs = tuple(Run(request, -0.3, "vm0") for request in REQUESTS)
            deliver(log, Crash(number, number * 0.02, runs))
        for request in REQUESTS:
            self.assertEqual(assess(log, request).crashes, 1)

    def test_servers_that_crash_in_series_get_no_popular_request_refused(self) -> None:
        """30 crashes, 0.3 s apart, under popular requests that succeed elsewhere meanwhile."""
        log = CrashLog()
        for number in range(30):
            at = number * 0.3
            deliver(log, Crash(number, at, tuple(Run(r, at - 0.1, "vm0") for r in REQUESTS)))
            for request in REQUESTS:
                self.assertFalse(assess(log, request).must_refuse)
                deliver(log, Success(request, at + 0.15))

    def test_crashes_without_a_request_raise_the_number_needed(self) -> None:
        log = CrashLog()
        for number in range(3):
            deliver(log, Crash(number, float(number), (Run(REQUESTS[0], number - 0.04, "vm0"),)))
            other = (Run(REQUESTS[1], number + 0.4, "vm0"),)
            deliver(log, Crash(100 + number, number + 0.5, other))
        self.assertEqual(assess(log, REQUESTS[0]), (3, 5))

    def test_a_request_at_all_of_the_same_crashes_is_told_apart_by_the_next_run(self) -> None:
        log = CrashLog()
        for number in range(3):
            both = tuple(Run(request, number - 0.04, "vm0") for request in REQUESTS[:2])
            deliver(log, Crash(number, float(number), both))
        self.assertEqual([assess(log, r) for r in REQUESTS[:2]], [(3, 4), (3, 4)])
        deliver(log, Success(REQUESTS[1], 3.5))
        self.assertTrue(assess(log, REQUESTS[0]).must_refuse)

    def test_crashes_of_a_request_that_is_refused_count_for_no_other(self) -> None:
        log = CrashLog()
        for number in range(4):
            runs = [Run(REQUESTS[0], number - 0.04, "vm0")]
            runs += [Run(REQUESTS[1], number - 0.04, "vm0")] if number < 3 else []
            deliver(log, Crash(number, float(number), tuple(runs)))
        self.assertTrue(assess(log, REQUESTS[0]).must_refuse)
        self.assertEqual(assess(log, REQUESTS[1], {REQUESTS[0]}).crashes, 0)

    def test_two_crashing_requests_are_both_refused_after_five(self) -> None:
        log = CrashLog()
        for number in range(5):
            for request in REQUESTS[:2]:
                at = number + request[0] / 2
                deliver(log, Crash(10 * number + request[0], at, (Run(request, at - 0.04, "vm0"),)))
        self.assertTrue(all(assess(log, request).must_refuse for request in REQUESTS[:2]))


class Bounds(unittest.TestCase):
    def test_the_oldest_crash_is_evicted_first_with_all_entries_of_its_requests(self) -> None:
        log = CrashLog()
        for number in range(300):
            runs = tuple(
                Run(b"%04d%012d" % (number, each), number / 10, "vm0") for each in range(40)
            )
            deliver(log, Crash(number, number / 10 + 0.05, runs))
        self.assertEqual(len(log.crashes), crash_log._MAX_CRASHES)
        self.assertLessEqual(len(log._by_request), 256 * 32)
        self.assertIsNone(log.suspect(b"%04d%012d" % (0, 0)))
        self.assertEqual(min(c.at for c in log.crashes), (300 - 256) / 10 + 0.05)

    def test_a_server_that_keeps_its_id_crashes_again(self) -> None:
        """Two servers without an incarnation; both crash at each of two attempts, 5 s apart."""
        log = CrashLog()
        for number in range(2):
            for server in range(2):
                at = number * 5.0 + server * 0.1
                deliver(log, Crash(server, at, (Run(REQUESTS[0], at - 0.04, "vm0"),)))
                deliver(log, Crash(server, at + 0.1, (Run(REQUESTS[0], at - 0.04, "vm1"),)))
        self.assertEqual(assess(log, REQUESTS[0]).crashes, 4)

    def test_a_process_with_an_incarnation_crashes_once(self) -> None:
        log = CrashLog()
        for at in (0.0, 5.0):
            suspect = _suspect(Run(REQUESTS[0], at - 0.1, "vm0"))
            log.add(ServerProcess("i-1", 7), "rates", at, {REQUESTS[0]: suspect}, ("vm0",))
        self.assertEqual(assess(log, REQUESTS[0]).crashes, 1)

    def test_old_crashes_are_forgotten(self) -> None:
        log = CrashLog()
        deliver(log, Crash(1, 0.0, (Run(REQUESTS[0], -1, "vm0"),)))
        deliver(log, Crash(2, 901.0, (Run(REQUESTS[1], 900, "vm0"),)))
        self.assertFalse(log.has_target(REQUESTS[0][0]))
        self.assertTrue(log.has_target(REQUESTS[1][0]))


class Parts(unittest.TestCase):
    def test_runs_that_overlap_count_once(self) -> None:
        self.assertEqual(
            count_consecutive([SuspectRun(0, 1), SuspectRun(0.5, 1.5), SuspectRun(1, 2)]), 2
        )
        self.assertEqual(count_consecutive([]), 0)

    def test_a_skew_of_reported_times_is_allowed_and_ends_together_count_once(self) -> None:
        self.assertEqual(count_consecutive([SuspectRun(0, 1.03), SuspectRun(1, 1.1)]), 2)
        self.assertEqual(count_consecutive([SuspectRun(0.98, 1), SuspectRun(0.98, 1.01)]), 1)

    def test_crashes_close_together_are_one_incident(self) -> None:
        self.assertEqual(count_incidents([0.0, 0.2, 0.4, 1.0]), 2)


if __name__ == "__main__":
    unittest.main()
