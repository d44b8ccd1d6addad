"""Deletes rows of calls whose time is over, slowly and within the budget."""

import logging

from mothpass.core import budget
from mothpass.core import claims
from mothpass.core import errors
from mothpass.core import pruning
from mothpass.daemon import stores
from mothpass.ports import clock
from mothpass.ports import tables

# Pause after a read that found nothing to delete, and after one that did.
IDLE_S = 30.0
BUSY_S = 1.0

_POLL = budget.Priority.POLL
_logger = logging.getLogger("mothpass.claims")


class ClaimPruner:
    """Walks this daemon's part of the claims and deletes what is over.

    Attributes:
        deleted: Rows deleted so far.
    """

    __slots__ = (
        "_monotonic",
        "_next_at",
        "_store",
        "_walk",
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
        """Starts with the first prefix of this daemon's part.

        Args:
            store: The platform's store.
            monotonic: Clock for the pauses.
            wall: Clock that the rows' times are compared with.
            slot: Place of this daemon in the fleet, from 0.
            slots: Places in the fleet.
        """
        self._store = store
        self._monotonic = monotonic
        self._wall = wall
        self._walk = pruning.PruneScan(slot=slot, slots=slots)
        self._next_at = monotonic() + IDLE_S
        self.deleted = 0

    def needs_step(self, now: float) -> bool:
        """Tells whether the next read is due."""
        return now >= self._next_at

    async def step(self) -> None:
        """Reads the next prefix and deletes the rows that are over."""
        self._next_at = self._monotonic() + IDLE_S
        prefix = self._walk.next_prefix()
        try:
            rows = await self._scan(prefix)
            self._walk.record(prefix, len(rows))
            old = self._plan_deletes(rows)
            if old and await self._delete_part(prefix, old[0].key):
                self._next_at = self._monotonic() + BUSY_S
        except (
            errors.StoreUnavailableError,
            errors.StoreUnconfirmedError,
        ) as error:
            _logger.info("pruning put off: %s", error)

    async def _delete_part(self, prefix: str, key: str) -> bool:
        """Deletes from the part of a key, if its lease can be had.

        What is deleted is read anew under the lease, since another holder may
        have deleted it meanwhile and it may have been claimed again.
        """
        part = key[: pruning.LEASE_PREFIX_DIGITS]
        held_until = self._monotonic() + pruning.LEASE_DURATION_MS / 1000
        if not await self._take_lease(part):
            return False
        rows = await self._scan(prefix if prefix.startswith(part) else part)
        allowed = self._store.budget.count_available(
            budget.Kind.WRITE, _POLL, now=self._monotonic()
        )
        writes = self._plan_deletes(rows)[:allowed]
        if not writes or self._monotonic() >= held_until:
            return False
        # It is sent once: after a lost answer the rows are found again.
        outcome = await self._store.transact(writes, priority=_POLL)
        if isinstance(outcome, tables.Committed):
            self.deleted += len(writes)
        return True

    async def _take_lease(self, part: str) -> bool:
        found = await self._store.read_row(
            pruning.LEASE_TABLE, part, priority=_POLL
        )
        wall_ms = int(self._wall() * 1000)
        write = pruning.plan_lease(part, found, wall_ms=wall_ms)
        if write is None:
            return False
        outcome = await self._store.transact([write], priority=_POLL)
        return isinstance(outcome, tables.Committed)

    async def _scan(self, prefix: str) -> list[tables.Row]:
        return await self._store.scan_rows(
            claims.TABLE, prefix, pruning.MAX_SCAN_ROWS, priority=_POLL
        )

    def _plan_deletes(self, rows: list[tables.Row]) -> list[tables.Write]:
        wall_ms = int(self._wall() * 1000)
        writes: list[tables.Write] = []
        for row in rows:
            stored = claims.decode_row(row)
            if stored and claims.may_prune(stored.claim, wall_ms=wall_ms):
                writes.append(claims.plan_prune(row))
        return writes
