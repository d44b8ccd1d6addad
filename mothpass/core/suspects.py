"""Requests that crash the targets that run them.

A request is known by the fingerprint of its team, its target name and its
body, so that a resend through any daemon is the same request. When a target
dies, every request in flight there becomes a suspect. A suspect is tried once
more by one daemon of the fleet, as the one suspect at its target, so that a
second death convicts it alone. A suspect that gets past the position at which
the target died is forgiven that death.

Which daemon tries a suspect is settled by the records that daemons exchange:
each claim has a number, the higher one wins, and of equal ones that of the
smaller daemon id. A claim is held for a while before the trial, so that every
daemon has heard of it. Records merge by union, so that batches may be lost,
doubled or reordered.
"""

from collections import abc
import enum

import msgspec
import xxhash

_DEATHS_TO_QUARANTINE = 2
_SUSPICION_S = 120.0
# Time for a claim to reach every daemon: three ticks of the exchange.
_HOLD_S = 1.5
# A daemon that has not ended a trial by then is taken to be gone.
_TRIAL_S = 20.0
_QUARANTINE_S = 1800.0
_MOST_RECORDS = 4096
# Trimming below the bound keeps the cost of each new record constant.
_RECORDS_AFTER_TRIM = 3072


class Verdict(enum.IntEnum):
    """What may be done with a request.

    CLEAR: anything. HELD: nothing until a moment, then ask again. ALONE: it
    may run as the one suspect at its target. ELSEWHERE: another daemon tries
    it; refuse it until a moment. QUARANTINED: refuse it.
    """

    CLEAR = 0
    HELD = 1
    ALONE = 2
    ELSEWHERE = 3
    QUARANTINED = 4


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A verdict and how long it holds.

    Attributes:
        verdict: What may be done.
        until: Monotonic seconds up to which HELD, ELSEWHERE and QUARANTINED
            hold unless news comes; 0 for the others.
    """

    verdict: Verdict
    until: float = 0.0


_CLEAR = Decision(verdict=Verdict.CLEAR)


class InFlightRequest(msgspec.Struct, frozen=True, kw_only=True):
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
        forgiven: Those of them that it has since been cleared of.
        position: Most events received before one of them died.
        trial_number: Number of the newest claim to try it.
        trial_by: Daemon that made this claim, "" where it was given back.
        age_ms: Time since that claim.
    """

    fingerprint: int
    boots: list[str]
    forgiven: list[str]
    position: int
    trial_number: int
    trial_by: str
    age_ms: int


class _Suspect:
    """State of one suspect."""

    __slots__ = (
        "boots",
        "changed_at",
        "forgiven",
        "position",
        "trial_at",
        "trial_by",
        "trial_number",
        "trial_runs",
    )

    def __init__(self, *, now: float) -> None:
        self.boots: set[str] = set()
        self.forgiven: set[str] = set()
        self.position = 0
        self.trial_number = 0
        self.trial_by = ""
        self.trial_at = now
        self.trial_runs = False
        self.changed_at = now

    @property
    def deaths(self) -> int:
        """Deaths that count against it."""
        return len(self.boots - self.forgiven)

    def claim_trial(self, daemon_id: str, now: float) -> None:
        """Makes a claim that is newer than all known ones."""
        self.trial_number += 1
        self.trial_by = daemon_id
        self.trial_at = now
        self.trial_runs = False
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


