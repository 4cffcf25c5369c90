"""Tests that the soak finds status lines that callers wait for, and which seeds draw what grows."""

import unittest

from tools.soak.ledger import End, LinkCut, TroubleSpan
from tools.soak.troubles.kinds import FIRST_SEED_OF_SCALE_KINDS, kinds_of
from tools.soak.troubles.scale import FetchMetrics, LongUploads, OddStatusLines, ReplaceRoutes

from .test_soak import Judged


class InvalidStatuses(unittest.TestCase):
    def test_who_waits_for_the_timeout_or_loses_its_connection_is_found(self) -> None:
        for status, end, expected in (
            (504, End.ANSWERED, {"STATUS"}),
            (0, End.CLOSED, {"STATUS"}),
            (502, End.ANSWERED, set()),
            (200, End.ANSWERED, set()),
        ):
            with self.subTest(status=status):
                day = Judged()
                day.attempt(status=status, end=end)
                day.ledger.invalid_statuses.add("q1")
                self.assertEqual(day.rules() & {"STATUS"}, expected)

    def test_a_vm_that_a_fault_met_is_excused(self) -> None:
        day = Judged()
        day.attempt(status=504)
        day.ledger.invalid_statuses.add("q1")
        day.ledger.troubles.append(TroubleSpan("Kill", "vm1", 99.9, 100.2))
        self.assertNotIn("STATUS", day.rules())

    def test_a_vm_that_lost_its_links_meanwhile_is_excused_and_no_other(self) -> None:
        # The attempt fails at once, and the server that is asked next is silent.
        for vm, expected in (("vm1", set()), ("vm2", {"STATUS"})):
            day = Judged()
            day.attempt(status=504)
            day.ledger.invalid_statuses.add("q1")
            day.ledger.link_cuts.append(LinkCut(vm, 100.05, 104.0))
            self.assertEqual(day.rules() & {"STATUS"}, expected)

    def test_other_timeouts_are_not_judged(self) -> None:
        day = Judged()
        day.attempt(status=504)
        self.assertNotIn("STATUS", day.rules())


class Days(unittest.TestCase):
    def test_only_seeds_from_the_first_on_draw_the_new_kinds(self) -> None:
        new = {ReplaceRoutes, FetchMetrics, LongUploads, OddStatusLines}
        for seed in (0, 11, 100_000, 1_200_003, FIRST_SEED_OF_SCALE_KINDS - 1):
            self.assertFalse(new & set(kinds_of(seed)), seed)
        self.assertLessEqual(new, set(kinds_of(FIRST_SEED_OF_SCALE_KINDS)))
