"""Carries one request through limits, targets and attempts to its answer."""

import asyncio
from collections import abc
import contextlib
import random as random_module

import msgspec
from returns import result

from mothpass.core import errors
from mothpass.core import limits
from mothpass.core import results
from mothpass.core import retries
from mothpass.core import suspects
from mothpass.daemon import answering
from mothpass.daemon import attempts
from mothpass.daemon import calls
from mothpass.daemon import claims
from mothpass.daemon import placement
from mothpass.daemon import places
from mothpass.ports import clock
from mothpass.ports import targets

ATTEMPTS_PER_REQUEST = 4
RETRY_AFTER_MS = 1000
QUARANTINE_RETRY_MS = 60_000
TRIAL_RETRY_MS = 2000

# Runs a call that may not be repeated at most once, see daemon.claims.
RunOnce = abc.Callable[
    [claims.Request, targets.Attempt, claims.Run], abc.Awaitable[claims.Outcome]
]


class Parts(msgspec.Struct, frozen=True, kw_only=True):
    """State that the dispatcher shares with the rest of the daemon.

    Attributes:
        placement: Finds targets.
        runner: Runs attempts.
        teams: Limits of the teams.
        names: Limits of models and services.
        suspects: Requests that crash targets.
        random: Source of randomness.
        clock: Monotonic seconds.
    """

    placement: placement.Placement
    runner: attempts.AttemptRunner
    teams: limits.Limiter
    names: limits.Limiter
    suspects: suspects.SuspectTable
    random: random_module.Random
    clock: clock.Monotonic


