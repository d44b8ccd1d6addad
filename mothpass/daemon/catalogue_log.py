"""Reads and writes the log of catalogue changes and its snapshots."""

import logging

import msgspec

from mothpass.core import decoding
from mothpass.core import edits
from mothpass.core import errors
from mothpass.core import history
from mothpass.core import revisions
from mothpass.core import store_budgets
from mothpass.daemon import stores
from mothpass.ports import tables

MAX_PUT_TRIES = 4
PUT_BACKOFF_S = 0.1

_logger = logging.getLogger("mothpass.catalogue")


class CatalogueLog:
    """The log of catalogue changes in the store.

    Its methods raise errors.StoreUnavailableError if the store is unavailable
    and errors.ChangeMismatchError if the log has a gap.
    """

    __slots__ = ("_priority", "_sleep", "_store")

    def __init__(
        self,
        *,
        store: stores.Store,
        sleep: stores.Sleep,
        priority: store_budgets.Priority,
    ) -> None:
        """Uses one priority for all calls of the store.

        Args:
            store: The store.
            sleep: Sleeps between tries.
            priority: Priority of all calls: POLL for keeping up with changes,
                CLAIM for operators' changes.
        """
        self._store = store
        self._priority = priority
        self._sleep = sleep

    async def read_head(self) -> revisions.Head:
        """Returns the head: the latest accepted version and its digest."""
        row = await self._store.read_row(
            revisions.TABLE, revisions.HEAD_KEY, priority=self._priority
        )
        return revisions.decode_head(row)

    async def read_change(self, version: int) -> revisions.Change | None:
        """Returns one change, without its edits if they are large."""
        row = await self._store.read_row(
            revisions.TABLE,
            revisions.build_change_key(version),
            priority=self._priority,
        )
        return None if row is None else revisions.decode_change(row)

    async def read_group(self, version: int) -> list[revisions.Change]:
        """Returns the changes of the scan group that contains a version."""
        rows = await self._store.scan_rows(
            revisions.TABLE,
            revisions.build_change_key_prefix(version),
            revisions.CHANGES_PER_SCAN,
            priority=self._priority,
        )
        return [revisions.decode_change(row) for row in rows]

    async def fill_edits(self, change: revisions.Change) -> revisions.Change:
        """Returns a change with its edits; reads large ones from an object."""
        if change.edits is not None:
            return change
        name = revisions.build_edits_object_name(change)
        data = await self._store.get_object(name, priority=self._priority)
        return revisions.attach_edits(change, data)

    async def advance_history(
        self, revision_history: history.RevisionHistory, version: int
    ) -> None:
        """Advances a history to an accepted version.

        Args:
            revision_history: The history; other tasks may advance it
                concurrently.
            version: Accepted version.
        """
        behind = version - revision_history.revision.version
        if behind > revisions.CHANGES_PER_SCAN:
            await self._install_newest_snapshot(revision_history)
        while revision_history.revision.version < version:
            reached = revision_history.revision.version
            group = await self.read_group(reached + 1)
            changes = [
                await self.fill_edits(item)
                for item in group
                if reached < item.version <= version
            ]
            revision_history.apply_changes(changes)
            if revision_history.revision.version == reached:
                raise errors.ChangeMismatchError(
                    f"the log lacks change {reached + 1}"
                )

    async def rebuild(self, version: int) -> revisions.Revision:
        """Rebuilds an earlier revision from a snapshot and the log."""
        revision_history = history.RevisionHistory()
        base = version - version % revisions.SNAPSHOT_INTERVAL_CHANGES
        if base > 0:
            await self._install_snapshot(revision_history, base)
        while revision_history.revision.version < version:
            reached = revision_history.revision.version
            changes = [
                await self.fill_edits(item)
                for item in await self.read_group(reached + 1)
                if reached < item.version <= version
            ]
            if revision_history.apply_changes(changes) == 0:
                raise errors.ChangeMismatchError(
                    f"the log lacks change {reached + 1}"
                )
        return revision_history.revision

    async def save_edits(self, change: revisions.Change) -> bool:
        """Writes edits to the object store; returns whether that succeeded."""
        if change.edits is None:
            return True
        data = edits.encode_edits(change.edits)
        return await self._put(revisions.build_edits_object_name(change), data)

    async def send_change(
        self, change: revisions.Change
    ) -> tables.Committed | tables.Conflict:
        """Sends the transaction that commits a change, without a retry.

        Raises:
            errors.StoreUnavailableError: The transaction had no effect.
            errors.StoreUnconfirmedError: It may have had an effect.
        """
        writes = revisions.build_writes(change)
        return await self._store.transact(writes, priority=self._priority)

    async def save_snapshot(self, revision: revisions.Revision) -> None:
        """Writes a snapshot; after a failure the next snapshot replaces it."""
        name = revisions.build_snapshot_object_name(revision.version)
        if not await self._put(name, revisions.encode_snapshot(revision)):
            _logger.warning("failed to write snapshot %d", revision.version)
            return
        try:
            await self._update_snapshot_pointer(revision.version)
        except (
            errors.StoreUnavailableError,
            errors.StoreUnconfirmedError,
        ) as error:
            _logger.warning("failed to update the snapshot pointer: %s", error)

    async def _install_newest_snapshot(
        self, revision_history: history.RevisionHistory
    ) -> None:
        row = await self._store.read_row(
            revisions.TABLE, revisions.SNAPSHOT_KEY, priority=self._priority
        )
        if row is not None:
            pointer = _decode_pointer(row)
            if pointer.version > revision_history.revision.version:
                await self._install_snapshot(revision_history, pointer.version)

    async def _install_snapshot(
        self, revision_history: history.RevisionHistory, version: int
    ) -> None:
        """Installs a snapshot; without one the log is read from the start."""
        name = revisions.build_snapshot_object_name(version)
        data = await self._store.get_object(name, priority=self._priority)
        if data is not None:
            revision_history.install_snapshot(revisions.decode_snapshot(data))

    async def _update_snapshot_pointer(self, version: int) -> None:
        row = await self._store.read_row(
            revisions.TABLE, revisions.SNAPSHOT_KEY, priority=self._priority
        )
        if row is not None and _decode_pointer(row).version >= version:
            return
        value = msgspec.json.encode(revisions.SnapshotPointer(version=version))
        write = tables.Write(
            table=revisions.TABLE,
            key=revisions.SNAPSHOT_KEY,
            expected_version=row.version if row else 0,
            value=msgspec.Raw(value),
        )
        await self._store.transact([write], priority=self._priority)

    async def _put(self, name: str, data: bytes) -> bool:
        """Writes an object with retries; repeated writes are harmless."""
        for try_number in range(MAX_PUT_TRIES):
            if try_number > 0:
                await self._sleep(PUT_BACKOFF_S * 2**try_number)
            try:
                await self._store.put_object(
                    name, data, priority=self._priority
                )
            except errors.StoreUnconfirmedError:
                continue
            except errors.StoreUnavailableError:
                return False
            return True
        return False


def _decode_pointer(row: tables.Row) -> revisions.SnapshotPointer:
    return decoding.decode_json(row.value, revisions.SnapshotPointer)
