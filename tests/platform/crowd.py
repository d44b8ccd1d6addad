"""Crowd of raw clients that send prepared bytes and read no answers."""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import socket

_PART_BYTES = 65_536
_CHECK_INTERVAL_S = 0.5
# Share of a core below which a process counts as idle.
_IDLE_SHARE = 0.1
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

# What one connection sends, in order. Connections may share the parts.
Message = abc.Sequence[bytes]


class Crowd:
    """Open connections to one address.

    Attributes:
        sent_bytes: What all connections together have sent.
    """

    __slots__ = ("_address", "_sockets", "_tasks", "sent_bytes")

    def __init__(self, *, address: str) -> None:
        """Starts without connections."""
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.sent_bytes = 0

    def open(
        self,
        messages: abc.Iterable[Message],
        receive_buffer_bytes: int | None = None,
    ) -> None:
        """Opens a connection for each message and starts to send.

        A connection stays open on this side until ``close``, whether or not
        its peer takes the whole message.
        """
        for message in messages:
            client = socket.socket()
            client.setblocking(False)
            if receive_buffer_bytes is not None:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
            self._sockets.append(client)
            self._tasks.append(asyncio.create_task(self._send(client, message)))

    async def settle(self, pid: int, timeout_s: float) -> None:
        """Waits until all is sent, or stalls, and a process is idle again."""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(timeout_s):
                while await self._is_active(pid):
                    pass

    async def close(self) -> None:
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()
        # A task that still sends would take the descriptor of its socket, once
        # it is closed, for that of the next connection.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._sockets:
            client.close()

    async def _is_active(self, pid: int) -> bool:
        sent_bytes = self.sent_bytes
        ticks = _read_cpu_ticks(pid)
        await asyncio.sleep(_CHECK_INTERVAL_S)
        used_s = (_read_cpu_ticks(pid) - ticks) / _TICKS_PER_S
        return (
            self.sent_bytes > sent_bytes
            or used_s > _IDLE_SHARE * _CHECK_INTERVAL_S
        )

    async def _send(self, client: socket.socket, message: Message) -> None:
        loop = asyncio.get_running_loop()
        # The peer may refuse or close the connection at any time.
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, self._address)
            for data in message:
                view = memoryview(data)
                for start in range(0, len(view), _PART_BYTES):
                    part = view[start : start + _PART_BYTES]
                    await loop.sock_sendall(client, part)
                    self.sent_bytes += len(part)


def _read_cpu_ticks(pid: int) -> int:
    """Returns the CPU time of a process, in clock ticks."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])
