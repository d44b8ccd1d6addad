"""Deletes expired claims at a low rate, within the store's budget."""

import logging

from mothpass.core import claims
from mothpass.core import errors
from mothpass.core import pruning
from mothpass.core import store_budgets
from mothpass.daemon import stores
from mothpass.ports import clock
from mothpass.ports import tables

# Interval after a read that found nothing to delete, and after one that did.
IDLE_INTERVAL_S = 30.0
BUSY_INTERVAL_S = 1.0

_PRIORITY = store_budgets.Priority.POLL
_logger = logging.getLogger("mothpass.claims")


class ClaimPruner:
    """Scans this daemon's share of the claims and deletes expired ones.

    Attributes:
        deleted: Number of rows deleted so far.
    """

    __slots__ = (
        "_monotonic",
        "_next_at",
        "_store",
        "_scan",
        "_wall",
        "deleted",
    )

    def __init__(
        self,
        *,
        store: stores.Store,
        monotonic: clock.Monotonic,
        wall: clock.WallClock,
        slot: int,
        slots: int,
    ) -> None:
        """Starts at the first key prefix of this daemon's share.

        Args:
            store: The platform's store.
            monotonic: Clock for the intervals and leases.
            wall: Clock that the rows' expiry times are compared with.
            slot: Index of this daemon in the fleet, from 0.
            slots: Number of daemon slots in the fleet.
        """
        self._store = store
        self._monotonic = monotonic
        self._wall = wall
        self._scan = pruning.PruneScan(slot=slot, slots=slots)
        self._next_at = monotonic() + IDLE_INTERVAL_S
        self.deleted = 0

    def is_due(self, now: float) -> bool:
        """Returns whether the next read is due."""
        return now >= self._next_at

    async def step(self) -> None:
        """Reads the next prefix and deletes its expired rows."""
        self._next_at = self._monotonic() + IDLE_INTERVAL_S
        prefix = self._scan.next_prefix()
        try:
            rows = await self._scan_rows(prefix)
            self._scan.record(prefix, len(rows))
            expired = self._plan_deletes(rows)
            if expired and await self._delete_partition(prefix, expired[0].key):
                self._next_at = self._monotonic() + BUSY_INTERVAL_S
        except (
            errors.StoreUnavailableError,
            errors.StoreUnconfirmedError,
        ) as error:
            _logger.info("claim pruning postponed: %s", error)

    async def _delete_partition(self, prefix: str, key: str) -> bool:
        """Deletes expired rows of a key's partition, under its lease.

        The rows are read again under the lease, as another holder may have
        deleted some meanwhile and their keys may have been claimed again.

        Returns:
            Whether a write was sent to the store.
        """
        partition = key[: pruning.LEASE_PREFIX_DIGITS]
        held_until = self._monotonic() + pruning.LEASE_DURATION_MS / 1000
        if not await self._acquire_lease(partition):
            return False
        rows = await self._scan_rows(
            prefix if prefix.startswith(partition) else partition
        )
        max_deletes = self._store.budget.count_available(
            store_budgets.Kind.WRITE, _PRIORITY, now=self._monotonic()
        )
        writes = self._plan_deletes(rows)[:max_deletes]
        if not writes or self._monotonic() >= held_until:
            return False
        # Sent only once: if the answer is lost, a later scan finds the rows.
        outcome = await self._store.transact(writes, priority=_PRIORITY)
        if isinstance(outcome, tables.Committed):
            self.deleted += len(writes)
        return True

    async def _acquire_lease(self, partition: str) -> bool:
        found = await self._store.read_row(
            pruning.LEASE_TABLE, partition, priority=_PRIORITY
        )
        wall_ms = int(self._wall() * 1000)
        write = pruning.plan_lease(partition, found, wall_ms=wall_ms)
        if write is None:
            return False
        outcome = await self._store.transact([write], priority=_PRIORITY)
        return isinstance(outcome, tables.Committed)

    async def _scan_rows(self, prefix: str) -> list[tables.Row]:
        return await self._store.scan_rows(
            claims.TABLE, prefix, pruning.MAX_SCAN_ROWS, priority=_PRIORITY
        )

    def _plan_deletes(self, rows: list[tables.Row]) -> list[tables.Write]:
        wall_ms = int(self._wall() * 1000)
        writes: list[tables.Write] = []
        for row in rows:
            stored = claims.decode_row(row)
            if stored and claims.may_prune(stored.claim, wall_ms=wall_ms):
                writes.append(claims.plan_prune(row))
        return writes
