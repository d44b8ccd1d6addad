"""Requests that crash the targets that run them.

A request is known by the fingerprint of its team, its target name and its
body, so that a resend through any daemon is the same request. When a target
dies, every request in flight there becomes a suspect. A suspect runs again
only as the one suspect at its target (with a permit of its own kind), so a
second death convicts it alone. A suspect that gets past the position at which
the target died is cleared.

Records merge by union, so that batches between daemons may be lost, doubled
or reordered.
"""

from collections import abc
import enum

import msgspec
import xxhash

_DEATHS_TO_QUARANTINE = 2
_SUSPICION_S = 120.0
_QUARANTINE_S = 1800.0
_MOST_RECORDS = 4096
# Trimming below the bound keeps the cost of each new record constant.
_RECORDS_AFTER_TRIM = 3072


class Verdict(enum.IntEnum):
    """What may be done with a request."""

    CLEAR = 0
    ALONE = 1
    QUARANTINED = 2


class Running(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was in flight at a target that died.

    Attributes:
        fingerprint: 64-bit fingerprint of the request.
        position: Events received from the target before it died.
    """

    fingerprint: int
    position: int


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of one suspect, as daemons exchange it.

    Attributes:
        fingerprint: 64-bit fingerprint of the request.
        boots: Boot ids of the targets that died with it in flight.
        position: Most events received before one of them died.
        cleared: Whether it has since got past that position.
        age_ms: Time since the last death or clearing.
    """

    fingerprint: int
    boots: list[str]
    position: int
    cleared: bool
    age_ms: int


class _Suspect:
    """State of one suspect."""

    __slots__ = ("boots", "changed_at", "cleared", "position")

    def __init__(self, *, now: float) -> None:
        self.boots: set[str] = set()
        self.position = 0
        self.cleared = False
        self.changed_at = now


def compute_fingerprint(*, team: str, name: str, body: bytes) -> int:
    """Returns the 64-bit fingerprint of a request.

    Args:
        team: Team that sent it.
        name: Model or service that it is for.
        body: Body as it goes to the target.
    """
    digest = xxhash.xxh3_64(team.encode())
    digest.update(b"\0")
    digest.update(name.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.intdigest()


class Suspects:
    """Suspects known to one daemon, from its own calls and from peers."""

    __slots__ = ("_suspects",)

    def __init__(self) -> None:
        """Starts with no suspects."""
        self._suspects: dict[int, _Suspect] = {}

    def check(self, fingerprint: int, *, now: float) -> Verdict:
        """Returns what may be done with a request now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or _is_expired(suspect, now):
            return Verdict.CLEAR
        if len(suspect.boots) >= _DEATHS_TO_QUARANTINE:
            return Verdict.QUARANTINED
        return Verdict.CLEAR if suspect.cleared else Verdict.ALONE

    def record_death(
        self, boot_id: str, running: abc.Iterable[Running], *, now: float
    ) -> None:
        """Notes that a target died and what this daemon had in flight there.

        Where one of the requests was a suspect already, it alone is held to
        have crashed the target, since suspects never run beside each other;
        the others stay free of suspicion.

        Args:
            boot_id: Boot id of the target that died.
            running: Requests of this daemon in flight there.
            now: Monotonic seconds.
        """
        items = list(running)
        accused = [
            item
            for item in items
            if self.check(item.fingerprint, now=now) is Verdict.ALONE
        ]
        for item in accused or items:
            suspect = self._find(item.fingerprint, now)
            suspect.boots.add(boot_id)
            suspect.position = max(suspect.position, item.position)
            suspect.cleared = False
            suspect.changed_at = now
        self._trim(now)

    def record_progress(
        self, fingerprint: int, position: int, *, now: float
    ) -> bool:
        """Clears a suspect once it has got past where the target died.

        Args:
            fingerprint: The request.
            position: Events received in this run, or a number above all
                positions once the answer is whole.
            now: Monotonic seconds.

        Returns:
            Whether this cleared it.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.cleared:
            return False
        if len(suspect.boots) >= _DEATHS_TO_QUARANTINE:
            return False
        if position <= suspect.position:
            return False
        suspect.cleared = True
        suspect.changed_at = now
        return True

    def export(self, *, changed_since: float, now: float) -> list[Record]:
        """Returns the records changed at or after a moment, for the peers."""
        return [
            Record(
                fingerprint=fingerprint,
                boots=sorted(suspect.boots),
                position=suspect.position,
                cleared=suspect.cleared,
                age_ms=int((now - suspect.changed_at) * 1000.0),
            )
            for fingerprint, suspect in self._suspects.items()
            if suspect.changed_at >= changed_since
            and not _is_expired(suspect, now)
        ]

    def merge(self, records: abc.Iterable[Record], *, now: float) -> int:
        """Takes in records of a peer. Returns how many told something new."""
        news = 0
        for record in records:
            news += self._merge_one(record, now)
        self._trim(now)
        return news

    def __len__(self) -> int:
        """Returns how many records are held."""
        return len(self._suspects)

    def _merge_one(self, record: Record, now: float) -> bool:
        suspect = self._find(record.fingerprint, now)
        new_boots = set(record.boots) - suspect.boots
        known_boots = suspect.boots - set(record.boots)
        clears = record.cleared and not suspect.cleared and not known_boots
        if not new_boots and not clears:
            return False
        suspect.boots |= new_boots
        suspect.position = max(suspect.position, record.position)
        # A clearing holds only against the deaths that its daemon knew of.
        suspect.cleared = record.cleared and not known_boots
        suspect.changed_at = now
        return True

    def _find(self, fingerprint: int, now: float) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or _is_expired(suspect, now):
            suspect = _Suspect(now=now)
            self._suspects[fingerprint] = suspect
        return suspect

    def _trim(self, now: float) -> None:
        """Drops expired records, and the oldest past the bound on memory."""
        if len(self._suspects) <= _MOST_RECORDS:
            return
        alive = [
            (suspect.changed_at, fingerprint)
            for fingerprint, suspect in self._suspects.items()
            if not _is_expired(suspect, now)
        ]
        alive.sort(reverse=True)
        kept = {fingerprint for _, fingerprint in alive[:_RECORDS_AFTER_TRIM]}
        self._suspects = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects.items()
            if fingerprint in kept
        }


def _is_expired(suspect: _Suspect, now: float) -> bool:
    quarantined = len(suspect.boots) >= _DEATHS_TO_QUARANTINE
    lifetime = _QUARANTINE_S if quarantined else _SUSPICION_S
    return now - suspect.changed_at >= lifetime
