"""A model's answer whose first events have arrived."""

from collections import abc
import contextlib
import typing

from mothpass.core import errors
from mothpass.core import results
from mothpass.core import retries
from mothpass.daemon import attempts
from mothpass.ports import targets

RETRY_AFTER_MS = 1000

Batches: typing.TypeAlias = abc.AsyncGenerator[list[targets.Event], None]


class StartedAnswer:
    """A model's answer whose first events have arrived.

    Attributes:
        batches: Yields the events after the first ones; raises
            errors.MothpassError if they can't be received.
        first: The first events.
    """

    __slots__ = (
        "_admission",
        "_budget",
        "_failure",
        "_runner",
        "_running",
        "batches",
        "first",
    )

    def __init__(
        self,
        *,
        running: attempts.RunningAttempt,
        runner: attempts.AttemptRunner,
        batches: Batches,
        first: list[targets.Event],
        admission: contextlib.ExitStack,
        budget: retries.RetryBudget,
    ) -> None:
        """Takes ownership of an attempt; ``close`` must follow."""
        self._running: attempts.RunningAttempt | None = running
        self._runner = runner
        self._admission = admission
        self._budget = budget
        self._failure: errors.MothpassError | None = None
        self.batches = batches
        self.first = first

    def record_failure(
        self, error: errors.MothpassError, now: float
    ) -> errors.Refusal:
        """Records the error that ended the answer; returns the rejection."""
        self._failure = error
        code = results.Code.ANSWER_INCOMPLETE
        if self._running is not None and now >= self._running.request.deadline:
            code = results.Code.DEADLINE_EXCEEDED
        return errors.Refusal(
            code=code,
            ran=results.Ran.UNKNOWN,
            message=f"the rest of the answer could not be received: {error}",
            retry_after_ms=RETRY_AFTER_MS,
        )

    async def close(self) -> None:
        """Releases the attempt and its admission; idempotent."""
        running = self._running
        if running is None:
            return
        self._running = None
        if running.stream.is_complete:
            self._budget.record_success()
        self._runner.finish(running, self._failure)
        self._admission.close()
        await self.batches.aclose()