class Dispatcher:
    """Runs calls.

    Attributes:
        retried: Attempts made after a first one failed.
    """

    __slots__ = ("_budgets", "_parts", "_run_once", "retried")

    def __init__(self, *, parts: Parts, run_once: RunOnce) -> None:
        """Starts without calls.

        Args:
            parts: Shared state.
            run_once: Runs a call that may not be repeated.
        """
        self._parts = parts
        self._run_once = run_once
        self._budgets: dict[str, retries.RetryBudget] = {}
        self.retried = 0

    async def start_answer(
        self, call: calls.Call, trace: attempts.Trace
    ) -> answering.Answering:
        """Waits until there is something of a model's answer to show.

        That is its first events where the caller wants a stream, else all of
        them. Only until then may another target be tried: answers of models
        differ from one run to the next, so that a caller who has seen a part
        can't be given the rest of another.

        Raises:
            errors.RefusalError: If there is no answer.
        """
        admission = self._admit(call, trace)
        try:
            run, batches, events = await self._find_answer(call, trace)
        except BaseException:
            admission.close()
            raise
        return answering.Answering(
            run=run,
            runner=self._parts.runner,
            batches=batches,
            first=events,
            admission=admission,
            budget=self._find_budget(call),
        )

    async def call_service(
        self, call: calls.Call, trace: attempts.Trace
    ) -> targets.Answer:
        """Returns the whole answer of a plain service.

        Raises:
            errors.RefusalError: If there is none.
        """
        with self._admit(call, trace):
            if call.repeatable:
                return await self._call_repeatable(call, trace)
            return await self._call_claimed(call, trace)

    def _admit(
        self, call: calls.Call, trace: attempts.Trace
    ) -> contextlib.ExitStack:
        """Counts a call against the limits, until the stack is closed."""
        now = self._parts.clock()
        with contextlib.ExitStack() as stack:
            for limiter, name in (
                (self._parts.teams, call.team),
                (self._parts.names, call.name),
            ):
                refusal = limiter.admit(name, now=now)
                if refusal is not None:
                    raise errors.RefusalError(refusal)
                stack.callback(limiter.release, name)
            stack.callback(self._end_trial, call, trace)
            return stack.pop_all()

    def _end_trial(self, call: calls.Call, trace: attempts.Trace) -> None:
        """Lets a resend of a suspect be tried wherever it arrives."""
        if trace.attempts:
            self._parts.suspects.release_trial(
                call.fingerprint, now=self._parts.clock()
            )

    async def _find_answer(
        self, call: calls.Call, trace: attempts.Trace
    ) -> tuple[attempts.Run, answering.Batches, list[targets.Event]]:
        """Tries targets until one has answered as far as is needed."""
        runner = self._parts.runner
        excluded: frozenset[str] = frozenset()
        while True:
            place = await self._place(call, trace, excluded)
            run = runner.start(call, place, trace, runner.name_attempt())
            batches = runner.follow(run)
            try:
                events = await anext(batches)
                runner.note_first_token(run, trace)
                if not call.stream:
                    async for batch in batches:
                        events.extend(batch)
            except errors.MothpassError as error:
                runner.end(run, error)
                await self._prepare_retry(call, trace, error)
                # A target that knows nothing of the attempt lost it with a
                # connection that was closed meanwhile; it may be asked again.
                if not isinstance(error, errors.AttemptUnknownError):
                    excluded |= {place.target_id}
            except BaseException:
                runner.end(run, None)
                raise
            else:
                return run, batches, events

    async def _call_repeatable(
        self, call: calls.Call, trace: attempts.Trace
    ) -> targets.Answer:
        """Calls until a target answers."""
        excluded: frozenset[str] = frozenset()
        while True:
            place = await self._place(call, trace, excluded)
            attempt_id = self._parts.runner.name_attempt()
            try:
                answer = await self._parts.runner.call(
                    call, place, trace, attempt_id
                )
            except errors.RefusalError:
                raise
            except errors.MothpassError as error:
                await self._prepare_retry(call, trace, error)
                excluded |= {place.target_id}
            else:
                self._find_budget(call).record_success()
                return answer

    async def _call_claimed(
        self, call: calls.Call, trace: attempts.Trace
    ) -> targets.Answer:
        """Calls once the claim of the caller's key is confirmed."""
        attempt = targets.Attempt(
            id=self._parts.runner.name_attempt(),
            target_id="",
            address="",
            path=call.path,
            body=call.body,
            priority=call.priority,
            idempotency_key=call.idempotency_key,
            deadline=call.deadline,
        )
        outcome = await self._run_once(
            claims.Request(
                team=call.team,
                service=call.name,
                idempotency_key=call.idempotency_key or "",
                body=call.body,
                deadline=call.deadline,
                kept_ms=call.kept_ms,
            ),
            attempt,
            lambda sent: self._call_once(call, trace, sent.id),
        )
        trace.claim_known = True
        if isinstance(outcome, result.Failure):
            raise errors.RefusalError(outcome.failure())
        answer: targets.Answer = outcome.unwrap()
        return answer

    async def _call_once(
        self, call: calls.Call, trace: attempts.Trace, attempt_id: str
    ) -> targets.Answer:
        """Calls until a target has taken the call, and no further.

        Raises:
            errors.RefusalError: If none took it; it did not run.
            errors.TargetAnswerLostError: It may have run.
        """
        excluded: frozenset[str] = frozenset()
        while True:
            place = await self._place(call, trace, excluded)
            try:
                return await self._parts.runner.call(
                    call, place, trace, attempt_id
                )
            except (
                errors.TargetUnreachableError,
                errors.TargetRefusedError,
            ) as error:
                await self._prepare_retry(call, trace, error)
                excluded |= {place.target_id}

    async def _place(
        self, call: calls.Call, trace: attempts.Trace, excluded: frozenset[str]
    ) -> places.Place:
        """Finds a target, unless the request is known to crash targets."""
        alone = await self._settle_suspicion(call, trace)
        try:
            return await self._parts.placement.place(
                call, excluded=excluded, alone=alone
            )
        except errors.RefusalError as error:
            refusal = msgspec.structs.replace(
                error.refusal, ran=_tell_whether_ran(trace)
            )
            raise errors.RefusalError(refusal) from error

    async def _settle_suspicion(
        self, call: calls.Call, trace: attempts.Trace
    ) -> bool:
        """Waits until the request may run; returns whether only on trial.

        Raises:
            errors.RefusalError: If it may not run here now.
        """
        found = self._parts.suspects
        while True:
            now = self._parts.clock()
            decision = found.check(call.fingerprint, now=now)
            if decision.verdict is suspects.Verdict.CLEAR:
                return False
            if decision.verdict is suspects.Verdict.ALONE:
                return True
            if decision.verdict is suspects.Verdict.QUARANTINED:
                raise _refuse(
                    trace,
                    results.Code.REQUEST_QUARANTINED,
                    "targets died while running this request",
                    QUARANTINE_RETRY_MS,
                )
            if decision.verdict is suspects.Verdict.ELSEWHERE:
                raise _refuse(
                    trace,
                    results.Code.REQUEST_QUARANTINED,
                    "a target died while running this request; it is being "
                    "tried again already",
                    TRIAL_RETRY_MS,
                )
            if decision.until >= call.deadline:
                raise _refuse(
                    trace,
                    results.Code.DEADLINE_EXCEEDED,
                    "no time is left to try this request again",
                    TRIAL_RETRY_MS,
                )
            await asyncio.sleep(max(0.0, decision.until - now))

    async def _prepare_retry(
        self,
        call: calls.Call,
        trace: attempts.Trace,
        error: errors.MothpassError,
    ) -> None:
        """Waits for the moment of the next attempt.

        Raises:
            errors.RefusalError: If there is to be none.
        """
        if isinstance(error, errors.TargetAnswerLostError):
            trace.may_have_run = True
        now = self._parts.clock()
        retry_at = retries.compute_retry_at(
            now=now,
            attempts=trace.attempts,
            source=self._parts.random,
            deadline=call.deadline,
        )
        if retry_at is None:
            raise _refuse(
                trace,
                results.Code.DEADLINE_EXCEEDED,
                f"no answer before the deadline: {error}",
                RETRY_AFTER_MS,
            )
        spent = trace.attempts >= ATTEMPTS_PER_REQUEST
        if spent or not self._find_budget(call).try_spend():
            raise _refuse(
                trace,
                results.Code.RETRIES_EXHAUSTED,
                f"no further attempt after: {error}",
                RETRY_AFTER_MS,
            )
        self.retried += 1
        await asyncio.sleep(retry_at - now)

    def _find_budget(self, call: calls.Call) -> retries.RetryBudget:
        budget = self._budgets.get(call.name)
        if budget is None:
            budget = self._budgets[call.name] = retries.RetryBudget()
        return budget


def _tell_whether_ran(trace: attempts.Trace) -> results.Ran:
    return results.Ran.UNKNOWN if trace.may_have_run else results.Ran.NO


def _refuse(
    trace: attempts.Trace, code: results.Code, message: str, retry_after_ms: int
) -> errors.RefusalError:
    """Returns the error that ends a request after its attempts."""
    return errors.RefusalError(
        errors.Refusal(
            code=code,
            ran=_tell_whether_ran(trace),
            message=message,
            retry_after_ms=retry_after_ms,
        )
    )
