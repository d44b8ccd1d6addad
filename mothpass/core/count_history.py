"""Keeps the values that a count had over the last seconds."""

import collections

MAX_AGE_S = 10.0


class CountHistory:
    """Past values of a count, to compare with reports that lag."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        """Starts with a count of 0."""
        self._entries: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, count: int, now: float) -> None:
        """Records a new value of the count."""
        entries = self._entries
        entries.append((now, count))
        while len(entries) > 1 and entries[1][0] < now - MAX_AGE_S:
            entries.popleft()

    def find_at(self, moment: float) -> int:
        """Returns the count at a past moment, in monotonic seconds."""
        for changed_at, count in reversed(self._entries):
            if changed_at <= moment:
                return count
        return 0
