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
        self._walk = pruning.PruneWalk(slot=slot, slots=slots)
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
            rows = await self._store.scan_rows(
                claims.TABLE, prefix, pruning.SCAN_LIMIT_ROWS, priority=_POLL
            )
            self._walk.record(prefix, len(rows))
            if await self._delete(rows):
                self._next_at = self._monotonic() + BUSY_S
        except (
            errors.StoreUnavailableError,
            errors.StoreUnconfirmedError,
        ) as error:
            _logger.info("pruning put off: %s", error)

    async def _delete(self, rows: list[tables.Row]) -> bool:
        """Deletes what is over, as far as the budget goes."""
        wall_ms = int(self._wall() * 1000)
        writes: list[tables.Write] = []
        for row in rows:
            stored = claims.decode_row(row)
            if stored and claims.may_prune(stored.claim, wall_ms=wall_ms):
                writes.append(claims.plan_prune(row))
        allowed = self._store.budget.count_available(
            budget.Kind.WRITE, _POLL, now=self._monotonic()
        )
        writes = writes[:allowed]
        if not writes:
            return False
        outcome = await self._store.transact(writes, priority=_POLL)
        if isinstance(outcome, tables.Committed):
            self.deleted += len(writes)
        return True
