"""Tables of the platform's store that each daemon replicates."""

from collections import abc

import msgspec

from mothpass.core import store_versions


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of a table.

    Attributes:
        key: Key within the table.
        version: Version of the store at which the row was written.
        value: Content; None if the row was removed at this version.
    """

    key: str
    version: store_versions.Version
    value: bytes | None


class Page(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Rows of a table at one version, or the changes up to it.

    Attributes:
        version: Version of the store.
        rows: All rows of the table, or the changed ones.
        is_whole: Whether ``rows`` has all rows.
        held: Rows that a peer keeps in force in place of those of a restored
            store, which ``rows`` has; without a value if it keeps none.
    """

    version: store_versions.Version
    rows: list[Row]
    is_whole: bool
    held: list[Row] = []


# Compares two values of a key by their content: positive if the first is newer,
# 0 if that can't be told.
CompareValues = abc.Callable[[str, bytes, bytes], int]


# Reads a complete table. Raises errors.StoreUnavailableError.
ReadTable = abc.Callable[[str], abc.Awaitable[Page]]

# Change feed of a table: waits for changes after a version and returns them.
# Arguments: table, version, maximum seconds to wait.
# Returns None if the store no longer keeps the changes after the version.
# Raises errors.StoreUnavailableError or errors.StoreUnconfirmedError.
WatchTable = abc.Callable[
    [str, store_versions.Version, float], abc.Awaitable[Page | None]
]

# Writes a row. Raises errors.StoreUnavailableError or
# errors.StoreUnconfirmedError.
WriteRow = abc.Callable[[str, str, bytes], abc.Awaitable[None]]
