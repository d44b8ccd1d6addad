"""Sums the requests in flight that the other daemons publish by target.

In a small fleet each daemon publishes its counts to every other one several
times a second. The sum misses only the requests that started or ended since,
so it is much fresher than the load reports of the targets.
"""

from collections import abc

MAX_AGE_S = 2.0


class PeerCounts:
    """Newest counts of each peer, and their sums by target."""

    __slots__ = ("_counts", "_totals", "_updated_at")

    def __init__(self) -> None:
        """Starts without counts of any peer."""
        self._counts: dict[str, dict[str, int]] = {}
        self._updated_at: dict[str, float] = {}
        self._totals: dict[str, int] = {}

    def record(
        self, daemon_id: str, counts: abc.Mapping[str, int], now: float
    ) -> None:
        """Replaces the counts of one peer."""
        totals = self._totals
        for target_id, count in self._counts.pop(daemon_id, {}).items():
            totals[target_id] -= count
        for target_id, count in counts.items():
            totals[target_id] = totals.get(target_id, 0) + count
        self._counts[daemon_id] = dict(counts)
        self._updated_at[daemon_id] = now

    def retain(self, daemons: abc.Iterable[str]) -> None:
        """Drops the counts of all daemons that aren't listed."""
        for daemon_id in self._counts.keys() - set(daemons):
            self.record(daemon_id, {}, 0.0)
            del self._counts[daemon_id]
            del self._updated_at[daemon_id]

    def is_complete(self, daemons: abc.Collection[str], now: float) -> bool:
        """Returns whether the counts of every other daemon are recent.

        Args:
            daemons: All live daemons, this one included.
            now: Monotonic seconds.
        """
        if len(self._updated_at) < len(daemons) - 1:
            return False
        return self.find_oldest_update() > now - MAX_AGE_S

    def find_oldest_update(self) -> float:
        """Returns the monotonic seconds of the oldest peer's last counts."""
        return min(self._updated_at.values(), default=float("-inf"))

    def sum_daemon(self, daemon_id: str) -> int | None:
        """Returns the sum of one daemon's counts, None without counts of it."""
        counts = self._counts.get(daemon_id)
        return None if counts is None else sum(counts.values())

    def sum_target(self, target_id: str) -> int:
        """Returns the sum of all other daemons' counts at a target."""
        return self._totals.get(target_id, 0)
