"""All gates of one daemon, under the leases that it holds."""

from collections import abc

from mothpass.core import catalogue
from mothpass.core import cold
from mothpass.core import gates
from mothpass.core import leases
from mothpass.core import preference
from mothpass.core import targets
from mothpass.core import trials

PARTITIONS = 16
GATES_ASKED = 2


def find_partition(target_id: str) -> int:
    """Returns the partition of the region's gates that a target is in."""
    return preference.hash_name(target_id) % PARTITIONS


def rank_daemons(partition: int, daemons: abc.Iterable[str]) -> list[str]:
    """Ranks the daemons that are to hold a partition, best first."""
    return preference.rank_names(f"partition {partition}".encode(), daemons)


class _Sighting:
    """When the present start of a target was seen.

    Attributes:
        record: The newest report.
        earlier_until: Moment of the newest report of the start before,
            None where no earlier start was seen.
    """

    __slots__ = ("earlier_until", "record")

    def __init__(self, *, record: targets.LoadRecord) -> None:
        self.record = record
        self.earlier_until: float | None = None


class GateTable:
    """Grants permits for targets whose partitions this daemon holds.

    Attributes:
        leases: Leases by partition; a driver runs their store calls.
    """

    __slots__ = (
        "_call_limit_ms",
        "_candidate_for",
        "_daemons",
        "_find_start",
        "_gates",
        "_instance_id",
        "_sightings",
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
        """Holds no lease.

        Args:
            instance_id: This daemon.
            find_start: Gives the cold start of a target by its id, None for
                one that is unknown or serves no model.
            call_limit_ms: Most time that any call may take.
        """
        self.leases = {
            number: leases.Lease(partition=number, daemon=instance_id)
            for number in range(PARTITIONS)
        }
        self._candidate_for: frozenset[int] = frozenset()
        self._daemons: list[str] = []
        self._instance_id = instance_id
        self._find_start = find_start
        self._call_limit_ms = call_limit_ms
        self._gates: dict[str, gates.Gate] = {}
        self._sightings: dict[str, _Sighting] = {}
        self._trials = trials.TrialTable()

    def plan(
        self, daemons: abc.Iterable[str], *, now: float
    ) -> list[tuple[leases.Lease, leases.Read | leases.Take]]:
        """Returns the store calls that are due, each with its lease."""
        self._follow_daemons(list(daemons))
        due: list[tuple[leases.Lease, leases.Read | leases.Take]] = []
        for number, lease in self.leases.items():
            candidate = number in self._candidate_for
            step = lease.plan(candidate=candidate, now=now)
            if step is not None:
                due.append((lease, step))
        return due

    def _follow_daemons(self, daemons: list[str]) -> None:
        """Ranks the daemons anew, only where they have changed."""
        if daemons == self._daemons:
            return
        self._daemons = daemons
        self._candidate_for = frozenset(
            number
            for number in self.leases
            if rank_daemons(number, daemons)[:1] == [self._instance_id]
        )

    def record_load(self, record: targets.LoadRecord) -> None:
        """Takes a load report in, own ones and those that peers pass on."""
        target_id = record.target_id
        known = self._sightings.get(target_id)
        if known is None:
            self._sightings[target_id] = _Sighting(record=record)
        elif record.measured_at < known.record.measured_at:
            return
        else:
            if record.boot_id != known.record.boot_id:
                known.earlier_until = known.record.measured_at
                self._gates.pop(target_id, None)
            known.record = record
        gate = self._gates.get(target_id)
        if gate is not None:
            gate.record_load(record.in_flight, measured_at=record.measured_at)

    def grant(
        self, request: gates.GrantRequest, *, now: float
    ) -> gates.Granted | gates.Denied:
        """Decides on a request for a permit."""
        lease = self.leases[find_partition(request.target_id)]
        if not lease.is_held(now):
            return gates.Denied(reason=gates.Reason.NOT_HOLDER)
        if request.alone:
            return self._trials.grant(request, fencing=lease.fencing, now=now)
        gate = self._find_gate(request.target_id, lease)
        if gate is None:
            return gates.Denied(reason=gates.Reason.OTHER_BOOT)
        return gate.grant(request, lease_ends_at=lease.ends_at, now=now)

    def release(self, release: gates.Release, *, now: float) -> None:
        """Takes in that the call of a permit has ended."""
        if release.source is gates.Source.TRIAL:
            self._trials.release(release)
            return
        lease = self.leases[find_partition(release.target_id)]
        if not lease.is_held(now):
            return
        gate = self._find_gate(release.target_id, lease)
        if gate is not None:
            gate.release(release)

    def expire(self, now: float) -> None:
        """Drops what has surely ended, and gates whose lease has."""
        self._trials.expire(now)
        for target_id in list(self._gates):
            lease = self.leases[find_partition(target_id)]
            gate = self._gates[target_id]
            if not lease.is_held(now) or gate.fencing != lease.fencing:
                del self._gates[target_id]
            else:
                gate.expire(now)

    def forget(self, target_ids: abc.Iterable[str], *, now: float) -> None:
        """Drops what was kept of targets that are gone.

        A gate stays while one of its permits may still be in use, as the
        target may be back in the membership list before that.
        """
        for target_id in target_ids:
            gate = self._gates.get(target_id)
            if gate is not None and gate.count_in_flight(now):
                continue
            self._gates.pop(target_id, None)
            self._sightings.pop(target_id, None)

    def find_gate(self, target_id: str) -> gates.Gate | None:
        """Returns the gate that this daemon keeps for a target, if any."""
        return self._gates.get(target_id)

    def _find_gate(
        self, target_id: str, lease: leases.Lease
    ) -> gates.Gate | None:
        """Returns the gate of the present start of a target."""
        seen = self._sightings.get(target_id)
        start = self._find_start(target_id)
        if seen is None or start is None:
            return None
        gate = self._gates.get(target_id)
        if gate is not None and gate.fencing == lease.fencing:
            return gate
        earlier = seen.earlier_until
        gate = gates.Gate(
            target_id=target_id,
            boot_id=seen.record.boot_id,
            fencing=lease.fencing,
            ramp=cold.Ramp(start=start),
            taken_at=lease.taken_at,
            call_limit_ms=self._call_limit_ms,
            fresh=earlier is not None and earlier >= lease.taken_at,
        )
        gate.record_load(
            seen.record.in_flight, measured_at=seen.record.measured_at
        )
        self._gates[target_id] = gate
        return gate
