"""A loopback proxy that delays, resets, cuts one way and silences."""

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536
_POLL_S = 0.02


class Mode(enum.StrEnum):
    """What a proxy does with the connections through it.

    MUTE_BACK drops what the server sends; SILENT drops both ways, also on
    connections that were open before; RESET closes them all as they come.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    MUTE_BACK = "mute_back"
    SILENT = "silent"


class Proxy:
    """Passes connections on to one address.

    Attributes:
        address: ``ip:port`` at which it listens.
        mode: What it does now.
        delay_s: Time that each part takes where it delays.
    """

    def __init__(self, upstream: str) -> None:
        self.address = ""
        self.mode = Mode.PASS
        self.delay_s = 0.1
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._pass, host, port)
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound}"

    def close(self) -> None:
        """Stops listening and resets what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections that are open."""
        for writer in self._writers:
            writer.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if self.mode is Mode.RESET:
                writer.transport.abort()
            else:
                await self._connect(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._upstream.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        tasks = [
            asyncio.ensure_future(self._copy(reader, far_writer, False)),
            asyncio.ensure_future(self._copy(far_reader, writer, True)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._writers.discard(far_writer)
            far_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            dropped = self.mode is Mode.SILENT or (
                is_back and self.mode is Mode.MUTE_BACK
            )
            if not dropped:
                writer.write(data)
                await writer.drain()
        # The end of a connection doesn't get through either.
        while self.mode in (Mode.SILENT, Mode.MUTE_BACK):  # noqa: ASYNC110
            await asyncio.sleep(_POLL_S)
