"""Counts of events in sliding windows of time."""

import collections


class SlidingCount:
    """How often something happened in the last seconds."""

    __slots__ = ("_moments", "_window_s")

    def __init__(self, *, window_s: float) -> None:
        """Starts at 0.

        Args:
            window_s: Length of the window in seconds.
        """
        self._window_s = window_s
        self._moments: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Counts one event."""
        # Some counts are rarely asked for, and would grow without end.
        self._drop_old(now)
        self._moments.append(now)

    def count(self, now: float) -> int:
        """Returns the events of the window that ends now."""
        self._drop_old(now)
        return len(self._moments)

    def _drop_old(self, now: float) -> None:
        moments = self._moments
        oldest = now - self._window_s
        while moments and moments[0] <= oldest:
            moments.popleft()
