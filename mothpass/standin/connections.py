"""Keeps track of a server's open connections so that faults can act on them."""

import asyncio
from collections import abc
import typing

from uvicorn.protocols.http import httptools_impl

Client = tuple[str, int]


class Connection:
    """One open connection of a client.

    Attributes:
        transport: Its transport.
        lost: Set once the connection is closed by either side.
        silent: Whether nothing may be sent on it any more.
    """

    __slots__ = ("_calls", "lost", "silent", "transport")

    def __init__(self, *, transport: asyncio.Transport) -> None:
        """Starts in good order."""
        self.transport = transport
        self.lost = asyncio.Event()
        self.silent = False
        self._calls: list[abc.Callable[[], None]] = []

    def call_when_lost(self, call: abc.Callable[[], None]) -> None:
        """Registers a call for when the connection is closed."""
        self._calls.append(call)

    def forget_call(self, call: abc.Callable[[], None]) -> None:
        """Takes back a call that was registered."""
        self._calls.remove(call)

    def close(self) -> None:
        """Closes it once what was sent on it has left."""
        self.transport.close()

    def note_lost(self) -> None:
        """Notes that it is closed."""
        self.lost.set()
        for call in self._calls:
            call()


class Connections:
    """All open connections of a server."""

    __slots__ = ("_open",)

    def __init__(self) -> None:
        """Starts with none."""
        self._open: dict[Client, Connection] = {}

    def add(self, client: Client, transport: asyncio.Transport) -> None:
        """Notes a new connection."""
        self._open[client] = Connection(transport=transport)

    def remove(self, client: Client) -> None:
        """Notes that a connection is closed."""
        connection = self._open.pop(client, None)
        if connection is not None:
            connection.note_lost()

    def get(self, client: Client) -> Connection | None:
        """Returns the connection of a client, None once it is closed."""
        return self._open.get(client)

    def silence(self) -> int:
        """Makes all open connections silent and returns how many there are."""
        for connection in self._open.values():
            connection.silent = True
        return len(self._open)

    def abort(self) -> None:
        """Cuts all open connections."""
        for connection in list(self._open.values()):
            connection.transport.abort()


class TrackedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol of uvicorn that reports its connections."""

    def __init__(
        self, *, connections_open: Connections, **kwargs: typing.Any
    ) -> None:
        """Keeps where to report, and passes the rest on to uvicorn."""
        super().__init__(**kwargs)
        self._connections_open = connections_open

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Reports the new connection."""
        super().connection_made(transport)
        if self.client is not None:
            self._connections_open.add(self.client, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports that the connection is closed."""
        super().connection_lost(exc)
        if self.client is not None:
            self._connections_open.remove(self.client)
