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
from mothpass.daemon import at_most_once
from mothpass.daemon import attempts
from mothpass.daemon import client_requests
from mothpass.ports import targets
from tests import daemon_parts

_ANSWER_LOST = errors.TargetAnswerLostError("cut")
_UNREACHABLE = errors.TargetUnreachableError("refused")


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    """Base with a daemon and two targets."""

    def setUp(self) -> None:
        # A daemon holds a suspect until its record has reached the peers; this
        # test has none.
        patch = mock.patch.object(suspects, "_HOLD_S", 0.02)
        patch.start()
        self.addCleanup(patch.stop)
        self.daemon = daemon_parts.Daemon()
        self.scripted = self.daemon.scripted
        self.trace = attempts.Trace()

    def tearDown(self) -> None:
        self.assertEqual(self.daemon.count_in_flight(), 0)
        self.assertEqual(self.daemon.team_limiter.count_in_flight("team"), 0)

    async def _read_positions(
        self, request: client_requests.ClientRequest | None = None
    ) -> list[int]:
        """Returns the positions of an answer's events."""
        answer = await self.daemon.dispatcher.start_answer(
            request or daemon_parts.make_request(), self.trace
        )
        try:
            positions = [event.position for event in answer.first]
            async for events in answer.batches:
                positions.extend(event.position for event in events)
        except errors.MothpassError as error:
            answer.record_failure(error, 0.0)
            raise
        finally:
            await answer.close()
        return positions

    async def _read_rejection(
        self, request: client_requests.ClientRequest | None = None
    ) -> errors.Refusal:
        """Returns the rejection of a chat request."""
        with self.assertRaises(errors.RefusalError) as caught:
            await self._read_positions(request)
        return caught.exception.refusal

    async def _call_rejected(
        self, request: client_requests.ClientRequest
    ) -> errors.Refusal:
        with self.assertRaises(errors.RefusalError) as caught:
            await self.daemon.dispatcher.call_service(request, self.trace)
        return caught.exception.refusal


