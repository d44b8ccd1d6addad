"""Tests for mothpass.daemon.dispatch over scripted targets."""

import asyncio
import time
import unittest
from unittest import mock

from returns import result

from mothpass.core import errors
from mothpass.core import gates
from mothpass.core import results
from mothpass.core import suspects
from mothpass.daemon import attempts
from mothpass.daemon import calls
from mothpass.daemon import claims
from mothpass.ports import targets
from tests import daemon_parts

_LOST = errors.TargetAnswerLostError("cut")
_UNREACHABLE = errors.TargetUnreachableError("refused")


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    """Base with a daemon before two targets."""

    def setUp(self) -> None:
        # Daemons hold a suspect until its record has reached their peers;
        # there are none here.
        patch = mock.patch.object(suspects, "_HOLD_S", 0.02)
        patch.start()
        self.addCleanup(patch.stop)
        self.daemon = daemon_parts.Daemon()
        self.scripted = self.daemon.scripted
        self.trace = attempts.Trace()

    def tearDown(self) -> None:
        self.assertEqual(self.daemon.count_in_flight(), 0)
        self.assertEqual(self.daemon.teams.count_in_flight("team"), 0)

    async def _read(self, call: calls.Call | None = None) -> list[int]:
        """Returns the positions of an answer's events."""
        answering = await self.daemon.dispatcher.start_answer(
            call or daemon_parts.make_call(), self.trace
        )
        try:
            positions = [event.position for event in answering.first]
            async for events in answering.batches:
                positions.extend(event.position for event in events)
        except errors.MothpassError as error:
            answering.fail(error, 0.0)
            raise
        finally:
            await answering.close()
        return positions

    async def _refuse(self, call: calls.Call | None = None) -> errors.Refusal:
        """Returns the refusal that a call ends with."""
        with self.assertRaises(errors.RefusalError) as caught:
            await self._read(call)
        return caught.exception.refusal

    async def _refuse_service(self, call: calls.Call) -> errors.Refusal:
        with self.assertRaises(errors.RefusalError) as caught:
            await self.daemon.dispatcher.call_service(call, self.trace)
        return caught.exception.refusal


