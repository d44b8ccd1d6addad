"""Tests for mothpass.core.retries."""

import random
import unittest

from mothpass.core import retries


class RetryBudgetTest(unittest.TestCase):
    """Checks that retries stay a share of the successes."""

    def test_runs_out_when_nothing_succeeds(self) -> None:
        budget = retries.RetryBudget()
        spent = sum(budget.try_spend() for _ in range(1000))
        self.assertEqual(spent, 10)

    def test_retries_stay_a_tenth_of_the_successes(self) -> None:
        budget = retries.RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.record_success()
            spent += budget.try_spend()
        self.assertLessEqual(spent, 10 + 100)
        self.assertGreaterEqual(spent, 100)

    def test_saves_no_more_than_its_bound(self) -> None:
        budget = retries.RetryBudget()
        for _ in range(10_000):
            budget.record_success()
        spent = sum(budget.try_spend() for _ in range(1000))
        self.assertEqual(spent, 20)


class ComputeRetryAtTest(unittest.TestCase):
    """Checks the time of the next try."""

    def test_never_passes_the_deadline(self) -> None:
        source = random.Random(1)
        for _ in range(200):
            at = retries.compute_retry_at(
                now=10.0, attempts=5, source=source, deadline=10.2
            )
            if at is not None:
                self.assertLess(at, 10.2)

    def test_gives_up_at_the_deadline(self) -> None:
        at = retries.compute_retry_at(
            now=10.0, attempts=1, source=random.Random(1), deadline=10.0
        )
        self.assertIsNone(at)

    def test_two_daemons_don_t_retry_in_step(self) -> None:
        times = {
            retries.compute_retry_at(
                now=0.0, attempts=3, source=random.Random(seed), deadline=9.0
            )
            for seed in range(20)
        }
        self.assertEqual(len(times), 20)


if __name__ == "__main__":
    unittest.main()
