"""Compact load digests that daemons pass to each other.

Each daemon reads the load reports of some targets. It names them once in a
roster and then sends three bytes for each target a tick, in the order of the
roster. The newest digest of an origin wins; one that refers to a roster that
isn't known is kept aside and the roster is asked for.
"""

from collections import abc
import math
import struct

import msgspec

from mothpass.core import targets
from mothpass.ports import targets as target_messages

_PHASES = (
    target_messages.Phase.COLD,
    target_messages.Phase.WARM,
    target_messages.Phase.LEAVING,
)
_CALL_BITS = 14
_MOST_CALLS = (1 << _CALL_BITS) - 1
_ENTRY = struct.Struct(">HB")
_AGE_UNIT_MS = 16
_MOST_AGE_UNITS = 255
_ORIGIN_KEPT_S = 30.0


class Roster(msgspec.Struct, frozen=True, kw_only=True):
    """Names the targets of an origin's digests, in their order.

    Attributes:
        origin: Daemon that reads these targets.
        version: Grows with each change of the list.
        target_ids: Instance ids.
        boot_ids: Boot id of each.
    """

    origin: str
    version: int
    target_ids: list[str]
    boot_ids: list[str]


class LoadDigest(msgspec.Struct, frozen=True, kw_only=True):
    """Loads of an origin's targets at one tick.

    Attributes:
        origin: Daemon that read them.
        roster_version: Roster that gives the order.
        sequence: Grows with each digest of the origin.
        age_ms: Age when it left the sender, relays included.
        loads: Three bytes a target, as ``pack_loads`` makes them.
    """

    origin: str
    roster_version: int
    sequence: int
    age_ms: int
    loads: bytes


class _Origin:
    """What is known of one origin."""

    __slots__ = ("digest", "received_at", "roster", "wanted")

    def __init__(self) -> None:
        self.roster: Roster | None = None
        self.digest: LoadDigest | None = None
        self.received_at = 0.0
        self.wanted = False


def pack_loads(
    records: abc.Iterable[targets.LoadRecord], *, now: float
) -> bytes:
    """Packs phase, calls and age of each record in three bytes.

    The top two bits are the phase, the next 14 running and queued calls
    together, held at 16,383, and the last byte the age of the figures at
    ``now`` in units of 16 ms, rounded up. From 4,080 ms on it is held there,
    and the receiver drops the record: it could be of any age.
    """
    return b"".join(_pack_record(record, now) for record in records)


def _pack_record(record: targets.LoadRecord, now: float) -> bytes:
    calls = min(_MOST_CALLS, record.running + record.queued)
    phase = _PHASES.index(record.phase)
    age_ms = max(0.0, (now - record.measured_at) * 1000.0)
    age = min(_MOST_AGE_UNITS, math.ceil(age_ms / _AGE_UNIT_MS))
    return _ENTRY.pack((phase << _CALL_BITS) | calls, age)


def unpack_loads(
    roster: Roster, loads: bytes, *, sent_at: float
) -> list[targets.LoadRecord]:
    """Returns the records of a digest, but those that are too old.

    Args:
        roster: The roster that the digest refers to.
        loads: What ``pack_loads`` gave.
        sent_at: Monotonic seconds at which the origin packed them.

    Raises:
        ValueError: The digest doesn't fit the roster.
    """
    count = len(roster.target_ids)
    if len(loads) != _ENTRY.size * count:
        raise ValueError(f"{len(loads)} bytes for {count} targets")
    records = []
    for target_id, boot_id, (value, age) in zip(
        roster.target_ids,
        roster.boot_ids,
        _ENTRY.iter_unpack(loads),
        strict=True,
    ):
        if age >= _MOST_AGE_UNITS:
            continue
        phase = value >> _CALL_BITS
        if phase >= len(_PHASES):
            raise ValueError(f"no phase has number {phase}")
        records.append(
            targets.LoadRecord(
                target_id=target_id,
                boot_id=boot_id,
                phase=_PHASES[phase],
                running=value & _MOST_CALLS,
                queued=0,
                received_at=sent_at,
                age_ms=age * _AGE_UNIT_MS,
            )
        )
    return records


class LoadDigestTable:
    """Rosters and newest digests of all origins, as one daemon knows them.

    Attributes:
        phases_changed_at: Monotonic seconds at which a start or a phase of
            the targets that this daemon reads last changed.
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
            first_sequence: Number above all that an earlier process of the
                same id has used, as milliseconds since the epoch.
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
        """Takes what this daemon itself read since the last tick."""
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
        """Takes a roster of another daemon; an older one has no effect."""
        if roster.origin == self._own_id:
            return
        if len(roster.target_ids) != len(roster.boot_ids):
            return
        origin = self._origins.setdefault(roster.origin, _Origin())
        if origin.roster is None or roster.version > origin.roster.version:
            origin.roster = roster
            origin.wanted = False

    def accept_digest(
        self, digest: LoadDigest, *, now: float
    ) -> list[targets.LoadRecord]:
        """Takes a digest of another daemon.

        Returns:
            Its records if it is the newest of its origin and its roster is
            known, else none. A missing roster is then in ``list_wanted``.
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
            origin.wanted = True
            return []
        sent_at = now - digest.age_ms / 1000.0
        try:
            return unpack_loads(roster, digest.loads, sent_at=sent_at)
        except ValueError:
            origin.wanted = True
            return []

    def list_missing_rosters(self) -> list[str]:
        """Returns the origins whose roster this daemon lacks."""
        return [name for name, origin in self._origins.items() if origin.wanted]

    def list_rosters(self, origins: abc.Iterable[str]) -> list[Roster]:
        """Returns the rosters known of these origins."""
        found = (self._origins.get(name) for name in origins)
        return [
            origin.roster
            for origin in found
            if origin is not None and origin.roster is not None
        ]

    def list_digests(
        self, origins: abc.Iterable[str], *, received_since: float, now: float
    ) -> list[LoadDigest]:
        """Returns the newest digests of these origins, for sending on.

        Args:
            origins: Daemons that measured them.
            received_since: Digests received before it are left out.
            now: Monotonic seconds; the time spent here adds to their age.
        """
        chosen = []
        for name in origins:
            origin = self._origins.get(name)
            if origin is None or origin.digest is None:
                continue
            if origin.received_at < received_since:
                continue
            held_ms = int((now - origin.received_at) * 1000.0)
            age_ms = origin.digest.age_ms + held_ms
            chosen.append(msgspec.structs.replace(origin.digest, age_ms=age_ms))
        return chosen

    def expire_origins(self, *, now: float) -> None:
        """Drops origins that have sent nothing for a while."""
        self._origins = {
            name: origin
            for name, origin in self._origins.items()
            if name == self._own_id or now - origin.received_at < _ORIGIN_KEPT_S
        }


def _list_phases(
    records: abc.Iterable[targets.LoadRecord],
) -> list[tuple[str, str, target_messages.Phase]]:
    return [(item.target_id, item.boot_id, item.phase) for item in records]
