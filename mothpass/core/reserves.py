"""The reserve of cold targets: calls that need no gate and no store.

A part of what a cold target bears is never a gate's. It belongs to daemon
slots, one call each at first, found by hashing the start of the target over
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

    A part is one call at first. It grows by the answers that finished under
    this part alone, so that all parts and the gate together never claim more
    growth than the target's answers have earned.

    Attributes:
        boot_id: Start of the target.
        held: Whether this daemon's slot holds a part.
    """

    __slots__ = (
        "_finished",
        "_last_number",
        "_pending",
        "_started",
        "_step",
        "_unknown",
        "_unknown_until",
        "boot_id",
        "held",
    )

    def __init__(
        self,
        *,
        boot_id: str,
        held: bool,
        answers_per_step: int,
        unknown_until: float,
    ) -> None:
        """Counts calls of the slot's last daemon as in flight.

        Args:
            boot_id: Start of the target.
            held: Whether this daemon's slot holds a part.
            answers_per_step: Finished answers that earn one more in flight.
            unknown_until: Monotonic seconds at which the calls of the daemon
                that had the slot before have surely ended.
        """
        self.boot_id = boot_id
        self.held = held
        self._finished = 0
        self._last_number = 0
        self._pending: dict[int, float] = {}
        self._started: set[int] = set()
        self._step = answers_per_step
        self._unknown = True
        self._unknown_until = unknown_until

    @property
    def part(self) -> int:
        """Calls in flight that this part allows."""
        if not self.held:
            return 0
        return 1 + self._finished // self._step

    def take(
        self, *, target_id: str, daemon: str, now: float
    ) -> gates.Permit | None:
        """Takes a permit, if the part allows one more.

        A permit whose call had not started by its deadline is free again.
        """
        if self._unknown and now < self._unknown_until:
            return None
        for number in [x for x, end in self._pending.items() if now >= end]:
            del self._pending[number]
        if len(self._pending) + len(self._started) >= self.part:
            return None
        self._last_number += 1
        dispatch_by = now + gates.DISPATCH_WINDOW_S
        self._pending[self._last_number] = dispatch_by
        return gates.Permit(
            target_id=target_id,
            boot_id=self.boot_id,
            source=gates.Source.RESERVE,
            gate=daemon,
            number=self._last_number,
            fencing=0,
            dispatch_by=dispatch_by,
        )

    def start(self, permit: gates.Permit) -> bool:
        """Notes that the call starts; False where the permit isn't out."""
        if self._pending.pop(permit.number, None) is None:
            return False
        self._started.add(permit.number)
        return True

    def release(self, permit: gates.Permit, *, answered: bool) -> None:
        """Takes a permit back; a doubled release does nothing.

        Args:
            permit: The permit.
            answered: Whether a whole answer came, which earns growth.
        """
        self._pending.pop(permit.number, None)
        if permit.number in self._started:
            self._started.remove(permit.number)
            if answered:
                self._finished += 1

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

    def release(self, permit: gates.Permit, *, answered: bool) -> None:
        """Takes a permit back."""
        reserve = self._reserves.get(permit.target_id)
        if reserve is not None and reserve.boot_id == permit.boot_id:
            reserve.release(permit, answered=answered)

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
            answers_per_step=target.cold_start.answers_per_step,
            unknown_until=self._started_at
            + self._call_limit_ms / 1000
            + gates.HOLD_MARGIN_S,
        )
        self._reserves[target.id] = reserve
        return reserve
