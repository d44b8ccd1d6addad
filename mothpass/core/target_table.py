"""Table of the registered targets, with their state as one daemon sees it."""

from collections import abc

import msgspec

from mothpass.core import address_owners
from mothpass.core import target_limits
from mothpass.core import windows

# Backoff of a failed target; it doubles with each failure up to the maximum.
_INITIAL_BACKOFF_S = 0.4
_MAX_BACKOFF_S = 3.2
# Older failures say nothing about a target's present state.
_FAILURE_RESET_S = 6.0
# A target that can be reached but fails some of its requests counts as failing
# if at least this many, and at least half of all, failed within the window.
_AMBIGUOUS_FAILURE_WINDOW_S = 2.0
_MIN_AMBIGUOUS_FAILURES = 3
# Targets whose state is kept after their registration has ended.
_MAX_FORMER_TARGETS = 1024


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of a target, as the target itself publishes it.

    Attributes:
        id: Id of the target.
        service: Service that it serves.
        address: ``ip:port``.
        availability_zone: Its availability zone.
        slots: Requests that it runs at once, 0 if unknown.
        is_draining: Whether it drains before it leaves.
        cold_left_s: Remaining time for which it is cold, counted from the
            registration.
        started_at_ms: Unix milliseconds of its start, None where unknown.
        software_version: Version of its software; "" if it names none.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool
    cold_left_s: float
    started_at_ms: int | None
    software_version: str = ""


class Target:
    """State of one start of a target.

    Attributes:
        backoff_until: Monotonic seconds until which other targets go first.
        cold_until: Monotonic seconds until which it is cold.
        first_seen: Monotonic seconds at which it was first seen; minus
            infinity if it may have been registered before this daemon
            started.
        in_flight: Attempts of this daemon in flight there.
        is_gone: Whether it is no longer registered.
        is_leaving: Whether it said in an answer that it leaves.
        limit: Limit that its answers state.
        last_byte_at: Monotonic seconds of the last byte received from it.
        last_success_at: Monotonic seconds of the last whole answer of it; minus
            infinity before the first.
        paused_until: Monotonic seconds until which it asked this daemon to send
            it nothing.
        prefill_backlog_tokens: Prompt tokens that it has yet to prefill for
            attempts of this daemon.
        recent_dispatches: Attempts that this daemon has sent to it in the
            last second.
        registration: Its registration.
        replaced_until: Monotonic seconds until which it gets no requests, as
            another target answered at its address.
    """

    __slots__ = (
        "_ambiguous_failures",
        "_consecutive_failures",
        "_last_failure_at",
        "_successes",
        "backoff_until",
        "cold_until",
        "first_seen",
        "in_flight",
        "is_gone",
        "is_leaving",
        "last_byte_at",
        "last_success_at",
        "limit",
        "paused_until",
        "prefill_backlog_tokens",
        "recent_dispatches",
        "registration",
        "replaced_until",
    )

    def __init__(self, *, registration: Registration, now: float) -> None:
        """Initializes the state with nothing in flight."""
        self.registration = registration
        self.cold_until = now + registration.cold_left_s
        self.first_seen = now
        self.last_byte_at = now
        self.last_success_at = float("-inf")
        self.replaced_until = float("-inf")
        self.in_flight = 0
        self.prefill_backlog_tokens = 0
        self.is_gone = False
        self.is_leaving = False
        self.limit = target_limits.StatedLimit()
        self.paused_until = float("-inf")
        self.backoff_until = 0.0
        self.recent_dispatches = windows.SlidingCount(window_s=1.0)
        self._consecutive_failures = 0
        self._last_failure_at = 0.0
        self._successes = windows.SlidingCount(
            window_s=_AMBIGUOUS_FAILURE_WINDOW_S
        )
        self._ambiguous_failures = windows.SlidingCount(
            window_s=_AMBIGUOUS_FAILURE_WINDOW_S
        )

    @property
    def id(self) -> str:
        """Id of the target."""
        return self.registration.id

    def is_cold(self, now: float) -> bool:
        """Returns whether the target is cold, so that its rate is bounded."""
        return now < self.cold_until

    def reserve_slot(self) -> None:
        """Counts an attempt that is to be sent as in flight."""
        self.in_flight += 1
        self.limit.unsent += 1

    def record_sent(self, now: float) -> None:
        """Records that an attempt with a reserved slot is sent now."""
        self.limit.unsent -= 1
        self.recent_dispatches.record(now)
        self.limit.dispatches.record(now)

    def release_slot(self, *, was_sent: bool) -> None:
        """Ends an attempt with a reserved slot."""
        self.in_flight -= 1
        if not was_sent:
            self.limit.unsent -= 1

    def count_dispatches(self, now: float) -> int:
        """Returns the attempts sent in the last second or still to be sent.

        One that waits for its connection counts for as long as it waits, so
        that no second sees more of them arrive than it allows.
        """
        return self.recent_dispatches.count(now) + self.limit.unsent

    def is_backing_off(self, now: float) -> bool:
        """Returns whether it failed so recently that other targets go first."""
        return now < self.backoff_until

    def may_get_requests(self, now: float) -> bool:
        """Returns whether its answers leave it open for requests."""
        return (
            not self.is_leaving
            and self.paused_until <= now
            and self.replaced_until <= now
        )

    def is_resuming(self) -> bool:
        """Returns whether it has not yet answered since its last pause."""
        return self.last_success_at < self.paused_until

    def record_failure(self, now: float) -> None:
        """Starts a backoff that doubles with each failure in a row."""
        if now - self._last_failure_at > _FAILURE_RESET_S:
            self._consecutive_failures = 0
        self._last_failure_at = now
        backoff_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2.0**self._consecutive_failures
        )
        self._consecutive_failures += 1
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def record_ambiguous_failure(self, now: float) -> None:
        """Records a failure that the target may not have caused.

        Several of them within the window count as a failure of the target.
        """
        self._ambiguous_failures.record(now)
        ambiguous_failures = self._ambiguous_failures.count(now)
        if (
            ambiguous_failures >= _MIN_AMBIGUOUS_FAILURES
            and ambiguous_failures >= self._successes.count(now)
        ):
            self.record_failure(now)

    def record_success(self, now: float) -> None:
        """Ends the backoff, unless ambiguous failures are frequent."""
        self._successes.record(now)
        self.last_success_at = now
        if self._ambiguous_failures.count(now) < _MIN_AMBIGUOUS_FAILURES:
            self._consecutive_failures = 0
            self.backoff_until = 0.0


