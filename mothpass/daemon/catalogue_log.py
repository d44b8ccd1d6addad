"""Reads and writes the log of catalogue changes and its snapshots."""

import logging

import msgspec

from mothpass.core import edits
from mothpass.core import errors
from mothpass.core import history
from mothpass.core import revisions
from mothpass.core import store_budgets
from mothpass.daemon import stores
from mothpass.ports import tables

PUT_TRIES = 4
PUT_PAUSE_S = 0.1

_logger = logging.getLogger("mothpass.catalogue")


class CatalogueLog:
    """The log of catalogue changes in the store.

    Its methods raise errors.StoreUnavailableError when the store can't be
    reached, and errors.ChangeMismatchError when the log has a gap.
    """

    __slots__ = ("_priority", "_sleep", "_store")

    def __init__(
        self,
        *,
        store: stores.Store,
        sleep: stores.Sleep,
        priority: store_budgets.Priority,
    ) -> None:
        """Keeps the store and how calls of it are counted.

        Args:
            store: The store.
            sleep: Waits between tries.
            priority: Priority of all calls made through this object: that of
                polls to keep up, that of claims for operators' changes.
        """
        self._store = store
        self._priority = priority
        self._sleep = sleep

    async def read_head(self) -> revisions.Head:
        """Reads which version is accepted."""
        row = await self._store.read_row(
            revisions.TABLE, revisions.HEAD_KEY, priority=self._priority
        )
        return revisions.decode_head(row)

    async def read_change(self, version: int) -> revisions.Change | None:
        """Reads the row of one change, without large edits."""
        row = await self._store.read_row(
            revisions.TABLE,
            revisions.build_change_key(version),
            priority=self._priority,
        )
        return None if row is None else revisions.decode_change(row)

    async def read_group(self, version: int) -> list[revisions.Change]:
        """Reads the rows of the group of changes around a version."""
        rows = await self._store.scan_rows(
            revisions.TABLE,
            revisions.build_change_key_prefix(version),
            revisions.CHANGES_PER_SCAN,
            priority=self._priority,
        )
        return [revisions.decode_change(row) for row in rows]

    async def fill_edits(self, change: revisions.Change) -> revisions.Change:
        """Returns the change with its edits, from the object store if large."""
        if change.edits is not None:
            return change
        name = revisions.build_edits_object_name(change)
        data = await self._store.get_object(name, priority=self._priority)
        return revisions.attach_edits(change, data)

    async def follow(
        self, target: history.RevisionHistory, version: int
    ) -> None:
        """Brings a history forward to an accepted version.

        Args:
            target: The history; it may move forward meanwhile.
            version: Accepted version to reach.
        """
        behind = version - target.revision.version
        if behind > revisions.CHANGES_PER_SCAN:
            await self._adopt_newest_snapshot(target)
        while target.revision.version < version:
            reached = target.revision.version
            group = await self.read_group(reached + 1)
            changes = [
                await self.fill_edits(item)
                for item in group
                if reached < item.version <= version
            ]
            target.apply_changes(changes)
            if target.revision.version == reached:
                raise errors.ChangeMismatchError(
                    f"the log has no change {reached + 1}"
                )

    async def rebuild(self, version: int) -> revisions.Revision:
        """Rebuilds an earlier revision from a snapshot and the log."""
        past = history.RevisionHistory()
        base = version - version % revisions.SNAPSHOT_INTERVAL_CHANGES
        if base > 0:
            await self._adopt_snapshot(past, base)
        while past.revision.version < version:
            reached = past.revision.version
            changes = [
                await self.fill_edits(item)
                for item in await self.read_group(reached + 1)
                if reached < item.version <= version
            ]
            if past.apply_changes(changes) == 0:
                raise errors.ChangeMismatchError(
                    f"the log has no change {reached + 1}"
                )
        return past.revision

    async def save_edits(self, change: revisions.Change) -> bool:
        """Writes large edits to the object store; returns whether it did."""
        if change.edits is None:
            return True
        data = edits.encode_edits(change.edits)
        return await self._put(revisions.build_edits_object_name(change), data)

    async def send_change(
        self, row: revisions.Change
    ) -> tables.Committed | tables.Conflict:
        """Runs the transaction that accepts a change, once.

        Raises:
            errors.StoreUnavailableError: It had no effect.
            errors.StoreUnconfirmedError: It may have had.
        """
        writes = revisions.build_writes(row)
        return await self._store.transact(writes, priority=self._priority)

    async def save_snapshot(self, revision: revisions.Revision) -> None:
        """Writes a snapshot; if it fails, the next one stands in for it."""
        name = revisions.build_snapshot_object_name(revision.version)
        if not await self._put(name, revisions.encode_snapshot(revision)):
            _logger.warning("snapshot %d was not written", revision.version)
            return
        try:
            await self._point_at_snapshot(revision.version)
        except (
            errors.StoreUnavailableError,
            errors.StoreUnconfirmedError,
        ) as error:
            _logger.warning("snapshot pointer was not confirmed: %s", error)

    async def _adopt_newest_snapshot(
        self, target: history.RevisionHistory
    ) -> None:
        row = await self._store.read_row(
            revisions.TABLE, revisions.SNAPSHOT_KEY, priority=self._priority
        )
        if row is not None:
            pointer = _decode_pointer(row)
            if pointer.version > target.revision.version:
                await self._adopt_snapshot(target, pointer.version)

    async def _adopt_snapshot(
        self, target: history.RevisionHistory, version: int
    ) -> None:
        """Takes a snapshot; without it the log is followed from the start."""
        name = revisions.build_snapshot_object_name(version)
        data = await self._store.get_object(name, priority=self._priority)
        if data is not None:
            target.install_snapshot(revisions.decode_snapshot(data))

    async def _point_at_snapshot(self, version: int) -> None:
        found = await self._store.read_row(
            revisions.TABLE, revisions.SNAPSHOT_KEY, priority=self._priority
        )
        if found is not None and _decode_pointer(found).version >= version:
            return
        value = msgspec.json.encode(revisions.SnapshotPointer(version=version))
        write = tables.Write(
            table=revisions.TABLE,
            key=revisions.SNAPSHOT_KEY,
            expected_version=found.version if found else 0,
            value=msgspec.Raw(value),
        )
        await self._store.transact([write], priority=self._priority)

    async def _put(self, name: str, data: bytes) -> bool:
        """Writes an object; writing it twice is harmless."""
        for attempt in range(PUT_TRIES):
            if attempt > 0:
                await self._sleep(PUT_PAUSE_S * 2**attempt)
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
    return msgspec.json.decode(row.value, type=revisions.SnapshotPointer)
