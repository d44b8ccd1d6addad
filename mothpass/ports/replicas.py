"""Tables that the platform keeps and each daemon holds a copy of."""

from collections import abc

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a table.

    Attributes:
        key: Key within the table.
        version: Version of the store at which it was written.
        value: Content; None for a row that was removed at this version.
    """

    key: str
    version: int
    value: bytes | None


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a table at one moment, or what changed up to it.

    Attributes:
        version: Version of the store.
        rows: Rows.
        is_whole: Whether all rows are there, else only changed ones.
    """

    version: int
    rows: list[Row]
    is_whole: bool


# Reads a table whole. Raises errors.StoreUnavailableError.
ReadTable = abc.Callable[[str], abc.Awaitable[Page]]

# Returns the changes of a table after a version; waits for some for so many
# seconds at most. Returns None where the store no longer keeps what was asked
# for. Raises errors.StoreUnavailableError or errors.StoreUnconfirmedError.
WatchTable = abc.Callable[[str, int, float], abc.Awaitable[Page | None]]

# Writes a row. Raises errors.StoreUnavailableError or
# errors.StoreUnconfirmedError.
WriteRow = abc.Callable[[str, str, bytes], abc.Awaitable[None]]
