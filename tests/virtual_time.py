"""An asyncio loop whose clock jumps to the next timer in place of waiting."""

import asyncio
import selectors
import typing


class _JumpingSelector(selectors.SelectSelector):
    """Moves the clock by the time that it is asked to wait for."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is left that could wake the loop")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time; it does no input or output."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._jumping.now

    def run_all(self, work: typing.Coroutine[object, object, None]) -> None:
        """Runs a coroutine, then cancels what it left behind."""
        try:
            self.run_until_complete(work)
        finally:
            # A task that is cancelled may start another one.
            while left := asyncio.all_tasks(self):
                for task in left:
                    task.cancel()
                ended = asyncio.gather(*left, return_exceptions=True)
                self.run_until_complete(ended)
