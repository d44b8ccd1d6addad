"""A count as it was at each moment of the last seconds."""

import collections

KEPT_S = 10.0


class History:
    """Remembers a count, to compare it with figures that lag."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        """Starts at 0."""
        self._entries: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, count: int, now: float) -> None:
        """Records what the count is from now on."""
        entries = self._entries
        entries.append((now, count))
        while len(entries) > 1 and entries[1][0] < now - KEPT_S:
            entries.popleft()

    def find(self, moment: float) -> int:
        """Returns what the count was at a moment."""
        for when, count in reversed(self._entries):
            if when <= moment:
                return count
        return 0
