"""Tests for bench.reuse: reuse by the router and by chance."""

import unittest

from bench import baselines
from bench import reuse

SEED = 7


class RunReuseTest(unittest.TestCase):
    """Checks the reuse of returning chats while engines come and go."""

    def test_returning_chats_find_their_prompts_through_churn(self) -> None:
        own = reuse.run_reuse(None, seed=SEED, churn=True)
        chance = reuse.run_reuse(
            lambda _: baselines.make_random(SEED), seed=SEED, churn=True
        )
        self.assertGreater(own[-1], 2 * chance[-1])

    def test_a_surge_of_a_large_team_leaves_the_others_their_prompts(
        self,
    ) -> None:
        found = reuse.run_reuse(None, seed=SEED, surge=True)
        others = [found[x] for x in found if x not in (-1, reuse.LARGE_TEAM)]
        self.assertGreater(min(others), 0.5)


if __name__ == "__main__":
    unittest.main()
