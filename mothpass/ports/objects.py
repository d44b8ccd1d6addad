"""Object store of the platform: named objects, read and written whole."""

from collections import abc

# Reads an object; returns None if it doesn't exist.
# Raises errors.StoreUnavailableError.
GetObject = abc.Callable[[str], abc.Awaitable[bytes | None]]

# Writes an object; idempotent for the same bytes.
# Raises errors.StoreUnavailableError or errors.StoreUnconfirmedError.
PutObject = abc.Callable[[str, bytes], abc.Awaitable[None]]
