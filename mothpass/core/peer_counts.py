"""What the other daemons say of their own calls in flight at each target.

In a small fleet each daemon tells every other one its counts some times a
second. Their sum is exact but for what was started and ended since, and so
much fresher than the targets' load reports.
"""

from collections import abc

FRESH_S = 2.0


class PeerCounts:
    """The newest counts of each other daemon, and their sums."""

    __slots__ = ("_counts", "_heard_at", "_totals")

    def __init__(self) -> None:
        """Has heard of nobody."""
        self._counts: dict[str, dict[str, int]] = {}
        self._heard_at: dict[str, float] = {}
        self._totals: dict[str, int] = {}

    def record(
        self, daemon_id: str, counts: abc.Mapping[str, int], now: float
    ) -> None:
        """Takes in the counts of one daemon, which replace its last ones."""
        totals = self._totals
        for name, count in self._counts.pop(daemon_id, {}).items():
            totals[name] -= count
        for name, count in counts.items():
            totals[name] = totals.get(name, 0) + count
        self._counts[daemon_id] = dict(counts)
        self._heard_at[daemon_id] = now

    def retain(self, daemons: abc.Iterable[str]) -> None:
        """Drops all daemons but the ones listed."""
        for gone in self._counts.keys() - set(daemons):
            self.record(gone, {}, 0.0)
            del self._counts[gone]
            del self._heard_at[gone]

    def is_complete(self, daemons: abc.Collection[str], now: float) -> bool:
        """Tells whether every other daemon has been heard of just now.

        Args:
            daemons: All live daemons, this one included.
            now: Monotonic seconds.
        """
        if len(self._heard_at) < len(daemons) - 1:
            return False
        return self.known_at() > now - FRESH_S

    def known_at(self) -> float:
        """Returns when the daemon that was silent longest was heard."""
        return min(self._heard_at.values(), default=float("-inf"))

    def sum_daemon(self, daemon_id: str) -> int | None:
        """Returns the calls of one daemon, None where it isn't heard."""
        counts = self._counts.get(daemon_id)
        return None if counts is None else sum(counts.values())

    def sum_target(self, target_id: str) -> int:
        """Returns the calls of all other daemons at a target."""
        return self._totals.get(target_id, 0)
