"""Runs the last steps of a shutdown, none of which may hold up the process."""

import asyncio
from collections import abc
import logging

_logger = logging.getLogger(__name__)


async def run_step(
    name: str, step: abc.Coroutine[None, None, object], deadline: float
) -> bool:
    """Runs a step until it ends or its deadline passes.

    A step that goes on is cancelled and not waited for.

    Args:
        name: What the step does, for the log.
        step: The step.
        deadline: Event-loop time at which the shutdown goes on without it.

    Returns:
        Whether the step ended without an error.
    """
    task = asyncio.ensure_future(step)
    remaining_s = max(0.0, deadline - asyncio.get_running_loop().time())
    await asyncio.wait({task}, timeout=remaining_s)
    if not task.done():
        task.cancel()
        _logger.error("shutdown goes on", extra={"detail": f"without: {name}"})
        return False
    error = None if task.cancelled() else task.exception()
    if error is not None:
        _logger.error(
            "shutdown step failed", extra={"detail": f"{name}: {error}"}
        )
    return error is None
