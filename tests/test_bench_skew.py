"""Tests for bench.skew: a small surge, held and not held."""

import unittest

from bench import baselines
from bench import skew

SEED = 7


class RunSkewTest(unittest.TestCase):
    """Checks the bound on skew while one team surges tenfold."""

    def test_no_engine_is_above_the_bound_at_any_sample(self) -> None:
        found = skew.run_skew(None, seed=SEED)
        self.assertLessEqual(found.worst, 1.0)
        self.assertGreater(found.mean, 10.0)

    def test_least_reported_load_herds_far_above_the_bound(self) -> None:
        found = skew.run_skew(
            lambda _: baselines.choose_least_reported, seed=SEED
        )
        self.assertGreater(found.worst, 1.5)

    def test_plain_hash_does_not_hold_the_bound(self) -> None:
        found = skew.run_skew(lambda _: baselines.choose_hash, seed=SEED)
        self.assertGreater(found.worst, 1.0)


if __name__ == "__main__":
    unittest.main()
