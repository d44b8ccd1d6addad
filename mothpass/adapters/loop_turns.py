"""Shares the event loop among connections that have much to parse."""

import asyncio
import collections
from collections import abc


class LoopTurns:
    """Queue of calls, one of which runs in each turn of the event loop.

    However many wait, a turn takes no longer than one of them.
    """

    __slots__ = ("_calls", "_is_scheduled")

    def __init__(self) -> None:
        """Starts without calls."""
        self._calls: collections.deque[abc.Callable[[], None]] = (
            collections.deque()
        )
        self._is_scheduled = False

    def add(self, call: abc.Callable[[], None]) -> None:
        """Adds a call behind those that wait."""
        self._calls.append(call)
        self._schedule()

    def _schedule(self) -> None:
        if self._calls and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        try:
            self._calls.popleft()()
        finally:
            self._schedule()
