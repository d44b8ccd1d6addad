"""What one daemon knows of targets that register themselves."""

from collections import abc

import msgspec

from mothpass.core import windows

# A target that failed is left alone for a time that doubles up to the most.
_FIRST_PAUSE_S = 0.4
_MOST_PAUSE_S = 3.2
# Failures older than this say nothing of a target's state now.
_FAILURE_MEMORY_S = 6.0
# A target that fails part of its requests, though it can be reached, counts as
# failing after so many of them, and half of all, in this window.
_DOUBT_WINDOW_S = 2.0
_DOUBTS = 3


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says of itself.

    Attributes:
        id: Id of the target.
        service: Service that it serves.
        address: ``ip:port``.
        availability_zone: Its zone.
        slots: Requests that it works on at once, 0 where it doesn't say.
        is_draining: Whether it is about to leave.
        cold_left_s: Time for which it stays cold, from when it said so.
        started_at_ms: Unix milliseconds of its start, None where unknown.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool
    cold_left_s: float
    started_at_ms: int | None


class Target:
    """One start of a target.

    Attributes:
        entry: What it says of itself.
        cold_until: Monotonic seconds up to which it is cold.
        first_seen: Monotonic seconds at which it was first seen; minus
            infinity if it was there before this daemon.
        heard_at: Monotonic seconds of the last byte that came from it.
        in_flight: Own attempts that it works on.
        is_gone: Whether it is no longer registered.
        reading_tokens: Tokens of prompts that it has yet to read for own
            attempts.
        sends: Own requests sent in the last second.
    """

    __slots__ = (
        "_answers",
        "_doubts",
        "_failed_at",
        "_failures",
        "cold_until",
        "entry",
        "first_seen",
        "last_byte_at",
        "in_flight",
        "is_gone",
        "paused_until",
        "prefill_backlog_tokens",
        "sends",
    )

    def __init__(self, *, entry: Registration, now: float) -> None:
        """Starts with nothing in flight."""
        self.entry = entry
        self.cold_until = now + entry.cold_left_s
        self.first_seen = now
        self.last_byte_at = now
        self.in_flight = 0
        self.prefill_backlog_tokens = 0
        self.is_gone = False
        self.paused_until = 0.0
        self.sends = windows.SlidingCount(window_s=1.0)
        self._failures = 0
        self._failed_at = 0.0
        self._answers = windows.SlidingCount(window_s=_DOUBT_WINDOW_S)
        self._doubts = windows.SlidingCount(window_s=_DOUBT_WINDOW_S)

    @property
    def id(self) -> str:
        """Id of the target."""
        return self.entry.id

    def is_cold(self, now: float) -> bool:
        """Tells whether it bears only a bounded rate of requests."""
        return now < self.cold_until

    def is_paused(self, now: float) -> bool:
        """Tells whether it failed so lately that others go first."""
        return now < self.paused_until

    def record_failure(self, now: float) -> None:
        """Leaves the target alone for a while, longer after each failure."""
        if now - self._failed_at > _FAILURE_MEMORY_S:
            self._failures = 0
        self._failed_at = now
        pause = min(_MOST_PAUSE_S, _FIRST_PAUSE_S * 2.0**self._failures)
        self._failures += 1
        self.paused_until = max(self.paused_until, now + pause)

    def record_ambiguous_failure(self, now: float) -> None:
        """Notes a failure that alone says little of the target."""
        self._doubts.record(now)
        doubts = self._doubts.count(now)
        if doubts >= _DOUBTS and doubts >= self._answers.count(now):
            self.record_failure(now)

    def record_success(self, now: float) -> None:
        """Ends a pause, since the target answers."""
        self._answers.record(now)
        if self._doubts.count(now) < _DOUBTS:
            self._failures = 0
            self.paused_until = 0.0


class TargetTable:
    """All targets that are registered now.

    Attributes:
        targets: Targets by id.
        closed_zones: Availability zones that are to get nothing.
    """

    __slots__ = ("_by_service", "closed_zones", "targets")

    def __init__(self) -> None:
        """Knows no target."""
        self.targets: dict[str, Target] = {}
        self.closed_zones: frozenset[str] = frozenset()
        self._by_service: dict[str, list[Target]] = {}

    def put(
        self,
        entry: Registration,
        now: float,
        *,
        may_predate_daemon: bool = False,
    ) -> bool:
        """Takes in what a target says of itself now.

        Args:
            entry: What it says.
            now: Monotonic seconds.
            was_there_before: Whether it may have been there for long.

        Returns:
            Whether this is a start that wasn't known before.
        """
        target = self.targets.get(entry.id)
        if target is None or _is_other_start(target.entry, entry):
            if target is not None:
                self.remove(entry.id)
            target = Target(entry=entry, now=now)
            if may_predate_daemon:
                target.first_seen = float("-inf")
            self._add(target)
            return True
        if entry.service != target.entry.service:
            self._by_service[target.entry.service].remove(target)
            self._by_service.setdefault(entry.service, []).append(target)
        if entry.cold_left_s > 0:
            target.cold_until = now + entry.cold_left_s
        target.entry = entry
        return False

    def remove(self, target_id: str) -> None:
        """Forgets a target that isn't registered any more."""
        target = self.targets.pop(target_id, None)
        if target is not None:
            target.is_gone = True
            self._by_service[target.entry.service].remove(target)

    def close_zones(
        self, zones: abc.Iterable[str], *, cold_s: float, now: float
    ) -> bool:
        """Sets the zones that get nothing; those that return are cold.

        Args:
            zones: Zones that are closed from now on.
            cold_s: Time for which targets of a zone that returns are cold.
            now: Monotonic seconds.

        Returns:
            Whether this changed anything.
        """
        closed = frozenset(zones)
        returned = self.closed_zones - closed
        changed = closed != self.closed_zones
        self.closed_zones = closed
        for target in self.targets.values():
            if target.entry.availability_zone in returned:
                target.cold_until = max(target.cold_until, now + cold_s)
        return changed

    def list_usable(self, service: str) -> list[Target]:
        """Returns the targets of a service that may get new work."""
        closed = self.closed_zones
        return [
            target
            for target in self._by_service.get(service, ())
            if not target.entry.is_draining
            and target.entry.availability_zone not in closed
        ]

    def list_registered(self, service: str) -> list[Target]:
        """Returns all targets of a service, also those that get nothing."""
        return self._by_service.get(service, [])

    def _add(self, target: Target) -> None:
        self.targets[target.id] = target
        self._by_service.setdefault(target.entry.service, []).append(target)


def _is_other_start(old: Registration, new: Registration) -> bool:
    if old.started_at_ms != new.started_at_ms:
        return True
    return old.address != new.address
