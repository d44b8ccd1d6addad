"""Runs the daemon's loops, and starts those that end again."""

import asyncio
from collections import abc
import logging

# Pause before a loop starts again; it doubles with each end in a row.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# A loop that has run for this long starts over with the shortest pause.
STEADY_S = 10.0

_logger = logging.getLogger("mothpass.tasks")


async def run_forever(
    name: str,
    run: abc.Callable[[], abc.Awaitable[None]],
    on_end: abc.Callable[[str], None],
) -> None:
    """Runs a loop until its task is cancelled, again whenever it ends.

    Args:
        name: Name of the loop, for the log and the metrics.
        run: Runs the loop.
        on_end: Called with the name whenever the loop has ended by itself.
    """
    loop = asyncio.get_running_loop()
    pause_s = MIN_PAUSE_S
    while True:
        started_at = loop.time()
        error: BaseException | None = None
        try:
            await run()
        except asyncio.CancelledError as cancellation:
            # It may be the cancellation of something that the loop awaited.
            if _is_cancelled():
                raise
            error = cancellation
        except Exception as failure:  # noqa: BLE001 - none may end the loop
            error = failure
        on_end(name)
        _logger.error(
            "task ended",
            extra={
                "task": name,
                "detail": "returned" if error is None else repr(error),
            },
            exc_info=error,
        )
        if _is_cancelled():
            # Something in the loop has turned the cancellation into an error.
            raise asyncio.CancelledError
        if loop.time() - started_at >= STEADY_S:
            pause_s = MIN_PAUSE_S
        await asyncio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, 2 * pause_s)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0
