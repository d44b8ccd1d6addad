"""Virtual time: events in order of their time, then of their entry."""

from collections import abc
import heapq


class Loop:
    """Runs callbacks at virtual moments.

    Attributes:
        now: Virtual seconds.
    """

    __slots__ = ("_count", "_events", "now")

    def __init__(self) -> None:
        """Starts at 0 without events."""
        self.now = 0.0
        self._count = 0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []

    def call_at(self, when: float, callback: abc.Callable[[], None]) -> None:
        """Runs a callback at a moment, not before now."""
        self._count += 1
        heapq.heappush(
            self._events, (max(when, self.now), self._count, callback)
        )

    def call_later(
        self, delay: float, callback: abc.Callable[[], None]
    ) -> None:
        """Runs a callback after some seconds."""
        self.call_at(self.now + delay, callback)

    def call_every(
        self, interval: float, until: float, callback: abc.Callable[[], None]
    ) -> None:
        """Runs a callback now and then at each interval until a moment."""

        def step() -> None:
            callback()
            if self.now + interval <= until:
                self.call_later(interval, step)

        self.call_at(self.now, step)

    def run(self, until: float) -> None:
        """Runs all events up to a moment."""
        while self._events and self._events[0][0] <= until:
            when, _, callback = heapq.heappop(self._events)
            self.now = when
            callback()
        self.now = until
