"""Limits one daemon's rate of reads and writes at the store, by priority.

The store accepts a number of reads and writes per second from the whole fleet.
Each daemon has an equal share, as one token bucket for reads and one for
writes. A call of a lower priority leaves a reserve in the bucket for calls of
higher priority.
"""

import enum

import msgspec

BURST_S = 2.0
MIN_BURST_CALLS = 8.0


class Priority(enum.IntEnum):
    """Priority of a call; a lower number goes before a higher one.

    Operators' changes have the priority of claims, as they are few and urgent.
    """

    CLAIM = 0
    RENEWAL = 1
    POLL = 2


# Fraction of a full bucket that must remain after a call of this priority.
_RESERVE_FRACTION = {
    Priority.CLAIM: 0.0,
    Priority.RENEWAL: 0.25,
    Priority.POLL: 0.5,
}


class Kind(enum.StrEnum):
    """Limit of the store that a call counts against."""

    READ = "read"
    WRITE = "write"


class _Bucket(msgspec.Struct, kw_only=True):
    """Token bucket for one kind of call.

    Attributes:
        per_s: Tokens added per second.
        size: Maximum number of tokens.
        tokens: Number of tokens at ``refilled_at``.
        refilled_at: Monotonic seconds of the last refill.
    """

    per_s: float
    size: float
    tokens: float
    refilled_at: float

    def refill(self, now: float) -> None:
        """Adds the tokens for the time since the last refill."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(self.size, self.tokens + elapsed_s * self.per_s)
        self.refilled_at = max(self.refilled_at, now)

    def resize(self, per_s: float) -> None:
        """Sets the rate, and the size that depends on it."""
        self.per_s = per_s
        self.size = max(MIN_BURST_CALLS, per_s * BURST_S)
        self.tokens = min(self.tokens, self.size)


class StoreBudget:
    """One daemon's share of the store's rate limits.

    Attributes:
        refused: Number of rejected attempts to take tokens, by priority.
    """

    __slots__ = ("_buckets", "_fleet_per_s", "refused")

    def __init__(
        self,
        *,
        reads_per_s: float,
        writes_per_s: float,
        daemons: int,
        now: float,
    ) -> None:
        """Initializes full buckets.

        Args:
            reads_per_s: Reads per second that the whole fleet may make.
            writes_per_s: Writes per second that the whole fleet may make.
            daemons: Number of live daemons that share them, including this
                one.
            now: Monotonic seconds.
        """
        self._fleet_per_s = {Kind.READ: reads_per_s, Kind.WRITE: writes_per_s}
        self._buckets: dict[Kind, _Bucket] = {}
        self.refused = dict.fromkeys(Priority, 0)
        for kind, fleet_per_s in self._fleet_per_s.items():
            share = fleet_per_s / max(1, daemons)
            size = max(MIN_BURST_CALLS, share * BURST_S)
            self._buckets[kind] = _Bucket(
                per_s=share, size=size, tokens=size, refilled_at=now
            )

    def set_daemons(self, daemons: int, *, now: float) -> None:
        """Resizes the share for a new number of live daemons."""
        for kind, bucket in self._buckets.items():
            bucket.refill(now)
            bucket.resize(self._fleet_per_s[kind] / max(1, daemons))

    def try_take(
        self, kind: Kind, priority: Priority, *, now: float, calls: int = 1
    ) -> bool:
        """Takes the tokens of calls that are about to be made.

        Args:
            kind: Limit that the calls count against.
            priority: Priority of the calls.
            now: Monotonic seconds.
            calls: Number of calls.

        Returns:
            Whether the calls may be made; if not, no token was taken and the
            rejection was counted in ``refused``.
        """
        bucket = self._buckets[kind]
        bucket.refill(now)
        if bucket.tokens - calls < bucket.size * _RESERVE_FRACTION[priority]:
            self.refused[priority] += 1
            return False
        bucket.tokens -= calls
        return True

    def count_available(
        self, kind: Kind, priority: Priority, *, now: float
    ) -> int:
        """Returns the number of calls that could be made now."""
        bucket = self._buckets[kind]
        bucket.refill(now)
        available = bucket.tokens - bucket.size * _RESERVE_FRACTION[priority]
        return max(0, int(available))

    def compute_wait_s(
        self, kind: Kind, priority: Priority, *, now: float, calls: int = 1
    ) -> float:
        """Returns the time until calls could be made if no others are.

        Args:
            kind: Limit that the calls count against.
            priority: Priority of the calls.
            now: Monotonic seconds.
            calls: Number of calls.

        Returns:
            Seconds, 0 if the calls could be made at once.
        """
        bucket = self._buckets[kind]
        bucket.refill(now)
        missing_tokens = (
            bucket.size * _RESERVE_FRACTION[priority] + calls - bucket.tokens
        )
        return max(0.0, missing_tokens / bucket.per_s)
