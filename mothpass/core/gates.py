"""Admission to cold targets by permits with deadlines and fencing tokens.

A cold target has a limit on its requests in flight. The following add up to
at most that limit:

- requests with a permit of the gate, the one daemon that holds the lease of
  the target's partition; it grants the limit less the reserve;
- requests under the reserve, whose holders are found by hashing over the
  daemons' slots; each holder may at first send one request at a time, without
  any messages;
- requests admitted by an earlier gate, which count until a load report or
  the passing of time shows that they have ended.

The limit grows with the target's finished answers. The gate and the holders
of the reserve each count only answers to requests that they admitted, so that
together they never assume more growth than there is.
"""

import enum

import msgspec

from mothpass.core import cold

# Time within which the request of a permit must be dispatched.
DISPATCH_TIMEOUT_S = 1.0
# Time added to the latest end of a request before its permit expires.
PERMIT_EXPIRY_MARGIN_S = 2.0


class Source(enum.Enum):
    """What a permit was granted by."""

    GATE = "gate"
    RESERVE = "reserve"
    TRIAL = "trial"


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to send one request to a cold target.

    Attributes:
        target_id: The target.
        boot_id: Boot id of the target for which the permit is valid.
        source: What granted it.
        gate: Daemon that granted it.
        number: Unique among the permits of that daemon and fencing token.
        fencing: Fencing token of the gate's lease, 0 for the reserve.
        dispatch_by: Monotonic seconds, on the clock of the daemon that
            requested the permit and counted from its request, after which the
            request must not be dispatched.
    """

    target_id: str
    boot_id: str
    source: Source
    gate: str
    number: int
    fencing: int
    dispatch_by: float


class GrantRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's request to a gate for one permit.

    Attributes:
        target_id: The target.
        boot_id: Boot id of the target, as the requesting daemon knows it.
        call_ms: Maximum duration of the request once it is dispatched.
        alone: Whether it is for the trial of a crash suspect, which must be
            the only trial at the target; see core/trials.py.
    """

    target_id: str
    boot_id: str
    call_ms: int
    alone: bool = False


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """A gate's answer that grants a permit.

    Attributes:
        number: Number of the permit at this gate.
        fencing: Fencing token of the gate's lease.
        dispatch_ms: Time within which the request must be dispatched, counted
            from when the daemon sent the grant request.
    """

    number: int
    fencing: int
    dispatch_ms: int


class Reason(enum.Enum):
    """Why a gate denies a permit."""

    NOT_HOLDER = "not holder"
    OTHER_BOOT = "other boot"
    FULL = "full"


class Denied(msgspec.Struct, frozen=True, kw_only=True):
    """A gate's answer that denies a permit for now.

    Attributes:
        reason: Why it is denied.
    """

    reason: Reason


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """Message to a gate that a permit's request has ended or won't be sent.

    Attributes:
        target_id: The target.
        boot_id: Boot id of the target.
        source: What granted the permit.
        number: Number of the permit.
        fencing: Fencing token of the permit.
        answered: Whether a complete answer came, which raises the limit.
    """

    target_id: str
    boot_id: str
    source: Source
    number: int
    fencing: int
    answered: bool


def make_permit(
    request: GrantRequest, granted: Granted, *, gate: str, requested_at: float
) -> Permit:
    """Builds the permit at the requesting daemon.

    Args:
        request: The grant request.
        granted: The gate's answer.
        gate: Daemon that granted it.
        requested_at: Monotonic seconds at which the grant request was sent.

    Returns:
        The permit; its deadline depends on the clock of the requesting daemon
        only.
    """
    return Permit(
        target_id=request.target_id,
        boot_id=request.boot_id,
        source=Source.TRIAL if request.alone else Source.GATE,
        gate=gate,
        number=granted.number,
        fencing=granted.fencing,
        dispatch_by=requested_at + granted.dispatch_ms / 1000,
    )


def may_dispatch(permit: Permit, *, boot_id: str, now: float) -> bool:
    """Returns whether the request of a permit may be dispatched now.

    Args:
        permit: The permit.
        boot_id: Boot id of the target, as the requesting daemon knows it
            now.
        now: Monotonic seconds on the clock of the daemon that requested the
            permit.
    """
    return now < permit.dispatch_by and permit.boot_id == boot_id


def make_release(permit: Permit, *, answered: bool) -> Release:
    """Builds the message to the gate once a permit's request has ended."""
    return Release(
        target_id=permit.target_id,
        boot_id=permit.boot_id,
        source=permit.source,
        number=permit.number,
        fencing=permit.fencing,
        answered=answered,
    )


