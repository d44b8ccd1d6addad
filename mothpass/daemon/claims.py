"""Runs calls that may not be repeated, at most once each."""

import asyncio
from collections import abc
import logging
import random as random_module
import typing

import msgspec
from returns import result

from mothpass.core import budget
from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import errors
from mothpass.core import results
from mothpass.daemon import claim_ends
from mothpass.daemon import stores
from mothpass.ports import clock
from mothpass.ports import tables
from mothpass.ports import targets

CONFIRM_TRIES = 5
CONFIRM_PAUSE_S = 0.05
WAIT_FIRST_S = 0.05
WAIT_MOST_S = 1.0
WAIT_GROWTH = 1.6
# Time kept of the deadline for the answer to the caller.
ANSWER_S = 0.05
UNSETTLED_LIMIT = 2000

_CLAIM = budget.Priority.CLAIM
_logger = logging.getLogger("mothpass.claims")

# Sends the attempt. Raises errors.TargetUnreachableError only if no byte of
# it left, errors.TargetAnswerLostError if it may have run, and
# errors.RefusalError, with what it says of having run, if it was not sent.
Run = abc.Callable[[targets.Attempt], abc.Awaitable[targets.Answer]]
Outcome: typing.TypeAlias = result.Result[targets.Answer, errors.Refusal]


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A call that may not be repeated.

    Attributes:
        team: Name of the team.
        service: Name of the service.
        idempotency_key: Key that the caller chose.
        body: Body as the caller sent it.
        deadline: Monotonic seconds after which an answer is of no use.
        kept_ms: How long its result is kept, in milliseconds.
    """

    team: str
    service: str
    idempotency_key: str
    body: bytes
    deadline: float
    kept_ms: int


class _Progress:
    """What an attempt has met on its way to the row.

    Attributes:
        expected_version: Version that its newest claim expects.
        failures: Calls that the store did not take.
        lost: Whether a claim was sent whose answer was lost.
        pause_s: Time to wait before the row is read again.
        sent: Whether a claim was sent.
    """

    __slots__ = ("expected_version", "failures", "lost", "pause_s", "sent")

    def __init__(self) -> None:
        self.expected_version = 0
        self.failures = 0
        self.lost = False
        self.pause_s = WAIT_FIRST_S
        self.sent = False


class Claims:
    """Calls that run at most once, on this daemon.

    Attributes:
        ends: Rows that are still to be ended in the store.
    """

    __slots__ = (
        "_monotonic",
        "_random",
        "_sleep",
        "_store",
        "_tasks",
        "_wall",
        "ends",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        monotonic: clock.Monotonic,
        wall: clock.WallClock,
        sleep: stores.Sleep,
        random: random_module.Random,
    ) -> None:
        """Keeps the store and the clocks.

        Args:
            store: The platform's store.
            monotonic: Clock of the deadlines.
            wall: Clock of the times that other daemons read.
            sleep: Waits between tries.
            random: Source of jitter.
        """
        self._store = store
        self._monotonic = monotonic
        self._wall = wall
        self._sleep = sleep
        self._random = random
        self._tasks: set[asyncio.Task[Outcome]] = set()
        self.ends = claim_ends.ClaimEnds(
            store=store, wall=wall, sleep=sleep, random=random
        )

    async def run_once(
        self, request: Request, attempt: targets.Attempt, run: Run
    ) -> Outcome:
        """Runs a call unless it ran, or may have run, under its key.

        The call goes on and its result is stored when the caller goes away
        and this is cancelled.

        Args:
            request: The call.
            attempt: Attempt to send; its id must be unique, as it becomes the
                token of the claim.
            run: Sends it. It is called once at most.

        Returns:
            The answer, which may be that of an earlier attempt, or a refusal.
            "Not run" holds of all attempts under the key.
        """
        call = self._build_call(request, attempt)
        progress = _Progress()
        try:
            step = await self._take_row(call, progress)
        except asyncio.CancelledError:
            # The caller went away; the row must not stay claimed for nobody.
            if progress.sent:
                self._abandon(call, progress)
            raise
        if isinstance(step, claims.Known):
            return await self._read_answer(step.claim)
        if not isinstance(step, claims.Send):
            return result.Failure(step)
        dispatch = self._dispatch(call, step.stored, attempt, run)
        task = asyncio.create_task(dispatch)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Waits until nothing runs and each row has been ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.ends.drain()

    def _build_call(
        self, request: Request, attempt: targets.Attempt
    ) -> claims.Call:
        """Fixes what the row says; nothing in it changes on later tries."""
        left_ms = (request.deadline - self._monotonic()) * 1000
        until_ms = int(self._wall() * 1000 + max(0.0, left_ms))
        return claims.Call(
            team=request.team,
            service=request.service,
            idempotency_key=request.idempotency_key,
            body_sha256=claims.hash_body(request.body),
            token=attempt.id,
            deadline=request.deadline,
            may_run_until_ms=until_ms,
            kept_until_ms=until_ms + request.kept_ms,
        )

    async def _take_row(
        self, call: claims.Call, progress: _Progress
    ) -> claims.Send | claims.Known | errors.Refusal:
        """Gets the row, or learns what it says."""
        found = self.ends.find(call)
        if found is None and self.ends.count >= UNSETTLED_LIMIT:
            return claim_refusals.refuse_without_store(
                claim_refusals.RETRY_AFTER_MS
            )
        while True:
            wall_ms = int(self._wall() * 1000)
            step = claims.examine(call, found, wall_ms=wall_ms)
            if not isinstance(step, claims.Take | claims.Wait):
                return step
            if self._monotonic() >= call.deadline - ANSWER_S:
                return self._give_up(call, step, progress)
            try:
                if isinstance(step, claims.Take):
                    confirmed = await self._try_take(call, step, progress)
                    if confirmed is not None:
                        return confirmed
                else:
                    await self._pause_waiting(call, progress)
                found = await self._read(call)
            except errors.StoreUnavailableError as error:
                refusal = await self._handle_outage(call, progress, error)
                if refusal is not None:
                    return refusal

    async def _try_take(
        self, call: claims.Call, take: claims.Take, progress: _Progress
    ) -> claims.Send | None:
        """Sends the write that claims the row, once."""
        outcome: tables.Committed | tables.Conflict | None = None
        progress.expected_version = take.write.expected_version
        progress.sent = True
        try:
            outcome = await self._store.transact([take.write], priority=_CLAIM)
        except errors.StoreUnconfirmedError:
            progress.lost = True
        return claims.confirm(take, outcome, call)

    async def _read(self, call: claims.Call) -> claims.Stored | None:
        key = claims.name_row(call.team, call.service, call.idempotency_key)
        row = await self._store.read_row(claims.TABLE, key, priority=_CLAIM)
        return claims.decode_row(row)

    async def _pause_waiting(
        self, call: claims.Call, progress: _Progress
    ) -> None:
        """Waits before the row is read again, longer each time."""
        left = call.deadline - ANSWER_S - self._monotonic()
        pause = progress.pause_s * self._random.uniform(0.8, 1.2)
        progress.pause_s = min(WAIT_MOST_S, progress.pause_s * WAIT_GROWTH)
        await self._sleep(max(0.0, min(pause, left)))

    async def _handle_outage(
        self,
        call: claims.Call,
        progress: _Progress,
        error: errors.StoreUnavailableError,
    ) -> errors.Refusal | None:
        """Gives up at once, unless a write of this attempt may be there."""
        progress.failures += 1
        if progress.lost and progress.failures < CONFIRM_TRIES:
            pause = CONFIRM_PAUSE_S * 2**progress.failures
            await self._sleep(pause * self._random.uniform(0.5, 1.0))
            return None
        if progress.lost:
            self._abandon(call, progress)
        wait_ms = claim_refusals.RETRY_AFTER_MS
        if isinstance(error, errors.StoreBudgetError):
            wait_ms = max(wait_ms, int(error.wait_s * 1000))
        return claim_refusals.refuse_without_store(wait_ms)

    def _abandon(self, call: claims.Call, progress: _Progress) -> None:
        """Frees the key of an attempt that will send nothing."""
        claim = claims.build_claim(call)
        self.ends.abandon(claim, progress.expected_version)

    def _give_up(
        self,
        call: claims.Call,
        step: claims.Take | claims.Wait,
        progress: _Progress,
    ) -> errors.Refusal:
        """Answers an attempt whose deadline came before it had the row."""
        if progress.lost:
            self._abandon(call, progress)
        if isinstance(step, claims.Wait):
            return claim_refusals.refuse_in_progress()
        return claim_refusals.refuse_without_store(
            claim_refusals.RETRY_AFTER_MS
        )

    async def _dispatch(
        self,
        call: claims.Call,
        stored: claims.Stored,
        attempt: targets.Attempt,
        run: Run,
    ) -> Outcome:
        """Sends a call whose row is confirmed, and ends the row."""
        claim = stored.claim
        if claims.may_send(call, now=self._monotonic()):
            outcome = await self._send(attempt, run)
        else:
            outcome = _fail_not_run(
                results.Code.DEADLINE_EXCEEDED, "the deadline is over"
            )
        if isinstance(outcome, result.Success):
            end = claims.end_result(claim, outcome.unwrap(), body_object="")
            self.ends.begin(stored, end)
            return outcome
        refusal = outcome.failure()
        if refusal.ran is not results.Ran.NO:
            self.ends.begin(stored, claims.end_unknown(claim))
            return outcome
        self.ends.begin(stored, claims.end_not_run(claim))
        wall_ms = int(self._wall() * 1000)
        return result.Failure(
            claims.refuse_unsent(refusal, claim, wall_ms=wall_ms)
        )

    async def _send(self, attempt: targets.Attempt, run: Run) -> Outcome:
        """Sends the attempt and tells what is known of it after that."""
        outcome: Outcome = result.Failure(claim_refusals.refuse_unknown())
        try:
            answer = await run(attempt)
        except errors.TargetUnreachableError:
            return _fail_not_run(
                results.Code.TARGET_FAILED, "no target could be reached"
            )
        except errors.RefusalError as error:
            return result.Failure(error.refusal)
        except errors.TargetAnswerLostError:
            return outcome
        except Exception:
            _logger.exception("call failed; its outcome is unknown")
            return outcome
        if answer.attempt_id == attempt.id:
            outcome = result.Success(answer)
        else:
            _logger.error("answer to another attempt dropped")
        return outcome

    async def _read_answer(self, claim: claims.Claim) -> Outcome:
        """Returns the stored answer of the attempt that ran."""
        body: bytes | None = claim.body
        if claim.body_object:
            try:
                body = await self._store.get_object(
                    claim.body_object, priority=_CLAIM
                )
            except errors.StoreUnavailableError:
                body = None
        if body is None:
            return result.Failure(claim_refusals.refuse_unreadable_result())
        answer = targets.Answer(
            attempt_id=claim.token,
            status=claim.status,
            body=body,
            boot_id=claim.boot_id,
        )
        return result.Success(answer)


def _fail_not_run(code: results.Code, message: str) -> Outcome:
    return result.Failure(claim_refusals.refuse_not_run(code, message))
