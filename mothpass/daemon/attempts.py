"""Runs one attempt of a call at a target and counts it."""

import asyncio
from collections import abc
import contextlib
import itertools
import random as random_module

from mothpass.core import errors
from mothpass.core import routing
from mothpass.core import streams
from mothpass.core import suspects
from mothpass.core import targets as target_states
from mothpass.daemon import calls
from mothpass.daemon import deaths
from mothpass.daemon import placement
from mothpass.daemon import resumption
from mothpass.ports import targets


class Trace:
    """What happened to one request, for its log line and its answer.

    Attributes:
        target_id: Target of the last attempt.
        attempts: Attempts that were sent.
        claim_known: Whether the claim of a call that may not be repeated has
            been looked up, so that a refusal can tell whether it ran.
        may_have_run: Whether one of them ended without a known result.
        sent_at: Monotonic seconds at which the last one was sent.
    """

    __slots__ = (
        "attempts",
        "claim_known",
        "may_have_run",
        "sent_at",
        "target_id",
    )

    def __init__(self) -> None:
        """Starts before the first attempt."""
        self.target_id = ""
        self.attempts = 0
        self.claim_known = False
        self.may_have_run = False
        self.sent_at: float | None = None


class AttemptRunner:
    """Runs attempts.

    Attributes:
        crossed: Events and answers dropped since they belong to another
            attempt.
        repeated: Events dropped since they had come before.
        resumed: Streams resumed over a new connection.
    """

    __slots__ = (
        "_cancels",
        "_deaths",
        "_ids",
        "_placement",
        "_ports",
        "_prefix",
        "_router",
        "crossed",
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
        suspects: suspects.Suspects,
        random: random_module.Random,
    ) -> None:
        """Starts without attempts.

        Args:
            instance_id: This daemon; with a random part it makes the ids of
                attempts unique.
            ports: Functions that reach targets.
            placement: Where attempts are counted out.
            router: What is known of the targets.
            suspects: Where deaths of targets are noted.
            random: Source of randomness.
        """
        self._ports = ports
        self._placement = placement
        self._router = router
        self._prefix = f"{instance_id}-{random.getrandbits(48):012x}"
        self._ids = itertools.count(1)
        self._deaths = deaths.Deaths(suspects=suspects)
        self._cancels: set[asyncio.Task[None]] = set()
        self.crossed = 0
        self.repeated = 0
        self.resumed = 0

    def name_attempt(self) -> str:
        """Returns an id that no other attempt has."""
        return f"{self._prefix}-{next(self._ids):x}"

    async def stream(
        self, call: calls.Call, place: placement.Place, trace: Trace
    ) -> abc.AsyncGenerator[list[targets.Event], None]:
        """Yields the events of one attempt, ending with the last one.

        Raises:
            errors.MothpassError: As ``ports.targets.OpenStream``.
        """
        attempt = _build_attempt(call, place, self.name_attempt())
        stream = streams.AnswerStream(attempt_id=attempt.id)
        boot_id = self._start_attempt(call, attempt, trace)
        sent_at = self._ports.clock()
        outcome = target_states.Outcome.CANCELLED
        shown = False
        batches = resumption.follow_attempt(self._ports, attempt, stream)
        try:
            async with contextlib.aclosing(batches):
                async for events in batches:
                    now = self._ports.clock()
                    if not shown:
                        shown = True
                        self._router.record_first_token(
                            place.target_id,
                            first_token_ms=(now - sent_at) * 1000,
                            now=now,
                        )
                    self._deaths.note_position(
                        place.target_id, attempt.id, stream.position, now=now
                    )
                    if stream.whole:
                        outcome = target_states.Outcome.ANSWERED
                    yield events
        except errors.MothpassError as error:
            outcome = self._note_failure(attempt, boot_id, error)
            raise
        finally:
            self.crossed += stream.crossed
            self.repeated += stream.repeated
            self.resumed += stream.resumes
            self._end_attempt(call, attempt, place, outcome, stream.boot_id)

    async def call(
        self,
        call: calls.Call,
        place: placement.Place,
        trace: Trace,
        attempt_id: str,
    ) -> targets.Answer:
        """Returns the whole answer of one attempt.

        Args:
            call: The call.
            place: Where it goes.
            trace: What happens to the request.
            attempt_id: What ``name_attempt`` gave.

        Raises:
            errors.MothpassError: As ``ports.targets.CallTarget``.
        """
        attempt = _build_attempt(call, place, attempt_id)
        boot_id = self._start_attempt(call, attempt, trace)
        outcome = target_states.Outcome.CANCELLED
        answer: targets.Answer | None = None
        try:
            answer = await self._ports.call(attempt)
            if answer.attempt_id != attempt.id:
                self.crossed += 1
                raise errors.TargetAnswerLostError("answer of another attempt")
            outcome = target_states.Outcome.ANSWERED
            return answer
        except errors.TargetAnswerLostError as error:
            probed = await self._probe(place.address, error)
            outcome = self._note_failure(attempt, boot_id, probed)
            raise
        except errors.MothpassError as error:
            outcome = self._note_failure(attempt, boot_id, error)
            raise
        finally:
            answered_by = None if answer is None else answer.boot_id
            self._end_attempt(call, attempt, place, outcome, answered_by)

    async def _probe(
        self, address: str, lost: errors.MothpassError
    ) -> errors.MothpassError:
        """Returns the error that tells a dead target from a lost answer."""
        try:
            await self._ports.read_load(address)
        except errors.TargetUnreachableError as error:
            return errors.TargetDiedError(str(error))
        except errors.MothpassError:
            return lost
        return lost

    def _start_attempt(
        self, call: calls.Call, attempt: targets.Attempt, trace: Trace
    ) -> str:
        """Notes that an attempt is sent; returns its target's boot id."""
        trace.attempts += 1
        trace.target_id = attempt.target_id
        trace.sent_at = self._ports.clock()
        self._deaths.start(attempt.target_id, attempt.id, call.fingerprint)
        target = self._router.targets.get(attempt.target_id)
        return "" if target is None else target.boot_id

    def _note_failure(
        self,
        attempt: targets.Attempt,
        boot_id: str,
        error: errors.MothpassError,
    ) -> target_states.Outcome:
        """Returns the outcome; notes where the target has died."""
        if isinstance(error, errors.TargetRefusedError):
            return target_states.Outcome.REFUSED
        died = isinstance(error, errors.TargetDiedError)
        if isinstance(error, errors.AttemptUnknownError):
            died = boot_id not in ("", error.boot_id)
        if died:
            self._deaths.record(
                attempt.target_id,
                attempt.id,
                boot_id or attempt.target_id,
                now=self._ports.clock(),
            )
        if isinstance(error, errors.TargetUnreachableError):
            return target_states.Outcome.UNREACHABLE
        return target_states.Outcome.LOST

    def _end_attempt(
        self,
        call: calls.Call,
        attempt: targets.Attempt,
        place: placement.Place,
        outcome: target_states.Outcome,
        boot_id: str | None,
    ) -> None:
        """Counts an attempt out, and stops what may still run of it."""
        answered = outcome is target_states.Outcome.ANSWERED
        self._deaths.end(
            attempt.target_id,
            attempt.id,
            whole=answered,
            now=self._ports.clock(),
        )
        self._placement.finish(place, outcome, boot_id=boot_id)
        if call.repeatable and outcome in (
            target_states.Outcome.CANCELLED,
            target_states.Outcome.LOST,
        ):
            task = asyncio.ensure_future(self._ports.cancel(attempt))
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)


def _build_attempt(
    call: calls.Call, place: placement.Place, attempt_id: str
) -> targets.Attempt:
    return targets.Attempt(
        id=attempt_id,
        target_id=place.target_id,
        address=place.address,
        path=call.path,
        body=call.body,
        priority=call.priority,
        idempotency_key=call.idempotency_key,
        fencing=0 if place.permit is None else place.permit.fencing,
        deadline=call.deadline,
    )
