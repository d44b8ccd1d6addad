"""Limits calls of the platform's store to this daemon's budget share."""

from collections import abc
import typing

from mothpass.core import errors
from mothpass.core import store_budgets
from mothpass.ports import clock
from mothpass.ports import objects
from mothpass.ports import tables

AnswerT = typing.TypeVar("AnswerT")


class Store:
    """Table service and object store, limited to this daemon's budget share.

    Every method raises errors.StoreBudgetError without sending the call when
    the share for its priority is exhausted. Each row of a transaction counts
    as one write.

    Attributes:
        budget: This daemon's share of the fleet's store budget, used by all its
            components.
        reads: Reads sent since the daemon started.
        writes: Writes of rows and objects sent since the daemon started.
        answered: Whether the store answered the last finished call; None
            before the first.
    """

    __slots__ = (
        "_get_object",
        "_monotonic",
        "_put_object",
        "_read_row",
        "_scan_rows",
        "_transact",
        "answered",
        "budget",
        "reads",
        "writes",
    )

    def __init__(
        self,
        *,
        read_row: tables.ReadRow,
        scan_rows: tables.ScanRows,
        transact: tables.Transact,
        get_object: objects.GetObject,
        put_object: objects.PutObject,
        store_budget: store_budgets.StoreBudget,
        monotonic: clock.Monotonic,
    ) -> None:
        """Starts with no call counted."""
        self._read_row = read_row
        self._scan_rows = scan_rows
        self._transact = transact
        self._get_object = get_object
        self._put_object = put_object
        self._monotonic = monotonic
        self.budget = store_budget
        self.reads = 0
        self.writes = 0
        self.answered: bool | None = None

    async def read_row(
        self, table: str, key: str, *, priority: store_budgets.Priority
    ) -> tables.Row | None:
        """Reads one row, as ports.tables.ReadRow does."""
        self._reserve_budget(store_budgets.Kind.READ, priority)
        return await self._await_answer(self._read_row(table, key))

    async def scan_rows(
        self,
        table: str,
        prefix: str,
        limit: int,
        *,
        priority: store_budgets.Priority,
    ) -> list[tables.Row]:
        """Reads rows by prefix, as ports.tables.ScanRows does."""
        self._reserve_budget(store_budgets.Kind.READ, priority)
        return await self._await_answer(self._scan_rows(table, prefix, limit))

    async def transact(
        self, writes: list[tables.Write], *, priority: store_budgets.Priority
    ) -> tables.Committed | tables.Conflict:
        """Runs a transaction, as ports.tables.Transact does."""
        self._reserve_budget(
            store_budgets.Kind.WRITE, priority, calls=len(writes)
        )
        return await self._await_answer(self._transact(writes))

    async def get_object(
        self, name: str, *, priority: store_budgets.Priority
    ) -> bytes | None:
        """Reads an object, as ports.objects.GetObject does."""
        self._reserve_budget(store_budgets.Kind.READ, priority)
        return await self._await_answer(self._get_object(name))

    async def put_object(
        self, name: str, data: bytes, *, priority: store_budgets.Priority
    ) -> None:
        """Writes an object, as ports.objects.PutObject does."""
        self._reserve_budget(store_budgets.Kind.WRITE, priority)
        await self._await_answer(self._put_object(name, data))

    def _reserve_budget(
        self,
        kind: store_budgets.Kind,
        priority: store_budgets.Priority,
        *,
        calls: int = 1,
    ) -> None:
        now = self._monotonic()
        if self.budget.try_take(kind, priority, now=now, calls=calls):
            self._count_calls(kind, calls)
            return
        wait_s = self.budget.compute_wait_s(
            kind, priority, now=now, calls=calls
        )
        raise errors.StoreBudgetError(wait_s)

    def _count_calls(self, kind: store_budgets.Kind, calls: int) -> None:
        if kind is store_budgets.Kind.READ:
            self.reads += calls
        else:
            self.writes += calls

    async def _await_answer(self, call: abc.Awaitable[AnswerT]) -> AnswerT:
        """Awaits a call of the store and records whether it was answered."""
        try:
            answer = await call
        except (errors.StoreUnavailableError, errors.StoreUnconfirmedError):
            self.answered = False
            raise
        self.answered = True
        return answer


# Sleeps for a number of seconds.
Sleep = abc.Callable[[float], abc.Awaitable[None]]