class StreamTest(DispatchTest):
    """Checks a model's answer under failures."""

    async def test_yields_a_whole_answer(self) -> None:
        self.scripted.streams = [
            [daemon_parts.make_batch(0), daemon_parts.make_batch(1, 2, last=2)]
        ]
        self.assertEqual(await self._read(), [0, 1, 2])

    async def test_resumes_a_cut_stream_at_each_position(self) -> None:
        for cut in range(1, 4):
            before = daemon_parts.make_batch(*range(cut))
            after = daemon_parts.make_batch(*range(cut, 5), last=4)
            self.scripted.streams = [[before, _LOST]]
            self.scripted.resumes = [[after]]
            self.assertEqual(await self._read(), [0, 1, 2, 3, 4])
        self.assertEqual(self.scripted.resumed_at, [1, 2, 3])

    async def test_resumes_where_an_event_is_missing(self) -> None:
        self.scripted.streams = [[daemon_parts.make_batch(0, 2)]]
        self.scripted.resumes = [[daemon_parts.make_batch(1, 2, last=2)]]
        self.assertEqual(await self._read(), [0, 1, 2])

    async def test_asks_a_quiet_target_again_for_as_long_as_it_takes(
        self,
    ) -> None:
        silent = errors.TargetSilentError("quiet")
        self.scripted.streams = [[silent]]
        self.scripted.resumes = [[silent] for _ in range(6)]
        self.scripted.resumes.append([daemon_parts.make_batch(0, last=0)])
        self.assertEqual(await self._read(), [0])

    async def test_drops_crossed_and_repeated_events(self) -> None:
        crossed = daemon_parts.make_batch(1, last=1, attempt_id="other")
        self.scripted.streams = [
            [
                daemon_parts.make_batch(0),
                crossed,
                daemon_parts.make_batch(0, 1, last=1),
            ]
        ]
        self.assertEqual(await self._read(), [0, 1])

    async def test_an_answer_that_cannot_be_resumed_ends_in_an_error(
        self,
    ) -> None:
        self.scripted.streams = [[daemon_parts.make_batch(0), _LOST]]
        with self.assertRaises(errors.TargetDiedError):
            await self._read()
        self.assertEqual(len(self.scripted.opened), 1)

    async def test_starts_anew_elsewhere_before_anything_was_shown(
        self,
    ) -> None:
        self.scripted.streams = [
            [_LOST],
            [daemon_parts.make_batch(0, last=0)],
        ]
        self.assertEqual(await self._read(), [0])
        first, second = self.scripted.opened
        self.assertNotEqual(first.target_id, second.target_id)
        self.assertNotEqual(first.id, second.id)

    async def test_starts_anew_where_an_answer_is_wanted_whole(self) -> None:
        self.scripted.streams = [
            [daemon_parts.make_batch(0), _LOST],
            [daemon_parts.make_batch(0, 1, last=1)],
        ]
        self.scripted.resumes = [[errors.AttemptUnknownError("boot")]]
        call = daemon_parts.make_call(stream=False)
        self.assertEqual(await self._read(call), [0, 1])

    async def test_goes_elsewhere_where_a_target_refuses(self) -> None:
        self.scripted.streams = [
            [errors.TargetRefusedError("full")],
            [daemon_parts.make_batch(0, last=0)],
        ]
        self.assertEqual(await self._read(), [0])

    async def test_says_not_run_where_no_target_was_reached(self) -> None:
        self.scripted.streams = [[_UNREACHABLE], [_UNREACHABLE]]
        refusal = await self._refuse()
        self.assertIs(refusal.ran, results.Ran.NO)
        self.assertIs(refusal.code, results.Code.NO_TARGET)
        self.assertIsNotNone(refusal.retry_after_ms)

    async def test_says_unknown_once_an_attempt_was_lost(self) -> None:
        unknown = errors.AttemptUnknownError("other-boot")
        self.scripted.streams = [[_LOST], [_UNREACHABLE], [_UNREACHABLE]]
        self.scripted.resumes = [[unknown]]
        refusal = await self._refuse(daemon_parts.make_call(deadline_ms=300))
        self.assertIs(refusal.ran, results.Ran.UNKNOWN)

    async def test_sends_nothing_past_the_deadline(self) -> None:
        refusal = await self._refuse(daemon_parts.make_call(deadline_ms=0))
        self.assertIs(refusal.code, results.Code.DEADLINE_EXCEEDED)
        self.assertIs(refusal.ran, results.Ran.NO)
        self.assertEqual(self.scripted.opened, [])

    async def test_never_retries_past_the_deadline(self) -> None:
        self.scripted.pause_s = 0.03
        self.scripted.streams = [[_UNREACHABLE]]
        refusal = await self._refuse(daemon_parts.make_call(deadline_ms=20))
        self.assertIs(refusal.code, results.Code.DEADLINE_EXCEEDED)
        self.assertEqual(len(self.scripted.opened), 1)

    async def test_retries_only_from_the_budget(self) -> None:
        spent = 0
        codes = set()
        while results.Code.RETRIES_EXHAUSTED not in codes and spent < 40:
            self.trace = attempts.Trace()
            refused = errors.TargetRefusedError("full")
            self.scripted.streams = [[refused], [refused]]
            codes.add((await self._refuse()).code)
            self.daemon.restart_targets(f"boot {spent}")
            spent += 1
        self.assertIn(results.Code.RETRIES_EXHAUSTED, codes)

    async def test_a_caller_that_leaves_cancels_its_attempt(self) -> None:
        self.scripted.streams = [[]]
        reading = asyncio.ensure_future(self._read())
        for _ in range(5):
            await asyncio.sleep(0)
        reading.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await reading
        await asyncio.sleep(0)
        self.assertEqual(self.scripted.cancelled, [self.scripted.opened[0].id])

    async def test_refuses_past_the_limit_of_a_team(self) -> None:
        entries = daemon_parts.build_catalogue(team_in_flight=1)
        self.daemon = daemon_parts.Daemon(entries=entries)
        self.daemon.scripted.streams = [[daemon_parts.make_batch(0)]]
        answering = await self.daemon.dispatcher.start_answer(
            daemon_parts.make_call(), self.trace
        )
        refusal = await self._refuse()
        await answering.close()
        self.assertIs(refusal.code, results.Code.TEAM_LIMIT)


