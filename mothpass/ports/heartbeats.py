"""How an instance tells the membership list that it is live or leaving."""

from collections import abc

from mothpass.ports import members

# Sends one heartbeat. Raises errors.StoreUnavailableError or
# errors.StoreUnconfirmedError where it may not have arrived.
SendHeartbeat = abc.Callable[[members.Instance], abc.Awaitable[None]]

# Takes an instance off the list, at the end of a graceful shutdown.
RemoveInstance = abc.Callable[[str], abc.Awaitable[None]]
