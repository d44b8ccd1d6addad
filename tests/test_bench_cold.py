"""Tests for bench.cold: cold engines with gates and without."""

import unittest

from bench import cold

SEED = 7


class ColdTest(unittest.TestCase):
    """Checks what cold engines are sent."""

    def test_no_engine_is_pushed_while_gates_and_the_store_fail(self) -> None:
        found = cold.run_trouble(SEED, gated=True, restart_s=0.5)
        self.assertEqual((found.over, found.fell_over), (0, 0))

    def test_engines_fall_over_without_gates(self) -> None:
        found = cold.run_trouble(SEED, gated=False)
        self.assertGreater(found.fell_over, 5)

    def test_a_cold_fleet_comes_up_without_a_store(self) -> None:
        found = cold.run_all_cold(SEED, gated=True)
        self.assertEqual(found.fell_over, 0)
        self.assertEqual(found.complete, 1.0)

    def test_an_engine_that_turns_cold_is_found_by_two_requests(self) -> None:
        for requests, seconds in cold.run_unnoticed(SEED):
            self.assertTrue(requests <= 2 or seconds <= 1.0)


if __name__ == "__main__":
    unittest.main()
