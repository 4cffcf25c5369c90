"""The rule of the planner's lease."""

import unittest

from sprucewinch.hall.planning.planner_lease import CANDIDATES, RENEW_S, LeaseRenewal, is_candidate


class Candidates(unittest.TestCase):
    def test_the_first_by_name_ask(self) -> None:
        names = ["d", "b", "a", "c"]
        asking = [name for name in names if is_candidate(name, names)]
        self.assertEqual(sorted(asking), ["a", "b", "c", "d"][:CANDIDATES])

    def test_a_vm_that_does_not_serve_never_asks(self) -> None:
        self.assertFalse(is_candidate("a", ["b"]))


class Renewal(unittest.TestCase):
    def test_due_at_first_and_after_the_renewal_time(self) -> None:
        renewal = LeaseRenewal()
        self.assertTrue(renewal.due(0.0))
        renewal.asked(10.0)
        self.assertFalse(renewal.due(10.0 + RENEW_S - 0.001))
        self.assertTrue(renewal.due(10.0 + RENEW_S))

    def test_due_at_once_after_the_store_was_away(self) -> None:
        renewal = LeaseRenewal()
        renewal.asked(10.0)
        renewal.forget()
        self.assertTrue(renewal.due(10.0))
