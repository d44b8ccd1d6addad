"""Streams one attempt's events, resuming it over new connections."""

import asyncio
from collections import abc
import contextlib

import msgspec

from mothpass.core import errors
from mothpass.core import streams
from mothpass.ports import clock
from mothpass.ports import targets


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that reach targets, see ``ports.targets``, and the clock."""

    open_stream: targets.OpenStream
    resume_stream: targets.ResumeStream
    call: targets.CallTarget
    cancel: targets.CancelAttempt
    read_load: targets.ReadLoad
    clock: clock.Monotonic


async def follow_attempt(
    ports: Ports, attempt: targets.Attempt, stream: streams.AnswerStream
) -> abc.AsyncGenerator[list[targets.Event], None]:
    """Sends an attempt and yields its events, each once and in order.

    If a connection breaks, falls silent or skips an event, the stream resumes
    over a new connection from the first missing position. Ends after the last
    event.

    Args:
        ports: Functions that reach the target.
        attempt: The attempt.
        stream: Orders the events and plans the resumptions.

    Raises:
        errors.MothpassError: The failure of the last connection.
    """
    connection = ports.open_stream(attempt)
    while True:
        start_position = stream.position
        failure: errors.MothpassError
        try:
            async with contextlib.aclosing(connection) as batches:
                async for batch in batches:
                    events = stream.accept(batch)
                    if events:
                        yield events
                    if stream.is_complete:
                        return
                    if stream.has_gap:
                        break
            failure = errors.TargetAnswerLostError("an event is missing")
        except errors.AttemptUnknownError:
            raise
        except errors.TargetUnreachableError as error:
            if stream.resumes == 0:
                raise
            failure = error
        except errors.TargetAnswerLostError as error:
            failure = error
        is_silent = isinstance(failure, errors.TargetSilentError)
        counts_as_failed = stream.position == start_position and not is_silent
        await _wait_to_resume(ports, attempt, stream, failure, counts_as_failed)
        connection = ports.resume_stream(attempt, stream.position)


async def _wait_to_resume(
    ports: Ports,
    attempt: targets.Attempt,
    stream: streams.AnswerStream,
    failure: errors.MothpassError,
    counts_as_failed: bool,
) -> None:
    """Waits for the backoff of a resumption.

    Raises:
        errors.MothpassError: The failure, if the stream isn't resumed;
            errors.TargetDiedError if the target is unreachable.
    """
    now = ports.clock()
    plan = stream.plan_resume(failed=counts_as_failed, now=now)
    if isinstance(plan, streams.GiveUp) or plan.at >= attempt.deadline:
        if isinstance(failure, errors.TargetUnreachableError):
            raise errors.TargetDiedError(str(failure)) from failure
        raise failure
    if plan.at > now:
        await asyncio.sleep(plan.at - now)
