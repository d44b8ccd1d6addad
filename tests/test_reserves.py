"""Tests for mothpass.core.reserves."""

import unittest

from mothpass.core import gates
from mothpass.core import reserves

SLOTS = 9


def _make_share(*, idle: bool = True) -> reserves.ReserveShare:
    share = reserves.ReserveShare(
        boot_id="b1", is_holder=True, answers_per_step=2, inherited_until=100.0
    )
    if idle:
        share.record_idle()
    return share


def _take(share: reserves.ReserveShare, now: float) -> gates.Permit | None:
    return share.take(target_id="e0", daemon="d0", now=now)


class HoldsShareTest(unittest.TestCase):
    """Checks who holds the shares of a reserve."""

    def test_each_share_is_held_by_one_slot(self) -> None:
        for boot in range(20):
            holders = [
                slot
                for slot in range(SLOTS)
                if reserves.holds_share(
                    target_id="e0",
                    boot_id=f"b{boot}",
                    slot=slot,
                    slots=SLOTS,
                    size=2,
                )
            ]
            self.assertEqual(len(holders), 2)


class ReserveShareTest(unittest.TestCase):
    """Checks the permits of one share."""

    def test_limit_is_one_request_until_answers_raise_it(self) -> None:
        share = _make_share()
        for _ in range(2):
            permit = _take(share, 0.0)
            assert permit is not None
            self.assertIsNone(_take(share, 0.0))
            self.assertTrue(share.start_attempt(permit))
            share.release(permit, answered=True)
            share.release(permit, answered=True)
        self.assertEqual(share.limit, 2)

    def test_unused_permit_is_free_after_its_deadline(
        self,
    ) -> None:
        share = _make_share()
        permit = _take(share, 0.0)
        assert permit is not None
        self.assertIsNone(_take(share, 0.9))
        self.assertIsNotNone(_take(share, 1.0))
        self.assertFalse(share.start_attempt(permit))

    def test_new_daemon_waits_for_requests_of_the_previous_one(self) -> None:
        share = _make_share(idle=False)
        self.assertIsNone(_take(share, 99.0))
        self.assertIsNotNone(_take(share, 100.0))


if __name__ == "__main__":
    unittest.main()
