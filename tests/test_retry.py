import random
import unittest

from sprucewinch.hall.planning.links import RateAllowance
from sprucewinch.retry import RetryAfterSchedule, TokenRetryBudget, backoff_s


class Budget(unittest.TestCase):
    def test_retries_stay_under_a_tenth(self) -> None:
        budget, rng = TokenRetryBudget(), random.Random(1)
        successes = retries = 0
        for _ in range(10_000):
            if rng.random() < 0.5:
                budget.record_success()
                successes += 1
            else:
                retries += budget.take()
        self.assertLessEqual(retries, 0.1 * successes + 1)
        self.assertGreater(retries, 0.09 * successes)

    def test_tokens_are_bounded(self) -> None:
        budget = TokenRetryBudget()
        for _ in range(100_000):
            budget.record_success()
        self.assertLessEqual(sum(budget.take() for _ in range(1000)), 10)


class RetryAfterTimes(unittest.TestCase):
    def test_callers_refused_together_return_one_after_the_other(self) -> None:
        schedule = RetryAfterSchedule(random.Random(1))
        times = sorted(schedule.retry_after_ms(0.0, 100.0) for _ in range(500))
        self.assertGreaterEqual(times[0], 100)
        busiest = max(sum(a <= t < a + 1000 for t in times) for a in range(0, 6000, 100))
        self.assertLessEqual(busiest, 115)

    def test_retry_after_is_bounded(self) -> None:
        schedule = RetryAfterSchedule(random.Random(1), max_ms=2000)
        times = [schedule.retry_after_ms(0.0, 1.0) for _ in range(100)]
        self.assertLessEqual(max(times), 2200)
        self.assertGreater(len({t // 100 for t in times[10:]}), 5)

    def test_one_caller_may_have_to_return_earlier_than_others(self) -> None:
        schedule = RetryAfterSchedule(random.Random(1), max_ms=2000)
        for _ in range(20):
            schedule.retry_after_ms(0.0, 20.0)
        early = [schedule.retry_after_ms(0.0, 20.0, latest_ms=300) for _ in range(50)]
        self.assertLessEqual(max(early), 300)
        self.assertGreater(schedule.retry_after_ms(0.0, 20.0), 1000)

    def test_backoff_is_spread_and_bounded(self) -> None:
        rng = random.Random(1)
        for attempt, most in ((1, 1.0), (3, 4.0), (50, 30.0)):
            waits = [backoff_s(attempt, rng) for _ in range(500)]
            self.assertLessEqual(max(waits), most)
            self.assertLess(min(waits), most / 10)


class Link(unittest.TestCase):
    def count_taken(
        self, allowances: list[RateAllowance], entry_vms: list[int], seconds: int
    ) -> int:
        count = 0
        for step in range(seconds * 100):
            now = step / 100
            for allowance, vm_count in zip(allowances, entry_vms, strict=True):
                if step % 50 == 0:
                    allowance.renew(100.0, vm_count, now)
                count += sum(allowance.take_token(now) for _ in range(5))
        return count

    def test_all_vms_together_keep_to_the_limit(self) -> None:
        allowances = [RateAllowance() for _ in range(4)]
        self.assertLessEqual(self.count_taken(allowances, [4] * 4, 10), 100 * 10 + 4 * 25)

    def test_vm_that_sees_a_peer_go_waits_before_it_takes_more(self) -> None:
        allowance = RateAllowance(count_hold_s=10.0)
        allowance.renew(100.0, 4, 0.0)
        allowance.renew(100.0, 1, 5.0)
        self.assertEqual(allowance.rate_per_s, 25.0)
        allowance.renew(100.0, 1, 10.5)
        self.assertEqual(allowance.rate_per_s, 100.0)

    def test_new_peer_counts_at_once(self) -> None:
        allowance = RateAllowance()
        allowance.renew(100.0, 1, 0.0)
        allowance.renew(100.0, 2, 0.5)
        self.assertEqual(allowance.rate_per_s, 50.0)
