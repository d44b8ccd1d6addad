"""Tests of the retry budget and the backoff."""

import random
import unittest

from mothpass.core import retries


class RetryBudgetTest(unittest.TestCase):
    """Retries are limited to a share of the successes."""

    def test_budget_is_used_up_without_successes(self) -> None:
        budget = retries.RetryBudget()
        spent = sum(budget.try_spend() for _ in range(1000))
        self.assertEqual(spent, 10)

    def test_retries_are_a_tenth_of_the_successes(self) -> None:
        budget = retries.RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.record_success()
            spent += budget.try_spend()
        self.assertLessEqual(spent, 10 + 100)
        self.assertGreaterEqual(spent, 100)

    def test_tokens_are_capped(self) -> None:
        budget = retries.RetryBudget()
        for _ in range(10_000):
            budget.record_success()
        spent = sum(budget.try_spend() for _ in range(1000))
        self.assertEqual(spent, 20)


class ComputeRetryAtTest(unittest.TestCase):
    """Time of the next attempt."""

    def test_retry_starts_before_the_deadline(self) -> None:
        source = random.Random(1)
        for _ in range(200):
            retry_at = retries.compute_retry_at(
                now=10.0, attempts=5, random=source, deadline=10.2
            )
            if retry_at is not None:
                self.assertLess(retry_at, 10.2)

    def test_no_retry_at_the_deadline(self) -> None:
        retry_at = retries.compute_retry_at(
            now=10.0, attempts=1, random=random.Random(1), deadline=10.0
        )
        self.assertIsNone(retry_at)

    def test_jitter_spreads_the_retries_of_daemons(self) -> None:
        times = {
            retries.compute_retry_at(
                now=0.0, attempts=3, random=random.Random(seed), deadline=9.0
            )
            for seed in range(20)
        }
        self.assertEqual(len(times), 20)


if __name__ == "__main__":
    unittest.main()
