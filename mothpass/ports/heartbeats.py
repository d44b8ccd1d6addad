"""Heartbeats by which an instance registers in the membership list."""

from collections import abc

from mothpass.ports import members

# Sends one heartbeat. Raises errors.StoreUnavailableError, or
# errors.StoreUnconfirmedError if it isn't known whether it arrived.
SendHeartbeat = abc.Callable[[members.Instance], abc.Awaitable[None]]

# Removes an instance from the list at the end of a graceful shutdown.
RemoveInstance = abc.Callable[[str], abc.Awaitable[None]]
