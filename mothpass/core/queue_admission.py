"""Decides whether a request is queued, and when a rejected one may retry.

This handles seconds in which more work arrives than the targets can do. If
all of it were queued, every answer would be late, and clients that time out
and retry would add load. A request is queued only if a slot is likely to
become free while its answer still counts. Otherwise it is rejected at once
with the time of its retry; these times are spread, so that the returning
clients find free slots. The same holds where all targets of a service have
asked this daemon for a pause.
"""

import random as random_module

import msgspec

# Part of the time left in which a request may be queued; the rest is for its
# run, and for its client to retry at another daemon.
_MAX_QUEUED_SHARE = 0.5
# A slot takes about the time of a short run to become free.
_MIN_RETRY_AFTER_MS = 200
# Clients return within this part of the time that they have left.
_MAX_RETRY_AFTER_SHARE = 1 / 3
# Upper end of the range that retry times are drawn from, as a multiple of the
# expected wait.
_RETRY_SPREAD_MULTIPLE = 1.5


class Enqueue(msgspec.Struct, frozen=True, kw_only=True):
    """The request is queued.

    Attributes:
        until: Monotonic seconds at which it is rejected if still queued.
    """

    until: float


class Reject(msgspec.Struct, frozen=True, kw_only=True):
    """The request is rejected at once.

    Attributes:
        retry_after_ms: Milliseconds until a slot is likely to be free.
    """

    retry_after_ms: int


def decide(
    *,
    queued_ahead: int,
    served_per_s: float,
    now: float,
    deadline: float,
    random: random_module.Random,
) -> Enqueue | Reject:
    """Decides whether to queue a request for which no slot is free.

    Args:
        queued_ahead: Number of queued requests that go before it.
        served_per_s: Requests of its service that end per second here.
        now: Monotonic seconds.
        deadline: Monotonic seconds at which its final answer is due.
        random: Source of randomness.
    """
    until = now + (deadline - now) * _MAX_QUEUED_SHARE
    # The rate is 0 until a request has ended; the first one may still queue.
    expected_s = queued_ahead / served_per_s if served_per_s > 0 else 0.0
    if now + expected_s < until and (queued_ahead == 0 or served_per_s > 0):
        return Enqueue(until=until)
    return Reject(
        retry_after_ms=draw_retry_after(
            expected_s=expected_s, now=now, deadline=deadline, random=random
        )
    )


def decide_pause(
    *,
    resumes_at: float,
    now: float,
    deadline: float,
    random: random_module.Random,
) -> Enqueue | Reject:
    """Decides whether to queue a request while all of its targets pause.

    Args:
        resumes_at: Monotonic seconds at which the first of them takes requests
            again.
        now: Monotonic seconds.
        deadline: Monotonic seconds at which the final answer is due.
        random: Source of randomness.
    """
    until = now + (deadline - now) * _MAX_QUEUED_SHARE
    if resumes_at < until:
        return Enqueue(until=until)
    pause_ms = (resumes_at - now) * 1000
    return Reject(
        retry_after_ms=int(
            max(_MIN_RETRY_AFTER_MS, pause_ms)
            * random.uniform(1.0, _RETRY_SPREAD_MULTIPLE)
        )
    )


def draw_retry_after(
    *,
    expected_s: float,
    now: float,
    deadline: float,
    random: random_module.Random,
) -> int:
    """Returns a random time in milliseconds after which a client may retry.

    Args:
        expected_s: Expected time in seconds until a slot is free.
        now: Monotonic seconds.
        deadline: Monotonic seconds at which its final answer is due.
        random: Source of randomness.
    """
    earliest_ms = max(_MIN_RETRY_AFTER_MS, expected_s * 1000)
    latest_ms = max(0.0, deadline - now) * _MAX_RETRY_AFTER_SHARE * 1000
    drawn_ms = earliest_ms * random.uniform(1.0, _RETRY_SPREAD_MULTIPLE)
    return int(max(_MIN_RETRY_AFTER_MS, min(drawn_ms, latest_ms)))
