"""A token bucket, for what may happen only so often a second."""


class TokenBucket:
    """Tokens that come back at a steady rate."""

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        """Starts full.

        Args:
            rate: Tokens a second.
            burst: Most tokens that are kept.
            now: Monotonic seconds.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def try_take(self, now: float) -> bool:
        """Takes one token; False where there is none."""
        earned = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = max(now, self._filled_at)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
