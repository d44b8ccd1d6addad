"""Tests of the daemon's calls that run at most once."""

import asyncio
import random
import unittest

from returns import result

from mothpass.core import budget
from mothpass.core import claims as core_claims
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import claims
from mothpass.daemon import stores
from mothpass.ports import targets
from tests import fakes_platform


class Daemon:
    """One daemon's claims over shared fakes; waiting moves its clock.

    Attributes:
        now: Seconds, on the monotonic and the wall clock.
        arrived: Set once an attempt has reached the service.
        gate: The service answers while it is set.
        sent: Attempts that reached the service.
        trouble: Raised in place of the service's next answers.
    """

    __slots__ = (
        "_count",
        "arrived",
        "claims",
        "gate",
        "name",
        "now",
        "sent",
        "trouble",
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
        self.trouble: Exception | None = None
        self.arrived = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        self._count = 0
        store_budget = budget.StoreBudget(
            reads_per_s=1000, writes_per_s=1000, daemons=1, now=0.0
        )
        self.claims = claims.Claims(
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

    async def run(self, attempt: targets.Attempt) -> targets.Answer:
        """Plays the service: answers with the body that it was sent."""
        if isinstance(self.trouble, errors.TargetUnreachableError):
            raise self.trouble
        self.sent.append(attempt.id)
        self.arrived.set()
        await self.gate.wait()
        if self.trouble is not None:
            raise self.trouble
        return targets.Answer(
            attempt_id=attempt.id, status=200, body=attempt.body, boot_id="b"
        )

    async def ask(
        self, body: bytes = b"{}", *, deadline_s: float = 5.0
    ) -> claims.Outcome:
        """Asks for the one call of these tests."""
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
        request = claims.Request(
            team="north",
            service="payment",
            idempotency_key="k",
            body=body,
            deadline=deadline,
            kept_ms=86_400_000,
        )
        return await self.claims.run_once(request, attempt, self.run)


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons and one key, one fault at a time."""

    async def asyncSetUp(self) -> None:
        self.tables = fakes_platform.MemoryTables()
        self.objects = fakes_platform.MemoryObjects()
        self.first = self.start("d1")
        self.second = self.start("d2")

    def start(self, name: str) -> Daemon:
        return Daemon(name=name, tables=self.tables, objects=self.objects)

    async def run_until_sent(self, daemon: Daemon) -> asyncio.Task[object]:
        """Starts an ask that stays at the service."""
        daemon.gate.clear()
        task: asyncio.Task[object] = asyncio.ensure_future(daemon.ask())
        await daemon.arrived.wait()
        return task

    def refuse_read(self) -> None:
        raise errors.StoreUnavailableError("down")

    def pause_first(self) -> None:
        self.first.now += 300.0

    def check_refused(
        self, outcome: claims.Outcome, code: results.Code, ran: results.Ran
    ) -> None:
        self.assertIsInstance(outcome, result.Failure)
        self.assertEqual(
            (outcome.failure().code, outcome.failure().ran), (code, ran)
        )

    async def test_new_call_costs_two_writes_and_no_read(self) -> None:
        await self.first.ask()
        await self.first.claims.drain()
        self.assertEqual((self.tables.transactions, self.tables.reads), (2, 0))

    async def test_later_ask_elsewhere_gets_the_first_answer(self) -> None:
        first = await self.first.ask(b'{"amount": 1}')
        await self.first.claims.drain()
        second = await self.second.ask(b'{"amount": 1}')
        self.assertEqual(first, second)
        self.assertEqual(self.second.sent, [])

    async def test_ask_beside_a_running_one_waits_for_its_answer(self) -> None:
        running = await self.run_until_sent(self.first)
        waiting = asyncio.ensure_future(self.second.ask(deadline_s=1e6))
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.first.gate.set()
        self.assertEqual(await running, await waiting)
        self.assertEqual(self.second.sent, [])

    async def test_ask_whose_deadline_ends_is_told_in_progress(self) -> None:
        await self.run_until_sent(self.first)
        outcome = await self.second.ask(deadline_s=1.0)
        self.check_refused(
            outcome, results.Code.IN_PROGRESS, results.Ran.UNKNOWN
        )

    async def test_same_key_with_another_body_is_an_error(self) -> None:
        await self.first.ask(b"1")
        await self.first.claims.drain()
        outcome = await self.second.ask(b"2")
        self.check_refused(
            outcome, results.Code.IDEMPOTENCY_KEY_REUSED, results.Ran.UNKNOWN
        )

    async def test_lost_answer_to_the_claim_is_read_back(self) -> None:
        self.tables.faults.lose_answers = 1
        outcome = await self.first.ask()
        self.assertIsInstance(outcome, result.Success)
        self.assertEqual(len(self.first.sent), 1)

    async def test_claim_that_was_dropped_is_written_again(self) -> None:
        self.tables.faults.drop_writes = 2
        outcome = await self.first.ask()
        self.assertIsInstance(outcome, result.Success)

    async def test_outage_refuses_at_once_and_says_unknown(self) -> None:
        self.tables.faults.down = True
        outcome = await self.first.ask()
        self.check_refused(
            outcome, results.Code.STORE_UNAVAILABLE, results.Ran.UNKNOWN
        )
        self.assertEqual((self.first.sent, self.first.now), ([], 100.0))

    async def test_unconfirmed_claim_sends_nothing_and_frees_the_key(
        self,
    ) -> None:
        self.tables.faults.lose_answers = 1
        self.tables.on_read = self.refuse_read
        outcome = await self.first.ask()
        self.check_refused(
            outcome, results.Code.STORE_UNAVAILABLE, results.Ran.UNKNOWN
        )
        self.tables.on_read = None
        await self.first.claims.drain()
        self.assertIsInstance(await self.second.ask(), result.Success)
        self.assertEqual(self.first.sent, [])

    async def test_unreachable_target_says_not_run_and_frees_the_key(
        self,
    ) -> None:
        self.first.trouble = errors.TargetUnreachableError("refused")
        outcome = await self.first.ask()
        self.check_refused(outcome, results.Code.TARGET_FAILED, results.Ran.NO)
        await self.first.claims.drain()
        self.assertIsInstance(await self.second.ask(), result.Success)

    async def test_refusal_before_sending_frees_the_key(self) -> None:
        refusal = errors.Refusal(
            code=results.Code.OVERLOADED, ran=results.Ran.NO, message="full"
        )
        self.first.trouble = errors.RefusalError(refusal)
        self.check_refused(
            await self.first.ask(), results.Code.OVERLOADED, results.Ran.NO
        )
        await self.first.claims.drain()
        self.assertIsInstance(await self.second.ask(), result.Success)

    async def test_lost_answer_of_the_target_is_unknown_for_good(self) -> None:
        self.first.trouble = errors.TargetAnswerLostError("cut")
        for daemon in (self.first, self.second):
            outcome = await daemon.ask()
            self.check_refused(
                outcome, results.Code.OUTCOME_UNKNOWN, results.Ran.UNKNOWN
            )
            await self.first.claims.drain()
        self.assertEqual(self.second.sent, [])

    async def test_caller_that_goes_away_before_sending_frees_the_key(
        self,
    ) -> None:
        self.tables.faults.lose_answers = 1
        asking = asyncio.ensure_future(self.first.ask())

        def leave() -> None:
            asking.cancel()
            self.refuse_read()

        self.tables.on_read = leave
        with self.assertRaises(asyncio.CancelledError):
            await asking
        self.tables.on_read = None
        await self.first.claims.drain()
        self.assertIsInstance(await self.second.ask(), result.Success)
        self.assertEqual(self.first.sent, [])

    async def test_owner_that_died_leaves_unknown(self) -> None:
        running = await self.run_until_sent(self.first)
        running.cancel()
        self.second.now += core_claims.MAX_CLOCK_SKEW_MS / 1000 + 6.0
        outcome = await self.second.ask()
        self.check_refused(
            outcome, results.Code.OUTCOME_UNKNOWN, results.Ran.UNKNOWN
        )
        self.assertEqual(self.second.sent, [])

    async def test_owner_paused_past_its_deadline_sends_nothing(self) -> None:
        self.tables.faults.lose_answers = 1
        self.tables.on_read = self.pause_first
        outcome = await self.first.ask()
        self.check_refused(
            outcome, results.Code.DEADLINE_EXCEEDED, results.Ran.NO
        )
        self.assertEqual(self.first.sent, [])

    async def test_answer_goes_out_while_its_row_waits_for_the_store(
        self,
    ) -> None:
        running = await self.run_until_sent(self.first)
        self.tables.faults.down = True
        self.first.gate.set()
        self.assertIsInstance(await running, result.Success)
        self.assertIsInstance(await self.first.ask(), result.Success)
        self.tables.faults.down = False
        await self.first.claims.drain()
        self.assertIsInstance(await self.second.ask(), result.Success)
        self.assertEqual(len(self.first.sent), 1)

    async def test_large_answer_goes_to_the_object_store(self) -> None:
        body = b'"%s"' % (b"x" * core_claims.MAX_ROW_BODY_BYTES)
        await self.first.ask(body)
        await self.first.claims.drain()
        self.assertEqual(len(self.objects.list_names()), 1)
        outcome = await self.second.ask(body)
        self.assertEqual(outcome.unwrap().body, body)
        self.objects.faults.down = True
        self.check_refused(
            await self.second.ask(body),
            results.Code.STORE_UNAVAILABLE,
            results.Ran.YES,
        )

    async def test_caller_that_goes_away_does_not_lose_the_result(
        self,
    ) -> None:
        running = await self.run_until_sent(self.first)
        running.cancel()
        await asyncio.sleep(0)
        self.first.gate.set()
        await self.first.claims.drain()
        self.assertIsInstance(await self.second.ask(), result.Success)
        self.assertEqual(self.second.sent, [])


if __name__ == "__main__":
    unittest.main()
