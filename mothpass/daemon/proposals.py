"""Asks the store to accept operators' changes of the catalogue."""

from collections import abc
import random as random_module
import typing

import msgspec
from returns import result

from mothpass.core import catalogue
from mothpass.core import edits
from mothpass.core import errors
from mothpass.core import results
from mothpass.core import revisions
from mothpass.daemon import catalogue_log
from mothpass.daemon import catalogues
from mothpass.daemon import stores
from mothpass.ports import clock

CONFIRM_TRIES = 6
CONFIRM_PAUSE_S = 0.1
REAPPLY_TRIES = 8
REAPPLY_PAUSE_S = 0.05
RETRY_AFTER_MS = 1000


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Why a change was not accepted, or is not known to be.

    Attributes:
        refusal: The answer to give.
        present_version: Accepted version, where another change came first.
    """

    refusal: errors.Refusal
    present_version: int | None = None


# Version in which the change is in force, or why there is none.
Outcome: typing.TypeAlias = result.Result[int, Rejection]

# Makes the edits that a catalogue still needs; None where it has no entry
# that they could apply to.
MakeEdits = abc.Callable[[catalogue.Catalogue], list[edits.Edit] | None]


class ChangeProposer:
    """Changes that operators ask this daemon for."""

    __slots__ = (
        "_catalogues",
        "_count",
        "_daemon_id",
        "_log",
        "_random",
        "_sleep",
        "_wall",
    )

    def __init__(
        self,
        *,
        daemon_id: str,
        replica: catalogues.CatalogueReplica,
        log: catalogue_log.CatalogueLog,
        wall: clock.WallClock,
        sleep: stores.Sleep,
        random: random_module.Random,
    ) -> None:
        """Keeps what changes are made against.

        Args:
            daemon_id: Id of this instance.
            present: The catalogue in force here.
            log: The log in the store, with the priority of changes.
            wall: Clock for the times that operators read.
            sleep: Waits between tries.
            random: Source of ids and jitter.
        """
        self._daemon_id = daemon_id
        self._catalogues = replica
        self._log = log
        self._wall = wall
        self._sleep = sleep
        self._random = random
        self._count = 0

    async def propose(
        self, base_version: int, new: catalogue.Catalogue, *, author: str
    ) -> Outcome:
        """Proposes a whole catalogue in place of a version.

        Args:
            base_version: Version that the operator started from.
            new: The checked catalogue.
            author: Who asks.

        Returns:
            The accepted version; the base version itself where nothing
            differs. VERSION_CONFLICT where another change came first,
            CHANGE_UNCONFIRMED where it is not known whether it was accepted,
            STORE_UNAVAILABLE where it was not.
        """
        base = self._catalogues.revision
        if base is None or base.version < base_version:
            if not await self._refresh():
                return result.Failure(_reject_unavailable())
            base = self._catalogues.newest
        if base_version != base.version:
            return result.Failure(_reject_conflict(base.version))
        difference = edits.compare_catalogues(base.catalogue, new)
        if not difference:
            return result.Success(base.version)
        return await self._commit(base, difference, author)

    async def set_zone_out(
        self, name: str, *, out: bool, author: str
    ) -> Outcome:
        """Takes an availability zone out of service or back.

        Args:
            name: Name of the zone.
            out: Whether it is to be out.
            author: Who asks.

        Returns:
            The version in which it is so; NOT_FOUND for an unknown zone,
            else as ``propose`` does, but after a conflict it is tried again.
        """

        def make_edits(
            current: catalogue.Catalogue,
        ) -> list[edits.Edit] | None:
            for zone in current.availability_zones:
                if zone.name == name:
                    return _edit_zone(zone, out)
            return None

        return await self._reapply(make_edits, author)

    async def set_instance_out(
        self, instance_id: str, *, out: bool, author: str
    ) -> Outcome:
        """Takes an instance out of service or back; see ``set_zone_out``."""

        def make_edits(
            current: catalogue.Catalogue,
        ) -> list[edits.Edit] | None:
            if (instance_id in current.instances_out) == out:
                return []
            return [_edit_instance(instance_id, out)]

        return await self._reapply(make_edits, author)

    async def _reapply(self, make_edits: MakeEdits, author: str) -> Outcome:
        """Makes edits against the newest version until no other came first."""
        outcome: Outcome = result.Failure(_reject_unavailable())
        for attempt in range(REAPPLY_TRIES):
            if attempt > 0:
                await self._pause(REAPPLY_PAUSE_S * 2**attempt)
            if not await self._refresh():
                return result.Failure(_reject_unavailable())
            base = self._catalogues.newest
            wanted = make_edits(base.catalogue)
            if wanted is None or base.version == 0:
                return result.Failure(_reject_unknown_entry())
            if not wanted:
                return result.Success(base.version)
            outcome = await self._commit(base, wanted, author)
            if not _is_conflict(outcome):
                return outcome
        return outcome

    async def _refresh(self) -> bool:
        """Loads the newest version; one answer may be lost on the way."""
        if await self._catalogues.poll(self._log):
            return True
        await self._pause(CONFIRM_PAUSE_S)
        return await self._catalogues.poll(self._log)

    async def _commit(
        self, base: revisions.Revision, wanted: list[edits.Edit], author: str
    ) -> Outcome:
        """Asks the store to accept edits of a revision."""
        change = revisions.build_change(
            base,
            wanted,
            change_id=self._make_id(),
            author=author,
            at_ms=int(self._wall() * 1000),
        )
        row = revisions.strip_large_edits(change)
        if row.edits is None and not await self._log.save_edits(change):
            return result.Failure(_reject_unavailable())
        rejection = await self._confirm(row)
        if rejection is not None:
            return result.Failure(rejection)
        self._catalogues.take_accepted(change)
        if revisions.needs_snapshot(row):
            await self._save_snapshot(base, change)
        return result.Success(change.version)

    async def _save_snapshot(
        self, base: revisions.Revision, change: revisions.Change
    ) -> None:
        """Writes the snapshot after an accepted change."""
        revision = self._catalogues.newest
        if revision.version != change.version:
            revision = revisions.follow_change(base, change)
        await self._log.save_snapshot(revision)

    async def _confirm(self, row: revisions.Change) -> Rejection | None:
        """Sends the transaction until its outcome is known.

        The same transaction is sent again after a lost answer: it can take
        effect once only, since the head moves with it.
        """
        lost = False
        for attempt in range(CONFIRM_TRIES):
            if attempt > 0:
                await self._pause(CONFIRM_PAUSE_S * 2**attempt)
            try:
                verdict = await self._send(row, lost_before=lost)
            except errors.StoreUnavailableError:
                if not lost:
                    return _reject_unavailable()
                continue
            if verdict is revisions.Verdict.ACCEPTED:
                return None
            if verdict is revisions.Verdict.REFUSED:
                return await self._explain_conflict(row.version)
            lost = True
        self._catalogues.note_unconfirmed(row.version)
        return _reject_unconfirmed()

    async def _send(
        self, row: revisions.Change, *, lost_before: bool
    ) -> revisions.Verdict:
        """Sends the transaction once and reads back what it doesn't tell."""
        try:
            outcome = await self._log.send_change(row)
        except errors.StoreUnconfirmedError:
            return revisions.Verdict.UNKNOWN
        verdict = revisions.judge_write(outcome, lost_before=lost_before)
        if verdict is not revisions.Verdict.UNKNOWN:
            return verdict
        found = await self._log.read_change(row.version)
        return revisions.judge_row(found, row.id)

    async def _explain_conflict(self, version: int) -> Rejection:
        """Names the version that came first."""
        self._catalogues.note_unconfirmed(version)
        await self._catalogues.poll(self._log)
        return _reject_conflict(self._catalogues.known_version)

    def _make_id(self) -> str:
        """Returns an id that no other change has."""
        self._count += 1
        suffix = f"{self._random.getrandbits(64):016x}"
        return f"{self._daemon_id}-{self._count}-{suffix}"

    async def _pause(self, seconds: float) -> None:
        """Waits for a time with jitter, so that racing tries come apart."""
        await self._sleep(seconds * self._random.uniform(0.5, 1.0))


