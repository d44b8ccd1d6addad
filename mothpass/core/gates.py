"""The gate of a cold target: permits with deadlines and fencing numbers.

Three parties may let a call through to a cold target, and the sum of what
they let through is at most what the target bears:

- the gate, the one daemon that holds the lease of the target's partition,
  grants what the target bears less the reserve;
- each holder of the reserve, found by hashing over the daemons' slots, may
  have one call there, with no talk at all;
- calls that an earlier gate let through still count until a load report or
  the passing of time shows that they have ended.

What a target bears grows with its finished answers. Each party claims growth
only for answers of its own, so that the claims never add up to more.
"""

import enum

import msgspec

from mothpass.core import cold

DISPATCH_WINDOW_S = 1.0
HOLD_MARGIN_S = 2.0


class Source(enum.Enum):
    """Which party let a call through."""

    GATE = "gate"
    RESERVE = "reserve"
    TRIAL = "trial"


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Leave for one call of a cold target.

    Attributes:
        target_id: The target.
        boot_id: Start of the target that it is good for.
        source: Which party gave it.
        gate: Daemon that gave it.
        number: Unique among the permits of that daemon and fencing number.
        fencing: Fencing number of the gate's lease, 0 for the reserve.
        dispatch_by: Monotonic seconds, on the clock of the daemon that asked,
            counted from when it asked. After it the call must not start.
    """

    target_id: str
    boot_id: str
    source: Source
    gate: str
    number: int
    fencing: int
    dispatch_by: float


class GrantRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon asks a gate for one permit.

    Attributes:
        target_id: The target.
        boot_id: Start of the target, as the asking daemon knows it.
        call_ms: Most time that the call may take once it has started.
        alone: Whether it is for the trial of a suspect, which must be the
            only one at the target; see core/trials.py.
    """

    target_id: str
    boot_id: str
    call_ms: int
    alone: bool = False


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """The gate lets one call through.

    Attributes:
        number: Number of the permit at this gate.
        fencing: Fencing number of the gate's lease.
        dispatch_ms: Time to start the call, counted from when it was asked.
    """

    number: int
    fencing: int
    dispatch_ms: int


class Reason(enum.Enum):
    """Why a gate lets no call through."""

    NOT_HOLDER = "not holder"
    OTHER_BOOT = "other boot"
    FULL = "full"


class Denied(msgspec.Struct, frozen=True, kw_only=True):
    """The gate lets no call through for now.

    Attributes:
        reason: Why.
    """

    reason: Reason


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """A call that a permit let through has ended, or will never start.

    Attributes:
        target_id: The target.
        boot_id: Start of the target.
        source: Which party gave the permit.
        number: Number of the permit.
        fencing: Fencing number of the permit.
        answered: Whether a whole answer came, which earns the ramp.
    """

    target_id: str
    boot_id: str
    source: Source
    number: int
    fencing: int
    answered: bool


def make_permit(
    request: GrantRequest, granted: Granted, *, gate: str, asked_at: float
) -> Permit:
    """Builds the permit at the asking daemon.

    Args:
        request: What was asked.
        granted: What the gate answered.
        gate: Daemon that granted it.
        asked_at: Monotonic seconds at which the request was sent.

    Returns:
        The permit; its deadline needs no clock but the asker's own.
    """
    return Permit(
        target_id=request.target_id,
        boot_id=request.boot_id,
        source=Source.TRIAL if request.alone else Source.GATE,
        gate=gate,
        number=granted.number,
        fencing=granted.fencing,
        dispatch_by=asked_at + granted.dispatch_ms / 1000,
    )


def may_dispatch(permit: Permit, *, boot_id: str, now: float) -> bool:
    """Tells whether the call of a permit may start, right before it does.

    Args:
        permit: The permit.
        boot_id: Start of the target, as the asking daemon knows it now.
        now: Monotonic seconds on the clock of the daemon that asked.
    """
    return now < permit.dispatch_by and permit.boot_id == boot_id


def make_release(permit: Permit, *, answered: bool) -> Release:
    """Builds what the gate is told once the call of a permit has ended."""
    return Release(
        target_id=permit.target_id,
        boot_id=permit.boot_id,
        source=permit.source,
        number=permit.number,
        fencing=permit.fencing,
        answered=answered,
    )


