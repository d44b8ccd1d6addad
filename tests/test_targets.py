"""Tests for mothpass.core.targets."""

import unittest

from mothpass.core import targets
from mothpass.ports import targets as targets_port
from tests import routing_fixtures as fixtures


class TargetTest(unittest.TestCase):
    """Tests the load and the phase of one engine as known to a daemon."""

    def setUp(self) -> None:
        self.router = fixtures.make_warm_router(running=10, now=1.0)
        self.target = self.router.targets["e0"]

    def _record_first_token(self, first_token_ms: float, now: float) -> None:
        self.target.record_first_token(
            first_token_ms, prompt_tokens=700, now=now
        )

    def test_own_requests_since_the_report_add_to_the_load(self) -> None:
        self.target.start_attempt(1.5)
        self.assertEqual(self.target.load, 11)
        delayed = fixtures.make_record("e0", at=1.2, running=12)
        self.target.record_load(delayed)
        self.assertEqual(self.target.load, 13)

    def test_an_older_report_is_ignored(self) -> None:
        old = fixtures.make_record("e0", at=0.5, running=50)
        self.assertFalse(self.target.record_load(old))
        self.assertEqual(self.target.load, 10)

    def test_a_new_boot_is_cold_until_a_report_says_warm(self) -> None:
        self.target.check_boot_id("b2", 2.0)
        self.assertTrue(self.target.is_cold())
        self.target.record_load(fixtures.make_record("e0", at=1.9))
        self.assertTrue(self.target.is_cold())
        self.target.record_load(
            fixtures.make_record("e0", at=2.1, boot_id="b2")
        )
        self.assertFalse(self.target.is_cold())

    def test_a_lost_answer_makes_it_cold_until_a_later_report(self) -> None:
        self.target.start_attempt(2.0)
        self.target.finish_attempt(targets.Outcome.LOST, 2.5)
        self.assertTrue(self.target.is_cold())
        self.target.record_load(fixtures.make_record("e0", at=2.6))
        self.assertFalse(self.target.is_cold())

    def test_two_slow_first_tokens_make_it_cold_until_one_is_as_usual(
        self,
    ) -> None:
        for _ in range(targets.MIN_FIRST_TOKEN_SAMPLES):
            self._record_first_token(300.0, 2.0)
        self._record_first_token(900.0, 3.0)
        self.assertFalse(self.target.is_cold())
        self._record_first_token(900.0, 3.1)
        self.assertTrue(self.target.is_cold())
        self._record_first_token(300.0, 3.2)
        self.assertFalse(self.target.is_cold())

    def test_a_cold_report_makes_it_cold(self) -> None:
        self.target.record_load(
            fixtures.make_record("e0", at=2.0, phase=targets_port.Phase.COLD)
        )
        self.assertTrue(self.target.is_cold())


if __name__ == "__main__":
    unittest.main()
