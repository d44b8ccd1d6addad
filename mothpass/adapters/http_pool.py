"""Pool of keep-alive HTTP connections, by address."""

import asyncio

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
            async with asyncio.timeout(self._connect_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: http_exchanges.Connection(
                        loop=loop, turns=self._turns
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The latter two are of addresses that can't exist.
            raise errors.TargetUnreachableError(
                f"no connection to {address}: {error}"
            ) from error
        return connection
