"""Table service of the platform: versioned rows and transactions."""

from collections import abc

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a table.

    Attributes:
        key: Key within the table.
        version: 1 after the first write, incremented by each further write.
        value: JSON object of the columns; readers convert it to a struct.
    """

    key: str
    version: int
    value: msgspec.Raw


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """One conditional write of a transaction.

    Attributes:
        table: Name of the table.
        key: Key within the table.
        expected_version: Version that the row must have; 0 if it must not
            exist.
        value: New columns as JSON, or None to delete the row.
    """

    table: str
    key: str
    expected_version: int
    value: msgspec.Raw | None


class Committed(msgspec.Struct, frozen=True, kw_only=True):
    """All writes of the transaction took effect."""


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The transaction had no effect, since a row had another version.

    Attributes:
        table: Table of the first row whose version differed.
        key: Key of that row.
        version: Actual version of that row.
    """

    table: str
    key: str
    version: int


# Reads one row; returns None if it doesn't exist.
# Raises errors.StoreUnavailableError.
ReadRow = abc.Callable[[str, str], abc.Awaitable[Row | None]]

# Reads the rows of a table whose key starts with a prefix, in key order.
# Arguments: table, prefix, maximum rows to return.
# Raises errors.StoreUnavailableError.
ScanRows = abc.Callable[[str, str, int], abc.Awaitable[list[Row]]]

# Runs a transaction of conditional writes.
# Raises errors.StoreUnavailableError if it had no effect, and
# errors.StoreUnconfirmedError if it may have had one.
Transact = abc.Callable[[list[Write]], abc.Awaitable[Committed | Conflict]]
