"""Runs non-repeatable requests at most once per idempotency key."""

import asyncio
from collections import abc
import logging
import random as random_module
import typing

import msgspec
from returns import result

from mothpass.core import claim_refusals
from mothpass.core import claims
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import store_budgets
from mothpass.daemon import claim_finalization
from mothpass.daemon import stores
from mothpass.ports import clock
from mothpass.ports import tables
from mothpass.ports import targets

MAX_CONFIRM_TRIES = 5
CONFIRM_BACKOFF_S = 0.05
MIN_POLL_INTERVAL_S = 0.05
MAX_POLL_INTERVAL_S = 1.0
POLL_INTERVAL_GROWTH = 1.6
# Time before the deadline that is reserved for the response to the client.
ANSWER_MARGIN_S = 0.05
MAX_UNCONFIRMED_CLAIMS = 2000

_PRIORITY = store_budgets.Priority.CLAIM
_logger = logging.getLogger("mothpass.claims")

# Sends the attempt. Raises errors.TargetUnreachableError only if no byte was
# sent, errors.TargetAnswerLostError if it may have run, and
# errors.RefusalError if it was rejected; ``ran`` then says whether it ran.
SendAttempt = abc.Callable[[targets.Attempt], abc.Awaitable[targets.Answer]]
Outcome: typing.TypeAlias = result.Result[targets.Answer, errors.Refusal]


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A non-repeatable request.

    Attributes:
        team: Name of the team.
        service: Name of the service.
        idempotency_key: The client's key.
        body: Body as the client sent it.
        deadline: Monotonic seconds after which the client needs no answer.
        result_kept_ms: How long its result is kept, in milliseconds.
    """

    team: str
    service: str
    idempotency_key: str
    body: bytes
    deadline: float
    result_kept_ms: int


class _ClaimProgress:
    """Progress of an attempt that claims its row.

    Attributes:
        expected_version: Row version that its latest claim expects.
        poll_interval_s: Time to wait before the row is read again.
        sent: Whether a claim was sent to the store.
        store_failures: Failed calls of the store.
        unconfirmed: Whether the store's answer to a claim was lost.
    """

    __slots__ = (
        "expected_version",
        "poll_interval_s",
        "sent",
        "store_failures",
        "unconfirmed",
    )

    def __init__(self) -> None:
        self.expected_version = 0
        self.store_failures = 0
        self.unconfirmed = False
        self.poll_interval_s = MIN_POLL_INTERVAL_S
        self.sent = False


class AtMostOnceRunner:
    """Runs this daemon's non-repeatable requests at most once.

    Attributes:
        finalizer: Writes the final states of claims to the store.
    """

    __slots__ = (
        "_monotonic",
        "_random",
        "_sleep",
        "_store",
        "_tasks",
        "_wall",
        "finalizer",
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
        """Starts with no requests in flight.

        Args:
            store: The platform's store.
            monotonic: Clock for deadlines.
            wall: Clock for the times in rows, which other daemons read.
            sleep: Waits between retries and polls.
            random: Source of jitter.
        """
        self._store = store
        self._monotonic = monotonic
        self._wall = wall
        self._sleep = sleep
        self._random = random
        self._tasks: set[asyncio.Task[Outcome]] = set()
        self.finalizer = claim_finalization.ClaimFinalizer(
            store=store, wall=wall, sleep=sleep, random=random
        )

    async def run_once(
        self,
        request: Request,
        attempt: targets.Attempt,
        send_attempt: SendAttempt,
    ) -> Outcome:
        """Runs a request unless one with its key ran or may have run.

        If this is cancelled because the client disconnects, a request that
        was sent continues and its result is stored.

        Args:
            request: The request.
            attempt: Attempt to send; its id must be unique, as it becomes the
                token of the claim.
            send_attempt: Sends the attempt; called at most once.

        Returns:
            The answer, possibly of an earlier attempt, or a rejection. "Not
            run" in it applies to all attempts with the key.
        """
        call = self._build_claim_call(request, attempt)
        progress = _ClaimProgress()
        try:
            step = await self._acquire_claim(call, progress)
        except asyncio.CancelledError:
            # The client disconnected; the row must not stay claimed.
            if progress.sent:
                self._abandon(call, progress)
            raise
        if isinstance(step, claims.Known):
            return await self._load_stored_answer(step.claim)
        if not isinstance(step, claims.Send):
            return result.Failure(step)
        sending = self._send_and_finalize(
            call, step.stored, attempt, send_attempt
        )
        task = asyncio.create_task(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Waits until all requests and final writes are complete."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.finalizer.drain()

    def _build_claim_call(
        self, request: Request, attempt: targets.Attempt
    ) -> claims.Call:
        """Returns the content of the claim row, the same for all retries."""
        remaining_ms = (request.deadline - self._monotonic()) * 1000
        until_ms = int(self._wall() * 1000 + max(0.0, remaining_ms))
        return claims.Call(
            team=request.team,
            service=request.service,
            idempotency_key=request.idempotency_key,
            body_sha256=claims.hash_body(request.body),
            token=attempt.id,
            deadline=request.deadline,
            may_run_until_ms=until_ms,
            kept_until_ms=until_ms + request.result_kept_ms,
        )

    async def _acquire_claim(
        self, call: claims.Call, progress: _ClaimProgress
    ) -> claims.Send | claims.Known | errors.Refusal:
        """Claims the row, or returns the claim that it holds.

        Returns:
            Permission to send, the known result of an earlier attempt, or a
            rejection.
        """
        found = self.finalizer.find_unconfirmed(call)
        if found is None and self.finalizer.count >= MAX_UNCONFIRMED_CLAIMS:
            return claim_refusals.refuse_without_store(
                claim_refusals.RETRY_AFTER_MS
            )
        while True:
            wall_ms = int(self._wall() * 1000)
            step = claims.examine(call, found, wall_ms=wall_ms)
            if not isinstance(step, claims.Take | claims.Wait):
                return step
            if self._monotonic() >= call.deadline - ANSWER_MARGIN_S:
                return self._reject_expired(call, step, progress)
            try:
                if isinstance(step, claims.Take):
                    confirmed = await self._try_claim(call, step, progress)
                    if confirmed is not None:
                        return confirmed
                else:
                    await self._wait_before_poll(call, progress)
                found = await self._read_row(call)
            except errors.StoreUnavailableError as error:
                refusal = await self._handle_store_outage(call, progress, error)
                if refusal is not None:
                    return refusal

    async def _try_claim(
        self, call: claims.Call, take: claims.Take, progress: _ClaimProgress
    ) -> claims.Send | None:
        """Writes the claim to the row once; None if it isn't confirmed."""
        outcome: tables.Committed | tables.Conflict | None = None
        progress.expected_version = take.write.expected_version
        progress.sent = True
        try:
            outcome = await self._store.transact(
                [take.write], priority=_PRIORITY
            )
        except errors.StoreUnconfirmedError:
            progress.unconfirmed = True
        return claims.confirm(take, outcome, call)

    async def _read_row(self, call: claims.Call) -> claims.Stored | None:
        key = claims.name_row(call.team, call.service, call.idempotency_key)
        row = await self._store.read_row(claims.TABLE, key, priority=_PRIORITY)
        return claims.decode_row(row)

    async def _wait_before_poll(
        self, call: claims.Call, progress: _ClaimProgress
    ) -> None:
        """Waits before the next read of the row, with backoff and jitter."""
        remaining_s = call.deadline - ANSWER_MARGIN_S - self._monotonic()
        pause_s = progress.poll_interval_s * self._random.uniform(0.8, 1.2)
        progress.poll_interval_s = min(
            MAX_POLL_INTERVAL_S, progress.poll_interval_s * POLL_INTERVAL_GROWTH
        )
        await self._sleep(max(0.0, min(pause_s, remaining_s)))

    async def _handle_store_outage(
        self,
        call: claims.Call,
        progress: _ClaimProgress,
        error: errors.StoreUnavailableError,
    ) -> errors.Refusal | None:
        """Rejects an attempt, unless an unconfirmed claim may be stored.

        Returns:
            The rejection, or None if the row is to be read again.
        """
        progress.store_failures += 1
        if progress.unconfirmed and progress.store_failures < MAX_CONFIRM_TRIES:
            pause_s = CONFIRM_BACKOFF_S * 2**progress.store_failures
            await self._sleep(pause_s * self._random.uniform(0.5, 1.0))
            return None
        if progress.unconfirmed:
            self._abandon(call, progress)
        wait_ms = claim_refusals.RETRY_AFTER_MS
        if isinstance(error, errors.StoreBudgetError):
            wait_ms = max(wait_ms, int(error.wait_s * 1000))
        return claim_refusals.refuse_without_store(wait_ms)

    def _abandon(self, call: claims.Call, progress: _ClaimProgress) -> None:
        """Releases the key of an attempt that won't be sent."""
        claim = claims.build_claim(call)
        self.finalizer.abandon(claim, progress.expected_version)

    def _reject_expired(
        self,
        call: claims.Call,
        step: claims.Take | claims.Wait,
        progress: _ClaimProgress,
    ) -> errors.Refusal:
        """Rejects an attempt at its deadline; abandons an unconfirmed claim."""
        if progress.unconfirmed:
            self._abandon(call, progress)
        if isinstance(step, claims.Wait):
            return claim_refusals.refuse_in_progress()
        return claim_refusals.refuse_without_store(
            claim_refusals.RETRY_AFTER_MS
        )

    async def _send_and_finalize(
        self,
        call: claims.Call,
        stored: claims.Stored,
        attempt: targets.Attempt,
        send_attempt: SendAttempt,
    ) -> Outcome:
        """Sends an attempt whose claim is confirmed; finalizes the claim."""
        claim = stored.claim
        if claims.may_send(call, now=self._monotonic()):
            outcome = await self._send_attempt(attempt, send_attempt)
        else:
            outcome = _build_not_run(
                results.Code.DEADLINE_EXCEEDED, "the deadline has passed"
            )
        if isinstance(outcome, result.Success):
            final = claims.end_result(claim, outcome.unwrap(), body_object="")
            self.finalizer.finalize(stored, final)
            return outcome
        refusal = outcome.failure()
        if refusal.ran is not results.Ran.NO:
            self.finalizer.finalize(stored, claims.end_unknown(claim))
            return outcome
        self.finalizer.finalize(stored, claims.end_not_run(claim))
        wall_ms = int(self._wall() * 1000)
        return result.Failure(
            claims.refuse_unsent(refusal, claim, wall_ms=wall_ms)
        )

    async def _send_attempt(
        self, attempt: targets.Attempt, send_attempt: SendAttempt
    ) -> Outcome:
        """Sends the attempt and returns its answer or a rejection."""
        outcome: Outcome = result.Failure(claim_refusals.refuse_unknown())
        try:
            answer = await send_attempt(attempt)
        except errors.TargetUnreachableError:
            return _build_not_run(
                results.Code.TARGET_FAILED, "no target could be reached"
            )
        except errors.RefusalError as error:
            return result.Failure(error.refusal)
        except errors.TargetAnswerLostError:
            return outcome
        except Exception:
            _logger.exception("request failed; its outcome is unknown")
            return outcome
        if answer.attempt_id == attempt.id:
            outcome = result.Success(answer)
        else:
            _logger.error("dropped the answer to another attempt")
        return outcome

    async def _load_stored_answer(self, claim: claims.Claim) -> Outcome:
        """Loads the stored answer of the attempt that ran."""
        body: bytes | None = claim.body
        if claim.body_object:
            try:
                body = await self._store.get_object(
                    claim.body_object, priority=_PRIORITY
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


def _build_not_run(code: results.Code, message: str) -> Outcome:
    return result.Failure(claim_refusals.refuse_not_run(code, message))
