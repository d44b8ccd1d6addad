"""This daemon's share of the store's reads and writes, by priority.

The store bears a number of reads and writes a second for the whole fleet.
Each daemon takes an equal share as two token buckets. A call of a lower
priority leaves a part of the bucket to those above it.
"""

import enum

import msgspec

BURST_S = 2.0
MIN_BURST_CALLS = 8.0


class Priority(enum.IntEnum):
    """Who goes first; a lower number goes before a higher one.

    Operators' changes go with the claims: they are few and urgent.
    """

    CLAIM = 0
    RENEWAL = 1
    POLL = 2


# Part of a full bucket that must remain after a call of this priority.
_RESERVE = {Priority.CLAIM: 0.0, Priority.RENEWAL: 0.25, Priority.POLL: 0.5}


class Kind(enum.StrEnum):
    """Which of the store's limits a call counts against."""

    READ = "read"
    WRITE = "write"


class _Bucket(msgspec.Struct, kw_only=True):
    """One token bucket.

    Attributes:
        per_s: Tokens that come back a second.
        size: Most tokens it holds.
        tokens: Tokens at the time ``filled_at``.
        filled_at: Monotonic seconds.
    """

    per_s: float
    size: float
    tokens: float
    filled_at: float

    def fill(self, now: float) -> None:
        """Adds what came back since the last call."""
        passed = max(0.0, now - self.filled_at)
        self.tokens = min(self.size, self.tokens + passed * self.per_s)
        self.filled_at = max(self.filled_at, now)

    def resize(self, per_s: float) -> None:
        """Sets the rate and the size that goes with it."""
        self.per_s = per_s
        self.size = max(MIN_BURST_CALLS, per_s * BURST_S)
        self.tokens = min(self.tokens, self.size)


class StoreBudget:
    """The share of the store's budget that one daemon may use."""

    __slots__ = ("_buckets", "_fleet_per_s", "refused")

    def __init__(
        self,
        *,
        reads_per_s: float,
        writes_per_s: float,
        daemons: int,
        now: float,
    ) -> None:
        """Starts with full buckets.

        Args:
            reads_per_s: Reads a second that the whole fleet may make.
            writes_per_s: Writes a second that the whole fleet may make.
            daemons: Live daemons that share them, this one included.
            now: Monotonic seconds.
        """
        self._fleet_per_s = {Kind.READ: reads_per_s, Kind.WRITE: writes_per_s}
        self._buckets: dict[Kind, _Bucket] = {}
        self.refused = dict.fromkeys(Priority, 0)
        for kind, fleet_per_s in self._fleet_per_s.items():
            share = fleet_per_s / max(1, daemons)
            size = max(MIN_BURST_CALLS, share * BURST_S)
            self._buckets[kind] = _Bucket(
                per_s=share, size=size, tokens=size, filled_at=now
            )

    def set_daemons(self, daemons: int, *, now: float) -> None:
        """Sizes the share anew after the number of live daemons changed."""
        for kind, bucket in self._buckets.items():
            bucket.fill(now)
            bucket.resize(self._fleet_per_s[kind] / max(1, daemons))

    def try_take(
        self, kind: Kind, priority: Priority, *, now: float, calls: int = 1
    ) -> bool:
        """Takes tokens for calls that are about to be made.

        Args:
            kind: Limit that the calls count against.
            priority: Who asks.
            now: Monotonic seconds.
            calls: Number of calls.

        Returns:
            Whether the calls may be made; if not, nothing was taken and the
            refusal was counted in ``refused``.
        """
        bucket = self._buckets[kind]
        bucket.fill(now)
        if bucket.tokens - calls < bucket.size * _RESERVE[priority]:
            self.refused[priority] += 1
            return False
        bucket.tokens -= calls
        return True

    def count_available(
        self, kind: Kind, priority: Priority, *, now: float
    ) -> int:
        """Returns how many calls could be made now."""
        bucket = self._buckets[kind]
        bucket.fill(now)
        left = bucket.tokens - bucket.size * _RESERVE[priority]
        return max(0, int(left))

    def compute_wait_s(
        self, kind: Kind, priority: Priority, *, now: float, calls: int = 1
    ) -> float:
        """Returns the seconds until such calls could be made, if none else are.

        Args:
            kind: Limit that the calls count against.
            priority: Who asks.
            now: Monotonic seconds.
            calls: Number of calls.

        Returns:
            Seconds, 0 where they could be made at once.
        """
        bucket = self._buckets[kind]
        bucket.fill(now)
        missing = bucket.size * _RESERVE[priority] + calls - bucket.tokens
        return max(0.0, missing / bucket.per_s)
