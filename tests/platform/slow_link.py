"""Stand-in of a slow network link in front of a server."""

import asyncio
import contextlib

_PIECE_BYTES = 4096


class SlowLink:
    """Forwards connections; what comes back shares a bounded rate.

    Attributes:
        address: ``ip:port`` at which it listens.
        sent_bytes: Bytes that came back since the rate was set.
    """

    def __init__(self, *, upstream: str, bytes_per_s: float) -> None:
        self.address = ""
        self.sent_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._upstream = upstream
        self._free_at = 0.0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def set_rate(self, bytes_per_s: float) -> None:
        """Changes the rate at which the server's bytes arrive."""
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.sent_bytes = 0

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._upstream.rpartition(":")
        answers, requests = await asyncio.open_connection(host, int(port))
        for source, destination, is_paced in (
            (reader, requests, False),
            (answers, writer, True),
        ):
            task = asyncio.ensure_future(
                self._copy(source, destination, is_paced=is_paced)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self,
        source: asyncio.StreamReader,
        destination: asyncio.StreamWriter,
        *,
        is_paced: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while piece := await source.read(_PIECE_BYTES):
                if is_paced:
                    self.sent_bytes += len(piece)
                    await self._wait_for_turn(len(piece))
                destination.write(piece)
                await destination.drain()
        destination.close()

    async def _wait_for_turn(self, size: int) -> None:
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)
