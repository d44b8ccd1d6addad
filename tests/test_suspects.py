"""Tests of the table of crash suspects."""

import unittest

from mothpass.core import suspects

_CRASHING = 1
_HARMLESS = 2


def _make_in_flight(
    fingerprint: int, position: int = 0
) -> suspects.InFlightRequest:
    return suspects.InFlightRequest(fingerprint=fingerprint, position=position)


class SuspectTableTest(unittest.TestCase):
    """Suspects, trials, clearing, quarantine and exchange of records."""

    def setUp(self) -> None:
        self.suspects = suspects.SuspectTable(own_id="d1")
        self.other = suspects.SuspectTable(own_id="d2")

    def _check(self, fingerprint: int, now: float = 5.0) -> suspects.Verdict:
        return self.suspects.check(fingerprint, now=now).verdict

    def _merge_records(self, now: float) -> int:
        """Merges all records of the other daemon into this one's table."""
        records = self.other.export(changed_since=-1.0, now=now)
        return self.suspects.merge(records, now=now)

    def test_all_requests_in_flight_at_a_death_are_held_and_then_run_alone(
        self,
    ) -> None:
        self.suspects.record_death(
            "b1", [_make_in_flight(1), _make_in_flight(2)], now=0.0
        )
        for fingerprint in (1, 2):
            held = self.suspects.check(fingerprint, now=0.5)
            self.assertIs(held.verdict, suspects.Verdict.HELD)
            verdict = self._check(fingerprint, now=held.until)
            self.assertIs(verdict, suspects.Verdict.ALONE)
        self.assertIs(self._check(3), suspects.Verdict.CLEAR)

    def test_second_death_quarantines_only_the_request_on_trial(
        self,
    ) -> None:
        self.suspects.record_death("b1", [_make_in_flight(_CRASHING)], now=0.0)
        self.suspects.record_death(
            "b2",
            [_make_in_flight(_CRASHING), _make_in_flight(_HARMLESS)],
            now=0.5,
        )
        self.assertIs(self._check(_CRASHING), suspects.Verdict.QUARANTINED)
        self.assertIs(self._check(_HARMLESS), suspects.Verdict.CLEAR)

    def test_same_death_recorded_twice_counts_once(self) -> None:
        self.suspects.record_death("b1", [_make_in_flight(_CRASHING)], now=0.0)
        self.suspects.record_death("b1", [_make_in_flight(_CRASHING)], now=0.1)
        self.assertIs(self._check(_CRASHING), suspects.Verdict.ALONE)

    def test_progress_past_the_position_of_the_death_clears(self) -> None:
        self.suspects.record_death(
            "b1", [_make_in_flight(_HARMLESS, 3)], now=0.0
        )
        self.assertFalse(self.suspects.record_progress(_HARMLESS, 3, now=0.1))
        self.assertTrue(self.suspects.record_progress(_HARMLESS, 4, now=0.2))
        self.assertIs(self._check(_HARMLESS), suspects.Verdict.CLEAR)

    def test_cleared_request_is_quarantined_only_after_two_new_deaths(
        self,
    ) -> None:
        self.suspects.record_death("b1", [_make_in_flight(_HARMLESS)], now=0.0)
        self.suspects.record_progress(_HARMLESS, 1, now=0.1)
        self.suspects.record_death("b2", [_make_in_flight(_HARMLESS)], now=0.2)
        self.assertIs(self._check(_HARMLESS), suspects.Verdict.ALONE)

    def test_progress_does_not_clear_a_quarantined_request(self) -> None:
        self.suspects.record_death("b1", [_make_in_flight(_CRASHING)], now=0.0)
        self.suspects.record_death("b2", [_make_in_flight(_CRASHING)], now=0.1)
        self.assertFalse(self.suspects.record_progress(_CRASHING, 99, now=0.2))
        self.assertIs(self._check(_CRASHING), suspects.Verdict.QUARANTINED)

    def test_suspect_expires(self) -> None:
        self.suspects.record_death("b1", [_make_in_flight(_HARMLESS)], now=0.0)
        verdict = self._check(_HARMLESS, now=120.0)
        self.assertIs(verdict, suspects.Verdict.CLEAR)

    def test_deaths_recorded_by_two_daemons_add_up(self) -> None:
        self.other.record_death("b2", [_make_in_flight(_CRASHING)], now=0.0)
        self.suspects.record_death("b1", [_make_in_flight(_CRASHING)], now=0.0)
        self.assertEqual(self._merge_records(0.2), 1)
        self.assertIs(self._check(_CRASHING), suspects.Verdict.QUARANTINED)

    def test_merging_the_same_records_again_changes_nothing(self) -> None:
        self.other.record_death("b2", [_make_in_flight(_CRASHING)], now=0.0)
        self._merge_records(0.2)
        self.assertEqual(self._merge_records(0.3), 0)

    def test_old_record_does_not_undo_a_clearing(self) -> None:
        self.other.record_death("b1", [_make_in_flight(_HARMLESS)], now=0.0)
        self._merge_records(0.2)
        self.suspects.record_progress(_HARMLESS, 1, now=0.3)
        self._merge_records(0.4)
        self.assertIs(self._check(_HARMLESS), suspects.Verdict.CLEAR)

    def test_clearing_does_not_cover_a_death_unknown_to_it(self) -> None:
        self.other.record_death("b1", [_make_in_flight(_CRASHING)], now=0.0)
        self.other.record_progress(_CRASHING, 1, now=0.1)
        self.suspects.record_death("b2", [_make_in_flight(_CRASHING)], now=0.0)
        self._merge_records(0.3)
        self.assertIs(self._check(_CRASHING), suspects.Verdict.ALONE)

    def test_only_one_daemon_runs_a_trial(self) -> None:
        self.suspects.record_death("b1", [_make_in_flight(_CRASHING)], now=0.0)
        self.other.record_death("b1", [_make_in_flight(_CRASHING)], now=0.0)
        self.other.merge(
            self.suspects.export(changed_since=-1.0, now=0.1), now=0.1
        )
        self._merge_records(0.1)
        self.assertIs(self._check(_CRASHING), suspects.Verdict.ALONE)
        elsewhere = self.other.check(_CRASHING, now=5.0)
        self.assertIs(elsewhere.verdict, suspects.Verdict.ELSEWHERE)

    def test_released_trial_is_claimed_at_the_next_check(self) -> None:
        self.other.record_death("b1", [_make_in_flight(_HARMLESS)], now=0.0)
        self._merge_records(0.1)
        self.assertIs(self._check(_HARMLESS), suspects.Verdict.ELSEWHERE)
        self.other.release_trial(_HARMLESS, now=5.1)
        self._merge_records(5.2)
        self.assertIs(self._check(_HARMLESS, 5.3), suspects.Verdict.HELD)
        self.assertIs(self._check(_HARMLESS, 7.0), suspects.Verdict.ALONE)

    def test_trial_of_a_daemon_that_is_gone_is_taken_over(self) -> None:
        self.other.record_death("b1", [_make_in_flight(_HARMLESS)], now=0.0)
        self._merge_records(0.1)
        self.assertIs(self._check(_HARMLESS, 20.5), suspects.Verdict.HELD)

    def test_number_of_records_is_bounded(self) -> None:
        for number in range(10_000):
            self.suspects.record_death(
                f"b{number}", [_make_in_flight(number)], now=0.0
            )
        self.assertLessEqual(len(self.suspects), 4096)

    def test_fingerprint_depends_on_team_name_and_body(self) -> None:
        fingerprints = {
            suspects.compute_fingerprint(team=team, name=name, body=body)
            for team in ("a", "b")
            for name in ("m", "n")
            for body in (b"x", b"y")
        }
        self.assertEqual(len(fingerprints), 8)


if __name__ == "__main__":
    unittest.main()
