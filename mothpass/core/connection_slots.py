"""Decides which connection gives way to a new one at the limit."""

import typing

# Shares of a process's descriptors. The rest is for connections to targets,
# peers and the store.
CLIENT_SHARE = 0.6
PEER_SHARE = 0.1
# Of each listener for operators: of health checks and of metrics.
OPERATOR_SHARE = 0.02
_MIN_CONNECTIONS = 8

Connection = typing.TypeVar("Connection", bound=typing.Hashable)


class ConnectionSlots(typing.Generic[Connection]):
    """Connections of a listener that could be closed, longest waiting first.

    Attributes:
        limit: Maximum number of connections.
    """

    __slots__ = ("_idle", "_reading", "_unused", "limit")

    def __init__(self, *, limit: int) -> None:
        """Starts without connections."""
        self.limit = limit
        # Dictionaries keep the order in which connections entered the state.
        self._unused: dict[Connection, None] = {}
        self._idle: dict[Connection, None] = {}
        self._reading: dict[Connection, None] = {}

    def record_idle(self, connection: Connection, *, is_used: bool) -> None:
        """Records that a connection waits for a request.

        Args:
            connection: The connection.
            is_used: Whether it has carried a request.
        """
        self.remove(connection)
        (self._idle if is_used else self._unused)[connection] = None

    def record_reading(self, connection: Connection) -> None:
        """Records that a connection has a part of a request."""
        self.remove(connection)
        self._reading[connection] = None

    def remove(self, connection: Connection) -> None:
        """Records that a connection is closed, or has a request in service."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)
        self._reading.pop(connection, None)

    def pick_victim(self) -> Connection | None:
        """Returns the connection to close, None if all are in service.

        Clients that have sent nothing go before those whose connection is
        likely to be used again, and these before unfinished requests.
        """
        for connections in (self._unused, self._idle, self._reading):
            for connection in connections:
                return connection
        return None


def compute_limit(
    *, share: float, descriptors: int | None, maximum: int
) -> int:
    """Returns the maximum number of connections of a listener.

    Args:
        share: Share of the process's descriptors that it may use.
        descriptors: Descriptors that the process may open, None for any number.
        maximum: Number that it may not exceed.
    """
    if descriptors is None:
        return maximum
    return max(_MIN_CONNECTIONS, min(maximum, int(share * descriptors)))
