"""A model's answer that has begun, until it is closed."""

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


class Answering:
    """A model's answer that has begun.

    Attributes:
        batches: Yields the events after the first ones; raises
            errors.MothpassError if the rest can't be had.
        first: The first events.
    """

    __slots__ = (
        "_admission",
        "_budget",
        "_failure",
        "_run",
        "_runner",
        "batches",
        "first",
    )

    def __init__(
        self,
        *,
        run: attempts.Run,
        runner: attempts.AttemptRunner,
        batches: Batches,
        first: list[targets.Event],
        admission: contextlib.ExitStack,
        budget: retries.RetryBudget,
    ) -> None:
        """Takes over an attempt; ``close`` must follow."""
        self._run: attempts.Run | None = run
        self._runner = runner
        self._admission = admission
        self._budget = budget
        self._failure: errors.MothpassError | None = None
        self.batches = batches
        self.first = first

    def fail(self, error: errors.MothpassError, now: float) -> errors.Refusal:
        """Notes what ended the answer and returns what the caller is told."""
        self._failure = error
        code = results.Code.ANSWER_INCOMPLETE
        if self._run is not None and now >= self._run.call.deadline:
            code = results.Code.DEADLINE_EXCEEDED
        return errors.Refusal(
            code=code,
            ran=results.Ran.UNKNOWN,
            message=f"the rest of the answer can't be had: {error}",
            retry_after_ms=RETRY_AFTER_MS,
        )

    async def close(self) -> None:
        """Counts the call out, whether its answer is whole or not."""
        run = self._run
        if run is None:
            return
        self._run = None
        if run.stream.is_complete:
            self._budget.record_success()
        self._runner.end(run, self._failure)
        self._admission.close()
        await self.batches.aclose()