class SuspectTest(DispatchTest):
    """Checks requests that crash their targets."""

    async def test_a_second_death_quarantines_a_request(self) -> None:
        for boot_id in ("second", "third"):
            self.scripted.streams = [[daemon_parts.make_batch(0), _LOST]]
            with self.assertRaises(errors.TargetDiedError):
                await self._read()
            self.daemon.restart_targets(boot_id)
        refusal = await self._refuse()
        self.assertIs(refusal.code, results.Code.REQUEST_QUARANTINED)

    async def test_a_trial_is_given_back_only_once_it_has_ended(self) -> None:
        self.daemon.suspects.record_death(
            "boot",
            [suspects.InFlightRequest(fingerprint=99, position=3)],
            now=time.monotonic(),
        )
        self.scripted.streams = [
            [daemon_parts.make_batch(0), _LOST],
            [daemon_parts.make_batch(0), daemon_parts.make_batch(1, last=1)],
        ]
        self.scripted.resumes = [[errors.AttemptUnknownError("boot")]]
        with self.assertRaises(errors.AttemptUnknownError):
            await self._read()
        self.assertEqual(self.daemon.released, [])
        self.daemon.restart_targets("second")
        await self._read()
        sources = [permit.source for permit in self.daemon.released]
        self.assertEqual(sources, [gates.Source.TRIAL])

    async def test_a_connection_that_was_closed_accuses_nobody(self) -> None:
        self.scripted.streams = [[_LOST], [daemon_parts.make_batch(0, last=0)]]
        self.scripted.resumes = [[errors.AttemptUnknownError("boot")]]
        self.assertEqual(await self._read(), [0])
        decision = self.daemon.suspects.check(99, now=time.monotonic())
        self.assertIs(decision.verdict, suspects.Verdict.CLEAR)


class ServiceTest(DispatchTest):
    """Checks calls of plain services."""

    async def test_repeats_a_repeatable_call_elsewhere(self) -> None:
        self.scripted.answers = [_LOST, daemon_parts.make_answer(b"1")]
        answer = await self.daemon.dispatcher.call_service(
            daemon_parts.make_call("log"), self.trace
        )
        self.assertEqual(answer.body, b"1")
        first, second = self.scripted.called
        self.assertNotEqual(first.target_id, second.target_id)

    async def test_never_repeats_a_call_that_may_have_run(self) -> None:
        self.scripted.answers = [_LOST]
        call = daemon_parts.make_call("payment", key="k")
        with self.assertRaises(errors.TargetAnswerLostError):
            await self.daemon.dispatcher.call_service(call, self.trace)
        self.assertEqual(len(self.scripted.called), 1)

    async def test_goes_elsewhere_where_no_byte_left(self) -> None:
        self.scripted.answers = [_UNREACHABLE, daemon_parts.make_answer(b"1")]
        call = daemon_parts.make_call("payment", key="k")
        answer = await self.daemon.dispatcher.call_service(call, self.trace)
        self.assertEqual(answer.body, b"1")

    async def test_never_shows_the_answer_of_another_attempt(self) -> None:
        crossed = daemon_parts.make_answer(b"2", attempt_id="other")
        self.scripted.answers = [crossed, daemon_parts.make_answer(b"1")]
        answer = await self.daemon.dispatcher.call_service(
            daemon_parts.make_call("log"), self.trace
        )
        self.assertEqual(answer.body, b"1")

    async def test_passes_on_what_the_claim_says(self) -> None:
        refusal = errors.Refusal(
            code=results.Code.OUTCOME_UNKNOWN,
            ran=results.Ran.UNKNOWN,
            message="unknown",
        )

        async def refuse(
            request: claims.Request, attempt: targets.Attempt, run: claims.Run
        ) -> claims.Outcome:
            del request, attempt, run
            return result.Failure(refusal)

        self.daemon = daemon_parts.Daemon(run_once=refuse)
        call = daemon_parts.make_call("payment", key="k")
        self.assertEqual(await self._refuse_service(call), refusal)
        self.assertTrue(self.trace.claim_known)


if __name__ == "__main__":
    unittest.main()
