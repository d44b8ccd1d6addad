"""Retry budget: retries are a bounded share of the calls that succeed.

During an overload few calls succeed, so few retries are paid for, and the load
that retries add dies down by itself instead of holding the overload up.
"""

import random

_EARNED_PER_SUCCESS = 0.1
_MOST_SAVED = 20.0
_BASE_BACKOFF_MS = 50.0
_MOST_BACKOFF_MS = 2000.0


class RetryBudget:
    """Counts what successes have earned and retries have spent.

    One budget serves one model or service on one daemon.
    """

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        """Starts with half of the most that can be saved."""
        self._saved = _MOST_SAVED / 2

    @property
    def saved(self) -> float:
        """Retries that could be made now."""
        return self._saved

    def record_success(self) -> None:
        """Earns a share of a retry for a call that succeeded."""
        self._saved = min(_MOST_SAVED, self._saved + _EARNED_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Pays for one retry. Returns whether it may be made."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def compute_retry_at(
    *, now: float, attempts: int, source: random.Random, deadline: float
) -> float | None:
    """Returns when the next try may start, or None if it can't end in time.

    The wait is drawn evenly from zero up to a bound that doubles with each
    try, so that the retries of many daemons spread out.

    Args:
        now: Monotonic seconds.
        tries: Tries made so far, at least 1.
        source: Source of randomness.
        deadline: Monotonic seconds at which the request ends.
    """
    bound_ms = min(_MOST_BACKOFF_MS, _BASE_BACKOFF_MS * 2.0 ** (attempts - 1))
    retry_at = now + source.uniform(0.0, bound_ms) / 1000.0
    if retry_at >= deadline:
        return None
    return retry_at
