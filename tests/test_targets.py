"""Tests for mothpass.core.targets."""

import unittest

from mothpass.core import targets
from mothpass.ports import targets as targets_port
from tests import routing_fixtures as fixtures


class TargetTest(unittest.TestCase):
    """Checks what is known of one engine."""

    def setUp(self) -> None:
        self.router = fixtures.make_warm_router(running=10, now=1.0)
        self.target = self.router.targets["e0"]

    def _answer(self, first_token_ms: float, now: float) -> None:
        self.target.record_first_token(
            first_token_ms, prompt_tokens=700, now=now
        )

    def test_own_calls_since_the_report_correct_it(self) -> None:
        self.target.start_attempt(1.5)
        self.assertEqual(self.target.load, 11)
        late = fixtures.make_record("e0", at=1.2, running=12)
        self.target.record_load(late)
        self.assertEqual(self.target.load, 13)

    def test_an_older_report_is_not_taken(self) -> None:
        old = fixtures.make_record("e0", at=0.5, running=50)
        self.assertFalse(self.target.record_load(old))
        self.assertEqual(self.target.load, 10)

    def test_a_new_boot_is_cold_until_a_report_says_warm(self) -> None:
        self.target.note_boot("b2", 2.0)
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

    def test_two_slow_first_tokens_make_it_suspect_and_a_usual_one_clears(
        self,
    ) -> None:
        for _ in range(targets.FIRST_TOKEN_SAMPLES_MIN):
            self._answer(300.0, 2.0)
        self._answer(900.0, 3.0)
        self.assertFalse(self.target.is_cold())
        self._answer(900.0, 3.1)
        self.assertTrue(self.target.is_cold())
        self._answer(300.0, 3.2)
        self.assertFalse(self.target.is_cold())

    def test_a_cold_report_makes_it_cold(self) -> None:
        self.target.record_load(
            fixtures.make_record("e0", at=2.0, phase=targets_port.Phase.COLD)
        )
        self.assertTrue(self.target.is_cold())


if __name__ == "__main__":
    unittest.main()
