"""Loopback proxy that delays, resets or drops traffic."""

import asyncio
from collections import abc
import contextlib
import enum
import socket
import struct

Address = tuple[str, int]

_CHUNK_BYTES = 65_536
_POLL_INTERVAL_S = 0.02


class Mode(enum.StrEnum):
    """What a proxy does with connections.

    DROP_ANSWERS drops what the server sends; SILENT drops both directions,
    also on connections that are already open; RESET resets new connections.
    A connection that has lost a byte stays silent in that direction, and is
    reset in place of a close.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    DROP_ANSWERS = "mute_back"
    SILENT = "silent"


class _Link:
    """Connection of one client, with a mode of its own."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.client: Address = writer.get_extra_info("peername")
        self.own: Address = writer.get_extra_info("sockname")
        self.writer = writer
        self.mode = Mode.PASS


class Proxy:
    """Forwards connections to one address.

    Attributes:
        address: ``ip:port`` at which it listens.
        mode: Current mode.
        delay_s: Delay of each chunk in mode DELAY.
        find_mode: Returns the mode of a connection, from the addresses of its
            client and of this proxy.
    """

    def __init__(self, upstream: str) -> None:
        self.address = ""
        self.mode = Mode.PASS
        self.delay_s = 0.1
        self.find_mode: abc.Callable[[Address, Address], Mode] = (
            lambda _client, _own: Mode.PASS
        )
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._links: set[_Link] = set()

    async def open(self, host: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound_port}"

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            _reset(writer)

    def update_links(self) -> None:
        """Applies the modes of clients to their open connections."""
        for link in self._links:
            link.mode = self.find_mode(link.client, link.own)
            if link.mode is Mode.RESET:
                _reset(link.writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        link = _Link(writer)
        self._links.add(link)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            link.mode = self.find_mode(link.client, link.own)
            if Mode.RESET in (self.mode, link.mode):
                _reset(writer)
            else:
                await self._forward(reader, link)
        self._links.discard(link)
        self._writers.discard(writer)
        writer.close()

    async def _forward(self, reader: asyncio.StreamReader, link: _Link) -> None:
        writer = link.writer
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        self._writers.add(upstream_writer)
        tasks = [
            asyncio.ensure_future(
                self._copy(reader, upstream_writer, link, False)
            ),
            asyncio.ensure_future(
                self._copy(upstream_reader, writer, link, True)
            ),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._writers.discard(upstream_writer)
            upstream_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: _Link,
        is_from_server: bool,
    ) -> None:
        has_dropped = False
        while data := await reader.read(_CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            # TCP delivers no byte after one that is missing.
            has_dropped = has_dropped or self._drops(link, is_from_server)
            if not has_dropped:
                writer.write(data)
                await writer.drain()
        # The close of a connection is dropped, too.
        while self._drops(link, is_from_server=True):  # noqa: ASYNC110
            await asyncio.sleep(_POLL_INTERVAL_S)
        if has_dropped:
            _reset(writer)

    def _drops(self, link: _Link, is_from_server: bool) -> bool:
        modes = (self.mode, link.mode)
        return Mode.SILENT in modes or (
            is_from_server and Mode.DROP_ANSWERS in modes
        )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; a plain close would look like an orderly end."""
    raw_socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