class Gate:
    """Grants the permits for one target from its start until it restarts.

    Attributes:
        target_id: The target.
        boot_id: Boot id of the target.
        fencing: Fencing token of the lease under which it grants.
        ramp: Limit of the target, grown by answers that are reported here.
    """

    __slots__ = (
        "_expires_at",
        "_inherited",
        "_inherited_dispatch_until",
        "_inherited_until",
        "_last_number",
        "_reported_in_flight",
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
        is_first: bool,
    ) -> None:
        """Counts what an earlier gate may have admitted as in flight.

        Args:
            target_id: The target.
            boot_id: Boot id of the target.
            fencing: Fencing token of the lease.
            ramp: A new ramp.
            taken_at: Monotonic seconds at which the lease was taken; an
                earlier gate has granted nothing since.
            call_limit_ms: Maximum duration of any request.
            is_first: Whether the target started after the lease was taken, so
                that there was no earlier gate.
        """
        self.target_id = target_id
        self.boot_id = boot_id
        self.fencing = fencing
        self.ramp = ramp
        self._expires_at: dict[int, float] = {}
        self._last_number = 0
        self._inherited_dispatch_until = taken_at + DISPATCH_TIMEOUT_S
        self._reported_in_flight = 0
        self._inherited = 0 if is_first else ramp.start.warm_in_flight
        self._inherited_until = (
            self._inherited_dispatch_until
            + call_limit_ms / 1000
            + PERMIT_EXPIRY_MARGIN_S
        )

    def grant(
        self, request: GrantRequest, *, lease_ends_at: float, now: float
    ) -> Granted | Denied:
        """Grants or denies a permit.

        Args:
            request: The grant request.
            lease_ends_at: Monotonic seconds at which the lease ends.
            now: Monotonic seconds.

        Returns:
            The grant, counted as in flight until it is released or expires;
            otherwise the denial.
        """
        if now >= lease_ends_at:
            return Denied(reason=Reason.NOT_HOLDER)
        if request.boot_id != self.boot_id:
            return Denied(reason=Reason.OTHER_BOOT)
        self.expire(now)
        if self._reported_in_flight > self.ramp.max_in_flight:
            return Denied(reason=Reason.FULL)
        if self.count_in_flight(now) >= self._compute_limit():
            return Denied(reason=Reason.FULL)
        self._last_number += 1
        self._expires_at[self._last_number] = (
            now
            + DISPATCH_TIMEOUT_S
            + request.call_ms / 1000
            + PERMIT_EXPIRY_MARGIN_S
        )
        return Granted(
            number=self._last_number,
            fencing=self.fencing,
            dispatch_ms=int(DISPATCH_TIMEOUT_S * 1000),
        )

    def release(self, release: Release) -> None:
        """Records that a request has ended; a repeated release has no effect.

        A release of an earlier gate's permit changes no count, since those
        requests are counted in total and not by permit. Answers under the
        reserve raise the limit of the reserve only.
        """
        if release.boot_id != self.boot_id:
            return
        if release.source is not Source.GATE or (
            release.fencing != self.fencing
        ):
            return
        known = self._expires_at.pop(release.number, None)
        if known is not None and release.answered:
            self.ramp.record_answer()

    def record_load(self, in_flight: int, *, measured_at: float) -> None:
        """Lowers the count of inherited requests to what a report shows.

        A report from before the dispatch deadline of the earlier gate's last
        permit proves nothing about inherited requests. It only shows whether
        the target is over its limit, as happens while some daemons still
        treat it as warm.

        Args:
            in_flight: All requests in flight at the target.
            measured_at: Monotonic seconds at which they were counted.
        """
        self._reported_in_flight = in_flight
        if measured_at >= self._inherited_dispatch_until:
            self._inherited = min(self._inherited, in_flight)

    def expire(self, now: float) -> None:
        """Drops permits whose requests must have ended without a release."""
        expired = [
            number for number, end in self._expires_at.items() if now >= end
        ]
        for number in expired:
            del self._expires_at[number]

    def count_in_flight(self, now: float) -> int:
        """Returns the requests that count against the gate's limit."""
        inherited = self._inherited if now < self._inherited_until else 0
        return len(self._expires_at) + inherited

    def _compute_limit(self) -> int:
        return max(
            0, self.ramp.max_in_flight - cold.count_reserve(self.ramp.start)
        )
