"""Runs attempts of calls at targets and counts them."""

import asyncio
from collections import abc
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
from mothpass.daemon import places
from mothpass.daemon import resumption
from mothpass.ports import targets


class Trace:
    """What happened to one request, for its log line and its answer.

    Attributes:
        target_id: Target of the last attempt.
        attempts: Attempts that were sent.
        claim_known: Whether the claim of a call that may not be repeated has
            been looked up, so that a refusal can tell whether it ran.
        first_at: Monotonic seconds at which the first events came.
        may_have_run: Whether one of them ended without a known result.
        sent_at: Monotonic seconds at which the last one was sent.
    """

    __slots__ = (
        "attempts",
        "claim_known",
        "first_at",
        "may_have_run",
        "sent_at",
        "target_id",
    )

    def __init__(self) -> None:
        """Starts before the first attempt."""
        self.target_id = ""
        self.attempts = 0
        self.claim_known = False
        self.first_at: float | None = None
        self.may_have_run = False
        self.sent_at: float | None = None


class Run:
    """One attempt that runs.

    Attributes:
        attempt: What is sent.
        call: Call that it belongs to.
        place: Where it goes.
        stream: What has been received of its answer.
        boot_id: Boot id of the target when it was sent, empty if unknown.
        sent_at: Monotonic seconds at which it was sent.
    """

    __slots__ = ("attempt", "boot_id", "call", "place", "sent_at", "stream")

    def __init__(
        self,
        *,
        attempt: targets.Attempt,
        call: calls.Call,
        place: places.Place,
        boot_id: str,
        sent_at: float,
    ) -> None:
        """Starts with nothing received."""
        self.attempt = attempt
        self.call = call
        self.place = place
        self.boot_id = boot_id
        self.sent_at = sent_at
        self.stream = streams.AnswerStream(attempt_id=attempt.id)


class AttemptRunner:
    """Runs attempts and counts them.

    Attributes:
        crossed: Events and answers dropped since they belong to another
            attempt.
        early: Events dropped since an earlier one was missing.
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
        self.early = 0
        self.repeated = 0
        self.resumed = 0

    def read_counters(self) -> dict[str, int]:
        """Returns the counts by the names of their metrics."""
        return {
            "events.crossed": self.crossed,
            "events.early": self.early,
            "events.repeated": self.repeated,
            "streams.resumed": self.resumed,
        }

    def name_attempt(self) -> str:
        """Returns an id that no other attempt has."""
        return f"{self._prefix}-{next(self._ids):x}"

    def start(
        self,
        call: calls.Call,
        place: places.Place,
        trace: Trace,
        attempt_id: str,
    ) -> Run:
        """Notes that an attempt is sent; ``end`` must follow.

        Args:
            call: The call.
            place: Where it goes.
            trace: What happens to the request.
            attempt_id: What ``name_attempt`` gave.
        """
        now = self._ports.clock()
        target = self._router.targets.get(place.target_id)
        run = Run(
            attempt=_build_attempt(call, place, attempt_id),
            call=call,
            place=place,
            boot_id="" if target is None else target.boot_id,
            sent_at=now,
        )
        trace.attempts += 1
        trace.target_id = place.target_id
        trace.sent_at = now
        self._deaths.start(place.target_id, call.fingerprint, run.stream)
        return run

    def follow(self, run: Run) -> abc.AsyncGenerator[list[targets.Event], None]:
        """Returns the events of an attempt, see ``resumption``."""
        return resumption.follow_attempt(self._ports, run.attempt, run.stream)

    def note_first_token(self, run: Run, trace: Trace) -> None:
        """Takes in that the first events of an attempt have come."""
        now = self._ports.clock()
        trace.first_at = now
        self._router.record_first_token(
            run.place.target_id,
            first_token_ms=(now - run.sent_at) * 1000,
            now=now,
        )
        target_id = run.place.target_id
        if self._deaths.note_progress(target_id, run.stream, now=now):
            self._placement.end_trial(run.place)

    async def call(
        self,
        call: calls.Call,
        place: places.Place,
        trace: Trace,
        attempt_id: str,
    ) -> targets.Answer:
        """Returns the whole answer of one attempt.

        Raises:
            errors.MothpassError: As ``ports.targets.CallTarget``.
        """
        run = self.start(call, place, trace, attempt_id)
        failure: errors.MothpassError | None = None
        try:
            answer = await self._ports.call(run.attempt)
            run.stream.boot_id = answer.boot_id
            if answer.attempt_id != run.attempt.id:
                self.crossed += 1
                raise errors.TargetAnswerLostError("answer of another attempt")
            run.stream.is_complete = True
            return answer
        except errors.TargetAnswerLostError as error:
            failure = await self._probe(place.address, error)
            raise
        except errors.MothpassError as error:
            failure = error
            raise
        finally:
            self.end(run, failure)

    def end(self, run: Run, failure: errors.MothpassError | None) -> None:
        """Counts an attempt out, and stops what may still run of it.

        Args:
            run: The attempt.
            failure: What ended it, None for a whole answer or for one that
                nobody wants any more.
        """
        outcome = self._find_outcome(run, failure)
        now = self._ports.clock()
        self._deaths.end(run.place.target_id, run.stream, now=now)
        self.crossed += run.stream.crossed
        self.early += run.stream.early
        self.repeated += run.stream.repeated
        self.resumed += run.stream.resumes
        self._placement.finish(run.place, outcome, boot_id=run.stream.boot_id)
        if run.call.repeatable and outcome in (
            target_states.Outcome.CANCELLED,
            target_states.Outcome.LOST,
        ):
            task = asyncio.ensure_future(self._ports.cancel(run.attempt))
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)

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

    def _find_outcome(
        self, run: Run, failure: errors.MothpassError | None
    ) -> target_states.Outcome:
        """Returns the outcome; notes where the target has died."""
        if run.stream.is_complete:
            return target_states.Outcome.ANSWERED
        if failure is None:
            return target_states.Outcome.CANCELLED
        if isinstance(failure, errors.TargetRefusedError):
            return target_states.Outcome.REFUSED
        if isinstance(failure, errors.TargetUnreachableError):
            return target_states.Outcome.UNREACHABLE
        if _shows_death(run, failure):
            self._deaths.record(
                run.place.target_id,
                run.stream,
                run.boot_id or run.place.target_id,
                now=self._ports.clock(),
            )
        return target_states.Outcome.LOST


def _shows_death(run: Run, failure: errors.MothpassError) -> bool:
    """Tells whether a failure shows that the target died with the attempt."""
    if isinstance(failure, errors.AttemptUnknownError):
        return run.boot_id not in ("", failure.boot_id)
    return isinstance(failure, errors.TargetDiedError)


def _build_attempt(
    call: calls.Call, place: places.Place, attempt_id: str
) -> targets.Attempt:
    key = call.idempotency_key
    if key is not None:
        key = targets.scope_key(team=call.team, idempotency_key=key)
    return targets.Attempt(
        id=attempt_id,
        target_id=place.target_id,
        address=place.address,
        path=call.path,
        body=call.body,
        priority=call.priority,
        idempotency_key=key,
        fencing=0 if place.permit is None else place.permit.fencing,
        deadline=call.deadline,
    )
