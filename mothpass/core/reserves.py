"""Admits requests to cold targets under a reserve, without gate or store.

A part of a cold target's limit is never granted by a gate. It is held in
shares by daemon slots, at first one request in flight each. The holders are
found by hashing the target's id and boot id over the slots of the region.
This depends on the settings only, so that two daemons never take themselves
for the holder of the same share, however their views of the fleet differ.
"""

from mothpass.core import cold
from mothpass.core import gates
from mothpass.core import preference
from mothpass.core import targets

DEFAULT_MAX_REQUEST_MS = 600_000


def holds_share(
    *, target_id: str, boot_id: str, slot: int, slots: int, size: int
) -> bool:
    """Returns whether a daemon slot holds a share of a target's reserve.

    Args:
        target_id: The target.
        boot_id: Its boot id.
        slot: Slot of the daemon.
        slots: Number of daemon slots of the region.
        size: Number of shares of the reserve.
    """
    key = f"{target_id} {boot_id}".encode()
    ranked = preference.rank_names(key, [str(item) for item in range(slots)])
    return str(slot) in ranked[:size]


class ReserveShare:
    """This daemon's share of the reserve of one target until it restarts.

    A share allows one request in flight at first. It grows with the answers
    to its own requests only, so that all shares and the gate together never
    assume more growth than the target's answers have earned.

    Attributes:
        boot_id: Boot id of the target.
        is_holder: Whether this daemon's slot holds a share.
    """

    __slots__ = (
        "_answers_per_step",
        "_dispatched",
        "_finished",
        "_has_inherited",
        "_inherited_until",
        "_last_number",
        "_undispatched",
        "boot_id",
        "is_holder",
    )

    def __init__(
        self,
        *,
        boot_id: str,
        is_holder: bool,
        answers_per_step: int,
        inherited_until: float,
    ) -> None:
        """Counts requests of the slot's previous daemon as in flight.

        Args:
            boot_id: Boot id of the target.
            is_holder: Whether this daemon's slot holds a share.
            answers_per_step: Finished answers that raise the limit by one.
            inherited_until: Monotonic seconds at which the requests of the
                slot's previous daemon must have ended.
        """
        self.boot_id = boot_id
        self.is_holder = is_holder
        self._finished = 0
        self._last_number = 0
        self._undispatched: dict[int, float] = {}
        self._dispatched: set[int] = set()
        self._answers_per_step = answers_per_step
        self._has_inherited = True
        self._inherited_until = inherited_until

    @property
    def limit(self) -> int:
        """Maximum requests in flight under this share."""
        if not self.is_holder:
            return 0
        return 1 + self._finished // self._answers_per_step

    def take(
        self, *, target_id: str, daemon: str, now: float
    ) -> gates.Permit | None:
        """Takes a permit, if the share allows one more request.

        A permit that wasn't used by its dispatch deadline is free again.
        """
        if self._has_inherited and now < self._inherited_until:
            return None
        for number in [
            x for x, end in self._undispatched.items() if now >= end
        ]:
            del self._undispatched[number]
        if len(self._undispatched) + len(self._dispatched) >= self.limit:
            return None
        self._last_number += 1
        dispatch_by = now + gates.DISPATCH_TIMEOUT_S
        self._undispatched[self._last_number] = dispatch_by
        return gates.Permit(
            target_id=target_id,
            boot_id=self.boot_id,
            source=gates.Source.RESERVE,
            gate=daemon,
            number=self._last_number,
            fencing=0,
            dispatch_by=dispatch_by,
        )

    def start_attempt(self, permit: gates.Permit) -> bool:
        """Counts an attempt as in flight; False if the permit has expired."""
        if self._undispatched.pop(permit.number, None) is None:
            return False
        self._dispatched.add(permit.number)
        return True

    def release(self, permit: gates.Permit, *, answered: bool) -> None:
        """Releases a permit; a repeated release has no effect.

        Args:
            permit: The permit.
            answered: Whether a complete answer came, which raises the limit.
        """
        self._undispatched.pop(permit.number, None)
        if permit.number in self._dispatched:
            self._dispatched.remove(permit.number)
            if answered:
                self._finished += 1

    def record_idle(self) -> None:
        """Records that no request of the slot's previous daemon runs."""
        self._has_inherited = False


class ReserveTable:
    """This daemon's shares of the reserves of all targets."""

    __slots__ = (
        "_call_limit_ms",
        "_instance_id",
        "_shares",
        "_slot",
        "_slots",
        "_started_at",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        slot: int,
        slots: int,
        started_at: float,
        call_limit_ms: int = DEFAULT_MAX_REQUEST_MS,
    ) -> None:
        """Starts without shares.

        Args:
            instance_id: Id of this daemon.
            slot: Its daemon slot.
            slots: Number of daemon slots of the region.
            started_at: Monotonic seconds at which this daemon started.
            call_limit_ms: Maximum duration of any request.
        """
        self._instance_id = instance_id
        self._slot = slot
        self._slots = slots
        self._started_at = started_at
        self._call_limit_ms = call_limit_ms
        self._shares: dict[str, ReserveShare] = {}

    def take(self, target: targets.Target, now: float) -> gates.Permit | None:
        """Takes a permit of this daemon's share, if one is free."""
        share = self._ensure_share(target)
        if share is None:
            return None
        return share.take(
            target_id=target.id, daemon=self._instance_id, now=now
        )

    def start_attempt(self, permit: gates.Permit) -> bool:
        """Counts an attempt as in flight; False if the permit isn't valid."""
        share = self._shares.get(permit.target_id)
        if share is None or share.boot_id != permit.boot_id:
            return False
        return share.start_attempt(permit)

    def release(self, permit: gates.Permit, *, answered: bool) -> None:
        """Releases a permit of this daemon's share."""
        share = self._shares.get(permit.target_id)
        if share is not None and share.boot_id == permit.boot_id:
            share.release(permit, answered=answered)

    def record_load(
        self, target: targets.Target, record: targets.LoadRecord
    ) -> None:
        """Checks a load report for whether the target is idle.

        A daemon that starts in a slot doesn't know whether a request of the
        slot's previous daemon still runs. A report from after its own start
        that shows nothing in flight proves that none does.
        """
        share = self._ensure_share(target)
        if share is None or share.boot_id != record.boot_id:
            return
        if record.in_flight == 0 and record.measured_at >= self._started_at:
            share.record_idle()

    def remove_target(self, target_id: str) -> None:
        """Drops the share of a target that is gone."""
        self._shares.pop(target_id, None)

    def _ensure_share(self, target: targets.Target) -> ReserveShare | None:
        """Returns the share for a cold target with its current boot id."""
        boot_id = target.boot_id
        if target.cold_start is None or not boot_id:
            return None
        known = self._shares.get(target.id)
        if known is not None and known.boot_id == boot_id:
            return known
        share = ReserveShare(
            boot_id=boot_id,
            is_holder=holds_share(
                target_id=target.id,
                boot_id=boot_id,
                slot=self._slot,
                slots=self._slots,
                size=cold.count_reserve(target.cold_start),
            ),
            answers_per_step=target.cold_start.answers_per_step,
            inherited_until=self._started_at
            + self._call_limit_ms / 1000
            + gates.PERMIT_EXPIRY_MARGIN_S,
        )
        self._shares[target.id] = share
        return share
