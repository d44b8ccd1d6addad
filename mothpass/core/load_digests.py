"""Encodes load reports as compact digests that daemons exchange.

Each daemon reads the load reports of some targets. It names them once in a
roster and then sends three bytes per target and tick, in the order of the
roster. The newest digest of an origin wins. One that refers to an unknown
roster is kept for relaying and the roster is requested.
"""

from collections import abc
import math
import struct

import msgspec

from mothpass.core import targets
from mothpass.ports import targets as targets_port

_PHASES = (
    targets_port.Phase.COLD,
    targets_port.Phase.WARM,
    targets_port.Phase.LEAVING,
)
_IN_FLIGHT_BITS = 14
_MAX_IN_FLIGHT = (1 << _IN_FLIGHT_BITS) - 1
_ENTRY = struct.Struct(">HB")
_AGE_UNIT_MS = 16
_MAX_AGE_UNITS = 255
_ORIGIN_TIMEOUT_S = 30.0


class Roster(msgspec.Struct, frozen=True, kw_only=True):
    """Names the targets of an origin's digests, in order.

    Attributes:
        origin: Id of the daemon that reads these targets.
        version: Increases with each change of the list.
        target_ids: Instance ids of the targets.
        boot_ids: Boot id of each target.
    """

    origin: str
    version: int
    target_ids: list[str]
    boot_ids: list[str]


class LoadDigest(msgspec.Struct, frozen=True, kw_only=True):
    """Loads of an origin's targets at one tick.

    Attributes:
        origin: Id of the daemon that read the load reports.
        roster_version: Version of the roster that gives the order.
        sequence: Increases with each digest of the origin.
        age_ms: Age when the sender sent it, time at relays included.
        loads: Three bytes per target, as encoded by ``pack_loads``.
    """

    origin: str
    roster_version: int
    sequence: int
    age_ms: int
    loads: bytes


class _Origin:
    """Roster and newest digest of one origin."""

    __slots__ = ("digest", "is_roster_missing", "received_at", "roster")

    def __init__(self) -> None:
        self.roster: Roster | None = None
        self.digest: LoadDigest | None = None
        self.received_at = 0.0
        self.is_roster_missing = False


def pack_loads(
    records: abc.Iterable[targets.LoadRecord], *, now: float
) -> bytes:
    """Packs phase, requests and age of each record in three bytes.

    The top two bits are the phase, the next 14 the sum of running and queued
    requests, capped at 16,383, and the last byte the age of the figures at
    ``now`` in units of 16 ms, rounded up. The age is capped at 4,080 ms; the
    receiver drops a record at the cap, as it may be of any age.
    """
    return b"".join(_pack_record(record, now) for record in records)


def _pack_record(record: targets.LoadRecord, now: float) -> bytes:
    in_flight = min(_MAX_IN_FLIGHT, record.running + record.queued)
    phase = _PHASES.index(record.phase)
    age_ms = max(0.0, (now - record.measured_at) * 1000.0)
    age = min(_MAX_AGE_UNITS, math.ceil(age_ms / _AGE_UNIT_MS))
    return _ENTRY.pack((phase << _IN_FLIGHT_BITS) | in_flight, age)


def unpack_loads(
    roster: Roster, loads: bytes, *, sent_at: float
) -> list[targets.LoadRecord]:
    """Returns the records of a digest, without those that are too old.

    Args:
        roster: Roster that the digest refers to.
        loads: Result of ``pack_loads``.
        sent_at: Monotonic seconds at which the origin packed the loads.

    Raises:
        ValueError: The digest doesn't match the roster.
    """
    count = len(roster.target_ids)
    if len(loads) != _ENTRY.size * count:
        raise ValueError(f"{len(loads)} bytes in a digest for {count} targets")
    records = []
    for target_id, boot_id, (value, age) in zip(
        roster.target_ids,
        roster.boot_ids,
        _ENTRY.iter_unpack(loads),
        strict=True,
    ):
        if age >= _MAX_AGE_UNITS:
            continue
        phase = value >> _IN_FLIGHT_BITS
        if phase >= len(_PHASES):
            raise ValueError(f"digest has unknown phase number {phase}")
        records.append(
            targets.LoadRecord(
                target_id=target_id,
                boot_id=boot_id,
                phase=_PHASES[phase],
                running=value & _MAX_IN_FLIGHT,
                queued=0,
                received_at=sent_at,
                age_ms=age * _AGE_UNIT_MS,
            )
        )
    return records


