"""Decides which requests a daemon still takes while it shuts down."""

import math

import msgspec


class Shutdown(msgspec.Struct, frozen=True, kw_only=True):
    """Deadlines of a shutdown, in monotonic seconds.

    Attributes:
        handed_over_at: Time from which the load balancer sends clients to
            other daemons.
        ends_at: Time by which each request needs its answer.
    """

    handed_over_at: float
    ends_at: float

    def takes_request(self, *, now: float, deadline: float) -> bool:
        """Returns whether a request is still taken.

        Until the handover a client that is turned away may come back to this
        daemon. After that, another daemon serves what can't be known to end in
        time here.

        Args:
            now: Monotonic seconds.
            deadline: Monotonic seconds at which its final answer is due.
        """
        return now < self.handed_over_at or deadline <= self.ends_at


# Of a daemon that isn't told to shut down.
NONE = Shutdown(handed_over_at=math.inf, ends_at=math.inf)
