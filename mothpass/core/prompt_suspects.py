"""Table of prompt parts that are suspected of crashing targets.

One part of a prompt may crash each target that begins to answer a request with
it, while no two of these requests are the same. So each part of the requests
that a target had just begun is suspected of its death. A request with a part
that has been answered clears the part of all deaths before.

A part is barred once several deaths are left that no other part explains: of
two parts that were in flight at the same deaths, a request with only one of
them may run, and either clears it or leaves no doubt. Deaths at one moment,
as of an availability zone that loses power, bar nothing. A barred part is tried
again after a while, by one daemon of the fleet.

The records that daemons exchange merge by union, so that batches may be lost,
duplicated or reordered.
"""

import collections
from collections import abc
import random as random_module

import msgspec

from mothpass.core import preference
from mothpass.core import prompts

# Deaths that no other part explains, after which a part is barred.
DEATHS_TO_BAR = 3
# Time within which deaths count as one event.
MIN_DEATH_SPAN_S = 1.0
# An answer that has been sent for so long clears the parts of its request.
ANSWER_TIME_TO_CLEAR_S = 0.5
# A barred part is tried again after this time, which doubles with each death.
MIN_TRIAL_INTERVAL_S = 60.0
MAX_TRIAL_INTERVAL_S = 1800.0
# Records that aren't barred expire after this time without a change.
SUSPECT_TTL_S = 120.0
BARRED_TTL_S = 2 * MAX_TRIAL_INTERVAL_S
# Parts of one request that are considered, and the bounds of the table.
MAX_PARTS = 32
MAX_RECORDS = 1024
MAX_DEATHS_PER_RECORD = 8
# Gossip messages that carry a changed record, as some datagrams are lost.
MESSAGES_PER_CHANGE = 3
# Changed records in a message; some 50 bytes each, at most 130.
MAX_CHANGES_PER_MESSAGE = 3
# Changed records in an export, which is sent less often.
MAX_EXPORTED = 8


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Record of one suspect, as daemons exchange it.

    Attributes:
        fingerprint: 64-bit fingerprint of the part.
        deaths: Milliseconds since each death, by fingerprint of the target's
            start.
        cleared_ms: Milliseconds since it was last cleared, -1 if it never was.
    """

    fingerprint: int
    deaths: dict[int, int]
    cleared_ms: int


class _Suspect:
    """State of one suspect."""

    __slots__ = ("changed_at", "cleared_at", "deaths", "tried_at")

    def __init__(self, *, now: float) -> None:
        self.deaths: dict[int, float] = {}
        self.cleared_at = float("-inf")
        self.tried_at = float("-inf")
        self.changed_at = now

    def add_death(self, boot: int, died_at: float) -> bool:
        """Adds a death; returns whether it is new, not cleared and kept."""
        if boot in self.deaths or died_at <= self.cleared_at:
            return False
        self.deaths[boot] = died_at
        if len(self.deaths) > MAX_DEATHS_PER_RECORD:
            del self.deaths[min(self.deaths, key=self.deaths.__getitem__)]
        return boot in self.deaths

    def clear(self, cleared_at: float) -> bool:
        """Drops earlier deaths; returns whether there were any."""
        self.cleared_at = max(self.cleared_at, cleared_at)
        kept = {
            boot: died_at
            for boot, died_at in self.deaths.items()
            if died_at > self.cleared_at
        }
        is_changed = len(kept) < len(self.deaths)
        self.deaths = kept
        return is_changed

    def has_enough_deaths(self) -> bool:
        """Returns whether its deaths, if they aren't explained, bar it."""
        if len(self.deaths) < DEATHS_TO_BAR:
            return False
        times = self.deaths.values()
        return max(times) - min(times) >= MIN_DEATH_SPAN_S

    def is_trial_due(self, now: float) -> bool:
        """Returns whether one more request may run to test it."""
        doublings = len(self.deaths) - DEATHS_TO_BAR
        interval_s = min(
            MAX_TRIAL_INTERVAL_S, MIN_TRIAL_INTERVAL_S * 2.0**doublings
        )
        return now - max(self.tried_at, *self.deaths.values()) >= interval_s

    def is_expired(self, now: float) -> bool:
        """Returns whether it may be dropped."""
        ttl_s = BARRED_TTL_S if self.has_enough_deaths() else SUSPECT_TTL_S
        return now - self.changed_at >= ttl_s


def fingerprint_parts(parts: tuple[prompts.Part, ...]) -> dict[int, str]:
    """Returns the ids of the parts that requests may share, by fingerprint.

    The last part belongs to one request or chat.
    """
    return {
        preference.hash_name(part.id): part.id
        for part in parts[:-1][:MAX_PARTS]
    }


