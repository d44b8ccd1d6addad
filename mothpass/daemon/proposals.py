"""Commits operators' changes of the catalogue to the store."""

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

MAX_CONFIRM_TRIES = 6
CONFIRM_BACKOFF_S = 0.1
MAX_CONFLICT_TRIES = 8
CONFLICT_BACKOFF_S = 0.05
RETRY_AFTER_MS = 1000


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Why a change was not accepted or not confirmed.

    Attributes:
        refusal: Error to return to the operator.
        present_version: Accepted version, if another change came first.
    """

    refusal: errors.Refusal
    present_version: int | None = None


# Version that contains the change, or why the change was rejected.
Outcome: typing.TypeAlias = result.Result[int, Rejection]

# Returns the edits that a catalogue still needs; None if it has no entry to
# apply them to.
MakeEdits = abc.Callable[[catalogue.Catalogue], list[edits.Edit] | None]


class ChangeProposer:
    """Commits the changes that operators propose to this daemon."""

    __slots__ = (
        "_catalogues",
        "_change_count",
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
        """Starts without a proposed change.

        Args:
            daemon_id: Id of this instance.
            replica: This daemon's replica of the catalogue.
            log: Log of catalogue changes, with the priority of operators'
                changes.
            wall: Wall clock for the times shown to operators.
            sleep: Sleeps between tries.
            random: Source of randomness for ids and jitter.
        """
        self._daemon_id = daemon_id
        self._catalogues = replica
        self._log = log
        self._wall = wall
        self._sleep = sleep
        self._random = random
        self._change_count = 0

    async def propose(
        self, base_version: int, new: catalogue.Catalogue, *, author: str
    ) -> Outcome:
        """Proposes a whole catalogue that replaces a version.

        Args:
            base_version: Version that the operator started from.
            new: The validated catalogue.
            author: Who proposes the change.

        Returns:
            The accepted version, or the base version if nothing differs.
            VERSION_CONFLICT if another change was accepted first,
            CHANGE_UNCONFIRMED if it is unknown whether the change was
            accepted, STORE_UNAVAILABLE if it was not accepted.
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
        """Takes an availability zone out of service or back in.

        Args:
            name: Name of the zone.
            out: Whether to take it out of service.
            author: Who proposes the change.

        Returns:
            The version that contains the change; NOT_FOUND for an unknown
            zone. Otherwise as ``propose``, but with retries after a conflict.
        """

        def make_edits(
            current: catalogue.Catalogue,
        ) -> list[edits.Edit] | None:
            for zone in current.availability_zones:
                if zone.name == name:
                    return _build_zone_edits(zone, out)
            return None

        return await self._commit_with_retries(make_edits, author)

    async def set_instance_out(
        self, instance_id: str, *, out: bool, author: str
    ) -> Outcome:
        """Takes an instance out of service or back in; see ``set_zone_out``."""

        def make_edits(
            current: catalogue.Catalogue,
        ) -> list[edits.Edit] | None:
            if (instance_id in current.instances_out) == out:
                return []
            return [_build_instance_edit(instance_id, out)]

        return await self._commit_with_retries(make_edits, author)

    async def _commit_with_retries(
        self, make_edits: MakeEdits, author: str
    ) -> Outcome:
        """Commits edits of the newest version, with retries after conflicts."""
        outcome: Outcome = result.Failure(_reject_unavailable())
        for try_number in range(MAX_CONFLICT_TRIES):
            if try_number > 0:
                await self._back_off(CONFLICT_BACKOFF_S * 2**try_number)
            if not await self._refresh():
                return result.Failure(_reject_unavailable())
            base = self._catalogues.newest
            needed_edits = make_edits(base.catalogue)
            if needed_edits is None or base.version == 0:
                return result.Failure(_reject_unknown_entry())
            if not needed_edits:
                return result.Success(base.version)
            outcome = await self._commit(base, needed_edits, author)
            if not _is_version_conflict(outcome):
                return outcome
        return outcome

    async def _refresh(self) -> bool:
        """Loads the newest version; retries once after a lost answer."""
        if await self._catalogues.poll(self._log):
            return True
        await self._back_off(CONFIRM_BACKOFF_S)
        return await self._catalogues.poll(self._log)

    async def _commit(
        self,
        base: revisions.Revision,
        needed_edits: list[edits.Edit],
        author: str,
    ) -> Outcome:
        """Commits edits of a revision to the store."""
        change = revisions.build_change(
            base,
            needed_edits,
            change_id=self._create_change_id(),
            author=author,
            at_ms=int(self._wall() * 1000),
        )
        stripped_change = revisions.strip_large_edits(change)
        if stripped_change.edits is None and not await self._log.save_edits(
            change
        ):
            return result.Failure(_reject_unavailable())
        rejection = await self._confirm(stripped_change)
        if rejection is not None:
            return result.Failure(rejection)
        self._catalogues.apply_committed(change)
        if revisions.needs_snapshot(stripped_change):
            await self._save_snapshot(base, change)
        return result.Success(change.version)

    async def _save_snapshot(
        self, base: revisions.Revision, change: revisions.Change
    ) -> None:
        """Writes a snapshot of the revision after an accepted change."""
        revision = self._catalogues.newest
        if revision.version != change.version:
            revision = revisions.apply_change(base, change)
        await self._log.save_snapshot(revision)

    async def _confirm(
        self, stripped_change: revisions.Change
    ) -> Rejection | None:
        """Sends the transaction of a change until its outcome is known.

        Sending the same transaction again after a lost answer is safe: it also
        moves the head, so that it can be committed only once.
        """
        answer_lost = False
        for try_number in range(MAX_CONFIRM_TRIES):
            if try_number > 0:
                await self._back_off(CONFIRM_BACKOFF_S * 2**try_number)
            try:
                commit_status = await self._send_once(
                    stripped_change, lost_before=answer_lost
                )
            except errors.StoreUnavailableError:
                if not answer_lost:
                    return _reject_unavailable()
                continue
            if commit_status is revisions.CommitStatus.ACCEPTED:
                return None
            if commit_status is revisions.CommitStatus.REFUSED:
                return await self._build_conflict(stripped_change.version)
            answer_lost = True
        self._catalogues.record_unconfirmed(stripped_change.version)
        return _reject_unconfirmed()

    async def _send_once(
        self, stripped_change: revisions.Change, *, lost_before: bool
    ) -> revisions.CommitStatus:
        """Sends the transaction once; reads the change back if unsure."""
        try:
            outcome = await self._log.send_change(stripped_change)
        except errors.StoreUnconfirmedError:
            return revisions.CommitStatus.UNKNOWN
        commit_status = revisions.classify_commit(
            outcome, lost_before=lost_before
        )
        if commit_status is not revisions.CommitStatus.UNKNOWN:
            return commit_status
        stored = await self._log.read_change(stripped_change.version)
        return revisions.classify_row(stored, stripped_change.id)

    async def _build_conflict(self, version: int) -> Rejection:
        """Returns the rejection with the version that was accepted first."""
        self._catalogues.record_unconfirmed(version)
        await self._catalogues.poll(self._log)
        return _reject_conflict(self._catalogues.known_version)

    def _create_change_id(self) -> str:
        """Returns a unique id for a change."""
        self._change_count += 1
        suffix = f"{self._random.getrandbits(64):016x}"
        return f"{self._daemon_id}-{self._change_count}-{suffix}"

    async def _back_off(self, seconds: float) -> None:
        """Sleeps with jitter, so that concurrent writers don't stay in step."""
        await self._sleep(seconds * self._random.uniform(0.5, 1.0))


