"""Tests of the evidence that a target has ended."""

import unittest

from mothpass.core import target_deaths

_REACHES = target_deaths.Testimony(reaches_target=True, has_sound_links=True)
_REFUSED = target_deaths.Testimony(reaches_target=False, has_sound_links=True)
_CUT_OFF = target_deaths.Testimony(reaches_target=False, has_sound_links=False)


class VerdictTest(unittest.TestCase):
    """What testimonies say together."""

    def judge(
        self,
        *testimonies: target_deaths.Testimony,
        has_peers: bool = True,
        has_sound_links: bool = True,
    ) -> target_deaths.Verdict:
        return target_deaths.judge(
            testimonies, has_peers=has_peers, has_sound_links=has_sound_links
        )

    def test_target_that_a_peer_reaches_is_alive(self) -> None:
        """Guards against a cut link that several daemons have."""
        verdict = self.judge(_REFUSED, _REFUSED, _REACHES)
        self.assertIs(verdict, target_deaths.Verdict.ALIVE)

    def test_target_that_sound_peers_do_not_reach_is_dead(self) -> None:
        """Guards against crashes that a cut daemon beside hides."""
        for own in (True, False):
            verdict = self.judge(_CUT_OFF, _REFUSED, has_sound_links=own)
            self.assertIs(verdict, target_deaths.Verdict.DEAD)

    def test_cut_off_peers_are_no_witnesses(self) -> None:
        """Guards against daemons that confirm each other's cut."""
        for testimonies in ((), (_CUT_OFF, _CUT_OFF)):
            verdict = self.judge(*testimonies)
            self.assertIs(verdict, target_deaths.Verdict.UNKNOWN)

    def test_lone_daemon_decides_by_its_other_links(self) -> None:
        """Guards against crashes that nobody else can confirm."""
        verdict = self.judge(has_peers=False)
        self.assertIs(verdict, target_deaths.Verdict.DEAD)
        verdict = self.judge(has_peers=False, has_sound_links=False)
        self.assertIs(verdict, target_deaths.Verdict.UNKNOWN)
