"""Counts events in a sliding time window."""

import collections


class SlidingCount:
    """Number of events in a window that ends now."""

    __slots__ = ("_timestamps", "_window_s")

    def __init__(self, *, window_s: float) -> None:
        """Initializes an empty window.

        Args:
            window_s: Length of the window in seconds.
        """
        self._window_s = window_s
        self._timestamps: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Counts one event."""
        # Without this, counts that are rarely read would grow without bound.
        self._expire(now)
        self._timestamps.append(now)

    def count(self, now: float) -> int:
        """Returns the number of events in the window that ends now."""
        self._expire(now)
        return len(self._timestamps)

    def _expire(self, now: float) -> None:
        timestamps = self._timestamps
        oldest = now - self._window_s
        while timestamps and timestamps[0] <= oldest:
            timestamps.popleft()
