"""Which requests are taken to crash servers, against a plain oracle and in the loads it is for."""

import random
import unittest
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.crashes import crash_log
from sprucewinch.gateway.crashes.crash_log import CrashLog, ServerProcess, Suspect, SuspectRun
from sprucewinch.gateway.crashes.guilt import CRASHES, in_a_row, judge, times

REQUESTS = tuple(bytes([number]) * 16 for number in range(4))


class Stay(NamedTuple):
    """A request's stay at a server that crashed, as one VM saw it."""

    request: bytes
    started: float
    vm: str


class End(NamedTuple):
    """The end of a server's process."""

    server: int
    at: float
    stays: tuple[Stay, ...]


class Good(NamedTuple):
    """A good end of a request."""

    request: bytes
    at: float


def _suspect(stay: Stay) -> Suspect:
    return Suspect(stay.request, stay.request[0], "GET /a", stay.started)


def tell(log: CrashLog, report: "End | Good") -> None:
    """Bring one report to a VM."""
    if isinstance(report, Good):
        log.note_good_end(report.request, report.at)
        return
    process = ServerProcess(f"i-{report.server}")
    for stay in report.stays:
        log.add(process, "rates", report.at, {stay.request: _suspect(stay)}, (stay.vm,))


def oracle(
    events: Sequence["End | Good"], request: bytes, refused: frozenset[bytes] = frozenset()
) -> tuple[int, int]:
    """Return crashes and needed ones, by trying every choice of stays."""
    ends = [e for e in events if isinstance(e, End)]
    there = {end.server: _there(events, end) for end in ends}
    own = [
        end
        for end in ends
        if request in there[end.server] and not (refused - {request}) & there[end.server].keys()
    ]
    if not own:
        return 0, CRASHES
    runs = [(there[end.server][request], end.at) for end in own]
    since = min(start for start, _ in runs)
    without = sorted(
        e.at
        for e in ends
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
        if other != request and all(other in there[end.server] for end in own)
    ]
    return _longest(runs), CRASHES + min(2, groups + bool(companions))


def _there(events: Sequence["End | Good"], end: End) -> dict[bytes, float]:
    """Return the requests that count at a crash, with their first start."""
    found: dict[bytes, float] = {}
    for stay in end.stays:
        goods = [e.at for e in events if isinstance(e, Good) and e.request == stay.request]
        if max(goods, default=-1) < end.at:
            found[stay.request] = min(stay.started, found.get(stay.request, stay.started))
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
def histories(draw: st.DrawFn) -> list["End | Good"]:
    """Return crashes and good ends, each server ending once."""
    events: list[End | Good] = []
    for server in range(draw(st.integers(0, 8))):
        at = draw(_AT)
        stays = draw(
            st.lists(
                st.builds(
                    Stay,
                    st.sampled_from(REQUESTS),
                    st.floats(0, 1).map(lambda part, at=at: at - part),
                    st.sampled_from(("vm0", "vm1", "vm2")),
                ),
                min_size=1,
                max_size=6,
            )
        )
        events.append(End(server, at, tuple(stays)))
    events += draw(st.lists(st.builds(Good, st.sampled_from(REQUESTS), _AT), max_size=3))
    return events


def _reports(events: Iterable["End | Good"]) -> list["End | Good"]:
    """Return what the VMs tell, a report for each stay."""
    parts: list[End | Good] = []
    for event in events:
        if isinstance(event, Good):
            parts.append(event)
        else:
            parts += [event._replace(stays=(stay,)) for stay in event.stays]
    return parts


class Oracle(unittest.TestCase):
    @settings(max_examples=300)
    @given(histories(), st.randoms(use_true_random=False))
    def test_any_order_and_number_of_reports_gives_the_same(
        self, events: list["End | Good"], rng: random.Random
    ) -> None:
        reports = _reports(events)
        reports += [report for report in reports if rng.random() < 0.3]
        rng.shuffle(reports)
        log = CrashLog()
        for report in reports:
            tell(log, report)
        refused = frozenset(request for request in REQUESTS if rng.random() < 0.2)
        for request in REQUESTS:
            judgement = judge(log, request, refused)
            self.assertEqual(tuple(judgement), oracle(events, request, refused))

    @settings(max_examples=100)
    @given(histories(), st.randoms(use_true_random=False))
    def test_lost_reports_make_nobody_guilty_who_was_at_fewer_crashes(
        self, events: list["End | Good"], rng: random.Random
    ) -> None:
        log = CrashLog()
        for report in _reports(events):
            if rng.random() < 0.7:
                tell(log, report)
        for request in REQUESTS:
            there = sum(
                isinstance(e, End) and request in {s.request for s in e.stays} for e in events
            )
            if judge(log, request).is_guilty:
                self.assertGreaterEqual(there, CRASHES)


