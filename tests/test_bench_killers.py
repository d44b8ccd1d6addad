"""Holds the bound on kills by a small run of bench.killers."""

import unittest

from bench import killers


class KillersTest(unittest.TestCase):
    """Checks the trials and that the baselines break the bound."""

    def test_trials_bound_the_kills_and_serve_those_beside(self) -> None:
        for seed in range(3):
            found = killers.run_killer(seed=seed, way=killers.Way.TRIALS)
            self.assertLessEqual(found.kills, killers.KILLS_BOUND)
            self.assertEqual(found.beside_served, 1.0)

    def test_without_suspects_the_request_goes_on_killing(self) -> None:
        found = killers.run_killer(seed=1, way=killers.Way.NONE)
        self.assertGreater(found.kills, killers.KILLS_BOUND)

    def test_refusing_all_condemns_those_beside(self) -> None:
        found = killers.run_killer(seed=1, way=killers.Way.REFUSE_ALL)
        self.assertLess(found.beside_served, 1.0)


if __name__ == "__main__":
    unittest.main()
