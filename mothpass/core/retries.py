"""Retry budget of one daemon, and the backoff between attempts.

Retries are limited to a share of the requests that succeed. During an overload
few requests succeed, so few retries are allowed, and the load that retries add
decreases instead of sustaining the overload.
"""

import random as random_module

_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 20.0
_INITIAL_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 2000.0


class RetryBudget:
    """Token balance that successes add to and retries spend.

    Each model or service has its own budget on each daemon.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        """Initializes the budget with half of the maximum."""
        self._tokens = _MAX_TOKENS / 2

    @property
    def tokens(self) -> float:
        """Number of retries that could be made now."""
        return self._tokens

    def record_success(self) -> None:
        """Adds a share of a retry for a request that succeeded."""
        self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Spends one retry. Returns whether it may be made."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_retry_at(
    *, now: float, attempts: int, random: random_module.Random, deadline: float
) -> float | None:
    """Returns when the next attempt may start, None if past the deadline.

    The backoff has full jitter: it is drawn evenly between zero and a bound
    that doubles with each attempt, so that the retries of many daemons spread
    out.

    Args:
        now: Monotonic seconds.
        attempts: Number of attempts so far, at least 1.
        random: Source of randomness.
        deadline: Monotonic seconds at which the request ends.
    """
    bound_ms = min(_MAX_BACKOFF_MS, _INITIAL_BACKOFF_MS * 2.0 ** (attempts - 1))
    retry_at = now + random.uniform(0.0, bound_ms) / 1000.0
    if retry_at >= deadline:
        return None
    return retry_at
