"""The platform's table service: rows with versions, changed in transactions."""

from collections import abc

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row as read.

    Attributes:
        key: Key within the table.
        version: 1 at the first write and one more at each write after it.
        value: Columns by name, JSON values; readers convert to a struct.
    """

    key: str
    version: int
    value: msgspec.Raw


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """One conditional write of a transaction.

    Attributes:
        table: Name of the table.
        key: Key within the table.
        expected_version: Version that the row must have; 0 for no row.
        value: New columns as JSON, or None to delete the row.
    """

    table: str
    key: str
    expected_version: int
    value: msgspec.Raw | None


class Committed(msgspec.Struct, frozen=True, kw_only=True):
    """The transaction took effect in whole."""


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The transaction had no effect: a row had another version.

    Attributes:
        table: Table of the first row that differed.
        key: Its key.
        version: The version it has.
    """

    table: str
    key: str
    version: int


# Reads one row, None where there is none.
# Raises errors.StoreUnavailableError.
ReadRow = abc.Callable[[str, str], abc.Awaitable[Row | None]]

# Reads the rows of a table whose key starts with a prefix, in key order.
# Arguments: table, prefix, most rows to return.
# Raises errors.StoreUnavailableError.
ScanRows = abc.Callable[[str, str, int], abc.Awaitable[list[Row]]]

# Runs a transaction of conditional writes.
# Raises errors.StoreUnavailableError where it had no effect, and
# errors.StoreUnconfirmedError where it may have had.
Transact = abc.Callable[[list[Write]], abc.Awaitable[Committed | Conflict]]
