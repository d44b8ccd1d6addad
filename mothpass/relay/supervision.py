"""Runs the tasks of a relay daemon, and starts those that end again."""

import asyncio
from collections import abc
import logging
import traceback

from mothpass.adapters import event_log
from mothpass.adapters import supervision
from mothpass.relay import metrics as metrics_module

_logger = logging.getLogger("mothpass.tasks")


async def run_forever(
    name: str,
    run: abc.Callable[[], abc.Awaitable[None]],
    metrics: metrics_module.Metrics,
) -> None:
    """Runs a task until it is cancelled, again whenever it ends.

    Args:
        name: Name of the task, for the log and the metrics.
        run: Starts the task's work.
        metrics: Counters.
    """

    def record_end(error: BaseException | None, pause_s: float) -> None:
        metrics.count("task_failures", task=name)
        event_log.log(
            _logger,
            "task_ended",
            logging.ERROR,
            task=name,
            reason=_describe(error),
            pause_s=pause_s,
        )

    await supervision.run_forever(run, record_end)


def _describe(error: BaseException | None) -> str:
    """Returns why a task ended, with the place that raised an error."""
    if error is None:
        return "returned"
    if isinstance(error, asyncio.CancelledError):
        return "cancelled from within"
    frames = traceback.extract_tb(error.__traceback__)
    place = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}: {error}{place}"