class StreamTest(DispatchTest):
    """Checks models' answers under failures."""

    async def test_yields_a_whole_answer(self) -> None:
        self.scripted.streams = [
            [daemon_parts.make_batch(0), daemon_parts.make_batch(1, 2, last=2)]
        ]
        self.assertEqual(await self._read_positions(), [0, 1, 2])

    async def test_resumes_a_broken_stream_at_each_position(self) -> None:
        for cut in range(1, 4):
            before = daemon_parts.make_batch(*range(cut))
            after = daemon_parts.make_batch(*range(cut, 5), last=4)
            self.scripted.streams = [[before, _ANSWER_LOST]]
            self.scripted.resumes = [[after]]
            self.assertEqual(await self._read_positions(), [0, 1, 2, 3, 4])
        self.assertEqual(self.scripted.resumed_at, [1, 2, 3])

    async def test_resumes_where_an_event_is_missing(self) -> None:
        self.scripted.streams = [[daemon_parts.make_batch(0, 2)]]
        self.scripted.resumes = [[daemon_parts.make_batch(1, 2, last=2)]]
        self.assertEqual(await self._read_positions(), [0, 1, 2])

    async def test_resumes_a_silent_target_repeatedly(
        self,
    ) -> None:
        silent = errors.TargetSilentError("quiet")
        self.scripted.streams = [[silent]]
        self.scripted.resumes = [[silent] for _ in range(6)]
        self.scripted.resumes.append([daemon_parts.make_batch(0, last=0)])
        self.assertEqual(await self._read_positions(), [0])

    async def test_drops_events_of_other_attempts_and_duplicates(self) -> None:
        misdirected = daemon_parts.make_batch(1, last=1, attempt_id="other")
        self.scripted.streams = [
            [
                daemon_parts.make_batch(0),
                misdirected,
                daemon_parts.make_batch(0, 1, last=1),
            ]
        ]
        self.assertEqual(await self._read_positions(), [0, 1])

    async def test_unresumable_answer_ends_in_an_error(
        self,
    ) -> None:
        self.scripted.crashes = True
        self.scripted.streams = [[daemon_parts.make_batch(0), _ANSWER_LOST]]
        with self.assertRaises(errors.TargetDiedError):
            await self._read_positions()
        self.assertEqual(len(self.scripted.opened), 1)

    async def test_retries_on_another_target_before_the_first_event(
        self,
    ) -> None:
        self.scripted.streams = [
            [_ANSWER_LOST],
            [daemon_parts.make_batch(0, last=0)],
        ]
        self.assertEqual(await self._read_positions(), [0])
        first, second = self.scripted.opened
        self.assertNotEqual(first.target_id, second.target_id)
        self.assertNotEqual(first.id, second.id)

    async def test_retries_a_whole_answer_after_its_first_events(self) -> None:
        self.scripted.streams = [
            [daemon_parts.make_batch(0), _ANSWER_LOST],
            [daemon_parts.make_batch(0, 1, last=1)],
        ]
        self.scripted.resumes = [[errors.AttemptUnknownError("boot")]]
        request = daemon_parts.make_request(stream=False)
        self.assertEqual(await self._read_positions(request), [0, 1])

    async def test_retries_on_another_target_after_a_rejection(self) -> None:
        self.scripted.streams = [
            [errors.TargetRefusedError("full")],
            [daemon_parts.make_batch(0, last=0)],
        ]
        self.assertEqual(await self._read_positions(), [0])

    async def test_reports_not_run_if_no_target_is_reachable(self) -> None:
        self.scripted.streams = [[_UNREACHABLE], [_UNREACHABLE]]
        refusal = await self._read_rejection()
        self.assertIs(refusal.ran, results.Ran.NO)
        self.assertIs(refusal.code, results.Code.NO_TARGET)
        self.assertIsNotNone(refusal.retry_after_ms)

    async def test_reports_unknown_after_a_lost_answer(self) -> None:
        unknown = errors.AttemptUnknownError("other-boot")
        self.scripted.streams = [[_ANSWER_LOST], [_UNREACHABLE], [_UNREACHABLE]]
        self.scripted.resumes = [[unknown]]
        refusal = await self._read_rejection(
            daemon_parts.make_request(deadline_ms=300)
        )
        self.assertIs(refusal.ran, results.Ran.UNKNOWN)

    async def test_sends_no_attempt_past_the_deadline(self) -> None:
        refusal = await self._read_rejection(
            daemon_parts.make_request(deadline_ms=0)
        )
        self.assertIs(refusal.code, results.Code.DEADLINE_EXCEEDED)
        self.assertIs(refusal.ran, results.Ran.NO)
        self.assertEqual(self.scripted.opened, [])

    async def test_never_retries_past_the_deadline(self) -> None:
        self.scripted.pause_s = 0.03
        self.scripted.streams = [[_UNREACHABLE]]
        refusal = await self._read_rejection(
            daemon_parts.make_request(deadline_ms=20)
        )
        self.assertIs(refusal.code, results.Code.DEADLINE_EXCEEDED)
        self.assertEqual(len(self.scripted.opened), 1)

    async def test_retries_within_the_retry_budget(self) -> None:
        spent = 0
        codes = set()
        while results.Code.RETRIES_EXHAUSTED not in codes and spent < 40:
            self.trace = attempts.Trace()
            refused = errors.TargetRefusedError("full")
            self.scripted.streams = [[refused], [refused]]
            codes.add((await self._read_rejection()).code)
            self.daemon.restart_targets(f"boot {spent}")
            spent += 1
        self.assertIn(results.Code.RETRIES_EXHAUSTED, codes)

    async def test_client_disconnect_cancels_the_attempt(self) -> None:
        self.scripted.streams = [[]]
        reading = asyncio.ensure_future(self._read_positions())
        for _ in range(5):
            await asyncio.sleep(0)
        reading.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await reading
        await asyncio.sleep(0)
        self.assertEqual(self.scripted.cancelled, [self.scripted.opened[0].id])

    async def test_rejects_above_the_team_limit(self) -> None:
        entries = daemon_parts.build_catalogue(team_in_flight=1)
        self.daemon = daemon_parts.Daemon(entries=entries)
        self.daemon.scripted.streams = [[daemon_parts.make_batch(0)]]
        answer = await self.daemon.dispatcher.start_answer(
            daemon_parts.make_request(), self.trace
        )
        refusal = await self._read_rejection()
        await answer.close()
        self.assertIs(refusal.code, results.Code.TEAM_LIMIT)


