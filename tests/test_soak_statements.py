"""Tests that the soak finds broken promises on what servers state."""

import unittest

from standins.scripted_server import Answered
from tools.soak.ledger import EVERYBODY, STORE, Attempt, End, TroubleSpan
from tools.soak.promises.evidence import Evidence, gather_runs
from tools.soak.promises.judge import judge

from .test_soak import Judged


class Day(Judged):
    """A handwritten day on which VMs send requests to one server that states something."""

    def __init__(self) -> None:
        super().__init__()
        self.stand_in = self.servers["i-1"].stand_in

    def sends(self, vm: str, at: float, **stated: object) -> None:
        """Record one request that arrives at the server, and its answer with what it states."""
        request_id = f"q{len(self.stand_in.arrived)}"
        attempt = Attempt(request_id, "rates", vm, at - 0.01)
        attempt.ended_at, attempt.end, attempt.status = at + 0.1, End.ANSWERED, 200
        self.ledger.attempts.append(attempt)
        self.run(request_id, "i-1", at)
        self.stand_in.arrived.append((at, request_id))
        self.stand_in.answered.append(Answered(at + 0.05, request_id, 200, **stated))

    def rules(self) -> set[str]:
        """Judge the day, and return the broken promises."""
        runs = gather_runs(self.servers.values())
        evidence = Evidence(self.ledger, runs, ended_at=1000.0, stand_ins=(self.stand_in,))
        return {broken.rule for broken in judge(evidence)}


class PromisesAreJudged(unittest.TestCase):
    def test_a_limit(self) -> None:
        for per_s, expected in ((3.0, set()), (8.0, {"LIMIT"})):
            for scope in ("", STORE):
                day = Day()
                for number in range(int(per_s * 10)):
                    day.sends(f"vm{number % 2}", 100.0 + number / per_s, limit_per_s=2.5)
                if scope:
                    day.ledger.troubles.append(TroubleSpan("CutFromStore", scope, 101.0, 109.0))
                self.assertEqual(day.rules(), expected, (per_s, scope))

    def test_a_limit_is_not_judged_before_all_can_know_nor_by_vms_that_were_struck(self) -> None:
        for length_s, scope in ((2.9, ""), (10.0, EVERYBODY)):
            day = Day()
            for number in range(int(8 * length_s)):
                day.sends(f"vm{number % 2}", 100.0 + number / 8, limit_per_s=2.5)
            if scope:
                day.ledger.troubles.append(TroubleSpan("Pause", scope, 100.0, 110.0))
            self.assertEqual(day.rules(), set())

    def test_a_server_that_leaves_by_its_own_word(self) -> None:
        for later_s, scope, expected in (
            (1.9, "", set()),
            (3.0, "", {"DRAIN"}),
            (3.0, STORE, {"DRAIN"}),
            (3.0, "vm1", set()),
        ):
            day = Day()
            day.sends("vm1", 100.0, leaving=True)
            day.sends("vm1", 100.0 + later_s, leaving=True)
            if scope:
                day.ledger.troubles.append(TroubleSpan("Kill", scope, 100.5, 101.0))
            self.assertEqual(day.rules(), expected, (later_s, scope))

    def test_another_vm_that_was_not_told_may_send_to_one_that_leaves(self) -> None:
        day = Day()
        day.sends("vm1", 100.0, leaving=True)
        day.sends("vm2", 105.0, leaving=True)
        self.assertEqual(day.rules(), set())

    def test_a_rest(self) -> None:
        for count, vm, expected in (
            (2, "vm1", set()),
            (3, "vm1", {"REST"}),
            (3, "vm2", set()),
        ):
            day = Day()
            day.sends("vm1", 100.0, rest_s=2.0)
            for number in range(count):
                day.sends(vm, 101.0 + number / 10)
            self.assertEqual(day.rules(), expected, (count, vm))


if __name__ == "__main__":
    unittest.main()
