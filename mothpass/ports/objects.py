"""The platform's object store: whole objects under names."""

from collections import abc

# Reads an object, None where there is none.
# Raises errors.StoreUnavailableError.
GetObject = abc.Callable[[str], abc.Awaitable[bytes | None]]

# Writes an object whole. Writing the same bytes again is harmless.
# Raises errors.StoreUnavailableError or errors.StoreUnconfirmedError.
PutObject = abc.Callable[[str, bytes], abc.Awaitable[None]]
