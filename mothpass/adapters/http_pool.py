"""Pool of keep-alive HTTP connections, by address."""

import asyncio
import errno
import os
import socket

from mothpass.adapters import http_exchanges
from mothpass.adapters import loop_turns
from mothpass.core import errors

MAX_IDLE_CONNECTIONS = 256
# Below the keep-alive timeout of common servers, so that requests are seldom
# sent on a connection that the server is closing.
IDLE_TIMEOUT_MS = 3000


class ConnectionPool:
    """Opens connections and reuses idle ones."""

    __slots__ = ("_connect_timeout_ms", "_idle", "_turns")

    def __init__(self, *, connect_timeout_ms: int) -> None:
        """Starts without connections."""
        self._connect_timeout_ms = connect_timeout_ms
        self._turns = loop_turns.LoopTurns()
        self._idle: dict[str, list[http_exchanges.Connection]] = {}

    async def acquire(
        self, address: str, *, fresh: bool
    ) -> http_exchanges.Connection:
        """Returns a connection for exclusive use.

        Args:
            address: ``ip:port``.
            fresh: Whether to open a new connection.

        Raises:
            errors.TargetUnreachableError: If none could be opened.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if connection.is_open() and now < connection.idle_deadline:
                return connection
            connection.close()
        return await self._connect(address)

    def release(
        self,
        address: str,
        connection: http_exchanges.Connection,
        *,
        idle_s: float = IDLE_TIMEOUT_MS / 1000,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """Ends the exchange; keeps the connection if it is reusable.

        If only the end of the HTTP message is outstanding, this happens once
        it has arrived.

        Args:
            address: ``ip:port``.
            connection: The connection.
            idle_s: Longest time that it may stay idle, in seconds.
            max_idle_connections: Idle connections to keep to the address.
        """
        if connection.call_on_message_end(
            lambda: self.release(
                address,
                connection,
                idle_s=idle_s,
                max_idle_connections=max_idle_connections,
            )
        ):
            return
        idle = self._idle.setdefault(address, [])
        if not connection.finish() or len(idle) >= max_idle_connections:
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.idle_deadline = now + min(IDLE_TIMEOUT_MS / 1000, idle_s)
        idle.append(connection)

    def drop_idle(self, address: str) -> None:
        """Closes the idle connections to an address.

        Connections on one path may fail together and silently, such as when a
        firewall loses its state.
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.drop_idle(address)

    def prune(self) -> None:
        """Closes idle connections past their deadline."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            for connection in idle:
                if now >= connection.idle_deadline:
                    connection.close()
            remaining = [item for item in idle if now < item.idle_deadline]
            if remaining:
                self._idle[address] = remaining
            else:
                del self._idle[address]

    async def _connect(self, address: str) -> http_exchanges.Connection:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            connected = await self._open_socket(host, int(port))
            _, connection = await loop.create_connection(
                lambda: http_exchanges.Connection(loop=loop, turns=self._turns),
                sock=connected,
            )
        except (OSError, TypeError, ValueError, OverflowError) as error:
            # The latter three are of addresses that can't exist.
            raise errors.TargetUnreachableError(
                f"no connection to {address}: {error}"
            ) from error
        return connection

    async def _open_socket(self, host: str, port: int) -> socket.socket:
        """Returns a connected socket.

        Raises:
            TimeoutError: If there is no connection within the time.
            OSError: If it was refused or can't be made.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_STREAM)
        try:
            opened.setblocking(False)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error = opened.connect_ex((host, port))
            if error == errno.EINPROGRESS:
                error = await self._wait_for_connection(opened)
            if error:
                raise OSError(error, os.strerror(error))
        except BaseException:
            opened.close()
            raise
        return opened

    async def _wait_for_connection(self, opened: socket.socket) -> int:
        """Waits for a connection; returns the error number, 0 for none.

        Raises:
            TimeoutError: If there is neither within the time.
        """
        loop = asyncio.get_running_loop()
        writable: asyncio.Future[None] = loop.create_future()
        loop.add_writer(opened, _wake, writable)
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000):
                await writable
        except TimeoutError:
            # The event loop may be too busy to notice the connection in time.
            if not _is_connected(opened):
                raise
        finally:
            loop.remove_writer(opened)
        return opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _wake(waiting: asyncio.Future[None]) -> None:
    if not waiting.done():
        waiting.set_result(None)


def _is_connected(opened: socket.socket) -> bool:
    try:
        opened.getpeername()
    except OSError:
        return False
    return True
