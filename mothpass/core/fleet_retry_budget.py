"""One budget of repeated sends, shared by all daemons without talking.

A service bears repeats up to a ratio of its requests and some more in each
window, summed over the fleet. A daemon spends the ratio of the requests that
it has seen itself, and an equal part of the rest. The paper's retry storm
(docs/design/overload.md) is the load that this answers: repeats grow with
the work that arrives, not with the work that fails.
"""

from mothpass.core import windows

# Part of the budget that is left unused, for daemons that differ on how many
# they are and for windows that are cut elsewhere than here.
_SPENT_SHARE = 0.75


class FleetRetryBudget:
    """What one daemon may send again to one service."""

    __slots__ = ("_extra", "_ratio", "_repeats", "_requests")

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        """Starts with nothing sent.

        Args:
            ratio: Repeats allowed for each request of a window.
            extra: Repeats allowed besides, by the whole fleet.
            window_s: Length of the window in seconds.
        """
        self.set_limits(ratio=ratio, extra=extra)
        self._requests = windows.SlidingCount(window_s=window_s)
        self._repeats = windows.SlidingCount(window_s=window_s)

    def set_limits(self, *, ratio: float, extra: float) -> None:
        """Changes what the fleet may send again; see ``__init__``."""
        self._ratio = ratio
        self._extra = extra

    def record_request(self, now: float) -> None:
        """Counts a request that a client sent."""
        self._requests.record(now)

    def try_spend(self, daemons: int, now: float) -> bool:
        """Takes one repeat out of the budget, if there is one.

        Args:
            daemons: Daemons that share the budget, this one included.
            now: Monotonic seconds.
        """
        allowed = self._ratio * self._requests.count(now)
        allowed += self._extra / max(1, daemons)
        if self._repeats.count(now) + 1 > allowed * _SPENT_SHARE:
            return False
        self._repeats.record(now)
        return True