def _build_zone_edits(
    zone: catalogue.AvailabilityZone, out: bool
) -> list[edits.Edit]:
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


def _build_instance_edit(instance_id: str, out: bool) -> edits.Edit:
    if not out:
        return edits.Edit(section="instances_out", name=instance_id)
    return edits.Edit(
        section="instances_out",
        name=instance_id,
        entry=edits.INSTANCE_OUT_ENTRY,
    )


def _is_version_conflict(outcome: Outcome) -> bool:
    if isinstance(outcome, result.Success):
        return False
    code = outcome.failure().refusal.code
    return code is results.Code.VERSION_CONFLICT


def _reject_conflict(version: int) -> Rejection:
    return Rejection(
        refusal=errors.Refusal(
            code=results.Code.VERSION_CONFLICT,
            ran=results.Ran.NO,
            message=f"version {version} was accepted before this change",
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
                "check the history before sending it again"
            ),
            retry_after_ms=RETRY_AFTER_MS,
        )
    )


def _reject_unavailable() -> Rejection:
    return Rejection(
        refusal=errors.Refusal(
            code=results.Code.STORE_UNAVAILABLE,
            ran=results.Ran.NO,
            message="the store is unavailable; nothing was changed",
            retry_after_ms=RETRY_AFTER_MS,
        )
    )


def _reject_unknown_entry() -> Rejection:
    return Rejection(
        refusal=errors.Refusal(
            code=results.Code.NOT_FOUND,
            ran=results.Ran.NO,
            message="entry not found in the catalogue",
        )
    )
