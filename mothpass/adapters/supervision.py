"""Runs what must not end, and starts it again if it does."""

import asyncio
from collections import abc

# Pause before a new start; it doubles with each end in a row.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# What has run for this long starts over with the shortest pause.
STEADY_S = 10.0

# Records an end: the error, None if it returned, and the pause until the next
# start in seconds.
RecordEnd = abc.Callable[[BaseException | None, float], None]


async def run_forever(
    run: abc.Callable[[], abc.Awaitable[None]], record_end: RecordEnd
) -> None:
    """Runs work until its task is cancelled, again whenever it ends.

    Args:
        run: Runs the work.
        record_end: Called whenever the work has ended by itself.
    """
    loop = asyncio.get_running_loop()
    pause_s = MIN_PAUSE_S
    while True:
        started_at = loop.time()
        error: BaseException | None = None
        try:
            await run()
        except asyncio.CancelledError as cancellation:
            # It may be the cancellation of something that the work awaited.
            if _is_cancelled():
                raise
            error = cancellation
        except Exception as failure:  # noqa: BLE001 - none may end the work
            error = failure
        if loop.time() - started_at >= STEADY_S:
            pause_s = MIN_PAUSE_S
        record_end(error, pause_s)
        if _is_cancelled():
            # The work has turned the cancellation into an error.
            raise asyncio.CancelledError
        await asyncio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, 2 * pause_s)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0
