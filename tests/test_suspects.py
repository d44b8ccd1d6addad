"""Tests for mothpass.core.suspects."""

import unittest

from mothpass.core import suspects

_KILLER = 1
_INNOCENT = 2


def _run(fingerprint: int, position: int = 0) -> suspects.InFlightRequest:
    return suspects.InFlightRequest(fingerprint=fingerprint, position=position)


class SuspectsTest(unittest.TestCase):
    """Checks suspicion, trials, clearing, quarantine and exchange."""

    def setUp(self) -> None:
        self.suspects = suspects.SuspectTable(own_id="d1")
        self.other = suspects.SuspectTable(own_id="d2")

    def _check(self, fingerprint: int, now: float = 5.0) -> suspects.Verdict:
        return self.suspects.check(fingerprint, now=now).verdict

    def _pass_records(self, now: float) -> int:
        """Passes all records of the other daemon to this one."""
        records = self.other.export(changed_since=-1.0, now=now)
        return self.suspects.merge(records, now=now)

    def test_all_that_ran_at_a_death_are_held_and_then_run_alone(self) -> None:
        self.suspects.record_death("b1", [_run(1), _run(2)], now=0.0)
        for fingerprint in (1, 2):
            held = self.suspects.check(fingerprint, now=0.5)
            self.assertIs(held.verdict, suspects.Verdict.HELD)
            verdict = self._check(fingerprint, now=held.until)
            self.assertIs(verdict, suspects.Verdict.ALONE)
        self.assertIs(self._check(3), suspects.Verdict.CLEAR)

    def test_a_second_death_convicts_the_suspect_and_not_those_beside(
        self,
    ) -> None:
        self.suspects.record_death("b1", [_run(_KILLER)], now=0.0)
        self.suspects.record_death(
            "b2", [_run(_KILLER), _run(_INNOCENT)], now=0.5
        )
        self.assertIs(self._check(_KILLER), suspects.Verdict.QUARANTINED)
        self.assertIs(self._check(_INNOCENT), suspects.Verdict.CLEAR)

    def test_the_same_death_seen_twice_counts_once(self) -> None:
        self.suspects.record_death("b1", [_run(_KILLER)], now=0.0)
        self.suspects.record_death("b1", [_run(_KILLER)], now=0.1)
        self.assertIs(self._check(_KILLER), suspects.Verdict.ALONE)

    def test_progress_past_the_death_clears(self) -> None:
        self.suspects.record_death("b1", [_run(_INNOCENT, 3)], now=0.0)
        self.assertFalse(self.suspects.record_progress(_INNOCENT, 3, now=0.1))
        self.assertTrue(self.suspects.record_progress(_INNOCENT, 4, now=0.2))
        self.assertIs(self._check(_INNOCENT), suspects.Verdict.CLEAR)

    def test_a_cleared_request_needs_two_new_deaths(self) -> None:
        self.suspects.record_death("b1", [_run(_INNOCENT)], now=0.0)
        self.suspects.record_progress(_INNOCENT, 1, now=0.1)
        self.suspects.record_death("b2", [_run(_INNOCENT)], now=0.2)
        self.assertIs(self._check(_INNOCENT), suspects.Verdict.ALONE)

    def test_progress_does_not_clear_a_quarantined_request(self) -> None:
        self.suspects.record_death("b1", [_run(_KILLER)], now=0.0)
        self.suspects.record_death("b2", [_run(_KILLER)], now=0.1)
        self.assertFalse(self.suspects.record_progress(_KILLER, 99, now=0.2))
        self.assertIs(self._check(_KILLER), suspects.Verdict.QUARANTINED)

    def test_suspicion_ends_by_itself(self) -> None:
        self.suspects.record_death("b1", [_run(_INNOCENT)], now=0.0)
        verdict = self._check(_INNOCENT, now=120.0)
        self.assertIs(verdict, suspects.Verdict.CLEAR)

    def test_deaths_seen_by_two_daemons_add_up(self) -> None:
        self.other.record_death("b2", [_run(_KILLER)], now=0.0)
        self.suspects.record_death("b1", [_run(_KILLER)], now=0.0)
        self.assertEqual(self._pass_records(0.2), 1)
        self.assertIs(self._check(_KILLER), suspects.Verdict.QUARANTINED)

    def test_merging_again_tells_nothing_new(self) -> None:
        self.other.record_death("b2", [_run(_KILLER)], now=0.0)
        self._pass_records(0.2)
        self.assertEqual(self._pass_records(0.3), 0)

    def test_an_old_record_does_not_undo_a_clearing(self) -> None:
        self.other.record_death("b1", [_run(_INNOCENT)], now=0.0)
        self._pass_records(0.2)
        self.suspects.record_progress(_INNOCENT, 1, now=0.3)
        self._pass_records(0.4)
        self.assertIs(self._check(_INNOCENT), suspects.Verdict.CLEAR)

    def test_a_clearing_does_not_hide_a_death_it_did_not_know(self) -> None:
        self.other.record_death("b1", [_run(_KILLER)], now=0.0)
        self.other.record_progress(_KILLER, 1, now=0.1)
        self.suspects.record_death("b2", [_run(_KILLER)], now=0.0)
        self._pass_records(0.3)
        self.assertIs(self._check(_KILLER), suspects.Verdict.ALONE)

    def test_only_one_daemon_tries_a_suspect(self) -> None:
        self.suspects.record_death("b1", [_run(_KILLER)], now=0.0)
        self.other.record_death("b1", [_run(_KILLER)], now=0.0)
        self.other.merge(
            self.suspects.export(changed_since=-1.0, now=0.1), now=0.1
        )
        self._pass_records(0.1)
        self.assertIs(self._check(_KILLER), suspects.Verdict.ALONE)
        elsewhere = self.other.check(_KILLER, now=5.0)
        self.assertIs(elsewhere.verdict, suspects.Verdict.ELSEWHERE)

    def test_a_trial_given_back_is_taken_by_the_next_that_asks(self) -> None:
        self.other.record_death("b1", [_run(_INNOCENT)], now=0.0)
        self._pass_records(0.1)
        self.assertIs(self._check(_INNOCENT), suspects.Verdict.ELSEWHERE)
        self.other.release_trial(_INNOCENT, now=5.1)
        self._pass_records(5.2)
        self.assertIs(self._check(_INNOCENT, 5.3), suspects.Verdict.HELD)
        self.assertIs(self._check(_INNOCENT, 7.0), suspects.Verdict.ALONE)

    def test_a_trial_whose_daemon_is_gone_is_taken_over(self) -> None:
        self.other.record_death("b1", [_run(_INNOCENT)], now=0.0)
        self._pass_records(0.1)
        self.assertIs(self._check(_INNOCENT, 20.5), suspects.Verdict.HELD)

    def test_memory_is_bounded(self) -> None:
        for number in range(10_000):
            self.suspects.record_death(f"b{number}", [_run(number)], now=0.0)
        self.assertLessEqual(len(self.suspects), 4096)

    def test_fingerprint_tells_team_name_and_body_apart(self) -> None:
        fingerprints = {
            suspects.compute_fingerprint(team=team, name=name, body=body)
            for team in ("a", "b")
            for name in ("m", "n")
            for body in (b"x", b"y")
        }
        self.assertEqual(len(fingerprints), 8)


if __name__ == "__main__":
    unittest.main()
