"""Fakes of the table service and the object store with fault injection."""

import asyncio
from collections import abc

from mothpass.core import errors
from mothpass.ports import tables


class Faults:
    """Faults that a fake injects into its calls.

    Attributes:
        down: Whether all calls fail without effect.
        lose_answers: Number of next writes that take effect but whose answer
            is lost.
        drop_writes: Number of next writes that are lost before they take
            effect, which the caller can't distinguish from a lost answer.
        delay_s: Duration of each call.
    """

    __slots__ = ("delay_s", "down", "drop_writes", "lose_answers")

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.delay_s = 0.0

    async def begin(self) -> None:
        """Raises if the fake is down, else sleeps for the delay."""
        if self.down:
            raise errors.StoreUnavailableError("down")
        await asyncio.sleep(self.delay_s)

    def begin_write(self) -> None:
        """Raises if this write should be lost before it takes effect."""
        if self.drop_writes > 0:
            self.drop_writes -= 1
            raise errors.StoreUnconfirmedError("lost on its way")

    def end_write(self) -> None:
        """Raises if the answer to this write should be lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise errors.StoreUnconfirmedError("answer lost")


class MemoryTables:
    """In-memory table service that implements ports.tables.

    Attributes:
        faults: Faults to inject.
        on_read: Called in each read of a row; it may raise.
        reads: Number of reads and scans.
        transactions: Number of transactions.
    """

    __slots__ = ("_rows", "faults", "on_read", "reads", "transactions")

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tables.Row] = {}
        self.faults = Faults()
        self.on_read: abc.Callable[[], None] | None = None
        self.reads = 0
        self.transactions = 0

    async def read_row(self, table: str, key: str) -> tables.Row | None:
        self.reads += 1
        await self.faults.begin()
        if self.on_read is not None:
            self.on_read()
        return self._rows.get((table, key))

    async def scan_rows(
        self, table: str, prefix: str, limit: int
    ) -> list[tables.Row]:
        self.reads += 1
        await self.faults.begin()
        keys = sorted(
            key
            for owner, key in self._rows
            if owner == table and key.startswith(prefix)
        )
        return [self._rows[table, key] for key in keys[:limit]]

    async def transact(
        self, writes: list[tables.Write]
    ) -> tables.Committed | tables.Conflict:
        self.transactions += 1
        await self.faults.begin()
        self.faults.begin_write()
        outcome = self.apply_writes(writes)
        self.faults.end_write()
        return outcome

    def apply_writes(
        self, writes: list[tables.Write]
    ) -> tables.Committed | tables.Conflict:
        """Applies a transaction without faults or a delay."""
        for write in writes:
            row = self._rows.get((write.table, write.key))
            version = row.version if row else 0
            if version != write.expected_version:
                return tables.Conflict(
                    table=write.table, key=write.key, version=version
                )
        for write in writes:
            self._apply_write(write)
        return tables.Committed()

    def _apply_write(self, write: tables.Write) -> None:
        row_id = (write.table, write.key)
        if write.value is None:
            self._rows.pop(row_id, None)
            return
        self._rows[row_id] = tables.Row(
            key=write.key,
            version=write.expected_version + 1,
            value=write.value,
        )

    def list_rows(self, table: str) -> list[tables.Row]:
        """Returns all rows of a table."""
        return [row for row_id, row in self._rows.items() if row_id[0] == table]


class MemoryObjects:
    """In-memory object store that implements ports.objects."""

    __slots__ = ("_objects", "faults")

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}
        self.faults = Faults()

    async def get_object(self, name: str) -> bytes | None:
        await self.faults.begin()
        return self._objects.get(name)

    async def put_object(self, name: str, data: bytes) -> None:
        await self.faults.begin()
        self.faults.begin_write()
        self._objects[name] = data
        self.faults.end_write()

    def list_names(self) -> list[str]:
        """Returns the names of all objects."""
        return sorted(self._objects)
