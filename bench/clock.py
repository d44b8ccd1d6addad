"""Runs callbacks in virtual time, ordered by time and then by insertion."""

from collections import abc
import heapq


class EventLoop:
    """Event loop in virtual time.

    Attributes:
        now: Current virtual time in seconds.
    """

    __slots__ = ("_events", "_scheduled", "now")

    def __init__(self) -> None:
        """Starts at time 0 without events."""
        self.now = 0.0
        self._scheduled = 0
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []

    def call_at(self, at: float, callback: abc.Callable[[], None]) -> None:
        """Schedules a callback at a time; a past time counts as now."""
        self._scheduled += 1
        heapq.heappush(
            self._events, (max(at, self.now), self._scheduled, callback)
        )

    def call_later(
        self, delay: float, callback: abc.Callable[[], None]
    ) -> None:
        """Schedules a callback after a delay in seconds."""
        self.call_at(self.now + delay, callback)

    def call_every(
        self, interval: float, until: float, callback: abc.Callable[[], None]
    ) -> None:
        """Schedules a callback now and then at each interval until a time."""

        def run_and_reschedule() -> None:
            callback()
            if self.now + interval <= until:
                self.call_later(interval, run_and_reschedule)

        self.call_at(self.now, run_and_reschedule)

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            at, _, callback = heapq.heappop(self._events)
            self.now = at
            callback()
        self.now = until