class PromptSuspectTable:
    """Suspects known to one daemon, from its own requests and from peers.

    Attributes:
        changed_at: Monotonic seconds of the last change of any record.
    """

    __slots__ = (
        "_owns_trial",
        "_pending",
        "_random",
        "_suspects",
        "changed_at",
    )

    def __init__(
        self,
        *,
        owns_trial: abc.Callable[[int], bool],
        random: random_module.Random,
    ) -> None:
        """Initializes an empty table.

        Args:
            owns_trial: Returns whether this daemon, of all daemons, tries a
                barred part again.
            random: Source of randomness.
        """
        self._owns_trial = owns_trial
        self._random = random
        self._suspects: dict[int, _Suspect] = {}
        self.changed_at = float("-inf")
        # Changed suspects with the number of messages that are to carry them.
        self._pending: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._suspects)

    def find_barred(
        self, parts: abc.Collection[int], *, now: float
    ) -> int | None:
        """Returns the part for which a request may not run, None without one.

        Args:
            parts: Fingerprints of the parts of the request.
            now: Monotonic seconds.
        """
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is None or not self._is_barred(suspect, parts):
                continue
            if not (suspect.is_trial_due(now) and self._owns_trial(part)):
                return part
        return None

    def record_start(self, parts: abc.Collection[int], *, now: float) -> None:
        """Records that a request is dispatched, maybe as a trial."""
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is not None and suspect.has_enough_deaths():
                suspect.tried_at = now

    def record_death(
        self, boot_id: str, parts: abc.Iterable[int], *, now: float
    ) -> None:
        """Records the death of a target.

        Args:
            boot_id: Identifies the start of the target that died.
            parts: Fingerprints of the parts of the requests that it had begun
                and that ``record_answer`` hasn't cleared.
            now: Monotonic seconds.
        """
        boot = preference.hash_name(boot_id)
        for part in parts:
            if self._get_or_add(part, now).add_death(boot, now):
                self._record_change(part, now)
        self._trim(now)

    def record_answer(
        self, parts: abc.Iterable[int], *, now: float
    ) -> list[int]:
        """Clears the parts of a request that has been answered.

        Returns:
            The parts that were cleared of deaths.
        """
        cleared = []
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is not None and suspect.clear(now):
                self._record_change(part, now)
                cleared.append(part)
        return cleared

    def list_barred(self) -> list[int]:
        """Returns the parts for which requests with them alone may not run."""
        return [
            part
            for part, suspect in self._suspects.items()
            if self._is_barred(suspect, (part,))
        ]

    def has_changes(self) -> bool:
        """Returns whether ``take_records`` has changes to return."""
        return bool(self._pending)

    def take_records(self, *, now: float) -> list[Record]:
        """Returns the records that the next message to peers carries.

        These are changed ones, and one of the others with deaths, for peers
        that have started since its last change.
        """
        self.prune(now=now)
        taken = list(self._pending)[:MAX_CHANGES_PER_MESSAGE]
        for part in taken:
            self._pending[part] -= 1
            self._pending.move_to_end(part)
            if not self._pending[part]:
                del self._pending[part]
        taken += self._pick_other(taken)
        return [
            self._make_record(part, now)
            for part in taken
            if part in self._suspects
        ]

    def export(self, *, changed_since: float, now: float) -> list[Record]:
        """Returns the records for a peer that passes changes on to others.

        These are the newest of those that changed at a time or later, and one
        of the others, as in ``take_records``.
        """
        self.prune(now=now)
        by_age = sorted(
            self._suspects, key=lambda part: -self._suspects[part].changed_at
        )
        parts = [
            part
            for part in by_age[:MAX_EXPORTED]
            if self._suspects[part].changed_at >= changed_since
        ]
        parts += self._pick_other(parts)
        return [self._make_record(part, now) for part in parts]

    def merge(self, records: abc.Iterable[Record], *, now: float) -> None:
        """Merges a peer's records."""
        for record in records:
            suspect = self._get_or_add(record.fingerprint, now)
            is_changed = False
            if record.cleared_ms >= 0:
                is_changed = suspect.clear(now - record.cleared_ms / 1000)
            for boot, age_ms in record.deaths.items():
                is_new = suspect.add_death(boot, now - age_ms / 1000)
                is_changed = is_changed or is_new
            if is_changed:
                suspect.changed_at = self.changed_at = now
        self._trim(now)

    def prune(self, *, now: float) -> None:
        """Drops expired records."""
        expired = [
            part
            for part, suspect in self._suspects.items()
            if suspect.is_expired(now)
        ]
        for part in expired:
            self._drop(part)

    def _pick_other(self, taken: abc.Container[int]) -> list[int]:
        """Returns another suspect with deaths, if there is one."""
        others = [
            part
            for part, suspect in self._suspects.items()
            if suspect.deaths and part not in taken
        ]
        return [self._random.choice(others)] if others else []

    def _is_barred(self, suspect: _Suspect, parts: abc.Collection[int]) -> bool:
        """Returns whether a part's deaths bar a request with these parts.

        A part that the request lacks, and that was there at as many deaths,
        explains them as well.
        """
        if not suspect.has_enough_deaths():
            return False
        unexplained = set(suspect.deaths)
        for other_part, other in self._suspects.items():
            is_as_likely = len(other.deaths) >= len(suspect.deaths)
            if is_as_likely and other_part not in parts:
                unexplained -= other.deaths.keys()
        return len(unexplained) >= DEATHS_TO_BAR

    def _record_change(self, part: int, now: float) -> None:
        self._suspects[part].changed_at = self.changed_at = now
        self._pending[part] = MESSAGES_PER_CHANGE
        self._pending.move_to_end(part, last=False)

    def _make_record(self, part: int, now: float) -> Record:
        suspect = self._suspects[part]
        cleared_ms = -1
        if suspect.cleared_at > float("-inf"):
            cleared_ms = int((now - suspect.cleared_at) * 1000)
        return Record(
            part,
            {
                boot: max(0, int((now - died_at) * 1000))
                for boot, died_at in suspect.deaths.items()
            },
            cleared_ms,
        )

    def _get_or_add(self, part: int, now: float) -> _Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = self._suspects[part] = _Suspect(now=now)
        return suspect

    def _trim(self, now: float) -> None:
        """Drops expired records, and then the oldest ones past the maximum."""
        if len(self._suspects) <= MAX_RECORDS:
            return
        self.prune(now=now)
        by_age = sorted(
            self._suspects, key=lambda part: self._suspects[part].changed_at
        )
        for part in by_age[: max(0, len(by_age) - MAX_RECORDS)]:
            self._drop(part)

    def _drop(self, part: int) -> None:
        del self._suspects[part]
        self._pending.pop(part, None)
