"""Tests of what a daemon takes for the crash of an engine."""

import asyncio
import time
from unittest import mock

from mothpass.core import errors
from mothpass.core import suspects
from mothpass.daemon import crash_detection
from tests import daemon_parts
from tests import test_dispatch

_ANSWER_LOST = errors.TargetAnswerLostError("cut")
_REPORT_TIMEOUT_S = 0.3
_PARTS = (5, 6)
_FINGERPRINT = 99


class CrashDetectionTest(test_dispatch.DispatchTest):
    """Engines that a daemon can't reach, for one reason or another."""

    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(
            crash_detection, "REPORT_TIMEOUT_S", _REPORT_TIMEOUT_S
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def break_answer(self) -> None:
        """Breaks the stream of a request off after its first event."""
        self.scripted.streams = [[daemon_parts.make_batch(0), _ANSWER_LOST]]
        with self.assertRaises(errors.TargetAnswerLostError):
            await self._read_positions(
                daemon_parts.make_request(shared_parts=_PARTS)
            )

    def check_request(self) -> suspects.Verdict:
        """Returns what may be done with the request that was broken off."""
        return self.daemon.suspects.check(
            _FINGERPRINT, now=time.monotonic()
        ).verdict

    async def test_request_of_a_daemon_cut_off_from_all_engines_is_clear(
        self,
    ) -> None:
        """Guards against a path that is taken for as many crashes."""
        self.scripted.alive = False
        await self.break_answer()
        self.assertIs(self.check_request(), suspects.Verdict.CLEAR)
        await asyncio.sleep(2 * _REPORT_TIMEOUT_S)
        self.assertIs(self.check_request(), suspects.Verdict.CLEAR)
        self.assertEqual(len(self.daemon.suspected_parts), 0)

    async def test_engine_that_starts_again_had_crashed(self) -> None:
        """Guards against crashes that go unknown while links are cut."""
        self.scripted.alive = False
        await self.break_answer()
        self.daemon.restart_targets("second")
        await asyncio.sleep(_REPORT_TIMEOUT_S)
        self.assertIsNot(self.check_request(), suspects.Verdict.CLEAR)
        self.assertEqual(len(self.daemon.suspected_parts), len(_PARTS))

    async def test_report_of_a_peer_withdraws_a_crash(self) -> None:
        """Guards against a cut between one daemon and one engine."""
        self.scripted.crashes = True
        await self.break_answer()
        self.assertIsNot(self.check_request(), suspects.Verdict.CLEAR)
        self.daemon.restart_targets("boot")
        await asyncio.sleep(_REPORT_TIMEOUT_S)
        self.assertIs(self.check_request(), suspects.Verdict.CLEAR)
        self.assertEqual(len(self.daemon.suspected_parts), 0)

    async def test_crash_beside_sound_engines_is_held_at_once(self) -> None:
        """Guards against a request that crashes engines while one waits."""
        self.scripted.crashes = True
        await self.break_answer()
        self.assertIsNot(self.check_request(), suspects.Verdict.CLEAR)
        await asyncio.sleep(2 * _REPORT_TIMEOUT_S)
        self.assertIsNot(self.check_request(), suspects.Verdict.CLEAR)
        self.assertEqual(len(self.daemon.suspected_parts), len(_PARTS))
