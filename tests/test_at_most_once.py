"""Tests for mothpass.daemon.at_most_once."""

import asyncio
import random
import unittest

from returns import result

from mothpass.core import claims as core_claims
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import store_budgets
from mothpass.daemon import at_most_once
from mothpass.daemon import stores
from mothpass.ports import targets
from tests import fakes_platform


class Daemon:
    """One daemon's runner over shared fakes; sleeping advances its clock.

    Attributes:
        failure: Error that the service raises in place of answers.
        may_answer: Lets the service answer while it is set.
        now: Seconds on the monotonic and the wall clock.
        received: Set when an attempt has reached the service.
        runner: The runner under test.
        sent: Ids of the attempts that reached the service.
    """

    __slots__ = (
        "_count",
        "failure",
        "may_answer",
        "name",
        "now",
        "received",
        "runner",
        "sent",
    )

    def __init__(
        self,
        *,
        name: str,
        tables: fakes_platform.MemoryTables,
        objects: fakes_platform.MemoryObjects,
    ) -> None:
        self.name = name
        self.now = 100.0
        self.sent: list[str] = []
        self.failure: Exception | None = None
        self.received = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._count = 0
        store_budget = store_budgets.StoreBudget(
            reads_per_s=1000, writes_per_s=1000, daemons=1, now=0.0
        )
        self.runner = at_most_once.AtMostOnceRunner(
            store=stores.Store(
                read_row=tables.read_row,
                scan_rows=tables.scan_rows,
                transact=tables.transact,
                get_object=objects.get_object,
                put_object=objects.put_object,
                store_budget=store_budget,
                monotonic=self.read_clock,
            ),
            monotonic=self.read_clock,
            wall=self.read_clock,
            sleep=self.sleep,
            random=random.Random(1),
        )

    def read_clock(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await asyncio.sleep(0)

    async def answer_attempt(self, attempt: targets.Attempt) -> targets.Answer:
        """Answers as the service, with the body of the attempt."""
        if isinstance(self.failure, errors.TargetUnreachableError):
            raise self.failure
        self.sent.append(attempt.id)
        self.received.set()
        await self.may_answer.wait()
        if self.failure is not None:
            raise self.failure
        return targets.Answer(
            attempt_id=attempt.id, status=200, body=attempt.body, boot_id="b"
        )

    async def submit(
        self, body: bytes = b"{}", *, deadline_s: float = 5.0
    ) -> at_most_once.Outcome:
        """Sends the request that all tests share."""
        self._count += 1
        deadline = self.now + deadline_s
        attempt = targets.Attempt(
            id=f"{self.name}-{self._count}",
            target_id="s1",
            address="127.0.0.1:1",
            path="/v1/call/payment",
            body=body,
            priority=0,
            idempotency_key="k",
            deadline=deadline,
        )
        request = at_most_once.Request(
            team="north",
            service="payment",
            idempotency_key="k",
            body=body,
            deadline=deadline,
            result_kept_ms=86_400_000,
        )
        return await self.runner.run_once(request, attempt, self.answer_attempt)


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """Checks two daemons and one idempotency key under single faults."""

    async def asyncSetUp(self) -> None:
        self.tables = fakes_platform.MemoryTables()
        self.objects = fakes_platform.MemoryObjects()
        self.first = self.create_daemon("d1")
        self.second = self.create_daemon("d2")

    def create_daemon(self, name: str) -> Daemon:
        return Daemon(name=name, tables=self.tables, objects=self.objects)

    async def submit_until_sent(self, daemon: Daemon) -> asyncio.Task[object]:
        """Starts a request and returns when the service has received it."""
        daemon.may_answer.clear()
        task: asyncio.Task[object] = asyncio.ensure_future(daemon.submit())
        await daemon.received.wait()
        return task

    def fail_read(self) -> None:
        raise errors.StoreUnavailableError("down")

    def pause_first_daemon(self) -> None:
        self.first.now += 300.0

    def check_rejected(
        self,
        outcome: at_most_once.Outcome,
        code: results.Code,
        ran: results.Ran,
    ) -> None:
        self.assertIsInstance(outcome, result.Failure)
        self.assertEqual(
            (outcome.failure().code, outcome.failure().ran), (code, ran)
        )

    async def test_new_request_needs_two_writes_and_no_read(self) -> None:
        await self.first.submit()
        await self.first.runner.drain()
        self.assertEqual((self.tables.transactions, self.tables.reads), (2, 0))

    async def test_later_request_at_another_daemon_gets_the_stored_answer(
        self,
    ) -> None:
        first = await self.first.submit(b'{"amount": 1}')
        await self.first.runner.drain()
        second = await self.second.submit(b'{"amount": 1}')
        self.assertEqual(first, second)
        self.assertEqual(self.second.sent, [])

    async def test_concurrent_request_waits_for_the_answer_in_flight(
        self,
    ) -> None:
        running = await self.submit_until_sent(self.first)
        waiting = asyncio.ensure_future(self.second.submit(deadline_s=1e6))
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.first.may_answer.set()
        self.assertEqual(await running, await waiting)
        self.assertEqual(self.second.sent, [])

    async def test_request_at_its_deadline_is_rejected_as_in_progress(
        self,
    ) -> None:
        await self.submit_until_sent(self.first)
        outcome = await self.second.submit(deadline_s=1.0)
        self.check_rejected(
            outcome, results.Code.IN_PROGRESS, results.Ran.UNKNOWN
        )

    async def test_reused_key_with_another_body_is_rejected(self) -> None:
        await self.first.submit(b"1")
        await self.first.runner.drain()
        outcome = await self.second.submit(b"2")
        self.check_rejected(
            outcome, results.Code.IDEMPOTENCY_KEY_REUSED, results.Ran.UNKNOWN
        )

    async def test_unconfirmed_claim_is_read_back(self) -> None:
        self.tables.faults.lose_answers = 1
        outcome = await self.first.submit()
        self.assertIsInstance(outcome, result.Success)
        self.assertEqual(len(self.first.sent), 1)

    async def test_lost_claim_is_written_again(self) -> None:
        self.tables.faults.drop_writes = 2
        outcome = await self.first.submit()
        self.assertIsInstance(outcome, result.Success)

    async def test_store_outage_rejects_at_once_as_unknown(self) -> None:
        self.tables.faults.down = True
        outcome = await self.first.submit()
        self.check_rejected(
            outcome, results.Code.STORE_UNAVAILABLE, results.Ran.UNKNOWN
        )
        self.assertEqual((self.first.sent, self.first.now), ([], 100.0))

    async def test_unconfirmed_claim_sends_nothing_and_releases_the_key(
        self,
    ) -> None:
        self.tables.faults.lose_answers = 1
        self.tables.on_read = self.fail_read
        outcome = await self.first.submit()
        self.check_rejected(
            outcome, results.Code.STORE_UNAVAILABLE, results.Ran.UNKNOWN
        )
        self.tables.on_read = None
        await self.first.runner.drain()
        self.assertIsInstance(await self.second.submit(), result.Success)
        self.assertEqual(self.first.sent, [])

    async def test_unreachable_target_reports_not_run_and_releases_the_key(
        self,
    ) -> None:
        self.first.failure = errors.TargetUnreachableError("refused")
        outcome = await self.first.submit()
        self.check_rejected(outcome, results.Code.TARGET_FAILED, results.Ran.NO)
        await self.first.runner.drain()
        self.assertIsInstance(await self.second.submit(), result.Success)

    async def test_rejection_before_sending_releases_the_key(self) -> None:
        refusal = errors.Refusal(
            code=results.Code.OVERLOADED, ran=results.Ran.NO, message="full"
        )
        self.first.failure = errors.RefusalError(refusal)
        self.check_rejected(
            await self.first.submit(), results.Code.OVERLOADED, results.Ran.NO
        )
        await self.first.runner.drain()
        self.assertIsInstance(await self.second.submit(), result.Success)

    async def test_lost_answer_of_the_target_stays_unknown(self) -> None:
        self.first.failure = errors.TargetAnswerLostError("cut")
        for daemon in (self.first, self.second):
            outcome = await daemon.submit()
            self.check_rejected(
                outcome, results.Code.OUTCOME_UNKNOWN, results.Ran.UNKNOWN
            )
            await self.first.runner.drain()
        self.assertEqual(self.second.sent, [])

    async def test_client_disconnect_before_sending_releases_the_key(
        self,
    ) -> None:
        self.tables.faults.lose_answers = 1
        submitting = asyncio.ensure_future(self.first.submit())

        def disconnect() -> None:
            submitting.cancel()
            self.fail_read()

        self.tables.on_read = disconnect
        with self.assertRaises(asyncio.CancelledError):
            await submitting
        self.tables.on_read = None
        await self.first.runner.drain()
        self.assertIsInstance(await self.second.submit(), result.Success)
        self.assertEqual(self.first.sent, [])

    async def test_crashed_owner_leaves_the_outcome_unknown(self) -> None:
        running = await self.submit_until_sent(self.first)
        running.cancel()
        self.second.now += core_claims.MAX_CLOCK_SKEW_MS / 1000 + 6.0
        outcome = await self.second.submit()
        self.check_rejected(
            outcome, results.Code.OUTCOME_UNKNOWN, results.Ran.UNKNOWN
        )
        self.assertEqual(self.second.sent, [])

    async def test_owner_paused_past_the_deadline_sends_nothing(self) -> None:
        self.tables.faults.lose_answers = 1
        self.tables.on_read = self.pause_first_daemon
        outcome = await self.first.submit()
        self.check_rejected(
            outcome, results.Code.DEADLINE_EXCEEDED, results.Ran.NO
        )
        self.assertEqual(self.first.sent, [])

    async def test_answer_is_returned_during_a_store_outage(
        self,
    ) -> None:
        running = await self.submit_until_sent(self.first)
        self.tables.faults.down = True
        self.first.may_answer.set()
        self.assertIsInstance(await running, result.Success)
        self.assertIsInstance(await self.first.submit(), result.Success)
        self.tables.faults.down = False
        await self.first.runner.drain()
        self.assertIsInstance(await self.second.submit(), result.Success)
        self.assertEqual(len(self.first.sent), 1)

    async def test_large_answer_is_stored_as_an_object(self) -> None:
        body = b'"%s"' % (b"x" * core_claims.MAX_ROW_BODY_BYTES)
        await self.first.submit(body)
        await self.first.runner.drain()
        self.assertEqual(len(self.objects.list_names()), 1)
        outcome = await self.second.submit(body)
        self.assertEqual(outcome.unwrap().body, body)
        self.objects.faults.down = True
        self.check_rejected(
            await self.second.submit(body),
            results.Code.STORE_UNAVAILABLE,
            results.Ran.YES,
        )

    async def test_client_disconnect_after_sending_keeps_the_result(
        self,
    ) -> None:
        running = await self.submit_until_sent(self.first)
        running.cancel()
        await asyncio.sleep(0)
        self.first.may_answer.set()
        await self.first.runner.drain()
        self.assertIsInstance(await self.second.submit(), result.Success)
        self.assertEqual(self.second.sent, [])


if __name__ == "__main__":
    unittest.main()
