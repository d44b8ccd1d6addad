"""Runs the daemon's loops, and starts those that end again."""

from collections import abc
import logging

from mothpass.adapters import supervision

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

    def record_end(error: BaseException | None, _pause_s: float) -> None:
        on_end(name)
        _logger.error(
            "task ended",
            extra={
                "task": name,
                "detail": "returned" if error is None else repr(error),
            },
            exc_info=error,
        )

    await supervision.run_forever(run, record_end)
