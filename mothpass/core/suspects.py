"""Table of crash suspects: requests suspected of crashing targets.

A request is identified by a fingerprint of its team, its model or service name
and its body, so that a retry through any daemon is the same request. When a
target dies, every request in flight there becomes a suspect. One daemon of the
fleet runs a suspect once more as a trial, as the only suspect at its target,
so that a second death quarantines that request alone. A suspect that gets past
the position at which the target died is cleared of that death.

The records that daemons exchange settle which daemon runs the trial. Each
claim to it has a number; the higher number wins, and of equal numbers the
smaller daemon id. A claim is held for a while before the trial starts, so that
every daemon has received it. Records merge by union, so that batches may be
lost, duplicated or reordered.
"""

from collections import abc
import enum

import msgspec
import xxhash

_DEATHS_TO_QUARANTINE = 2
_SUSPECT_TTL_S = 120.0
# Time for a claim to reach every daemon: three ticks of the exchange.
_HOLD_S = 1.5
# A daemon that has not ended a trial by then is assumed to be gone.
_TRIAL_TIMEOUT_S = 20.0
_QUARANTINE_TTL_S = 1800.0
_MAX_RECORDS = 4096
# Trimming below the maximum keeps the amortized cost of a new record constant.
_MAX_RECORDS_AFTER_TRIM = 3072


class Verdict(enum.IntEnum):
    """What may be done with a request.

    CLEAR: it may run anywhere. HELD: it may not run yet; check again at the
    given time. ALONE: it may run as the only suspect at its target. ELSEWHERE:
    another daemon runs its trial; reject it until the given time. QUARANTINED:
    reject it.
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
        until: Monotonic seconds until which HELD, ELSEWHERE and QUARANTINED
            hold unless a newer record arrives; 0 for the others.
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
    """Record of one suspect, as daemons exchange it.

    Attributes:
        fingerprint: 64-bit fingerprint of the request.
        boots: Boot ids of the targets that died with it in flight.
        forgiven: Boot ids among them that it has since been cleared of.
        position: Largest number of events received before one of them died.
        trial_number: Number of the newest claim to its trial.
        trial_by: Id of the daemon that made this claim, "" if it was released.
        age_ms: Milliseconds since that claim.
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
        "claimed_at",
        "forgiven",
        "is_trial_running",
        "position",
        "trial_by",
        "trial_number",
    )

    def __init__(self, *, now: float) -> None:
        self.boots: set[str] = set()
        self.forgiven: set[str] = set()
        self.position = 0
        self.trial_number = 0
        self.trial_by = ""
        self.claimed_at = now
        self.is_trial_running = False
        self.changed_at = now

    @property
    def deaths(self) -> int:
        """Number of deaths that it has not been cleared of."""
        return len(self.boots - self.forgiven)

    def claim_trial(self, daemon_id: str, now: float) -> None:
        """Makes a claim to the trial that is newer than all known ones."""
        self.trial_number += 1
        self.trial_by = daemon_id
        self.claimed_at = now
        self.is_trial_running = False
        self.changed_at = now