class SuspectTable:
    """Suspects known to one daemon, from its own calls and from peers.

    Attributes:
        changed_at: Monotonic seconds of the newest change of any record.
    """

    __slots__ = ("_own_id", "_suspects", "changed_at")

    def __init__(self, *, own_id: str) -> None:
        """Starts with no suspects.

        Args:
            own_id: Id of this daemon.
        """
        self._own_id = own_id
        self._suspects: dict[int, _Suspect] = {}
        self.changed_at = float("-inf")

    def __len__(self) -> int:
        """Returns how many records are held."""
        return len(self._suspects)

    def check(self, fingerprint: int, *, now: float) -> Decision:
        """Returns what may be done with a request now.

        A suspect that no daemon tries any more is claimed for a trial here.
        A caller that was told HELD or ALONE ends with ``give_back_trial``;
        ALONE is told to one caller at a time.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or _is_expired(suspect, now):
            return _CLEAR
        if suspect.deaths >= _DEATHS_TO_QUARANTINE:
            return Decision(
                verdict=Verdict.QUARANTINED,
                until=suspect.changed_at + _QUARANTINE_S,
            )
        if suspect.deaths == 0:
            return _CLEAR
        trial_ends_at = suspect.trial_at + _TRIAL_S
        if not suspect.trial_by or now >= trial_ends_at:
            self._claim_trial(suspect, self._own_id, now)
        elif suspect.trial_by != self._own_id or suspect.trial_runs:
            return Decision(verdict=Verdict.ELSEWHERE, until=trial_ends_at)
        held_until = suspect.trial_at + _HOLD_S
        if now < held_until:
            return Decision(verdict=Verdict.HELD, until=held_until)
        # The claim is made anew, so that its time counts from the start.
        self._claim_trial(suspect, self._own_id, now)
        suspect.trial_runs = True
        return Decision(verdict=Verdict.ALONE)

    def is_quarantined(self, fingerprint: int, *, now: float) -> bool:
        """Tells whether a request is refused now; claims no trial."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or _is_expired(suspect, now):
            return False
        return suspect.deaths >= _DEATHS_TO_QUARANTINE

    def record_death(
        self,
        boot_id: str,
        running: abc.Iterable[InFlightRequest],
        *,
        now: float,
    ) -> None:
        """Notes that a target died and what this daemon had in flight there.

        Where one of the requests was on trial there, it alone is held to have
        crashed the target, since suspects never run beside each other; the
        others stay free of suspicion.

        Args:
            boot_id: Boot id of the target that died.
            running: Requests of this daemon in flight there.
            now: Monotonic seconds.
        """
        items = list(running)
        accused = [item for item in items if self._count_deaths(item, now) > 0]
        for item in accused or items:
            suspect = self._find(item.fingerprint, now)
            suspect.boots.add(boot_id)
            suspect.position = max(suspect.position, item.position)
            self._claim_trial(suspect, self._own_id, now)
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
        if suspect is None or suspect.deaths != 1:
            return False
        if position <= suspect.position:
            return False
        suspect.forgiven |= suspect.boots
        suspect.changed_at = now
        self.changed_at = now
        return True

    def release_trial(self, fingerprint: int, *, now: float) -> None:
        """Ends a trial of this daemon that showed nothing.

        So that the next resend is tried at once, wherever it arrives.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.trial_by != self._own_id:
            return
        if suspect.deaths == 1:
            self._claim_trial(suspect, "", now)

    def export(self, *, changed_since: float, now: float) -> list[Record]:
        """Returns the records changed at or after a moment, for the peers."""
        return [
            _make_record(fingerprint, suspect, now)
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

    def _count_deaths(self, item: InFlightRequest, now: float) -> int:
        suspect = self._suspects.get(item.fingerprint)
        if suspect is None or _is_expired(suspect, now):
            return 0
        return suspect.deaths

    def _merge_one(self, record: Record, now: float) -> bool:
        suspect = self._find(record.fingerprint, now)
        is_new = not (
            suspect.boots >= set(record.boots)
            and suspect.forgiven >= set(record.forgiven)
        )
        suspect.boots.update(record.boots)
        suspect.forgiven.update(record.forgiven)
        suspect.position = max(suspect.position, record.position)
        if _is_newer_claim(record, suspect):
            suspect.trial_number = record.trial_number
            suspect.trial_by = record.trial_by
            suspect.trial_at = now - record.age_ms / 1000.0
            suspect.trial_runs = False
            is_new = True
        if is_new:
            suspect.changed_at = now
            self.changed_at = now
        return is_new

    def _claim_trial(
        self, suspect: _Suspect, daemon_id: str, now: float
    ) -> None:
        suspect.claim_trial(daemon_id, now)
        self.changed_at = now

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


def _make_record(fingerprint: int, suspect: _Suspect, now: float) -> Record:
    return Record(
        fingerprint=fingerprint,
        boots=sorted(suspect.boots),
        forgiven=sorted(suspect.forgiven),
        position=suspect.position,
        trial_number=suspect.trial_number,
        trial_by=suspect.trial_by,
        age_ms=max(0, int((now - suspect.trial_at) * 1000.0)),
    )


def _is_newer_claim(record: Record, suspect: _Suspect) -> bool:
    if record.trial_number != suspect.trial_number:
        return record.trial_number > suspect.trial_number
    return record.trial_by < suspect.trial_by


def _is_expired(suspect: _Suspect, now: float) -> bool:
    quarantined = suspect.deaths >= _DEATHS_TO_QUARANTINE
    lifetime = _QUARANTINE_S if quarantined else _SUSPICION_S
    return now - suspect.changed_at >= lifetime
