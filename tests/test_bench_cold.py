"""Tests for bench.cold: cold engines with and without gates."""

import unittest

from bench import cold

SEED = 7


class ColdTest(unittest.TestCase):
    """Tests the load that cold engines receive."""

    def test_no_cold_engine_is_overloaded_while_gates_and_store_fail(
        self,
    ) -> None:
        result = cold.run_faults(SEED, gated=True, restart_s=0.5)
        self.assertEqual((result.peak_excess, result.overload_deaths), (0, 0))

    def test_ungated_engines_die_of_overload_and_runs_repeat(
        self,
    ) -> None:
        result = cold.run_faults(SEED, gated=False)
        self.assertGreater(result.overload_deaths, 5)
        self.assertEqual(result, cold.run_faults(SEED, gated=False))

    def test_all_cold_fleet_recovers_without_store(self) -> None:
        result = cold.run_all_cold(SEED, gated=True)
        self.assertEqual(result.overload_deaths, 0)
        self.assertEqual(result.complete_share, 1.0)

    def test_silently_cold_engine_is_detected_by_two_requests(self) -> None:
        for requests, seconds in cold.run_silent_cold(SEED):
            self.assertTrue(requests <= 2 or seconds <= 1.0)


if __name__ == "__main__":
    unittest.main()