class TargetTable:
    """Table of the targets that are registered now.

    A registration may end and come back while its target goes on, as after an
    outage of the store. What the target said in answers holds for as long as
    it runs, so that its state is kept for the same start.

    Attributes:
        targets: Targets by id.
        closed_zones: Availability zones whose targets get no requests.
    """

    __slots__ = (
        "_by_service",
        "_former",
        "_owners",
        "closed_zones",
        "targets",
    )

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.targets: dict[str, Target] = {}
        self.closed_zones: frozenset[str] = frozenset()
        self._by_service: dict[str, list[Target]] = {}
        # By id; those whose registration ended first are first.
        self._former: dict[str, Target] = {}
        self._owners = address_owners.AddressOwners()

    def put(
        self,
        registration: Registration,
        now: float,
        *,
        may_predate_daemon: bool = False,
    ) -> bool:
        """Adds a target or applies its new registration.

        Args:
            registration: Registration of the target.
            now: Monotonic seconds.
            may_predate_daemon: Whether the target may have been registered
                before this daemon started.

        Returns:
            Whether this is a start that was not known before.
        """
        target = self.targets.get(registration.id)
        if target is None or _is_new_start(target.registration, registration):
            former = self._take_former(registration)
            if target is not None:
                self.remove(registration.id)
            if former is None:
                target = Target(registration=registration, now=now)
                if may_predate_daemon:
                    target.first_seen = float("-inf")
                self._add(target)
                return True
            former.is_gone = False
            self._add(former)
            target = former
        if registration.service != target.registration.service:
            self._by_service[target.registration.service].remove(target)
            self._by_service.setdefault(registration.service, []).append(target)
        if registration.cold_left_s > 0:
            target.cold_until = now + registration.cold_left_s
        target.registration = registration
        target.replaced_until = float("-inf")
        return False

    def remove(self, target_id: str) -> None:
        """Removes a target that is no longer registered."""
        target = self.targets.pop(target_id, None)
        if target is not None:
            target.is_gone = True
            self._owners.release(target_id)
            self._by_service[target.registration.service].remove(target)
            self._former[target_id] = target
            if len(self._former) > _MAX_FORMER_TARGETS:
                del self._former[next(iter(self._former))]

    def _take_former(self, registration: Registration) -> Target | None:
        """Returns the former target whose start is registered again, if any."""
        former = self._former.get(registration.id)
        if (
            former is None
            or registration.started_at_ms is None
            or _is_new_start(former.registration, registration)
        ):
            return None
        return self._former.pop(registration.id)

    def set_closed_zones(
        self, zones: abc.Iterable[str], *, cold_s: float, now: float
    ) -> bool:
        """Sets the closed availability zones.

        Targets in a reopened zone become cold.

        Args:
            zones: Availability zones that are closed from now on.
            cold_s: Time for which targets of a reopened zone are cold.
            now: Monotonic seconds.

        Returns:
            Whether the set of closed availability zones changed.
        """
        closed = frozenset(zones)
        reopened = self.closed_zones - closed
        changed = closed != self.closed_zones
        self.closed_zones = closed
        for target in self.targets.values():
            if target.registration.availability_zone in reopened:
                target.cold_until = max(target.cold_until, now + cold_s)
        return changed

    def list_usable(self, service: str, now: float) -> list[Target]:
        """Returns the targets of a service that may get new requests."""
        return [
            target
            for target in self._list_in_service(service, now)
            if target.paused_until <= now
        ]

    def list_paused(self, service: str, now: float) -> list[Target]:
        """Returns the targets that only their own pause excludes."""
        return [
            target
            for target in self._list_in_service(service, now)
            if target.paused_until > now
        ]

    def _list_in_service(self, service: str, now: float) -> list[Target]:
        closed = self.closed_zones
        superseded = self._owners.superseded
        return [
            target
            for target in self._by_service.get(service, ())
            if not target.registration.is_draining
            and not target.is_leaving
            and target.id not in superseded
            and target.replaced_until <= now
            and target.registration.availability_zone not in closed
        ]

    def list_registered(self, service: str) -> list[Target]:
        """Returns all targets of a service, also draining and closed ones."""
        return self._by_service.get(service, [])

    def _add(self, target: Target) -> None:
        self.targets[target.id] = target
        self._owners.claim(
            target.registration.address,
            target.id,
            started_at_ms=target.registration.started_at_ms,
        )
        self._by_service.setdefault(target.registration.service, []).append(
            target
        )


def _is_new_start(old: Registration, new: Registration) -> bool:
    if old.started_at_ms != new.started_at_ms:
        return True
    return old.address != new.address
