"""A retry budget that all daemons share without communication.

A service accepts retries up to a ratio of its requests plus a constant in each
window, summed over the fleet. A daemon spends the ratio of the requests that
it has seen itself, and an equal part of the constant. This prevents retry
storms (docs/design/overload.md): retries grow with the requests that arrive,
not with the requests that fail.
"""

from mothpass.core import windows

# Part of the budget that is used. The rest is for daemons that disagree on the
# size of the fleet, and for windows that start at other times than here.
_USABLE_SHARE = 0.75


class FleetRetryBudget:
    """One daemon's part of the retry budget of one service."""

    __slots__ = ("_extra", "_ratio", "_requests", "_retries")

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        """Initializes the budget with empty windows.

        Args:
            ratio: Retries allowed per request of a window.
            extra: Further retries allowed per window for the whole fleet.
            window_s: Length of the window in seconds.
        """
        self.set_limits(ratio=ratio, extra=extra)
        self._requests = windows.SlidingCount(window_s=window_s)
        self._retries = windows.SlidingCount(window_s=window_s)

    def set_limits(self, *, ratio: float, extra: float) -> None:
        """Sets the limits of the fleet; see ``__init__``."""
        self._ratio = ratio
        self._extra = extra

    def record_request(self, now: float) -> None:
        """Counts a request from a client."""
        self._requests.record(now)

    def try_spend(self, daemons: int, now: float) -> bool:
        """Spends one retry. Returns whether the budget allows it.

        Args:
            daemons: Number of daemons that share the budget, including this
                one.
            now: Monotonic seconds.
        """
        allowed = self._ratio * self._requests.count(now)
        allowed += self._extra / max(1, daemons)
        if self._retries.count(now) + 1 > allowed * _USABLE_SHARE:
            return False
        self._retries.record(now)
        return True
