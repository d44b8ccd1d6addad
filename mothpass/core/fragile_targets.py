"""Keeps the requests that fragile targets turn away below what they bear.

The targets of a service may state how many requests they can turn away within a
second for want of room; one that has to turn away more falls over. What a
daemon knows of the requests of others is some ticks old, so that all of them
may see the same free slot at once. A fragile target therefore gets no requests
to queue, and each daemon has no more requests there than its part of the slots,
one at least. It takes a free slot only with the probability at which the fleet
takes as many as are free until the next reports, where it assumes that the
others want to send as much as it does. A daemon that was turned away
stays away until the others can have been turned away as well.
"""

import collections
import random as random_module

from mothpass.core import windows

# Part of the slots that may be taken; the rest is for what peers have sent and
# not yet reported.
_USABLE_SLOTS_SHARE = 0.75
# Time over which a daemon counts how often it wants to send.
_DEMAND_WINDOW_S = 1.0
# A report may be missing, and one that comes is as old as their interval.
_REPORT_AGE_INTERVALS = 2.0
# For how long a statement counts: the next answer renews it.
_STATEMENT_TTL_S = 10.0
_MIN_HOLD_S = 1.0
_MAX_HOLD_S = 10.0
# Above it, those that were chosen longest ago are forgotten.
_MAX_TARGETS = 4096


class _FragileTarget:
    """What this daemon wants to send to a target, and until when it may not."""

    __slots__ = ("demand", "held_until")

    def __init__(self) -> None:
        self.demand = windows.SlidingCount(window_s=_DEMAND_WINDOW_S)
        self.held_until = float("-inf")


class FragileServices:
    """Services whose targets say that they are fragile."""

    __slots__ = ("_stated", "_targets")

    def __init__(self) -> None:
        """Starts without statements."""
        self._stated: dict[str, tuple[float, float]] = {}
        self._targets: collections.OrderedDict[str, _FragileTarget] = (
            collections.OrderedDict()
        )

    def record_answer(
        self, service: str, per_s: float | None, now: float
    ) -> bool:
        """Records what an answer of a target says.

        Args:
            service: Service of the target.
            per_s: Requests that it can turn away within a second, None if it
                isn't fragile.
            now: Monotonic seconds.

        Returns:
            Whether the service became fragile, or no longer is.
        """
        was_fragile = self.is_fragile(service, now)
        if per_s is None:
            self._stated.pop(service, None)
        else:
            self._stated[service] = per_s, now
        return was_fragile != (per_s is not None)

    def is_fragile(self, service: str, now: float) -> bool:
        """Returns whether the targets of a service are fragile."""
        _, stated_at = self._stated.get(service, (0.0, float("-inf")))
        return now - stated_at <= _STATEMENT_TTL_S

    def record_rejection(
        self, service: str, target_id: str, *, daemons: int, now: float
    ) -> None:
        """Records that a target had no room for a request of this daemon.

        Args:
            service: Service of the target.
            target_id: Id of the target.
            daemons: Number of daemons that send to it.
            now: Monotonic seconds.
        """
        if not self.is_fragile(service, now):
            return
        per_s, _ = self._stated[service]
        hold_s = daemons / max(per_s, 1.0)
        self._get_or_add(target_id).held_until = now + min(
            _MAX_HOLD_S, max(_MIN_HOLD_S, hold_s)
        )

    def admits(
        self,
        service: str,
        target_id: str,
        *,
        own_load: int,
        load: int,
        slots: int,
        daemons: int,
        report_interval_s: float,
        now: float,
        random: random_module.Random,
    ) -> bool:
        """Returns whether a target may get one more request now.

        Args:
            service: Service of the target.
            target_id: Id of the target.
            own_load: Requests of this daemon in flight there.
            load: Requests of all daemons in flight there, as far as is known.
            slots: Requests that it runs at once, 0 if unknown: it then gets one
                at a time.
            daemons: Number of daemons that send to it.
            report_interval_s: Time after which what peers report is new.
            now: Monotonic seconds.
            random: Source of randomness.
        """
        if not self.is_fragile(service, now):
            return True
        target = self._get_or_add(target_id)
        usable = max(1.0, slots * _USABLE_SLOTS_SHARE)
        # A burst finds all daemons at once before any of them has reported.
        own_usable = max(1.0, usable / max(1, daemons))
        if now < target.held_until:
            return False
        if load >= usable or own_load + 1 > own_usable:
            return False
        target.demand.record(now)
        wanted_per_s = target.demand.count(now) / _DEMAND_WINDOW_S * daemons
        unreported = wanted_per_s * report_interval_s * _REPORT_AGE_INTERVALS
        return random.random() * unreported < usable - load

    def _get_or_add(self, target_id: str) -> _FragileTarget:
        """Returns the state of a target, which is now the latest one used."""
        target = self._targets.pop(target_id, None) or _FragileTarget()
        self._targets[target_id] = target
        if len(self._targets) > _MAX_TARGETS:
            self._targets.popitem(last=False)
        return target
