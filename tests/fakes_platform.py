"""Fakes of the table service and the object store, with fault switches."""

import asyncio
from collections import abc

from mothpass.core import errors
from mothpass.ports import tables


class Faults:
    """What goes wrong with the next calls of a fake.

    Attributes:
        down: Whether calls are refused without effect.
        lose_answers: Number of writes whose answer is lost after they took
            effect.
        drop_writes: Number of writes that are lost before they take effect,
            which the caller can't tell from a lost answer.
        delay_s: Time that each call takes.
    """

    __slots__ = ("delay_s", "down", "drop_writes", "lose_answers")

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.delay_s = 0.0

    async def begin(self) -> None:
        """Raises if the fake is down; takes its time otherwise."""
        if self.down:
            raise errors.StoreUnavailableError("down")
        await asyncio.sleep(self.delay_s)

    def begin_write(self) -> None:
        """Raises if this write is to be lost on its way."""
        if self.drop_writes > 0:
            self.drop_writes -= 1
            raise errors.StoreUnconfirmedError("lost on its way")

    def end_write(self) -> None:
        """Raises if the answer to this write is to be lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise errors.StoreUnconfirmedError("answer lost")


class MemoryTables:
    """A table service in memory; its methods fit ports.tables.

    Attributes:
        faults: What goes wrong.
        on_read: Called when a row has been read; it may raise.
        reads: Reads and scans so far.
        transactions: Transactions so far.
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
        """Applies a transaction at once, as the service does inside."""
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
        place = (write.table, write.key)
        if write.value is None:
            self._rows.pop(place, None)
            return
        self._rows[place] = tables.Row(
            key=write.key,
            version=write.expected_version + 1,
            value=write.value,
        )

    def list_rows(self, table: str) -> list[tables.Row]:
        """Returns all rows of a table, for tests to look at."""
        return [row for place, row in self._rows.items() if place[0] == table]


class MemoryObjects:
    """An object store in memory; its methods fit ports.objects."""

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
