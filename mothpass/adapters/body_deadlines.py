"""Decides how long the body of a response may take to arrive.

A time limit for the whole response would abandon a large one on a slow link
again and again, and each retry would add to the load of that link. A limit
worked out from its size would let a response that trickles hold its place for
as long as a sound one takes. So a body must keep up a rate in each window.
"""

MAX_BODY_BYTES = 16_777_216
# A response below this rate isn't worth its connection.
MIN_BYTES_PER_S = 8192
# Longer than packets that were lost take to be sent again.
RATE_WINDOW_S = 1.5
_MIN_WINDOW_BYTES = int(MIN_BYTES_PER_S * RATE_WINDOW_S)


class BodyDeadline:
    """Deadline of a body, which moves on while enough of it arrives.

    Attributes:
        at: Seconds of the caller's clock at which the body is abandoned.
    """

    __slots__ = ("_window_start_bytes", "at")

    def __init__(self, *, now: float) -> None:
        """Starts the first window as the body starts."""
        self.at = now + RATE_WINDOW_S
        self._window_start_bytes = 0

    def record_progress(self, received_bytes: int, now: float) -> bool:
        """Moves the deadline once a window's bytes have arrived.

        Args:
            received_bytes: Bytes of the body that have arrived so far.
            now: Seconds of the caller's clock.

        Returns:
            Whether the deadline moved.
        """
        if received_bytes - self._window_start_bytes < _MIN_WINDOW_BYTES:
            return False
        self._window_start_bytes = received_bytes
        self.at = now + RATE_WINDOW_S
        return True
