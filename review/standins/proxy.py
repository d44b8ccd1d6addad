"""Proxy whose open channels can go silent while new ones work."""

import asyncio
import contextlib


class _Channel:
    """One proxied channel.

    Attributes:
        is_silent: Whether bytes are swallowed in both directions.
        last_byte_at: Monotonic seconds at which bytes last passed.
    """

    __slots__ = ("is_silent", "last_byte_at")

    def __init__(self) -> None:
        self.is_silent = False
        self.last_byte_at = asyncio.get_running_loop().time()


class Proxy:
    """Forwards channels to one address.

    Attributes:
        address: ``ip:port`` once it is open.
    """

    def __init__(self, upstream: str) -> None:
        """Creates a proxy that doesn't listen yet."""
        self.address = ""
        self._upstream = upstream
        self._channels: set[_Channel] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def silence(self, idle_s: float) -> int:
        """Silences the channels over which nothing has passed for a time.

        Args:
            idle_s: That time in seconds; 0 for all open channels.

        Returns:
            How many went silent.
        """
        now = asyncio.get_running_loop().time()
        silenced = [
            channel
            for channel in self._channels
            if now - channel.last_byte_at >= idle_s
        ]
        for channel in silenced:
            channel.is_silent = True
        return len(silenced)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._upstream.rpartition(":")
        channel = _Channel()
        self._channels.add(channel)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            try:
                await asyncio.gather(
                    _copy(channel, reader, far_writer),
                    _copy(channel, far_reader, writer),
                )
            finally:
                far_writer.close()
        except OSError:
            pass
        finally:
            self._channels.discard(channel)
            writer.close()


async def _copy(
    channel: _Channel,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            if not channel.is_silent:
                channel.last_byte_at = asyncio.get_running_loop().time()
                writer.write(data)
        if not channel.is_silent:
            writer.close()
