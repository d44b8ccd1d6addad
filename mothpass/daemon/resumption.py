"""Follows one attempt at one target over as many connections as it takes."""

import asyncio
from collections import abc
import contextlib

import msgspec

from mothpass.core import errors
from mothpass.core import streams
from mothpass.ports import clock
from mothpass.ports import targets


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that reach targets, see ``ports.targets``, and the time."""

    open_stream: targets.OpenStream
    resume_stream: targets.ResumeStream
    call: targets.CallTarget
    cancel: targets.CancelAttempt
    read_load: targets.ReadLoad
    clock: clock.Monotonic


async def follow_attempt(
    ports: Ports, attempt: targets.Attempt, stream: streams.AnswerStream
) -> abc.AsyncGenerator[list[targets.Event], None]:
    """Starts an attempt and yields its events, each once and in order.

    A connection that breaks, goes quiet or skips an event is replaced by a new
    one, from the first position that is missing. Ends after the last event.

    Args:
        ports: Functions that reach the target.
        attempt: The attempt.
        stream: Its order; counts the events and the connections.

    Raises:
        errors.MothpassError: What broke the last connection.
    """
    connection = ports.open_stream(attempt)
    while True:
        before = stream.position
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
            failure = errors.TargetAnswerLostError("events are missing")
        except errors.AttemptUnknownError:
            raise
        except errors.TargetUnreachableError as error:
            if stream.resumes == 0:
                raise
            failure = error
        except errors.TargetAnswerLostError as error:
            failure = error
        quiet = isinstance(failure, errors.TargetSilentError)
        failed = stream.position == before and not quiet
        await _wait_to_resume(ports, attempt, stream, failure, failed)
        connection = ports.resume_stream(attempt, stream.position)


async def _wait_to_resume(
    ports: Ports,
    attempt: targets.Attempt,
    stream: streams.AnswerStream,
    failure: errors.MothpassError,
    failed: bool,
) -> None:
    """Waits for the moment to resume; raises the failure if there is none."""
    now = ports.clock()
    plan = stream.plan_resume(failed=failed, now=now)
    if isinstance(plan, streams.GiveUp) or plan.at >= attempt.deadline:
        if isinstance(failure, errors.TargetUnreachableError):
            raise errors.TargetDiedError(str(failure)) from failure
        raise failure
    if plan.at > now:
        await asyncio.sleep(plan.at - now)
