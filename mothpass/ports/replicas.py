"""Tables of the platform's store that each daemon replicates."""

from collections import abc

import msgspec


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a table.

    Attributes:
        key: Key within the table.
        version: Version of the store at which the row was written.
        value: Content; None if the row was removed at this version.
    """

    key: str
    version: int
    value: bytes | None


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of a table at one version, or the changes up to it.

    Attributes:
        version: Version of the store.
        rows: All rows of the table, or the changed ones.
        is_whole: Whether ``rows`` has all rows.
    """

    version: int
    rows: list[Row]
    is_whole: bool


# Reads a complete table. Raises errors.StoreUnavailableError.
ReadTable = abc.Callable[[str], abc.Awaitable[Page]]

# Change feed of a table: waits for changes after a version and returns them.
# Arguments: table, version, maximum seconds to wait.
# Returns None if the store no longer keeps the changes after the version.
# Raises errors.StoreUnavailableError or errors.StoreUnconfirmedError.
WatchTable = abc.Callable[[str, int, float], abc.Awaitable[Page | None]]

# Writes a row. Raises errors.StoreUnavailableError or
# errors.StoreUnconfirmedError.
WriteRow = abc.Callable[[str, str, bytes], abc.Awaitable[None]]