class Gate:
    """State of the gate of one start of one target.

    Attributes:
        target_id: The target.
        boot_id: Start of the target.
        fencing: Fencing number of the lease under which it grants.
        ramp: What the target bears, earned by answers told of here.
    """

    __slots__ = (
        "_held",
        "_last_number",
        "_quiet_from",
        "_reported",
        "_unknown",
        "_unknown_until",
        "boot_id",
        "fencing",
        "ramp",
        "target_id",
    )

    def __init__(
        self,
        *,
        target_id: str,
        boot_id: str,
        fencing: int,
        ramp: cold.Ramp,
        taken_at: float,
        call_limit_ms: int,
        fresh: bool,
    ) -> None:
        """Counts what an earlier gate may have let through as in flight.

        Args:
            target_id: The target.
            boot_id: Start of the target.
            fencing: Fencing number of the lease.
            ramp: A fresh ramp.
            taken_at: Monotonic seconds at which the lease was taken; an
                earlier gate has granted nothing since.
            call_limit_ms: Most time that any call may take.
            fresh: Whether the target started after the lease was taken, so
                that there was no earlier gate.
        """
        self.target_id = target_id
        self.boot_id = boot_id
        self.fencing = fencing
        self.ramp = ramp
        self._held: dict[int, float] = {}
        self._last_number = 0
        self._quiet_from = taken_at + DISPATCH_WINDOW_S
        self._reported = 0
        self._unknown = 0 if fresh else ramp.start.warm_in_flight
        self._unknown_until = (
            self._quiet_from + call_limit_ms / 1000 + HOLD_MARGIN_S
        )

    def grant(
        self, request: GrantRequest, *, lease_ends_at: float, now: float
    ) -> Granted | Denied:
        """Decides on one request.

        Args:
            request: What is asked.
            lease_ends_at: Monotonic seconds at which the lease ends.
            now: Monotonic seconds.

        Returns:
            The grant, counted until it is released or has surely ended.
        """
        if now >= lease_ends_at:
            return Denied(reason=Reason.NOT_HOLDER)
        if request.boot_id != self.boot_id:
            return Denied(reason=Reason.OTHER_BOOT)
        self.expire(now)
        if self._reported > self.ramp.max_in_flight:
            return Denied(reason=Reason.FULL)
        if self.count_in_flight(now) >= self._limit():
            return Denied(reason=Reason.FULL)
        self._last_number += 1
        self._held[self._last_number] = (
            now + DISPATCH_WINDOW_S + request.call_ms / 1000 + HOLD_MARGIN_S
        )
        return Granted(
            number=self._last_number,
            fencing=self.fencing,
            dispatch_ms=int(DISPATCH_WINDOW_S * 1000),
        )

    def release(self, release: Release) -> None:
        """Takes in that a call has ended; a doubled release counts once.

        A release of an earlier gate's permit changes no count, since such
        calls are counted together and not one by one. Answers under the
        reserve earn growth for the reserve alone.
        """
        if release.boot_id != self.boot_id:
            return
        if release.source is not Source.GATE or (
            release.fencing != self.fencing
        ):
            return
        known = self._held.pop(release.number, None)
        if known is not None and release.answered:
            self.ramp.record_answer()

    def record_load(self, in_flight: int, *, measured_at: float) -> None:
        """Lowers the count of unknown calls to what a report shows.

        A report from before the last moment at which an earlier gate's
        permit could start a call proves nothing of them and is used only to
        see that the target carries more than it bears, as happens while
        some daemons still think it warm.

        Args:
            in_flight: All calls that the target carried.
            measured_at: Monotonic seconds of that moment.
        """
        self._reported = in_flight
        if measured_at >= self._quiet_from:
            self._unknown = min(self._unknown, in_flight)

    def expire(self, now: float) -> None:
        """Drops permits whose calls have surely ended without a release."""
        ended = [number for number, end in self._held.items() if now >= end]
        for number in ended:
            del self._held[number]

    def count_in_flight(self, now: float) -> int:
        """Returns the calls that count against what may be granted."""
        unknown = self._unknown if now < self._unknown_until else 0
        return len(self._held) + unknown

    def _limit(self) -> int:
        return max(
            0, self.ramp.max_in_flight - cold.count_reserve(self.ramp.start)
        )