def compute_fingerprint(*, team: str, name: str, body: bytes) -> int:
    """Returns the 64-bit fingerprint of a request.

    Args:
        team: Team that sent it.
        name: Name of the model or service that it is for.
        body: Body as it is sent to the target.
    """
    digest = xxhash.xxh3_64(team.encode())
    digest.update(b"\0")
    digest.update(name.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.intdigest()


class SuspectTable:
    """Suspects known to one daemon, from its own requests and from peers.

    Attributes:
        changed_at: Monotonic seconds of the last change of any record.
    """

    __slots__ = ("_own_id", "_suspects", "changed_at")

    def __init__(self, *, own_id: str) -> None:
        """Initializes an empty table.

        Args:
            own_id: Id of this daemon.
        """
        self._own_id = own_id
        self._suspects: dict[int, _Suspect] = {}
        self.changed_at = float("-inf")

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._suspects)

    def check(self, fingerprint: int, *, now: float) -> Decision:
        """Returns what may be done with a request now.

        Claims the trial of a suspect for which no claim is in force. A caller
        that gets HELD or ALONE must end with ``release_trial``; ALONE is
        returned to one caller at a time.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or _is_expired(suspect, now):
            return _CLEAR
        if suspect.deaths >= _DEATHS_TO_QUARANTINE:
            return Decision(
                verdict=Verdict.QUARANTINED,
                until=suspect.changed_at + _QUARANTINE_TTL_S,
            )
        if suspect.deaths == 0:
            return _CLEAR
        trial_until = suspect.claimed_at + _TRIAL_TIMEOUT_S
        if not suspect.trial_by or now >= trial_until:
            self._claim_trial(suspect, self._own_id, now)
        elif suspect.trial_by != self._own_id or suspect.is_trial_running:
            return Decision(verdict=Verdict.ELSEWHERE, until=trial_until)
        held_until = suspect.claimed_at + _HOLD_S
        if now < held_until:
            return Decision(verdict=Verdict.HELD, until=held_until)
        # Renews the claim, so that its timeout counts from the trial's start.
        self._claim_trial(suspect, self._own_id, now)
        suspect.is_trial_running = True
        return Decision(verdict=Verdict.ALONE)

    def is_quarantined(self, fingerprint: int, *, now: float) -> bool:
        """Returns whether a request is quarantined; claims no trial."""
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
        """Records the death of a target and the requests in flight there.

        If one of the requests was on trial there, the death counts against
        that request alone, since suspects never run at the same target; the
        others stay clear.

        Args:
            boot_id: Boot id of the target that died.
            running: Requests that this daemon had in flight there.
            now: Monotonic seconds.
        """
        in_flight = list(running)
        suspected = [
            item for item in in_flight if self._count_deaths(item, now) > 0
        ]
        for item in suspected or in_flight:
            suspect = self._get_or_add(item.fingerprint, now)
            suspect.boots.add(boot_id)
            suspect.position = max(suspect.position, item.position)
            self._claim_trial(suspect, self._own_id, now)
        self._trim(now)

    def withdraw_death(self, boot_id: str, *, now: float) -> None:
        """Clears all suspects of a death, as the target has not died."""
        for suspect in self._suspects.values():
            if boot_id in suspect.boots - suspect.forgiven:
                suspect.forgiven.add(boot_id)
                suspect.changed_at = now
                self.changed_at = now

    def record_progress(
        self, fingerprint: int, position: int, *, now: float
    ) -> bool:
        """Clears a suspect that got past the position of the target's death.

        Args:
            fingerprint: Fingerprint of the request.
            position: Number of events received in this attempt, or a number
                above all positions once the answer is complete.
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
        """Releases a trial of this daemon that ended without a result.

        The next retry may then be tried at once, at any daemon.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.trial_by != self._own_id:
            return
        if suspect.deaths == 1:
            self._claim_trial(suspect, "", now)

    def export(self, *, changed_since: float, now: float) -> list[Record]:
        """Returns the records to send to peers, changed at a time or later."""
        return [
            _make_record(fingerprint, suspect, now)
            for fingerprint, suspect in self._suspects.items()
            if suspect.changed_at >= changed_since
            and not _is_expired(suspect, now)
        ]

    def merge(self, records: abc.Iterable[Record], *, now: float) -> int:
        """Merges a peer's records. Returns how many changed the table."""
        changed_count = 0
        for record in records:
            changed_count += self._merge_one(record, now)
        self._trim(now)
        return changed_count

    def _count_deaths(self, item: InFlightRequest, now: float) -> int:
        suspect = self._suspects.get(item.fingerprint)
        if suspect is None or _is_expired(suspect, now):
            return 0
        return suspect.deaths

    def _merge_one(self, record: Record, now: float) -> bool:
        suspect = self._get_or_add(record.fingerprint, now)
        is_changed = not (
            suspect.boots >= set(record.boots)
            and suspect.forgiven >= set(record.forgiven)
        )
        suspect.boots.update(record.boots)
        suspect.forgiven.update(record.forgiven)
        suspect.position = max(suspect.position, record.position)
        if _is_newer_claim(record, suspect):
            suspect.trial_number = record.trial_number
            suspect.trial_by = record.trial_by
            suspect.claimed_at = now - record.age_ms / 1000.0
            suspect.is_trial_running = False
            is_changed = True
        if is_changed:
            suspect.changed_at = now
            self.changed_at = now
        return is_changed

    def _claim_trial(
        self, suspect: _Suspect, daemon_id: str, now: float
    ) -> None:
        suspect.claim_trial(daemon_id, now)
        self.changed_at = now

    def _get_or_add(self, fingerprint: int, now: float) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or _is_expired(suspect, now):
            suspect = _Suspect(now=now)
            self._suspects[fingerprint] = suspect
        return suspect

    def _trim(self, now: float) -> None:
        """Evicts expired records, and then the oldest ones past the maximum."""
        if len(self._suspects) <= _MAX_RECORDS:
            return
        live = [
            (suspect.changed_at, fingerprint)
            for fingerprint, suspect in self._suspects.items()
            if not _is_expired(suspect, now)
        ]
        live.sort(reverse=True)
        kept = {
            fingerprint for _, fingerprint in live[:_MAX_RECORDS_AFTER_TRIM]
        }
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
        age_ms=max(0, int((now - suspect.claimed_at) * 1000.0)),
    )


def _is_newer_claim(record: Record, suspect: _Suspect) -> bool:
    if record.trial_number != suspect.trial_number:
        return record.trial_number > suspect.trial_number
    return record.trial_by < suspect.trial_by


def _is_expired(suspect: _Suspect, now: float) -> bool:
    is_quarantined = suspect.deaths >= _DEATHS_TO_QUARANTINE
    ttl_s = _QUARANTINE_TTL_S if is_quarantined else _SUSPECT_TTL_S
    return now - suspect.changed_at >= ttl_s
