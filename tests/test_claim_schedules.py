"""Runs random schedules of claims and of two weaker baselines."""

import unittest

from tests import claim_schedules

SCHEDULES = 10_000
BASELINE_SCHEDULES = 300


class ClaimSchedulesTest(unittest.TestCase):
    """Checks two daemons with one key under random faults."""

    def test_call_runs_at_most_once_and_each_outcome_is_true(self) -> None:
        report = claim_schedules.run_schedules(
            range(SCHEDULES), claim_schedules.build_at_most_once_runner
        )
        self.assertEqual(report.violations, {})
        # The faults and outcomes that the rules cover did occur.
        for fault in ("answer lost", "write late", "death", "pause", "outage"):
            self.assertGreater(report.faults[fault], 100, fault)
        for outcome in (
            "answer",
            "no answer",
            "TARGET_FAILED no",
            "OUTCOME_UNKNOWN unknown",
            "IN_PROGRESS unknown",
            "STORE_UNAVAILABLE unknown",
            "IDEMPOTENCY_KEY_REUSED unknown",
        ):
            self.assertGreater(report.outcomes[outcome], 100, outcome)

    def test_baseline_without_claims_runs_twice(self) -> None:
        report = claim_schedules.run_schedules(
            range(BASELINE_SCHEDULES), claim_schedules.build_retry_baseline
        )
        self.assertGreater(len(report.violations), 0)

    def test_baseline_without_read_back_denies_a_run(self) -> None:
        report = claim_schedules.run_schedules(
            range(BASELINE_SCHEDULES), claim_schedules.build_blind_baseline
        )
        self.assertGreater(len(report.violations), 0)


if __name__ == "__main__":
    unittest.main()
