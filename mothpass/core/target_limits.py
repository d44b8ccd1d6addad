"""Keeps what all daemons send to a target within the limit that it states.

A target in need states in its answers how many requests per second it takes
from all daemons together. Daemons tell each other the limits that they have
read, how many requests they wanted to send to such targets and how many they
sent. Each daemon admits the share of its requests that the limit is of what the
fleet wants; the others go elsewhere. What a daemon knows of the others is some
ticks old and each may send little of the whole: a share of what is wanted stays
right meanwhile, while a count of what was sent would be acted on by all at
once. Waiting requests are tried at a bounded rate, so that they want no more
than a multiple of the limit.
"""

from collections import abc
import random as random_module

import msgspec

from mothpass.core import windows

# Time over which requests are counted. Longer than the reports of a large fleet
# are old, and short enough to follow a change of the load.
WINDOW_S = 4.0
# Requests of a window beyond its limit, as a limit below one may not stop
# requests for good: the next answer may lift it.
EXTRA_REQUESTS = 1.0
# Waiting requests that all daemons together try to send, as a multiple of the
# limit, and the longest time between two of a daemon.
WAITING_TRIES_PER_REQUEST = 2.0
MAX_WAITING_INTERVAL_S = 2.0
# Part of the share that is admitted once as many requests were sent as planned.
OVERSHOOT_SHARE = 0.1
# Daemons report limits that they have read within this time, and at most so
# many of them; each takes some 20 bytes.
REPORT_TTL_S = 2.0
# A daemon that has read an answer itself within this time ignores reports, as
# they may be older: they take up to a second in a large fleet. As it exceeds
# REPORT_TTL_S, no report is passed on.
OWN_ANSWER_TTL_S = REPORT_TTL_S + 1.0
MAX_REPORTED = 32
# Counts in a message, each some 14 bytes.
MAX_COUNTED = 56


class FleetCount(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a target within the window.

    Attributes:
        sent: Requests that were sent.
        wanted: These, and those that the limit denied.
    """

    sent: int = 0
    wanted: int = 0


class StatedLimit:
    """Limit that one target states, and what this daemon sends there.

    Attributes:
        per_s: Requests per second from all daemons, None without a limit.
        read_at: Monotonic seconds of the last answer that this daemon has read.
        dispatches: Requests that this daemon has sent in the window.
        unsent: Requests that have a slot and that this daemon has not sent yet.
    """

    __slots__ = (
        "_denials",
        "_next_waiting_at",
        "dispatches",
        "per_s",
        "read_at",
        "unsent",
    )

    def __init__(self) -> None:
        """Starts without a limit."""
        self.per_s: float | None = None
        self.read_at = float("-inf")
        self.unsent = 0
        self.dispatches = windows.SlidingCount(window_s=WINDOW_S)
        self._denials = windows.SlidingCount(window_s=WINDOW_S)
        self._next_waiting_at = float("-inf")

    def record_answer(self, per_s: float | None, *, now: float) -> bool:
        """Records what an answer to this daemon states.

        Returns:
            Whether that differs from what was known.
        """
        is_changed = per_s != self.per_s
        self.per_s = per_s
        self.read_at = now
        if is_changed:
            self._next_waiting_at = float("-inf")
        return is_changed

    def merge_report(self, per_s: float, *, now: float) -> None:
        """Applies a limit that a peer has read in an answer."""
        if now - self.read_at >= OWN_ANSWER_TTL_S:
            self.per_s = per_s

    def may_admit_waiting(self, now: float) -> bool:
        """Returns whether ``admit`` may be called for a waiting request."""
        return self.per_s is None or now >= self._next_waiting_at

    def admit(
        self,
        *,
        peers: FleetCount,
        now: float,
        random: random_module.Random,
    ) -> bool:
        """Returns whether to send one more request to the target now.

        Args:
            peers: What the other daemons report.
            now: Monotonic seconds.
            random: Source of randomness.
        """
        if self.per_s is None:
            return True
        own = self.count(now)
        count = FleetCount(
            sent=own.sent + peers.sent, wanted=own.wanted + peers.wanted
        )
        if random.random() < compute_admitted_share(self.per_s, count):
            return True
        self._denials.record(now)
        return False

    def count(self, now: float) -> FleetCount:
        """Returns what this daemon reports to its peers."""
        sent = self.dispatches.count(now) + self.unsent
        return FleetCount(sent=sent, wanted=sent + self._denials.count(now))

    def record_waiting(
        self, *, daemons: int, now: float, random: random_module.Random
    ) -> None:
        """Records that ``admit`` was called for a waiting request.

        Args:
            daemons: Number of daemons, including this one.
            now: Monotonic seconds.
            random: Source of randomness.
        """
        if self.per_s is None:
            return
        interval_s = daemons / max(WAITING_TRIES_PER_REQUEST * self.per_s, 0.01)
        self._next_waiting_at = now + random.uniform(0.5, 1.5) * min(
            MAX_WAITING_INTERVAL_S, interval_s
        )


def compute_admitted_share(per_s: float, count: FleetCount) -> float:
    """Returns the share of requests to admit.

    Args:
        per_s: Limit of the target.
        count: What all daemons want to send to it and send, this one included.
    """
    planned = WINDOW_S * per_s + EXTRA_REQUESTS
    share = planned / (count.wanted + 1)
    if count.sent >= planned:
        # The load has risen faster than the count of what is wanted. The few
        # that are still sent show when the limit is over.
        share *= OVERSHOOT_SHARE
    return min(1.0, share)


def list_reports(
    limits: abc.Mapping[str, StatedLimit], *, now: float
) -> dict[str, float]:
    """Returns the limits to report to peers, those read last first.

    Args:
        limits: Limits by id of the target.
        now: Monotonic seconds.
    """
    recent = [
        (-limit.read_at, target_id)
        for target_id, limit in limits.items()
        if limit.per_s is not None and now - limit.read_at < REPORT_TTL_S
    ]
    reports = {}
    for _, target_id in sorted(recent)[:MAX_REPORTED]:
        per_s = limits[target_id].per_s
        if per_s is not None:
            reports[target_id] = per_s
    return reports


def list_counts(
    limits: abc.Mapping[str, StatedLimit],
    *,
    now: float,
    random: random_module.Random,
) -> dict[str, FleetCount]:
    """Returns the counts of this daemon to report.

    If there are more than a message carries, it carries some at random, scaled
    up so that the sums over a fleet stay right.

    Args:
        limits: Limits by id of the target.
        now: Monotonic seconds.
        random: Source of randomness.
    """
    counts = {
        target_id: limit.count(now) for target_id, limit in limits.items()
    }
    counts = {key: count for key, count in counts.items() if count.wanted}
    if len(counts) <= MAX_COUNTED:
        return counts
    scale = len(counts) / MAX_COUNTED
    return {
        target_id: FleetCount(
            _round_randomly(counts[target_id].sent * scale, random),
            _round_randomly(counts[target_id].wanted * scale, random),
        )
        for target_id in random.sample(sorted(counts), MAX_COUNTED)
    }


def _round_randomly(value: float, random: random_module.Random) -> int:
    """Returns a neighbouring whole number, the value on average."""
    return int(value + random.random())
