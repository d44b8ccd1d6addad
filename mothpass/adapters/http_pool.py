"""Keep-alive connections to targets, by address."""

import asyncio

from mothpass.adapters import http_exchanges
from mothpass.core import errors

IDLE_CONNECTIONS = 256
# Shorter than the time after which common servers close an idle connection,
# so that a request seldom meets one that is being closed.
IDLE_MS = 3000


class ConnectionPool:
    """Opens connections and keeps those that may be used again."""

    __slots__ = ("_connect_timeout_ms", "_idle")

    def __init__(self, *, connect_timeout_ms: int) -> None:
        """Starts without connections."""
        self._connect_timeout_ms = connect_timeout_ms
        self._idle: dict[str, list[http_exchanges.Connection]] = {}

    async def acquire(
        self, address: str, *, fresh: bool
    ) -> http_exchanges.Connection:
        """Returns a connection that carries nothing else.

        Args:
            address: ``ip:port``.
            fresh: Whether it must be a new one.

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
        idle_s: float = IDLE_MS / 1000,
        most_idle: int = IDLE_CONNECTIONS,
    ) -> None:
        """Ends the exchange; keeps the connection if it may be used again.

        Where only the end of the HTTP message is still to come, this is done
        once it has come.

        Args:
            address: ``ip:port``.
            connection: The connection.
            idle_s: Longest time in seconds after which it is used again.
            most_idle: Most idle connections that are kept to the address.
        """
        if connection.await_end(
            lambda: self.release(
                address, connection, idle_s=idle_s, most_idle=most_idle
            )
        ):
            return
        idle = self._idle.setdefault(address, [])
        if not connection.finish() or len(idle) >= most_idle:
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.idle_deadline = now + min(IDLE_MS / 1000, idle_s)
        idle.append(connection)

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def prune(self) -> None:
        """Closes the idle connections that won't be used again."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            for connection in idle:
                if now >= connection.idle_deadline:
                    connection.close()
            kept = [item for item in idle if now < item.idle_deadline]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def _connect(self, address: str) -> http_exchanges.Connection:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: http_exchanges.Connection(loop=loop),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise errors.TargetUnreachableError(
                f"no connection to {address}: {error}"
            ) from error
        return connection
