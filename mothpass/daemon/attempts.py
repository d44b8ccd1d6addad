"""Runs attempts: sends requests to targets and records the outcomes."""

import asyncio
from collections import abc
import contextlib
import itertools
import random as random_module

from mothpass.core import errors
from mothpass.core import prompt_suspects
from mothpass.core import routing
from mothpass.core import streams
from mothpass.core import suspects
from mothpass.core import targets as target_states
from mothpass.daemon import client_requests
from mothpass.daemon import crash_detection
from mothpass.daemon import in_flight
from mothpass.daemon import placement
from mothpass.daemon import resumption
from mothpass.daemon import target_slots
from mothpass.ports import targets


class Trace:
    """Attempts of one request, for its log line and its response.

    Attributes:
        target_id: Target of the last attempt.
        attempts: Number of attempts sent.
        claim_known: Whether the claim of a non-repeatable request has been
            read, so that a rejection can say whether the request ran.
        first_event_at: Monotonic seconds when the first events arrived.
        may_have_run: Whether an attempt ended without a known result.
        sent_at: Monotonic seconds when the last attempt was sent.
    """

    __slots__ = (
        "attempts",
        "claim_known",
        "first_event_at",
        "may_have_run",
        "sent_at",
        "target_id",
    )

    def __init__(self) -> None:
        """Starts before the first attempt."""
        self.target_id = ""
        self.attempts = 0
        self.claim_known = False
        self.first_event_at: float | None = None
        self.may_have_run = False
        self.sent_at: float | None = None


class RunningAttempt:
    """One attempt in flight.

    Attributes:
        attempt: The attempt as it is sent.
        request: The client's request.
        slot: The reserved slot.
        stream: State of the answer's event stream.
        boot_id: Boot id of the target when it was sent, empty if unknown.
        sent_at: Monotonic seconds when it was sent.
    """

    __slots__ = ("attempt", "boot_id", "request", "sent_at", "slot", "stream")

    def __init__(
        self,
        *,
        attempt: targets.Attempt,
        request: client_requests.ClientRequest,
        slot: target_slots.TargetSlot,
        boot_id: str,
        sent_at: float,
    ) -> None:
        """Starts with an empty event stream."""
        self.attempt = attempt
        self.request = request
        self.slot = slot
        self.boot_id = boot_id
        self.sent_at = sent_at
        self.stream = streams.AnswerStream(attempt_id=attempt.id)


