"""Simulates a table service that can be down or lose its answers."""

from mothpass.core import errors
from mothpass.ports import tables


class Table:
    """Table in memory with conditional writes.

    Attributes:
        down: Whether each read and write fails without an effect.
        lose_answers: Whether writes take effect but their answers are lost.
        calls: Number of reads and writes made.
    """

    __slots__ = ("_rows", "calls", "down", "lose_answers")

    def __init__(self) -> None:
        """Starts without a row."""
        self.down = False
        self.lose_answers = False
        self.calls = 0
        self._rows: dict[str, tables.Row] = {}

    def read(self, key: str) -> tables.Row | None:
        """Returns a row, or None where there is none."""
        self.calls += 1
        if self.down:
            raise errors.StoreUnavailableError
        return self._rows.get(key)

    def write(self, write: tables.Write) -> bool:
        """Runs a conditional write; returns False on a conflict."""
        self.calls += 1
        if self.down:
            raise errors.StoreUnavailableError
        row = self._rows.get(write.key)
        version = row.version if row is not None else 0
        committed = (
            version == write.expected_version and write.value is not None
        )
        if committed and write.value is not None:
            self._rows[write.key] = tables.Row(
                key=write.key, version=version + 1, value=write.value
            )
        if self.lose_answers:
            raise errors.StoreUnconfirmedError
        return committed
