"""Loopback proxy that delays, resets or drops traffic."""

import asyncio
import contextlib
import enum
import socket
import struct

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


class Proxy:
    """Forwards connections to one address.

    Attributes:
        address: ``ip:port`` at which it listens.
        mode: Current mode.
        delay_s: Delay of each chunk in mode DELAY.
    """

    def __init__(self, upstream: str) -> None:
        self.address = ""
        self.mode = Mode.PASS
        self.delay_s = 0.1
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

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

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if self.mode is Mode.RESET:
                _reset(writer)
            else:
                await self._forward(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
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
            asyncio.ensure_future(self._copy(reader, upstream_writer, False)),
            asyncio.ensure_future(self._copy(upstream_reader, writer, True)),
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
        is_from_server: bool,
    ) -> None:
        has_dropped = False
        while data := await reader.read(_CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            # TCP delivers no byte after one that is missing.
            has_dropped = has_dropped or self._drops(is_from_server)
            if not has_dropped:
                writer.write(data)
                await writer.drain()
        # The close of a connection is dropped, too.
        while self.mode in (Mode.SILENT, Mode.DROP_ANSWERS):  # noqa: ASYNC110
            await asyncio.sleep(_POLL_INTERVAL_S)
        if has_dropped:
            _reset(writer)

    def _drops(self, is_from_server: bool) -> bool:
        return self.mode is Mode.SILENT or (
            is_from_server and self.mode is Mode.DROP_ANSWERS
        )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; a plain close would look like an orderly end."""
    raw_socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