class LoadDigestTable:
    """Rosters and newest digests of all origins known to one daemon.

    Attributes:
        phases_changed_at: Monotonic seconds of the last change of the boot
            ids or phases of the targets that this daemon reads.
    """

    __slots__ = (
        "_origins",
        "_own_id",
        "_own_keys",
        "_own_records",
        "_sequence",
        "phases_changed_at",
    )

    def __init__(self, *, own_id: str, first_sequence: int) -> None:
        """Starts empty.

        Args:
            own_id: Id of this daemon.
            first_sequence: Number above all that an earlier process with the
                same id has used, such as milliseconds since the epoch.
        """
        self._own_id = own_id
        self.phases_changed_at = float("-inf")
        self._own_records: list[targets.LoadRecord] | None = None
        self._own_keys: list[tuple[str, str]] = []
        self._sequence = first_sequence
        self._origins: dict[str, _Origin] = {}

    def set_own_records(
        self, records: list[targets.LoadRecord], *, now: float
    ) -> None:
        """Builds this daemon's digest from the load reports it has read."""
        ordered = sorted(records, key=lambda item: item.target_id)
        if ordered == self._own_records:
            return
        if _list_phases(ordered) != _list_phases(self._own_records or []):
            self.phases_changed_at = now
        self._own_records = ordered
        keys = [(item.target_id, item.boot_id) for item in ordered]
        origin = self._origins.setdefault(self._own_id, _Origin())
        if origin.roster is None or keys != self._own_keys:
            self._own_keys = keys
            origin.roster = Roster(
                origin=self._own_id,
                version=self._sequence,
                target_ids=[target_id for target_id, _ in keys],
                boot_ids=[boot_id for _, boot_id in keys],
            )
        self._sequence += 1
        origin.digest = LoadDigest(
            origin=self._own_id,
            roster_version=origin.roster.version,
            sequence=self._sequence,
            age_ms=0,
            loads=pack_loads(ordered, now=now),
        )
        origin.received_at = now

    def accept_roster(self, roster: Roster) -> None:
        """Records a roster of another daemon unless it is outdated."""
        if roster.origin == self._own_id:
            return
        if len(roster.target_ids) != len(roster.boot_ids):
            return
        origin = self._origins.setdefault(roster.origin, _Origin())
        if origin.roster is None or roster.version > origin.roster.version:
            origin.roster = roster
            origin.is_roster_missing = False

    def accept_digest(
        self, digest: LoadDigest, *, now: float
    ) -> list[targets.LoadRecord]:
        """Records a digest of another daemon unless it is outdated.

        Returns:
            The records of the digest if it is the newest of its origin and
            its roster is known, otherwise none. A missing roster is then
            listed by ``list_missing_rosters``.
        """
        if digest.origin == self._own_id:
            return []
        origin = self._origins.setdefault(digest.origin, _Origin())
        newest = origin.digest
        if newest is not None and digest.sequence <= newest.sequence:
            return []
        origin.digest = digest
        origin.received_at = now
        roster = origin.roster
        if roster is None or roster.version != digest.roster_version:
            origin.is_roster_missing = True
            return []
        sent_at = now - digest.age_ms / 1000.0
        try:
            return unpack_loads(roster, digest.loads, sent_at=sent_at)
        except ValueError:
            origin.is_roster_missing = True
            return []

    def list_missing_rosters(self) -> list[str]:
        """Returns the origins whose roster must be requested."""
        return [
            name
            for name, origin in self._origins.items()
            if origin.is_roster_missing
        ]

    def list_rosters(self, origins: abc.Iterable[str]) -> list[Roster]:
        """Returns the known rosters of the origins."""
        known = (self._origins.get(name) for name in origins)
        return [
            origin.roster
            for origin in known
            if origin is not None and origin.roster is not None
        ]

    def list_digests(
        self, origins: abc.Iterable[str], *, received_since: float, now: float
    ) -> list[LoadDigest]:
        """Returns the newest digests of the origins, to send or relay.

        Args:
            origins: Ids of the daemons that read the load reports.
            received_since: Monotonic seconds; digests received earlier are
                left out.
            now: Monotonic seconds; the time since receipt adds to the age.
        """
        digests = []
        for name in origins:
            origin = self._origins.get(name)
            if origin is None or origin.digest is None:
                continue
            if origin.received_at < received_since:
                continue
            elapsed_ms = int((now - origin.received_at) * 1000.0)
            age_ms = origin.digest.age_ms + elapsed_ms
            digests.append(
                msgspec.structs.replace(origin.digest, age_ms=age_ms)
            )
        return digests

    def expire_origins(self, *, now: float) -> None:
        """Drops origins without a digest for ``_ORIGIN_TIMEOUT_S``."""
        self._origins = {
            name: origin
            for name, origin in self._origins.items()
            if name == self._own_id
            or now - origin.received_at < _ORIGIN_TIMEOUT_S
        }


def _list_phases(
    records: abc.Iterable[targets.LoadRecord],
) -> list[tuple[str, str, targets_port.Phase]]:
    return [(item.target_id, item.boot_id, item.phase) for item in records]
