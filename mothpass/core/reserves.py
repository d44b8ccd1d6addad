"""The reserve of cold targets: calls that need no gate and no store.

A part of what a cold target bears is never a gate's. It belongs to daemon
slots, one call at a time each, found by hashing the start of the target over
the slots of the region. The settings alone decide, so that no two daemons
can think that they hold the same part, however their views differ.
"""

from mothpass.core import cold
from mothpass.core import gates
from mothpass.core import preference
from mothpass.core import targets

DEFAULT_CALL_LIMIT_MS = 600_000


def holds_reserve(
    *, target_id: str, boot_id: str, slot: int, slots: int, count: int
) -> bool:
    """Tells whether a slot holds a part of a target's reserve.

    Args:
        target_id: The target.
        boot_id: Its start.
        slot: Slot of the daemon.
        slots: Slots of the region.
        count: Parts of the reserve.
    """
    key = f"{target_id} {boot_id}".encode()
    ranked = preference.rank_names(key, [str(item) for item in range(slots)])
    return str(slot) in ranked[:count]


class Reserve:
    """This daemon's part of the reserve of one start of one target.

    Attributes:
        boot_id: Start of the target.
        held: Whether this daemon's slot holds a part.
    """

    __slots__ = (
        "_dispatch_by",
        "_in_use",
        "_last_number",
        "_started",
        "_unknown",
        "_unknown_until",
        "boot_id",
        "held",
    )

    def __init__(
        self, *, boot_id: str, held: bool, unknown_until: float
    ) -> None:
        """Counts a call of the slot's last daemon as in flight.

        Args:
            boot_id: Start of the target.
            held: Whether this daemon's slot holds a part.
            unknown_until: Monotonic seconds at which a call of the daemon
                that had the slot before has surely ended.
        """
        self.boot_id = boot_id
        self.held = held
        self._in_use = False
        self._started = False
        self._last_number = 0
        self._dispatch_by = 0.0
        self._unknown = True
        self._unknown_until = unknown_until

    def take(
        self, *, target_id: str, daemon: str, now: float
    ) -> gates.Permit | None:
        """Takes the permit, if this slot has one and it isn't out.

        A permit that was taken but whose call had not started by its
        deadline is free again.
        """
        if not self.held or (self._unknown and now < self._unknown_until):
            return None
        if self._in_use and (self._started or now < self._dispatch_by):
            return None
        self._in_use = True
        self._started = False
        self._last_number += 1
        self._dispatch_by = now + gates.DISPATCH_WINDOW_S
        return gates.Permit(
            target_id=target_id,
            boot_id=self.boot_id,
            source=gates.Source.RESERVE,
            gate=daemon,
            number=self._last_number,
            fencing=0,
            dispatch_by=self._dispatch_by,
        )

    def start(self, permit: gates.Permit) -> bool:
        """Notes that the call starts; False where the permit isn't out."""
        if not self._in_use or permit.number != self._last_number:
            return False
        self._started = True
        return True

    def release(self, permit: gates.Permit) -> None:
        """Takes the permit back; a doubled or old release does nothing."""
        if permit.number == self._last_number:
            self._in_use = False
            self._started = False

    def note_idle(self) -> None:
        """Learns that no call of the slot's last daemon still runs."""
        self._unknown = False


class ReserveTable:
    """This daemon's parts of the reserves of all targets."""

    __slots__ = (
        "_call_limit_ms",
        "_instance_id",
        "_reserves",
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
        call_limit_ms: int = DEFAULT_CALL_LIMIT_MS,
    ) -> None:
        """Holds nothing until a target's start is known.

        Args:
            instance_id: This daemon.
            slot: Its slot.
            slots: Slots of the region.
            started_at: Monotonic seconds at which this daemon started.
            call_limit_ms: Most time that any call may take.
        """
        self._instance_id = instance_id
        self._slot = slot
        self._slots = slots
        self._started_at = started_at
        self._call_limit_ms = call_limit_ms
        self._reserves: dict[str, Reserve] = {}

    def take(self, target: targets.Target, now: float) -> gates.Permit | None:
        """Takes this daemon's permit for a cold target, if it is free."""
        reserve = self._find(target)
        if reserve is None:
            return None
        return reserve.take(
            target_id=target.id, daemon=self._instance_id, now=now
        )

    def start(self, permit: gates.Permit) -> bool:
        """Notes that the call of a permit starts."""
        reserve = self._reserves.get(permit.target_id)
        if reserve is None or reserve.boot_id != permit.boot_id:
            return False
        return reserve.start(permit)

    def release(self, permit: gates.Permit) -> None:
        """Takes a permit back."""
        reserve = self._reserves.get(permit.target_id)
        if reserve is not None and reserve.boot_id == permit.boot_id:
            reserve.release(permit)

    def record_load(
        self, target: targets.Target, record: targets.LoadRecord
    ) -> None:
        """Learns from a report that a target is idle.

        A daemon that starts anew in a slot doesn't know whether a call of
        the slot's last daemon still runs; a report from after its own start
        that shows nothing in flight tells that none does.
        """
        reserve = self._find(target)
        if reserve is None or reserve.boot_id != record.boot_id:
            return
        if record.in_flight == 0 and record.measured_at >= self._started_at:
            reserve.note_idle()

    def forget(self, target_id: str) -> None:
        """Drops what was held for a target that is gone."""
        self._reserves.pop(target_id, None)

    def _find(self, target: targets.Target) -> Reserve | None:
        """Returns the part for the present start of a target."""
        boot_id = target.boot_id
        if target.cold_start is None or not boot_id:
            return None
        known = self._reserves.get(target.id)
        if known is not None and known.boot_id == boot_id:
            return known
        reserve = Reserve(
            boot_id=boot_id,
            held=holds_reserve(
                target_id=target.id,
                boot_id=boot_id,
                slot=self._slot,
                slots=self._slots,
                count=cold.count_reserve(target.cold_start),
            ),
            unknown_until=self._started_at
            + self._call_limit_ms / 1000
            + gates.HOLD_MARGIN_S,
        )
        self._reserves[target.id] = reserve
        return reserve
