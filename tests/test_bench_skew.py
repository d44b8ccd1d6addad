"""Tests for bench.skew: load against the skew bound during a surge."""

import unittest

from bench import baselines
from bench import skew

SEED = 7


class RunSkewTest(unittest.TestCase):
    """Tests the skew bound while one team surges tenfold."""

    def test_no_engine_is_above_the_bound_at_any_sample(self) -> None:
        result = skew.run_skew(None, seed=SEED)
        self.assertLessEqual(result.worst_ratio, 1.0)
        self.assertGreater(result.mean_load, 10.0)

    def test_least_reported_load_herds_above_the_bound(self) -> None:
        result = skew.run_skew(
            lambda _: baselines.choose_least_reported, seed=SEED
        )
        self.assertGreater(result.worst_ratio, 1.5)

    def test_plain_hash_exceeds_the_bound(self) -> None:
        result = skew.run_skew(lambda _: baselines.choose_hash, seed=SEED)
        self.assertGreater(result.worst_ratio, 1.0)


if __name__ == "__main__":
    unittest.main()
