import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sprucewinch.hall.requests.admission import (
    COLD_PERIOD_S,
    FAIL_PAUSE_S,
    SHED_PAUSE_S,
    Admission,
    Slot,
)
from sprucewinch.net.outcome import Reason

SERVERS = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
SLOTS = 2


def admission(**options: int) -> Admission:
    made = Admission(lambda server, now: SLOTS, random.Random(1), **options)
    made.set_servers("rates", SERVERS)
    return made


class Requests(RuleBasedStateMachine):
    """Requests arrive, wait, end and stop waiting while servers leave, drain, fail and shed load.

    The test keeps its own list of the requests that run at each server. It guards against more
    requests than slots, new requests at a server that is leaving or draining, and slots that are
    not freed, also when a slot is released twice.
    """

    make = staticmethod(admission)

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.admission = self.make(max_waiting=4)
        self.running: list[Slot] = []
        self.waiting: list[dict[str, bool]] = []
        self.left_until: dict[str, float] = {}
        self.drained: frozenset[str] = frozenset()

    def record_start(self, slot: Slot) -> None:
        server = slot.server
        assert self.left_until.get(server.address, 0.0) <= self.now
        assert server.address not in self.drained
        self.running.append(slot)

    @rule()
    def arrive(self) -> None:
        got = self.admission.acquire(self.now)
        if isinstance(got, Slot):
            self.record_start(got)

    @rule()
    def arrive_and_wait(self) -> None:
        request = {"gone": False}

        def take(slot: Slot) -> bool:
            if request["gone"]:
                return False
            request["gone"] = True
            self.record_start(slot)
            return True

        if self.admission.wait(take):
            self.waiting.append(request)

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, 3))
    def give_up(self, index: int) -> None:
        self.waiting.pop(index % len(self.waiting))["gone"] = True

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 9), result=st.sampled_from(["answered", "shed", "failed"]))
    def end(self, index: int, result: str) -> None:
        slot = self.running.pop(index % len(self.running))
        if result == "shed":
            slot.server.mark_shed(self.now)
        elif result == "failed":
            slot.server.mark_failed(self.now)
        else:
            slot.server.record_latency(10.0)
        self.admission.release(slot, self.now)
        self.admission.release(slot, self.now)

    @rule(server=st.sampled_from(SERVERS), seconds=st.floats(0, 5))
    def server_leaves(self, server: str, seconds: float) -> None:
        until = self.now + seconds
        self.left_until[server] = max(until, self.left_until.get(server, 0.0))
        self.admission.mark_leaving(server, until)

    @rule(server=st.sampled_from(SERVERS))
    def server_drains(self, server: str) -> None:
        self.drained ^= {server}
        self.admission.drained = self.drained

    @rule(seconds=st.floats(0.01, 5))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.admission.serve_waiting(self.now)

    @invariant()
    def no_server_runs_more_than_its_slots(self) -> None:
        for server in self.admission.servers.values():
            running = sum(slot.server is server for slot in self.running)
            assert server.in_use == running <= SLOTS


Requests.TestCase.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
TestRequests = Requests.TestCase


class AdmissionIgnoringMarks(Admission):
    """A wrong version that gives out slots of servers that are leaving or draining."""

    def _open_servers(self, now: float) -> list:
        return list(self.servers.values())


class WrongVersionIsFound(unittest.TestCase):
    def run_steps(self, kind: type[Admission]) -> None:
        def make(**options: int) -> Admission:
            made = kind(lambda server, now: SLOTS, random.Random(1), **options)
            made.set_servers("rates", SERVERS)
            return made

        machine = type("Wrong", (Requests,), {"make": staticmethod(make)})()
        for server in SERVERS[:2]:
            machine.server_leaves(server, 5.0)
        machine.server_drains(SERVERS[2])
        machine.arrive()

    def test_proof_fails_with_a_wrong_version(self) -> None:
        with self.assertRaises(AssertionError):
            self.run_steps(AdmissionIgnoringMarks)
        self.run_steps(Admission)


class Cases(unittest.TestCase):
    def test_least_used_server_comes_first(self) -> None:
        made = admission()
        chosen = [made.acquire(0.0).server.address for _ in range(6)]
        self.assertEqual(sorted(chosen[:3]), sorted(SERVERS))
        self.assertEqual(made.acquire(0.0).reason, Reason.NO_ROOM)

    def test_server_that_shed_is_paused(self) -> None:
        made = admission()
        made.servers[SERVERS[0]].mark_shed(0.0)
        self.assertEqual(made.capacity(0.1), 4)
        self.assertEqual(made.capacity(SHED_PAUSE_S), 6)

    def test_failed_server_comes_back_with_one_slot(self) -> None:
        made = admission()
        made.set_servers("rates", SERVERS[:1])
        server = made.servers[SERVERS[0]]
        server.mark_failed(0.0)
        self.assertEqual(made.acquire(0.5).reason, Reason.NO_BACKEND_SERVER)
        recovered_at = FAIL_PAUSE_S + 0.1
        self.assertIsInstance(made.acquire(recovered_at), Slot)
        self.assertEqual(made.acquire(recovered_at).reason, Reason.NO_ROOM)
        self.assertIsInstance(made.acquire(recovered_at + COLD_PERIOD_S), Slot)

    def test_full_queue_refuses(self) -> None:
        made = admission(max_waiting=1)
        self.assertTrue(made.wait(lambda slot: True))
        self.assertFalse(made.wait(lambda slot: True))

    def test_freed_slot_goes_to_the_longest_waiting(self) -> None:
        made = admission()
        slots = [made.acquire(0.0) for _ in range(6)]
        order: list[str] = []
        for name in ("first", "second"):
            made.wait(lambda slot, name=name: order.append(name) or True)
        made.release(slots[0], 0.0)
        made.release(slots[1], 0.0)
        self.assertEqual(order, ["first", "second"])

    def test_removed_server_finishes_what_runs(self) -> None:
        made = admission()
        slots = [made.acquire(0.0) for _ in range(6)]
        made.set_servers("rates", SERVERS[:1])
        for slot in slots:
            made.release(slot, 0.0)
        self.assertEqual(made.in_use(), 0)