class AttemptRunner:
    """Runs attempts and releases their slots.

    Attributes:
        crossed: Events and answers dropped as they belong to another attempt.
        early: Events dropped as an earlier one was missing.
        repeated: Events dropped as duplicates.
        resumed: Streams resumed over a new connection.
    """

    __slots__ = (
        "_cancel_tasks",
        "_crash_detector",
        "_ids",
        "_in_flight",
        "_placement",
        "_ports",
        "_prefix",
        "_router",
        "crossed",
        "early",
        "repeated",
        "resumed",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        ports: resumption.Ports,
        placement: placement.Placement,
        router: routing.Router,
        suspects: suspects.SuspectTable,
        suspected_parts: prompt_suspects.PromptSuspectTable,
        random: random_module.Random,
    ) -> None:
        """Starts with no attempts.

        Args:
            instance_id: Id of this daemon. Attempt ids combine it with a
                random part, so that they are unique.
            ports: Functions that reach targets.
            placement: Releases the slots of ended attempts.
            router: Holds the state of the targets.
            suspects: Records crashes of targets.
            suspected_parts: Records the parts of prompts that were there.
            random: Source of the random part of attempt ids, and of the
                choice of targets to probe.
        """
        self._ports = ports
        self._placement = placement
        self._router = router
        self._prefix = f"{instance_id}-{random.getrandbits(48):012x}"
        self._ids = itertools.count(1)
        self._in_flight = in_flight.InFlightAttempts(
            suspects=suspects, suspected_parts=suspected_parts
        )
        self._crash_detector = crash_detection.CrashDetector(
            router=router,
            attempts=self._in_flight,
            suspects=suspects,
            suspected_parts=suspected_parts,
            read_load=ports.read_load,
            random=random,
            clock=ports.clock,
        )
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self.crossed = 0
        self.early = 0
        self.repeated = 0
        self.resumed = 0

    def read_counters(self) -> dict[str, int]:
        """Returns the counters by metric name."""
        return {
            "events.crossed": self.crossed,
            "events.early": self.early,
            "events.repeated": self.repeated,
            "streams.resumed": self.resumed,
        }

    def create_attempt_id(self) -> str:
        """Returns a new unique attempt id."""
        return f"{self._prefix}-{next(self._ids):x}"

    def start(
        self,
        request: client_requests.ClientRequest,
        slot: target_slots.TargetSlot,
        trace: Trace,
        attempt_id: str,
    ) -> RunningAttempt:
        """Registers an attempt as in flight; ``finish`` must follow.

        Args:
            request: The client's request.
            slot: The reserved slot.
            trace: Updated with the attempt.
            attempt_id: Id from ``create_attempt_id``.
        """
        now = self._ports.clock()
        target = self._router.targets.get(slot.target_id)
        running = RunningAttempt(
            attempt=_build_attempt(request, slot, attempt_id),
            request=request,
            slot=slot,
            boot_id="" if target is None else target.boot_id,
            sent_at=now,
        )
        trace.attempts += 1
        trace.target_id = slot.target_id
        trace.sent_at = now
        self._in_flight.add(
            slot.target_id,
            request.fingerprint,
            request.shared_parts,
            running.stream,
        )
        return running

    async def stream_events(
        self, running: RunningAttempt
    ) -> abc.AsyncGenerator[list[targets.Event], None]:
        """Sends an attempt and yields its events, see ``resumption``."""
        batches = resumption.follow_attempt(
            self._ports, running.attempt, running.stream
        )
        async with contextlib.aclosing(batches):
            try:
                async for events in batches:
                    yield events
            except errors.TargetDiedError as error:
                if await self._has_died(running):
                    raise
                raise errors.TargetAnswerLostError(str(error)) from error

    def record_first_token(self, running: RunningAttempt, trace: Trace) -> None:
        """Records the first-token latency; may clear a crash suspect."""
        now = self._ports.clock()
        trace.first_event_at = now
        self._router.record_first_token(
            running.slot.target_id,
            first_token_ms=(now - running.sent_at) * 1000,
            now=now,
        )
        target_id = running.slot.target_id
        if self._in_flight.record_progress(target_id, running.stream, now=now):
            self._placement.end_trial(running.slot)

    async def fetch_answer(
        self,
        request: client_requests.ClientRequest,
        slot: target_slots.TargetSlot,
        trace: Trace,
        attempt_id: str,
    ) -> targets.Answer:
        """Sends an attempt and returns its whole answer.

        Raises:
            errors.MothpassError: As ``ports.targets.CallTarget``.
        """
        running = self.start(request, slot, trace, attempt_id)
        failure: errors.MothpassError | None = None
        try:
            answer = await self._ports.call(running.attempt)
            running.stream.boot_id = answer.boot_id
            if answer.attempt_id != running.attempt.id:
                self.crossed += 1
                raise errors.TargetAnswerLostError(
                    "the answer belongs to another attempt"
                )
            running.stream.is_complete = True
            return answer
        except errors.TargetAnswerLostError as error:
            failure = await self._probe_target(running, error)
            raise
        except errors.MothpassError as error:
            failure = error
            raise
        finally:
            self.finish(running, failure)

    def finish(
        self, running: RunningAttempt, failure: errors.MothpassError | None
    ) -> None:
        """Releases an attempt's slot; cancels it if it may still run.

        Args:
            running: The attempt.
            failure: Error that ended it, None if its answer is whole or the
                client has disconnected.
        """
        outcome = self._classify_outcome(running, failure)
        now = self._ports.clock()
        self._in_flight.remove(running.slot.target_id, running.stream, now=now)
        self.crossed += running.stream.crossed
        self.early += running.stream.early
        self.repeated += running.stream.repeated
        self.resumed += running.stream.resumes
        self._placement.release_slot(
            running.slot, outcome, boot_id=running.stream.boot_id
        )
        if running.request.repeatable and outcome in (
            target_states.Outcome.CANCELLED,
            target_states.Outcome.LOST,
        ):
            task = asyncio.ensure_future(self._ports.cancel(running.attempt))
            self._cancel_tasks.add(task)
            task.add_done_callback(self._cancel_tasks.discard)

    async def _probe_target(
        self, running: RunningAttempt, lost_answer: errors.MothpassError
    ) -> errors.MothpassError:
        """Polls a target's load to distinguish a crash from a lost answer."""
        try:
            await self._ports.read_load(running.slot.address)
        except errors.TargetUnreachableError as error:
            if await self._has_died(running):
                return errors.TargetDiedError(str(error))
        except errors.MothpassError:
            return lost_answer
        return lost_answer

    async def _has_died(self, running: RunningAttempt) -> bool:
        """Returns whether an attempt's unreachable target has crashed."""
        return await self._crash_detector.check(
            running.slot.target_id, running.boot_id, running.request.name
        )

    def _classify_outcome(
        self, running: RunningAttempt, failure: errors.MothpassError | None
    ) -> target_states.Outcome:
        """Returns an attempt's outcome; records a new start of its target."""
        if running.stream.is_complete:
            return target_states.Outcome.ANSWERED
        if failure is None:
            return target_states.Outcome.CANCELLED
        if isinstance(failure, errors.TargetRefusedError):
            return target_states.Outcome.REFUSED
        if isinstance(failure, errors.TargetUnreachableError):
            return target_states.Outcome.UNREACHABLE
        if _shows_new_start(running, failure):
            self._in_flight.record_crash(
                running.slot.target_id,
                running.stream,
                running.boot_id or running.slot.target_id,
                now=self._ports.clock(),
            )
        return target_states.Outcome.LOST


def _shows_new_start(
    running: RunningAttempt, failure: errors.MothpassError
) -> bool:
    """Returns whether a failure means that the target has started again."""
    return isinstance(
        failure, errors.AttemptUnknownError
    ) and running.boot_id not in ("", failure.boot_id)


def _build_attempt(
    request: client_requests.ClientRequest,
    slot: target_slots.TargetSlot,
    attempt_id: str,
) -> targets.Attempt:
    key = request.idempotency_key
    if key is not None:
        key = targets.scope_key(team=request.team, idempotency_key=key)
    return targets.Attempt(
        id=attempt_id,
        target_id=slot.target_id,
        address=slot.address,
        path=request.path,
        body=request.body,
        priority=request.priority,
        idempotency_key=key,
        fencing=0 if slot.permit is None else slot.permit.fencing,
        deadline=request.deadline,
    )
