"""Tests of a daemon's share of the store's rate limits."""

import unittest

from mothpass.core import store_budgets

_READ = store_budgets.Kind.READ
_WRITE = store_budgets.Kind.WRITE


def _take_all(
    budget: store_budgets.StoreBudget,
    priority: store_budgets.Priority,
    now: float,
) -> int:
    """Takes single writes until one is rejected. Returns how many."""
    taken = 0
    while budget.try_take(_WRITE, priority, now=now):
        taken += 1
    return taken


class StoreBudgetTest(unittest.TestCase):
    """One of eight daemons that share 160 writes per second."""

    def setUp(self) -> None:
        self.budget = store_budgets.StoreBudget(
            reads_per_s=80.0, writes_per_s=160.0, daemons=8, now=0.0
        )

    def test_lower_priorities_leave_a_reserve_in_the_bucket(self) -> None:
        size = int(20.0 * store_budgets.BURST_S)
        self.assertEqual(
            _take_all(self.budget, store_budgets.Priority.POLL, 0.0), size // 2
        )
        self.assertEqual(
            _take_all(self.budget, store_budgets.Priority.RENEWAL, 0.0),
            size // 4,
        )
        self.assertEqual(
            _take_all(self.budget, store_budgets.Priority.CLAIM, 0.0), size // 4
        )

    def test_bucket_refills_at_the_rate_of_the_share(self) -> None:
        _take_all(self.budget, store_budgets.Priority.CLAIM, 0.0)
        self.assertEqual(
            _take_all(self.budget, store_budgets.Priority.CLAIM, 0.5), 10
        )

    def test_reads_and_writes_have_separate_buckets(self) -> None:
        _take_all(self.budget, store_budgets.Priority.CLAIM, 0.0)
        self.assertTrue(
            self.budget.try_take(_READ, store_budgets.Priority.POLL, now=0.0)
        )

    def test_tokens_of_several_calls_are_taken_all_or_none(self) -> None:
        self.assertFalse(
            self.budget.try_take(
                _WRITE, store_budgets.Priority.CLAIM, now=0.0, calls=41
            )
        )
        self.assertTrue(
            self.budget.try_take(
                _WRITE, store_budgets.Priority.CLAIM, now=0.0, calls=40
            )
        )
        self.assertEqual(self.budget.refused[store_budgets.Priority.CLAIM], 1)

    def test_share_follows_the_number_of_live_daemons(self) -> None:
        _take_all(self.budget, store_budgets.Priority.CLAIM, 0.0)
        self.budget.set_daemons(4, now=0.0)
        self.assertEqual(
            _take_all(self.budget, store_budgets.Priority.CLAIM, 0.5), 20
        )

    def test_calls_are_admitted_right_after_the_computed_wait(self) -> None:
        _take_all(self.budget, store_budgets.Priority.CLAIM, 0.0)
        priority = store_budgets.Priority.POLL
        wait_s = self.budget.compute_wait_s(_WRITE, priority, now=0.0)
        self.assertGreater(wait_s, 0.0)
        too_early = 0.9 * wait_s
        self.assertFalse(self.budget.try_take(_WRITE, priority, now=too_early))
        in_time = wait_s + 1e-6
        self.assertTrue(self.budget.try_take(_WRITE, priority, now=in_time))

    def test_whole_fleet_stays_below_the_limit(self) -> None:
        daemons = 1600
        budgets = [
            store_budgets.StoreBudget(
                reads_per_s=2000.0,
                writes_per_s=300.0,
                daemons=daemons,
                now=0.0,
            )
            for _ in range(daemons)
        ]
        for budget in budgets:
            _take_all(budget, store_budgets.Priority.CLAIM, 0.0)
        taken = sum(
            _take_all(budget, store_budgets.Priority.CLAIM, float(second))
            for budget in budgets
            for second in range(1, 41)
        )
        self.assertLessEqual(taken, 300 * 40)
        self.assertGreater(taken, 300 * 30)


if __name__ == "__main__":
    unittest.main()
