"""Tests for bench.killers: crashes by a poison request and its bystanders."""

import unittest

from bench import killers


class KillersTest(unittest.TestCase):
    """Tests that trials keep the bounds and the baselines break them."""

    def test_trials_bound_crashes_and_serve_bystanders(self) -> None:
        for seed in range(3):
            outcome = killers.run_poison(
                seed=seed, policy=killers.SuspectPolicy.TRIALS
            )
            self.assertLessEqual(outcome.crashes, killers.MAX_CRASHES)
            self.assertEqual(outcome.bystanders_served_share, 1.0)

    def test_without_suspects_crashes_exceed_the_bound(self) -> None:
        outcome = killers.run_poison(seed=1, policy=killers.SuspectPolicy.NONE)
        self.assertGreater(outcome.crashes, killers.MAX_CRASHES)

    def test_rejecting_all_denies_bystanders(self) -> None:
        outcome = killers.run_poison(
            seed=1, policy=killers.SuspectPolicy.REJECT_ALL
        )
        self.assertLess(outcome.bystanders_served_share, 1.0)


if __name__ == "__main__":
    unittest.main()
