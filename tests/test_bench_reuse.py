"""Tests for bench.reuse: reuse by the router and by random placement."""

import unittest

from bench import baselines
from bench import reuse

SEED = 7


class RunReuseTest(unittest.TestCase):
    """Tests the cache reuse of returning chats under churn and surges."""

    def test_router_reuses_twice_as_much_as_random_under_churn(self) -> None:
        router_reuse = reuse.run_reuse(None, seed=SEED, churn=True)
        random_reuse = reuse.run_reuse(
            lambda _: baselines.make_random(SEED), seed=SEED, churn=True
        )
        self.assertGreater(router_reuse[-1], 2 * random_reuse[-1])

    def test_surge_of_large_team_keeps_reuse_of_other_teams(
        self,
    ) -> None:
        reuse_by_team = reuse.run_reuse(None, seed=SEED, surge=True)
        others = [
            reuse_by_team[x]
            for x in reuse_by_team
            if x not in (-1, reuse.LARGE_TEAM)
        ]
        self.assertGreater(min(others), 0.5)


if __name__ == "__main__":
    unittest.main()
