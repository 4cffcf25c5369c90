"""Which VMs request the lease of their region's planner, and when."""

import unittest

from sprucewinch.hall.planning.planner_lease import (
    MAX_CANDIDATES,
    RENEW_INTERVAL_S,
    LeaseRenewal,
    is_candidate,
)


class Candidates(unittest.TestCase):
    def test_the_first_by_name_are_candidates(self) -> None:
        names = ["d", "b", "a", "c"]
        candidates = [name for name in names if is_candidate(name, names)]
        self.assertEqual(sorted(candidates), ["a", "b", "c", "d"][:MAX_CANDIDATES])

    def test_a_vm_that_does_not_serve_is_no_candidate(self) -> None:
        self.assertFalse(is_candidate("a", ["b"]))


class Renewal(unittest.TestCase):
    def test_due_at_first_and_after_the_renewal_interval(self) -> None:
        renewal = LeaseRenewal()
        self.assertTrue(renewal.due(0.0))
        renewal.record_request(10.0)
        self.assertFalse(renewal.due(10.0 + RENEW_INTERVAL_S - 0.001))
        self.assertTrue(renewal.due(10.0 + RENEW_INTERVAL_S))

    def test_due_at_once_after_a_reset(self) -> None:
        renewal = LeaseRenewal()
        renewal.record_request(10.0)
        renewal.reset()
        self.assertTrue(renewal.due(10.0))