class Loads(unittest.TestCase):
    def test_one_request_that_ends_each_server_is_guilty_at_the_third(self) -> None:
        log = CrashLog()
        for number in range(3):
            self.assertFalse(judge(log, REQUESTS[0]).is_guilty)
            beside = Stay(bytes([100 + number]), number - 0.4, "vm1")
            sick = Stay(REQUESTS[0], number - 0.04, "vm0")
            tell(log, End(number, float(number), (sick, beside)))
        self.assertTrue(judge(log, REQUESTS[0]).is_guilty)

    def test_a_data_hall_that_loses_power_makes_nobody_guilty(self) -> None:
        log = CrashLog()
        for number in range(10):
            stays = tuple(Stay(request, -0.3, "vm0") for request in REQUESTS)
            tell(log, End(number, number * 0.02, stays))
        for request in REQUESTS:
            self.assertEqual(judge(log, request).crashes, 1)

    def test_servers_that_die_in_series_make_no_popular_request_guilty(self) -> None:
        """Thirty deaths, 0.3 s apart; each popular request is at each, and ends well elsewhere."""
        log = CrashLog()
        for number in range(30):
            at = number * 0.3
            tell(log, End(number, at, tuple(Stay(r, at - 0.1, "vm0") for r in REQUESTS)))
            for request in REQUESTS:
                self.assertFalse(judge(log, request).is_guilty)
                tell(log, Good(request, at + 0.15))

    def test_deaths_without_a_request_raise_what_is_needed(self) -> None:
        log = CrashLog()
        for number in range(3):
            tell(log, End(number, float(number), (Stay(REQUESTS[0], number - 0.04, "vm0"),)))
            other = (Stay(REQUESTS[1], number + 0.4, "vm0"),)
            tell(log, End(100 + number, number + 0.5, other))
        self.assertEqual(judge(log, REQUESTS[0]), (3, 5))

    def test_a_request_at_all_of_the_same_crashes_is_told_apart_by_the_next_run(self) -> None:
        log = CrashLog()
        for number in range(3):
            both = tuple(Stay(request, number - 0.04, "vm0") for request in REQUESTS[:2])
            tell(log, End(number, float(number), both))
        self.assertEqual([judge(log, r) for r in REQUESTS[:2]], [(3, 4), (3, 4)])
        tell(log, Good(REQUESTS[1], 3.5))
        self.assertTrue(judge(log, REQUESTS[0]).is_guilty)

    def test_crashes_of_a_request_that_is_refused_count_for_no_other(self) -> None:
        log = CrashLog()
        for number in range(4):
            stays = [Stay(REQUESTS[0], number - 0.04, "vm0")]
            stays += [Stay(REQUESTS[1], number - 0.04, "vm0")] if number < 3 else []
            tell(log, End(number, float(number), tuple(stays)))
        self.assertTrue(judge(log, REQUESTS[0]).is_guilty)
        self.assertEqual(judge(log, REQUESTS[1], {REQUESTS[0]}).crashes, 0)

    def test_two_sick_requests_are_both_guilty_after_five(self) -> None:
        log = CrashLog()
        for number in range(5):
            for request in REQUESTS[:2]:
                at = number + request[0] / 2
                tell(log, End(10 * number + request[0], at, (Stay(request, at - 0.04, "vm0"),)))
        self.assertTrue(all(judge(log, request).is_guilty for request in REQUESTS[:2]))


class Bounds(unittest.TestCase):
    def test_the_oldest_crash_goes_first_and_all_that_names_its_requests(self) -> None:
        log = CrashLog()
        for number in range(300):
            stays = tuple(
                Stay(b"%04d%012d" % (number, each), number / 10, "vm0") for each in range(40)
            )
            tell(log, End(number, number / 10 + 0.05, stays))
        self.assertEqual(len(log.crashes), crash_log._MOST_CRASHES)
        self.assertLessEqual(len(log._by_request), 256 * 32)
        self.assertIsNone(log.suspect(b"%04d%012d" % (0, 0)))
        self.assertEqual(min(c.at for c in log.crashes), (300 - 256) / 10 + 0.05)

    def test_a_server_that_keeps_its_id_crashes_again(self) -> None:
        """Two servers that state no start: 5 s between the tries, each ends both."""
        log = CrashLog()
        for number in range(2):
            for server in range(2):
                at = number * 5.0 + server * 0.1
                tell(log, End(server, at, (Stay(REQUESTS[0], at - 0.04, "vm0"),)))
                tell(log, End(server, at + 0.1, (Stay(REQUESTS[0], at - 0.04, "vm1"),)))
        self.assertEqual(judge(log, REQUESTS[0]).crashes, 4)

    def test_a_process_that_states_its_start_crashes_once(self) -> None:
        log = CrashLog()
        for at in (0.0, 5.0):
            suspect = _suspect(Stay(REQUESTS[0], at - 0.1, "vm0"))
            log.add(ServerProcess("i-1", 7), "rates", at, {REQUESTS[0]: suspect}, ("vm0",))
        self.assertEqual(judge(log, REQUESTS[0]).crashes, 1)

    def test_old_crashes_are_forgotten(self) -> None:
        log = CrashLog()
        tell(log, End(1, 0.0, (Stay(REQUESTS[0], -1, "vm0"),)))
        tell(log, End(2, 901.0, (Stay(REQUESTS[1], 900, "vm0"),)))
        self.assertFalse(log.has_target(REQUESTS[0][0]))
        self.assertTrue(log.has_target(REQUESTS[1][0]))


class Parts(unittest.TestCase):
    def test_runs_that_overlap_count_once(self) -> None:
        self.assertEqual(in_a_row([SuspectRun(0, 1), SuspectRun(0.5, 1.5), SuspectRun(1, 2)]), 2)
        self.assertEqual(in_a_row([]), 0)

    def test_a_skew_of_reported_times_is_allowed_and_ends_together_count_once(self) -> None:
        self.assertEqual(in_a_row([SuspectRun(0, 1.03), SuspectRun(1, 1.1)]), 2)
        self.assertEqual(in_a_row([SuspectRun(0.98, 1), SuspectRun(0.98, 1.01)]), 1)

    def test_crashes_close_together_are_one_time(self) -> None:
        self.assertEqual(times([0.0, 0.2, 0.4, 1.0]), 2)


if __name__ == "__main__":
    unittest.main()
