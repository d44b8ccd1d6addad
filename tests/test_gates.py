"""Tests for mothpass.core.gates."""

import unittest

from mothpass.core import catalogue
from mothpass.core import cold
from mothpass.core import gates

START = catalogue.ColdStart(in_flight=4, answers_per_step=2, warm_in_flight=8)
LEASE_ENDS_AT = 1000.0


def _make_gate(*, is_first: bool = True, taken_at: float = 0.0) -> gates.Gate:
    return gates.Gate(
        target_id="e0",
        boot_id="b1",
        fencing=7,
        ramp=cold.Ramp(start=START),
        taken_at=taken_at,
        call_limit_ms=3000,
        is_first=is_first,
    )


def _request_permit(
    gate: gates.Gate,
    now: float,
    *,
    boot_id: str = "b1",
    lease_ends_at: float = LEASE_ENDS_AT,
) -> gates.Granted | gates.Denied:
    request = gates.GrantRequest(target_id="e0", boot_id=boot_id, call_ms=3000)
    return gate.grant(request, lease_ends_at=lease_ends_at, now=now)


def _release(number: int, *, fencing: int = 7) -> gates.Release:
    return gates.Release(
        target_id="e0",
        boot_id="b1",
        source=gates.Source.GATE,
        number=number,
        fencing=fencing,
        answered=True,
    )


class GrantTest(unittest.TestCase):
    """Checks which permits a gate grants."""

    def test_grants_the_limit_less_the_reserve(self) -> None:
        gate = _make_gate()
        replies = [_request_permit(gate, 0.0) for _ in range(4)]
        granted = [x for x in replies if isinstance(x, gates.Granted)]
        self.assertEqual(len(granted), 3)
        self.assertEqual(replies[3], gates.Denied(reason=gates.Reason.FULL))

    def test_answers_raise_the_limit_and_a_repeated_release_counts_once(
        self,
    ) -> None:
        gate = _make_gate()
        for _ in range(2):
            _request_permit(gate, 0.0)
        gate.release(_release(1))
        gate.release(_release(1))
        self.assertEqual(gate.ramp.max_in_flight, 4)
        gate.release(_release(2))
        self.assertEqual(
            (gate.ramp.max_in_flight, gate.count_in_flight(0.0)), (5, 0)
        )

    def test_release_of_an_earlier_gates_permit_changes_nothing(self) -> None:
        gate = _make_gate()
        _request_permit(gate, 0.0)
        gate.release(_release(1, fencing=6))
        self.assertEqual(gate.count_in_flight(0.0), 1)

    def test_denies_permits_once_its_lease_has_ended(self) -> None:
        reply = _request_permit(_make_gate(), 5.0, lease_ends_at=5.0)
        self.assertEqual(reply, gates.Denied(reason=gates.Reason.NOT_HOLDER))

    def test_denies_a_permit_for_another_boot_id(self) -> None:
        reply = _request_permit(_make_gate(), 0.0, boot_id="b2")
        self.assertEqual(reply, gates.Denied(reason=gates.Reason.OTHER_BOOT))

    def test_permit_without_a_release_counts_until_it_expires(
        self,
    ) -> None:
        gate = _make_gate()
        for _ in range(3):
            _request_permit(gate, 0.0)
        self.assertIsInstance(_request_permit(gate, 5.9), gates.Denied)
        self.assertIsInstance(_request_permit(gate, 6.0), gates.Granted)


class TakeoverTest(unittest.TestCase):
    """Checks how a gate counts requests that an earlier gate admitted."""

    def test_counts_inherited_requests_until_they_have_ended(
        self,
    ) -> None:
        gate = _make_gate(is_first=False)
        self.assertIsInstance(_request_permit(gate, 5.9), gates.Denied)
        self.assertIsInstance(_request_permit(gate, 6.0), gates.Granted)

    def test_report_lowers_the_count_of_inherited_requests(self) -> None:
        gate = _make_gate(is_first=False)
        gate.record_load(0, measured_at=0.9)
        self.assertIsInstance(_request_permit(gate, 2.0), gates.Denied)
        gate.record_load(2, measured_at=1.5)
        self.assertIsInstance(_request_permit(gate, 2.0), gates.Granted)
        self.assertIsInstance(_request_permit(gate, 2.0), gates.Denied)

    def test_denies_permits_while_the_target_is_over_its_limit(
        self,
    ) -> None:
        gate = _make_gate()
        gate.record_load(9, measured_at=2.0)
        self.assertIsInstance(_request_permit(gate, 2.0), gates.Denied)


class PermitTest(unittest.TestCase):
    """Checks permits at the daemon that requested them."""

    def test_dispatch_deadline_counts_from_the_grant_request(self) -> None:
        request = gates.GrantRequest(target_id="e0", boot_id="b1", call_ms=3000)
        granted = gates.Granted(number=1, fencing=7, dispatch_ms=1000)
        permit = gates.make_permit(
            request, granted, gate="d1", requested_at=50.0
        )
        for boot_id, now, expected in (
            ("b1", 50.9, True),
            ("b1", 51.0, False),
            ("b2", 50.9, False),
        ):
            found = gates.may_dispatch(permit, boot_id=boot_id, now=now)
            self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
