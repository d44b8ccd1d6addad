"""Whether a request waits for a place, and when a refused one may come back.

The load that this answers is more work than targets bear, for seconds: if all
of it waits, everything is served late and clients that give up and ask again
add to it. A request waits only if a place is likely while its answer still
counts; else it is refused at once and told when one is likely. Those who are
refused are spread over the time after that, so that they find places.
"""

import random

import msgspec

# Part of its time left for which a request may wait; the rest is for its run,
# and for its client to come back to another daemon.
_WAIT_SHARE = 0.5
# Least time after which a refused client comes back; a place takes about the
# time of a short run to be free.
_LEAST_RETRY_MS = 200
# Clients come back within a third of the time that they have left.
_RETRY_SHARE = 1 / 3
# How far those that come back are spread, as a multiple of the wait.
_SPREAD = 1.5


class Enqueue(msgspec.Struct, frozen=True, kw_only=True):
    """The request waits.

    Attributes:
        until: Monotonic seconds at which it is refused after all.
    """

    until: float


class Reject(msgspec.Struct, frozen=True, kw_only=True):
    """The request is refused at once.

    Attributes:
        retry_after_ms: When a place is likely.
    """

    retry_after_ms: int


def decide(
    *,
    waiting: int,
    served_per_s: float,
    now: float,
    deadline: float,
    source: random.Random,
) -> Enqueue | Reject:
    """Decides on a request that finds no place.

    Args:
        waiting: Requests that wait already and go before it.
        served_per_s: Requests of its service that end a second here.
        now: Monotonic seconds.
        deadline: Monotonic seconds at which its final answer is due.
        source: Source of randomness.
    """
    until = now + (deadline - now) * _WAIT_SHARE
    # Before any has ended, the first in line may still wait.
    expected_s = waiting / served_per_s if served_per_s > 0 else 0.0
    if now + expected_s < until and (waiting == 0 or served_per_s > 0):
        return Enqueue(until=until)
    return Reject(
        retry_after_ms=draw_retry_after(
            expected_s=expected_s, now=now, deadline=deadline, source=source
        )
    )


def draw_retry_after(
    *, expected_s: float, now: float, deadline: float, source: random.Random
) -> int:
    """Returns milliseconds after which a refused client may come back.

    Args:
        expected_s: Time until a place is likely.
        now: Monotonic seconds.
        deadline: Monotonic seconds at which its final answer is due.
        source: Source of randomness.
    """
    earliest = max(_LEAST_RETRY_MS, expected_s * 1000)
    latest = max(0.0, deadline - now) * _RETRY_SHARE * 1000
    drawn = earliest * source.uniform(1.0, _SPREAD)
    return int(max(_LEAST_RETRY_MS, min(drawn, latest)))
