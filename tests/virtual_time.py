"""An asyncio event loop in virtual time, which skips waits."""

import asyncio
import selectors
import typing


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock by the timeout in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "event loop has neither timers nor ready callbacks"
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, without input or output."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._virtual_selector.now

    def run_all(self, work: typing.Coroutine[object, object, None]) -> None:
        """Runs a coroutine, then cancels the tasks that it left running."""
        try:
            self.run_until_complete(work)
        finally:
            # A cancelled task may start another one.
            while remaining := asyncio.all_tasks(self):
                for task in remaining:
                    task.cancel()
                cancelled = asyncio.gather(*remaining, return_exceptions=True)
                self.run_until_complete(cancelled)