def _edit_zone(zone: catalogue.AvailabilityZone, out: bool) -> list[edits.Edit]:
    if zone.out == out:
        return []
    entry = msgspec.structs.replace(zone, out=out)
    return [
        edits.Edit(
            section="availability_zones",
            name=zone.name,
            entry=msgspec.Raw(msgspec.json.encode(entry)),
        )
    ]


def _edit_instance(instance_id: str, out: bool) -> edits.Edit:
    if not out:
        return edits.Edit(section="instances_out", name=instance_id)
    return edits.Edit(
        section="instances_out", name=instance_id, entry=edits.PRESENT
    )


def _is_conflict(outcome: Outcome) -> bool:
    if isinstance(outcome, result.Success):
        return False
    code = outcome.failure().refusal.code
    return code is results.Code.VERSION_CONFLICT


def _reject_conflict(version: int) -> Rejection:
    return Rejection(
        refusal=errors.Refusal(
            code=results.Code.VERSION_CONFLICT,
            ran=results.Ran.NO,
            message=f"another change came first; version {version} stands",
        ),
        present_version=version,
    )


def _reject_unconfirmed() -> Rejection:
    return Rejection(
        refusal=errors.Refusal(
            code=results.Code.CHANGE_UNCONFIRMED,
            ran=results.Ran.UNKNOWN,
            message=(
                "the store did not confirm the change; "
                "look at the history before you send it again"
            ),
            retry_after_ms=RETRY_AFTER_MS,
        )
    )


def _reject_unavailable() -> Rejection:
    return Rejection(
        refusal=errors.Refusal(
            code=results.Code.STORE_UNAVAILABLE,
            ran=results.Ran.NO,
            message="the store can't be reached; nothing was changed",
            retry_after_ms=RETRY_AFTER_MS,
        )
    )


def _reject_unknown_entry() -> Rejection:
    return Rejection(
        refusal=errors.Refusal(
            code=results.Code.NOT_FOUND,
            ran=results.Ran.NO,
            message="the catalogue has no such entry",
        )
    )
