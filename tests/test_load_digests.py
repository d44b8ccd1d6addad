"""Tests for mothpass.core.load_digests."""

import unittest

from mothpass.core import load_digests
from mothpass.core import targets
from mothpass.ports import targets as targets_port


def _make_record(
    target_id: str,
    *,
    boot_id: str = "b1",
    running: int = 5,
    phase: targets_port.Phase = targets_port.Phase.WARM,
    received_at: float = 10.0,
) -> targets.LoadRecord:
    return targets.LoadRecord(
        target_id=target_id,
        boot_id=boot_id,
        phase=phase,
        running=running,
        queued=1,
        received_at=received_at,
    )


class LoadDigestTableTest(unittest.TestCase):
    """Tests what one daemon decodes from the digests of another."""

    def setUp(self) -> None:
        self.sender = load_digests.LoadDigestTable(
            own_id="d1", first_sequence=100
        )
        self.receiver = load_digests.LoadDigestTable(
            own_id="d2", first_sequence=100
        )

    def _list_digests(self, now: float) -> list[load_digests.LoadDigest]:
        return self.sender.list_digests(
            ["d1"], received_since=float("-inf"), now=now
        )

    def _send_rosters(self) -> None:
        for roster in self.sender.list_rosters(["d1"]):
            self.receiver.accept_roster(roster)

    def test_records_arrive_with_boot_id_phase_and_age(self) -> None:
        cold = targets_port.Phase.COLD
        self.sender.set_own_records(
            [
                _make_record("e2", boot_id="b9", running=70, phase=cold),
                _make_record("e1", received_at=9.0),
            ],
            now=10.0,
        )
        self._send_rosters()
        (digest,) = self._list_digests(now=10.0)
        first, second = self.receiver.accept_digest(digest, now=50.0)
        self.assertEqual(first.target_id, "e1")
        self.assertEqual(first.in_flight, 6)
        self.assertAlmostEqual(first.measured_at, 49.0, delta=0.02)
        self.assertEqual(second.boot_id, "b9")
        self.assertEqual(second.in_flight, 71)
        self.assertIs(second.phase, cold)

    def test_a_target_takes_three_bytes(self) -> None:
        records = [_make_record(f"e{number}") for number in range(100)]
        self.sender.set_own_records(records, now=10.0)
        (digest,) = self._list_digests(now=10.0)
        self.assertEqual(len(digest.loads), 300)

    def test_a_report_older_than_the_largest_encoded_age_is_dropped(
        self,
    ) -> None:
        old = _make_record("e1", received_at=5.0)
        self.sender.set_own_records([old, _make_record("e2")], now=10.0)
        self._send_rosters()
        (digest,) = self._list_digests(now=10.0)
        (record,) = self.receiver.accept_digest(digest, now=50.0)
        self.assertEqual(record.target_id, "e2")

    def test_an_encoded_age_is_never_too_low(self) -> None:
        self.sender.set_own_records(
            [_make_record("e1", received_at=9.99)], now=10.0
        )
        self._send_rosters()
        (digest,) = self._list_digests(now=10.0)
        (record,) = self.receiver.accept_digest(digest, now=50.0)
        self.assertLessEqual(record.measured_at, 49.99)

    def test_time_since_receipt_adds_to_the_age(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        (digest,) = self._list_digests(now=10.5)
        self.assertEqual(digest.age_ms, 500)

    def test_an_older_digest_has_no_effect(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        self._send_rosters()
        (older,) = self._list_digests(now=10.0)
        self.sender.set_own_records([_make_record("e1", running=9)], now=11.0)
        (newer,) = self._list_digests(now=11.0)
        self.assertEqual(len(self.receiver.accept_digest(newer, now=1.0)), 1)
        self.assertEqual(self.receiver.accept_digest(older, now=1.0), [])

    def test_an_unknown_roster_is_requested(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        (digest,) = self._list_digests(now=10.0)
        self.assertEqual(self.receiver.accept_digest(digest, now=1.0), [])
        self.assertEqual(self.receiver.list_missing_rosters(), ["d1"])
        self._send_rosters()
        self.assertEqual(self.receiver.list_missing_rosters(), [])

    def test_a_new_boot_id_changes_the_roster(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        self._send_rosters()
        self.sender.set_own_records(
            [_make_record("e1", boot_id="b2")], now=11.0
        )
        (digest,) = self._list_digests(now=11.0)
        # The old roster must not give the new boot's figures to the old boot.
        self.assertEqual(self.receiver.accept_digest(digest, now=1.0), [])
        self._send_rosters()
        again = _make_record("e1", boot_id="b2", received_at=12.0)
        self.sender.set_own_records([again], now=12.0)
        (digest,) = self._list_digests(now=12.0)
        (record,) = self.receiver.accept_digest(digest, now=2.0)
        self.assertEqual(record.boot_id, "b2")

    def test_the_same_reports_are_not_sent_again(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        self.sender.set_own_records([_make_record("e1")], now=10.5)
        found = self.sender.list_digests(["d1"], received_since=10.25, now=10.5)
        self.assertEqual(found, [])

    def test_a_digest_of_the_wrong_length_is_rejected(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        self._send_rosters()
        forged = load_digests.LoadDigest(
            origin="d1",
            roster_version=self.sender.list_rosters(["d1"])[0].version,
            sequence=999,
            age_ms=0,
            loads=b"12345",
        )
        self.assertEqual(self.receiver.accept_digest(forged, now=1.0), [])
        self.assertEqual(self.receiver.list_missing_rosters(), ["d1"])

    def test_digests_of_a_restarted_origin_are_accepted(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        self._send_rosters()
        (digest,) = self._list_digests(now=10.0)
        self.receiver.accept_digest(digest, now=1.0)
        self.sender = load_digests.LoadDigestTable(
            own_id="d1", first_sequence=5000
        )
        self.sender.set_own_records([_make_record("e1", running=2)], now=0.5)
        self._send_rosters()
        (digest,) = self._list_digests(now=0.5)
        (record,) = self.receiver.accept_digest(digest, now=2.0)
        self.assertEqual(record.in_flight, 3)

    def test_silent_origins_expire(self) -> None:
        self.sender.set_own_records([_make_record("e1")], now=10.0)
        self._send_rosters()
        (digest,) = self._list_digests(now=10.0)
        self.receiver.accept_digest(digest, now=1.0)
        self.receiver.expire_origins(now=40.0)
        self.assertEqual(self.receiver.list_rosters(["d1"]), [])


if __name__ == "__main__":
    unittest.main()
