"""Computes how long the body of a response may take to arrive.

A time limit for the whole response would abandon a large one on a slow link
again and again, and each retry would add to the load of that link.
"""

MAX_BODY_BYTES = 16_777_216
# A response below this rate isn't worth its connection.
MIN_BYTES_PER_S = 8192


def compute_body_deadline(
    content_length: bytes | None, *, now: float, stall_timeout_s: float
) -> float:
    """Returns the time by which a whole body must have arrived.

    Args:
        content_length: Value of the header; None if there is none.
        now: Seconds of any clock, at which the head of the response arrived.
        stall_timeout_s: Longest time without a byte, in seconds.
    """
    is_known = content_length is not None and content_length.isdigit()
    size = int(content_length or b"0") if is_known else MAX_BODY_BYTES
    return now + stall_timeout_s + min(size, MAX_BODY_BYTES) / MIN_BYTES_PER_S
