"""Token bucket that limits the rate of an operation."""


class TokenBucket:
    """Bucket that refills at a constant rate."""

    __slots__ = ("_burst", "_rate", "_refilled_at", "_tokens")

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        """Initializes a full bucket.

        Args:
            rate: Tokens added per second.
            burst: Maximum number of tokens in the bucket.
            now: Monotonic seconds.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Takes tokens if there are enough.

        Args:
            now: Monotonic seconds.
            amount: Tokens to take; for more than the bucket holds, it must be
                full, and is in debt afterwards.

        Returns:
            Whether they were taken.
        """
        refill = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < min(amount, self._burst):
            return False
        self._tokens -= amount
        return True
