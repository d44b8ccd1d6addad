"""Tests for mothpass.core.trials."""

import unittest

from mothpass.core import gates
from mothpass.core import trials


def _make_request(
    *, target_id: str = "e1", boot_id: str = "b1"
) -> gates.GrantRequest:
    return gates.GrantRequest(
        target_id=target_id, boot_id=boot_id, call_ms=1000, alone=True
    )


class TrialTableTest(unittest.TestCase):
    """Checks that a target runs one trial at a time."""

    def setUp(self) -> None:
        self.table = trials.TrialTable()

    def _grant(
        self, request: gates.GrantRequest, now: float
    ) -> gates.Granted | gates.Denied:
        return self.table.grant(request, fencing=3, now=now)

    def test_denies_a_second_trial_at_the_same_target(self) -> None:
        self.assertIsInstance(self._grant(_make_request(), 0.0), gates.Granted)
        denied = self._grant(_make_request(), 0.1)
        self.assertEqual(denied, gates.Denied(reason=gates.Reason.FULL))

    def test_grants_trials_at_different_targets(self) -> None:
        for target_id in ("e1", "e2"):
            reply = self._grant(_make_request(target_id=target_id), 0.0)
            self.assertIsInstance(reply, gates.Granted)

    def test_grants_a_trial_after_a_restart_of_the_target(self) -> None:
        self._grant(_make_request(), 0.0)
        reply = self._grant(_make_request(boot_id="b2"), 0.1)
        self.assertIsInstance(reply, gates.Granted)

    def test_grants_again_after_the_release(self) -> None:
        request = _make_request()
        granted = self._grant(request, 0.0)
        assert isinstance(granted, gates.Granted)
        permit = gates.make_permit(
            request, granted, gate="d1", requested_at=0.0
        )
        self.assertIs(permit.source, gates.Source.TRIAL)
        self.table.release(gates.make_release(permit, answered=True))
        self.assertIsInstance(self._grant(request, 0.1), gates.Granted)

    def test_old_release_does_not_end_a_later_trial(self) -> None:
        request = _make_request()
        granted = self._grant(request, 0.0)
        assert isinstance(granted, gates.Granted)
        old = gates.make_release(
            gates.make_permit(request, granted, gate="d1", requested_at=0.0),
            answered=True,
        )
        self.table.release(old)
        self._grant(request, 0.1)
        self.table.release(old)
        self.assertIsInstance(self._grant(request, 0.2), gates.Denied)

    def test_trial_without_release_expires(self) -> None:
        self._grant(_make_request(), 0.0)
        self.assertIsInstance(self._grant(_make_request(), 3.9), gates.Denied)
        self.assertIsInstance(self._grant(_make_request(), 4.1), gates.Granted)


if __name__ == "__main__":
    unittest.main()
