"""Tests of how connections are opened."""

import asyncio
import socket
import time
import unittest

import uvloop

from mothpass.adapters import http_pool
from mothpass.core import errors

_TIMEOUT_MS = 50


async def _connect(address: str, *, is_busy: bool) -> None:
    """Opens a connection, beside an event loop that may be held up."""
    pool = http_pool.ConnectionPool(connect_timeout_ms=_TIMEOUT_MS)
    opening = asyncio.ensure_future(pool.acquire(address, fresh=True))
    while is_busy and not opening.done():
        # No turn of the loop is as short as the time for a connection.
        time.sleep(2 * _TIMEOUT_MS / 1000)  # noqa: ASYNC251
        await asyncio.sleep(0)
    connection = await opening
    connection.close()


class ConnectTest(unittest.TestCase):
    """Connections to an address that listens, and to one that is silent."""

    def setUp(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0), backlog=1)
        self.addCleanup(self.server.close)
        host, port = self.server.getsockname()
        self.address = f"{host}:{port}"

    def test_connection_that_a_busy_loop_notices_late_is_used(self) -> None:
        """Guards against paths that count as lost for this daemon's load."""
        for run in (asyncio.run, uvloop.run):
            with self.subTest(loop=run.__module__):
                run(_connect(self.address, is_busy=True))

    def test_connection_that_is_never_made_is_none(self) -> None:
        """Guards against requests that wait for a silent address."""
        host, port = self.server.getsockname()
        # A full backlog leaves further connections without an answer.
        for _ in range(3):
            client = socket.socket()
            self.addCleanup(client.close)
            client.setblocking(False)
            client.connect_ex((host, port))
        for run in (asyncio.run, uvloop.run):
            for is_busy in (False, True):
                with (
                    self.subTest(loop=run.__module__, is_busy=is_busy),
                    self.assertRaises(errors.TargetUnreachableError),
                ):
                    run(_connect(self.address, is_busy=is_busy))


if __name__ == "__main__":
    unittest.main()