class SuspectTest(DispatchTest):
    """Checks crash suspects."""

    async def test_second_crash_quarantines_a_request(self) -> None:
        self.scripted.crashes = True
        for boot_id in ("second", "third"):
            self.scripted.streams = [[daemon_parts.make_batch(0), _ANSWER_LOST]]
            with self.assertRaises(errors.TargetDiedError):
                await self._read_positions()
            self.daemon.restart_targets(boot_id)
        refusal = await self._read_rejection()
        self.assertIs(refusal.code, results.Code.REQUEST_QUARANTINED)

    async def test_barred_part_is_refused_without_waiting_for_a_trial(
        self,
    ) -> None:
        """Guards against requests that wait though they can't be served."""
        now = time.monotonic()
        self.daemon.suspects.record_death(
            "boot",
            [suspects.InFlightRequest(fingerprint=99, position=3)],
            now=now,
        )
        for age_s in (3.0, 2.0, 1.0):
            self.daemon.suspected_parts.record_death(
                f"boot-{age_s}", [5], now=now - age_s
            )
        with mock.patch.object(suspects, "_HOLD_S", 1.0):
            refusal = await self._read_rejection(
                daemon_parts.make_request(shared_parts=(5,))
            )
        self.assertIs(refusal.code, results.Code.REQUEST_QUARANTINED)
        self.assertLess(time.monotonic() - now, 0.5)

    async def test_trial_permit_is_released_only_after_the_trial(self) -> None:
        self.daemon.suspects.record_death(
            "boot",
            [suspects.InFlightRequest(fingerprint=99, position=3)],
            now=time.monotonic(),
        )
        self.scripted.streams = [
            [daemon_parts.make_batch(0), _ANSWER_LOST],
            [daemon_parts.make_batch(0), daemon_parts.make_batch(1, last=1)],
        ]
        self.scripted.resumes = [[errors.AttemptUnknownError("boot")]]
        with self.assertRaises(errors.AttemptUnknownError):
            await self._read_positions()
        self.assertEqual(self.daemon.released, [])
        self.daemon.restart_targets("second")
        await self._read_positions()
        sources = [permit.source for permit in self.daemon.released]
        self.assertEqual(sources, [gates.Source.TRIAL])

    async def test_closed_connection_makes_no_crash_suspect(self) -> None:
        self.scripted.streams = [
            [_ANSWER_LOST],
            [daemon_parts.make_batch(0, last=0)],
        ]
        self.scripted.resumes = [[errors.AttemptUnknownError("boot")]]
        self.assertEqual(await self._read_positions(), [0])
        decision = self.daemon.suspects.check(99, now=time.monotonic())
        self.assertIs(decision.verdict, suspects.Verdict.CLEAR)

    async def test_cut_link_makes_no_crash_suspect(self) -> None:
        """Guards against cut links that pass for crashed engines."""
        for _ in range(2):
            self.scripted.streams = [[daemon_parts.make_batch(0), _ANSWER_LOST]]
            with self.assertRaises(errors.MothpassError):
                await self._read_positions()
        # The engines answer again, and none of them has started anew.
        decision = self.daemon.suspects.check(99, now=time.monotonic())
        self.assertIs(decision.verdict, suspects.Verdict.CLEAR)


class ServiceTest(DispatchTest):
    """Checks requests to plain services."""

    async def test_retries_a_repeatable_request_on_another_target(self) -> None:
        self.scripted.answers = [_ANSWER_LOST, daemon_parts.make_answer(b"1")]
        answer = await self.daemon.dispatcher.call_service(
            daemon_parts.make_request("log"), self.trace
        )
        self.assertEqual(answer.body, b"1")
        first, second = self.scripted.called
        self.assertNotEqual(first.target_id, second.target_id)

    async def test_never_retries_a_request_that_may_have_run(self) -> None:
        self.scripted.answers = [_ANSWER_LOST]
        request = daemon_parts.make_request("payment", key="k")
        with self.assertRaises(errors.TargetAnswerLostError):
            await self.daemon.dispatcher.call_service(request, self.trace)
        self.assertEqual(len(self.scripted.called), 1)

    async def test_retries_if_no_byte_was_sent(self) -> None:
        self.scripted.answers = [_UNREACHABLE, daemon_parts.make_answer(b"1")]
        request = daemon_parts.make_request("payment", key="k")
        answer = await self.daemon.dispatcher.call_service(request, self.trace)
        self.assertEqual(answer.body, b"1")

    async def test_drops_the_answer_of_another_attempt(self) -> None:
        misdirected = daemon_parts.make_answer(b"2", attempt_id="other")
        self.scripted.answers = [misdirected, daemon_parts.make_answer(b"1")]
        answer = await self.daemon.dispatcher.call_service(
            daemon_parts.make_request("log"), self.trace
        )
        self.assertEqual(answer.body, b"1")

    async def test_returns_the_rejection_of_the_claim(self) -> None:
        refusal = errors.Refusal(
            code=results.Code.OUTCOME_UNKNOWN,
            ran=results.Ran.UNKNOWN,
            message="unknown",
        )

        async def reject(
            request: at_most_once.Request,
            attempt: targets.Attempt,
            send_attempt: at_most_once.SendAttempt,
        ) -> at_most_once.Outcome:
            del request, attempt, send_attempt
            return result.Failure(refusal)

        self.daemon = daemon_parts.Daemon(run_once=reject)
        request = daemon_parts.make_request("payment", key="k")
        self.assertEqual(await self._call_rejected(request), refusal)
        self.assertTrue(self.trace.claim_known)


if __name__ == "__main__":
    unittest.main()
