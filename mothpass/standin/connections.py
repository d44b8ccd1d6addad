"""Tracks the open connections of a server for the injection of faults."""

import asyncio
from collections import abc
import typing

from uvicorn.protocols.http import httptools_impl

Client = tuple[str, int]


class Connection:
    """Open connection of a client.

    Attributes:
        transport: Transport of the connection.
        closed: Set once either side closed the connection.
        silent: Whether the server sends nothing more on it.
    """

    __slots__ = ("_close_callbacks", "closed", "silent", "transport")

    def __init__(self, *, transport: asyncio.Transport) -> None:
        """Initializes a connection that isn't silent."""
        self.transport = transport
        self.closed = asyncio.Event()
        self.silent = False
        self._close_callbacks: list[abc.Callable[[], None]] = []

    def add_close_callback(self, callback: abc.Callable[[], None]) -> None:
        """Registers a callback for when the connection is closed."""
        self._close_callbacks.append(callback)

    def remove_close_callback(self, callback: abc.Callable[[], None]) -> None:
        """Removes a registered callback."""
        self._close_callbacks.remove(callback)

    def close(self) -> None:
        """Closes the connection after its buffered data is sent."""
        self.transport.close()

    def mark_closed(self) -> None:
        """Marks the connection as closed and runs the callbacks."""
        self.closed.set()
        for callback in self._close_callbacks:
            callback()


class ConnectionTable:
    """Table of a server's open connections by client address."""

    __slots__ = ("_open",)

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._open: dict[Client, Connection] = {}

    def add(self, client: Client, transport: asyncio.Transport) -> None:
        """Adds a connection."""
        self._open[client] = Connection(transport=transport)

    def remove(self, client: Client) -> None:
        """Removes a connection that was closed."""
        connection = self._open.pop(client, None)
        if connection is not None:
            connection.mark_closed()

    def get(self, client: Client) -> Connection | None:
        """Returns the connection of a client, None if it is closed."""
        return self._open.get(client)

    def silence(self) -> int:
        """Makes all open connections silent and returns their number."""
        for connection in self._open.values():
            connection.silent = True
        return len(self._open)

    def abort(self) -> None:
        """Aborts all open connections."""
        for connection in list(self._open.values()):
            connection.transport.abort()


class TrackedProtocol(httptools_impl.HttpToolsProtocol):
    """Uvicorn's HTTP protocol, extended to track its connections."""

    def __init__(
        self, *, connection_table: ConnectionTable, **kwargs: typing.Any
    ) -> None:
        """Stores the connection table and passes the rest on to uvicorn."""
        super().__init__(**kwargs)
        self._connection_table = connection_table

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Adds the new connection to the table."""
        super().connection_made(transport)
        if self.client is not None:
            self._connection_table.add(self.client, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the closed connection from the table."""
        super().connection_lost(exc)
        if self.client is not None:
            self._connection_table.remove(self.client)
