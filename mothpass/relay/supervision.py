"""Runs tasks that must not end, and starts them again if they do."""

import asyncio
from collections import abc
import logging
import traceback

from mothpass.adapters import event_log
from mothpass.relay import metrics as metrics_module

# Pause before a task starts again; it doubles with each end in a row.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# A task that has run for this long starts over with the shortest pause.
STEADY_S = 10.0

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
    loop = asyncio.get_running_loop()
    pause_s = MIN_PAUSE_S
    while True:
        started_at = loop.time()
        reason = "returned"
        try:
            await run()
        except asyncio.CancelledError:
            # It may be the cancellation of something that the task awaited.
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            reason = "cancelled from within"
        except Exception as error:  # noqa: BLE001 - no fault may end the task
            reason = _describe(error)
        if loop.time() - started_at >= STEADY_S:
            pause_s = MIN_PAUSE_S
        metrics.count("task_failures", task=name)
        event_log.log(
            _logger,
            "task_ended",
            logging.ERROR,
            task=name,
            reason=reason,
            pause_s=pause_s,
        )
        await asyncio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, 2 * pause_s)


def _describe(error: Exception) -> str:
    """Returns an error with the place that raised it."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__}: {error}{place}"
