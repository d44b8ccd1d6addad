"""Keeps the gates of one daemon, under the partition leases that it holds."""

from collections import abc

from mothpass.core import catalogue
from mothpass.core import cold
from mothpass.core import gates
from mothpass.core import leases
from mothpass.core import preference
from mothpass.core import targets
from mothpass.core import trials

PARTITIONS = 16
# Daemons from which a permit for one target is requested, best one first.
MAX_GATE_CANDIDATES = 2


def find_partition(target_id: str) -> int:
    """Returns the partition of the region's gates that a target belongs to."""
    return preference.hash_name(target_id) % PARTITIONS


def rank_daemons(partition: int, daemons: abc.Iterable[str]) -> list[str]:
    """Ranks the daemons as candidates for a partition's lease, best first."""
    return preference.rank_names(f"partition {partition}".encode(), daemons)


class _TargetBoot:
    """A target since its last start, as load reports show it.

    Attributes:
        record: The newest load report.
        previous_seen_until: Monotonic seconds of the newest report with the
            previous boot id, None if no other boot id was seen.
    """

    __slots__ = ("previous_seen_until", "record")

    def __init__(self, *, record: targets.LoadRecord) -> None:
        self.record = record
        self.previous_seen_until: float | None = None


class GateTable:
    """Grants permits for targets whose partitions this daemon holds.

    Attributes:
        leases: Leases by partition; a driver runs their store calls.
    """

    __slots__ = (
        "_boots",
        "_call_limit_ms",
        "_candidate_partitions",
        "_daemons",
        "_find_start",
        "_gates",
        "_instance_id",
        "_trials",
        "leases",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        find_start: abc.Callable[[str], catalogue.ColdStart | None],
        call_limit_ms: int,
    ) -> None:
        """Starts without leases.

        Args:
            instance_id: Id of this daemon.
            find_start: Returns the cold start settings of a target by its
                id, None for one that is unknown or serves no model.
            call_limit_ms: Maximum duration of any request.
        """
        self.leases = {
            number: leases.Lease(partition=number, daemon=instance_id)
            for number in range(PARTITIONS)
        }
        self._candidate_partitions: frozenset[int] = frozenset()
        self._daemons: list[str] = []
        self._instance_id = instance_id
        self._find_start = find_start
        self._call_limit_ms = call_limit_ms
        self._gates: dict[str, gates.Gate] = {}
        self._boots: dict[str, _TargetBoot] = {}
        self._trials = trials.TrialTable()

    def plan(
        self, daemons: abc.Iterable[str], *, now: float
    ) -> list[tuple[leases.Lease, leases.Read | leases.Take]]:
        """Returns the store calls that are due, each with its lease.

        Args:
            daemons: Ids of the region's live daemons.
            now: Monotonic seconds.
        """
        self._update_candidacy(list(daemons))
        due: list[tuple[leases.Lease, leases.Read | leases.Take]] = []
        for number, lease in self.leases.items():
            candidate = number in self._candidate_partitions
            step = lease.plan(candidate=candidate, now=now)
            if step is not None:
                due.append((lease, step))
        return due

    def _update_candidacy(self, daemons: list[str]) -> None:
        """Ranks the daemons again if they have changed."""
        if daemons == self._daemons:
            return
        self._daemons = daemons
        self._candidate_partitions = frozenset(
            number
            for number in self.leases
            if rank_daemons(number, daemons)[:1] == [self._instance_id]
        )

    def record_load(self, record: targets.LoadRecord) -> None:
        """Records a load report, received from a target or from a peer."""
        target_id = record.target_id
        known = self._boots.get(target_id)
        if known is None:
            self._boots[target_id] = _TargetBoot(record=record)
        elif record.measured_at < known.record.measured_at:
            return
        else:
            if record.boot_id != known.record.boot_id:
                known.previous_seen_until = known.record.measured_at
                self._gates.pop(target_id, None)
            known.record = record
        gate = self._gates.get(target_id)
        if gate is not None:
            gate.record_load(record.in_flight, measured_at=record.measured_at)

    def grant(
        self, request: gates.GrantRequest, *, now: float
    ) -> gates.Granted | gates.Denied:
        """Grants or denies a permit."""
        lease = self.leases[find_partition(request.target_id)]
        if not lease.is_held(now):
            return gates.Denied(reason=gates.Reason.NOT_HOLDER)
        if request.alone:
            return self._trials.grant(request, fencing=lease.fencing, now=now)
        gate = self._ensure_gate(request.target_id, lease)
        if gate is None:
            return gates.Denied(reason=gates.Reason.OTHER_BOOT)
        return gate.grant(request, lease_ends_at=lease.ends_at, now=now)

    def release(self, release: gates.Release, *, now: float) -> None:
        """Records that the request of a permit has ended or won't be sent."""
        if release.source is gates.Source.TRIAL:
            self._trials.release(release)
            return
        lease = self.leases[find_partition(release.target_id)]
        if not lease.is_held(now):
            return
        gate = self._ensure_gate(release.target_id, lease)
        if gate is not None:
            gate.release(release)

    def expire(self, now: float) -> None:
        """Drops expired permits, and gates whose lease has ended."""
        self._trials.expire(now)
        for target_id in list(self._gates):
            lease = self.leases[find_partition(target_id)]
            gate = self._gates[target_id]
            if not lease.is_held(now) or gate.fencing != lease.fencing:
                del self._gates[target_id]
            else:
                gate.expire(now)

    def remove_targets(
        self, target_ids: abc.Iterable[str], *, now: float
    ) -> None:
        """Drops the state of targets that are gone.

        A gate stays while one of its permits may still be in use, as the
        target may return to the membership list before that.
        """
        for target_id in target_ids:
            gate = self._gates.get(target_id)
            if gate is not None and gate.count_in_flight(now):
                continue
            self._gates.pop(target_id, None)
            self._boots.pop(target_id, None)

    def find_gate(self, target_id: str) -> gates.Gate | None:
        """Returns the gate that this daemon keeps for a target, if any."""
        return self._gates.get(target_id)

    def _ensure_gate(
        self, target_id: str, lease: leases.Lease
    ) -> gates.Gate | None:
        """Returns the gate of a target's current start, new if need be."""
        boot = self._boots.get(target_id)
        cold_start = self._find_start(target_id)
        if boot is None or cold_start is None:
            return None
        gate = self._gates.get(target_id)
        if gate is not None and gate.fencing == lease.fencing:
            return gate
        previous_until = boot.previous_seen_until
        gate = gates.Gate(
            target_id=target_id,
            boot_id=boot.record.boot_id,
            fencing=lease.fencing,
            ramp=cold.Ramp(start=cold_start),
            taken_at=lease.taken_at,
            call_limit_ms=self._call_limit_ms,
            is_first=previous_until is not None
            and previous_until >= lease.taken_at,
        )
        gate.record_load(
            boot.record.in_flight, measured_at=boot.record.measured_at
        )
        self._gates[target_id] = gate
        return gate
