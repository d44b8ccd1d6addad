"""Admits requests and dispatches them to targets, with retries."""

import asyncio
from collections import abc
import contextlib
import random as random_module

import msgspec
from returns import result

from mothpass.core import errors
from mothpass.core import limits
from mothpass.core import prompt_suspects
from mothpass.core import results
from mothpass.core import retries
from mothpass.core import suspects
from mothpass.daemon import at_most_once
from mothpass.daemon import attempts
from mothpass.daemon import client_requests
from mothpass.daemon import placement
from mothpass.daemon import started_answers
from mothpass.daemon import target_slots
from mothpass.ports import clock
from mothpass.ports import targets

MAX_ATTEMPTS_PER_REQUEST = 4
RETRY_AFTER_MS = 1000
QUARANTINE_RETRY_AFTER_MS = 60_000
TRIAL_RETRY_AFTER_MS = 2000

# Runs a non-repeatable request at most once, see daemon.at_most_once.
RunOnce = abc.Callable[
    [at_most_once.Request, targets.Attempt, at_most_once.SendAttempt],
    abc.Awaitable[at_most_once.Outcome],
]


class Dependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Objects that the dispatcher shares with the rest of the daemon.

    Attributes:
        placement: Reserves slots at targets.
        runner: Runs attempts.
        team_limiter: Limiter of the teams.
        name_limiter: Limiter of the models and services.
        suspects: Table of crash suspects.
        suspected_parts: Parts of prompts that are crash suspects.
        random: Source of randomness.
        clock: Monotonic seconds.
    """

    placement: placement.Placement
    runner: attempts.AttemptRunner
    team_limiter: limits.Limiter
    name_limiter: limits.Limiter
    suspects: suspects.SuspectTable
    suspected_parts: prompt_suspects.PromptSuspectTable
    random: random_module.Random
    clock: clock.Monotonic


class Dispatcher:
    """Dispatches requests to targets.

    Attributes:
        retry_count: Retries so far, over all requests.
    """

    __slots__ = ("_dependencies", "_retry_budgets", "_run_once", "retry_count")

    def __init__(
        self, *, dependencies: Dependencies, run_once: RunOnce
    ) -> None:
        """Starts with no requests and unused retry budgets.

        Args:
            dependencies: Objects shared with the rest of the daemon.
            run_once: Runs a non-repeatable request at most once.
        """
        self._dependencies = dependencies
        self._run_once = run_once
        self._retry_budgets: dict[str, retries.RetryBudget] = {}
        self.retry_count = 0

    async def start_answer(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> started_answers.StartedAnswer:
        """Dispatches a chat and waits for the first events of its answer.

        Waits for all events if the client doesn't want a stream. Retries on
        another target happen only before this returns: a model's answers
        differ between runs, so a client that has received a part of one
        answer can't continue with the rest of another.

        Raises:
            errors.RefusalError: If the request is rejected.
        """
        admission = self._admit(request, trace)
        try:
            running, batches, events = await self._start_with_retries(
                request, trace
            )
        except BaseException:
            admission.close()
            raise
        return started_answers.StartedAnswer(
            running=running,
            runner=self._dependencies.runner,
            batches=batches,
            first=events,
            admission=admission,
            budget=self._get_retry_budget(request),
        )

    async def call_service(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> targets.Answer:
        """Dispatches a request to a plain service and returns its answer.

        Raises:
            errors.RefusalError: If the request is rejected.
        """
        with self._admit(request, trace):
            if request.repeatable:
                return await self._call_repeatable(request, trace)
            return await self._call_once_with_claim(request, trace)

    def _admit(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> contextlib.ExitStack:
        """Admits a request; closing the returned stack releases it.

        Raises:
            errors.RefusalError: If a limit of the team or of the model or
                service is reached.
        """
        now = self._dependencies.clock()
        with contextlib.ExitStack() as admission:
            for limiter, name in (
                (self._dependencies.team_limiter, request.team),
                (self._dependencies.name_limiter, request.name),
            ):
                refusal = limiter.admit(name, now=now)
                if refusal is not None:
                    raise errors.RefusalError(refusal)
                admission.callback(limiter.release, name)
            admission.callback(self._release_trial, request, trace)
            return admission.pop_all()

    def _release_trial(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> None:
        """Releases a suspect's trial, so that any daemon may run the next."""
        if trace.attempts:
            self._dependencies.suspects.release_trial(
                request.fingerprint, now=self._dependencies.clock()
            )

    async def _start_with_retries(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> tuple[
        attempts.RunningAttempt, started_answers.Batches, list[targets.Event]
    ]:
        """Retries until a target has sent the events that are needed."""
        runner = self._dependencies.runner
        excluded: frozenset[str] = frozenset()
        while True:
            slot = await self._reserve_slot(request, trace, excluded)
            running = runner.start(
                request, slot, trace, runner.create_attempt_id()
            )
            batches = runner.stream_events(running)
            try:
                events = await anext(batches)
                runner.record_first_token(running, trace)
                if not request.stream:
                    async for batch in batches:
                        events.extend(batch)
            except errors.MothpassError as error:
                runner.finish(running, error)
                await self._wait_for_retry(request, trace, error)
                # A target that doesn't know the attempt lost it with a
                # connection that was closed meanwhile; it may be tried again.
                if not isinstance(error, errors.AttemptUnknownError):
                    excluded |= {slot.target_id}
            except BaseException:
                runner.finish(running, None)
                raise
            else:
                return running, batches, events

    async def _call_repeatable(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> targets.Answer:
        """Retries a repeatable request until a target answers."""
        excluded: frozenset[str] = frozenset()
        while True:
            slot = await self._reserve_slot(request, trace, excluded)
            attempt_id = self._dependencies.runner.create_attempt_id()
            try:
                answer = await self._dependencies.runner.fetch_answer(
                    request, slot, trace, attempt_id
                )
            except errors.RefusalError:
                raise
            except errors.MothpassError as error:
                await self._wait_for_retry(request, trace, error)
                excluded |= {slot.target_id}
            else:
                self._get_retry_budget(request).record_success()
                return answer

    async def _call_once_with_claim(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> targets.Answer:
        """Dispatches once the claim of the idempotency key is confirmed."""
        attempt = targets.Attempt(
            id=self._dependencies.runner.create_attempt_id(),
            target_id="",
            address="",
            path=request.path,
            body=request.body,
            priority=request.priority,
            idempotency_key=request.idempotency_key,
            deadline=request.deadline,
        )
        outcome = await self._run_once(
            at_most_once.Request(
                team=request.team,
                service=request.name,
                idempotency_key=request.idempotency_key or "",
                body=request.body,
                deadline=request.deadline,
                result_kept_ms=request.result_kept_ms,
            ),
            attempt,
            lambda sent: self._call_until_accepted(request, trace, sent.id),
        )
        trace.claim_known = True
        if isinstance(outcome, result.Failure):
            raise errors.RefusalError(outcome.failure())
        answer: targets.Answer = outcome.unwrap()
        return answer

    async def _call_until_accepted(
        self,
        request: client_requests.ClientRequest,
        trace: attempts.Trace,
        attempt_id: str,
    ) -> targets.Answer:
        """Retries until a target accepts the request, and not after that.

        Raises:
            errors.RefusalError: If no target accepted it; it did not run.
            errors.TargetAnswerLostError: If it may have run.
        """
        excluded: frozenset[str] = frozenset()
        while True:
            slot = await self._reserve_slot(request, trace, excluded)
            try:
                return await self._dependencies.runner.fetch_answer(
                    request, slot, trace, attempt_id
                )
            except (
                errors.TargetUnreachableError,
                errors.TargetRefusedError,
            ) as error:
                await self._wait_for_retry(request, trace, error)
                excluded |= {slot.target_id}

    async def _reserve_slot(
        self,
        request: client_requests.ClientRequest,
        trace: attempts.Trace,
        excluded: frozenset[str],
    ) -> target_slots.TargetSlot:
        """Reserves a slot, unless the request is quarantined.

        Raises:
            errors.RefusalError: If no slot is free before the deadline, or if
                the request, or a part of its prompt, is a crash suspect that
                may not run here now.
        """
        self._check_parts(request, trace)
        alone = await self._wait_for_suspect_verdict(request, trace)
        self._dependencies.suspected_parts.record_start(
            request.shared_parts, now=self._dependencies.clock()
        )
        try:
            return await self._dependencies.placement.reserve_slot(
                request, excluded=excluded, alone=alone
            )
        except errors.RefusalError as error:
            refusal = msgspec.structs.replace(
                error.refusal, ran=_derive_ran(trace)
            )
            raise errors.RefusalError(refusal) from error

    def _check_parts(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> None:
        """Checks that no part of the prompt is barred.

        Raises:
            errors.RefusalError: If one is, as it crashes targets.
        """
        table = self._dependencies.suspected_parts
        now = self._dependencies.clock()
        if table.find_barred(request.shared_parts, now=now) is not None:
            raise _build_rejection(
                trace,
                results.Code.REQUEST_QUARANTINED,
                "targets died while running requests with one of the messages",
                QUARANTINE_RETRY_AFTER_MS,
            )

    async def _wait_for_suspect_verdict(
        self, request: client_requests.ClientRequest, trace: attempts.Trace
    ) -> bool:
        """Waits until the request may run; returns whether it is on trial.

        Raises:
            errors.RefusalError: If the request is quarantined, on trial at
                another daemon, or can't be tried before its deadline.
        """
        suspect_requests = self._dependencies.suspects
        while True:
            now = self._dependencies.clock()
            decision = suspect_requests.check(request.fingerprint, now=now)
            if decision.verdict is suspects.Verdict.CLEAR:
                return False
            if decision.verdict is suspects.Verdict.ALONE:
                return True
            if decision.verdict is suspects.Verdict.QUARANTINED:
                raise _build_rejection(
                    trace,
                    results.Code.REQUEST_QUARANTINED,
                    "targets died while running this request",
                    QUARANTINE_RETRY_AFTER_MS,
                )
            if decision.verdict is suspects.Verdict.ELSEWHERE:
                raise _build_rejection(
                    trace,
                    results.Code.REQUEST_QUARANTINED,
                    "a target died while running this request; a trial run "
                    "is already in progress",
                    TRIAL_RETRY_AFTER_MS,
                )
            if decision.until >= request.deadline:
                raise _build_rejection(
                    trace,
                    results.Code.DEADLINE_EXCEEDED,
                    "the deadline leaves no time for a trial run",
                    TRIAL_RETRY_AFTER_MS,
                )
            await asyncio.sleep(max(0.0, decision.until - now))

    async def _wait_for_retry(
        self,
        request: client_requests.ClientRequest,
        trace: attempts.Trace,
        error: errors.MothpassError,
    ) -> None:
        """Waits for the backoff before the next attempt.

        Raises:
            errors.RefusalError: If the deadline, the limit of attempts or the
                retry budget allows no retry.
        """
        if isinstance(error, errors.TargetAnswerLostError):
            trace.may_have_run = True
        now = self._dependencies.clock()
        retry_at = retries.compute_retry_at(
            now=now,
            attempts=trace.attempts,
            random=self._dependencies.random,
            deadline=request.deadline,
        )
        if retry_at is None:
            raise _build_rejection(
                trace,
                results.Code.DEADLINE_EXCEEDED,
                f"no answer before the deadline: {error}",
                RETRY_AFTER_MS,
            )
        exhausted = trace.attempts >= MAX_ATTEMPTS_PER_REQUEST
        if exhausted or not self._get_retry_budget(request).try_spend():
            raise _build_rejection(
                trace,
                results.Code.RETRIES_EXHAUSTED,
                f"no retry is left after: {error}",
                RETRY_AFTER_MS,
            )
        self.retry_count += 1
        await asyncio.sleep(retry_at - now)

    def _get_retry_budget(
        self, request: client_requests.ClientRequest
    ) -> retries.RetryBudget:
        budget = self._retry_budgets.get(request.name)
        if budget is None:
            budget = self._retry_budgets[request.name] = retries.RetryBudget()
        return budget


def _derive_ran(trace: attempts.Trace) -> results.Ran:
    return results.Ran.UNKNOWN if trace.may_have_run else results.Ran.NO


def _build_rejection(
    trace: attempts.Trace, code: results.Code, message: str, retry_after_ms: int
) -> errors.RefusalError:
    """Returns the error that rejects a request after its attempts."""
    return errors.RefusalError(
        errors.Refusal(
            code=code,
            ran=_derive_ran(trace),
            message=message,
            retry_after_ms=retry_after_ms,
        )
    )
