"""Tests for mothpass.core.reserves."""

import unittest

from mothpass.core import gates
from mothpass.core import reserves

SLOTS = 9


def _make_reserve(*, idle: bool = True) -> reserves.Reserve:
    reserve = reserves.Reserve(
        boot_id="b1", held=True, answers_per_step=2, unknown_until=100.0
    )
    if idle:
        reserve.note_idle()
    return reserve


def _take(reserve: reserves.Reserve, now: float) -> gates.Permit | None:
    return reserve.take(target_id="e0", daemon="d0", now=now)


class HoldsReserveTest(unittest.TestCase):
    """Checks who holds the parts of a reserve."""

    def test_as_many_slots_hold_a_part_as_there_are_parts(self) -> None:
        for boot in range(20):
            holders = [
                slot
                for slot in range(SLOTS)
                if reserves.holds_reserve(
                    target_id="e0",
                    boot_id=f"b{boot}",
                    slot=slot,
                    slots=SLOTS,
                    count=2,
                )
            ]
            self.assertEqual(len(holders), 2)


class ReserveTest(unittest.TestCase):
    """Checks the permits of one part."""

    def test_one_call_at_a_time_until_answers_have_earned_more(self) -> None:
        reserve = _make_reserve()
        for _ in range(2):
            permit = _take(reserve, 0.0)
            assert permit is not None
            self.assertIsNone(_take(reserve, 0.0))
            self.assertTrue(reserve.start(permit))
            reserve.release(permit, answered=True)
            reserve.release(permit, answered=True)
        self.assertEqual(reserve.part, 2)

    def test_a_permit_that_was_never_used_is_free_after_its_deadline(
        self,
    ) -> None:
        reserve = _make_reserve()
        permit = _take(reserve, 0.0)
        assert permit is not None
        self.assertIsNone(_take(reserve, 0.9))
        self.assertIsNotNone(_take(reserve, 1.0))
        self.assertFalse(reserve.start(permit))

    def test_a_new_daemon_waits_for_the_calls_of_the_last_one(self) -> None:
        reserve = _make_reserve(idle=False)
        self.assertIsNone(_take(reserve, 99.0))
        self.assertIsNotNone(_take(reserve, 100.0))


if __name__ == "__main__":
    unittest.main()
