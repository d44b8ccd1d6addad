"""Tests that answers in many small chunks leave time for other exchanges."""

import asyncio
import socket
import unittest
from unittest import mock

from mothpass.adapters import http_exchanges
from tests import crowds

_CONNECTIONS = 40
_CHUNKS = 9_000
# Turns of the event loop in which a short answer is read.
_MAX_TURNS = 20
# Chunks of two bytes in what is parsed without a break.
_CHUNKS_AT_ONCE = 1_200
_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class AnswerCrowdTest(unittest.IsolatedAsyncioTestCase):
    """Reads the answers of targets that send chunks of two bytes."""

    async def asyncSetUp(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)

    async def open_exchange(
        self, answer: bytes
    ) -> tuple[http_exchanges.Exchange, socket.socket, bytes]:
        """Returns an exchange, the target's socket, and what it will send."""
        loop = asyncio.get_running_loop()
        host, port = self.server.getsockname()
        _, connection = await loop.create_connection(
            lambda: http_exchanges.Connection(loop=loop), host, port
        )
        self.addCleanup(connection.close)
        target, _ = self.server.accept()
        self.addCleanup(target.close)
        target.setblocking(False)
        exchange = connection.send(
            b"GET / HTTP/1.1\r\n\r\n",
            silence_ms=None,
            deadline=loop.time() + 60,
        )
        return exchange, target, answer

    async def test_small_chunks_of_others_do_not_hold_up_an_answer(
        self,
    ) -> None:
        """Guards against answers that all other exchanges must wait for."""
        on_body = http_exchanges.Connection.on_body
        parsed_count = 0

        def count_chunk(
            connection: http_exchanges.Connection, body: bytes
        ) -> None:
            nonlocal parsed_count
            parsed_count += 1
            on_body(connection, body)

        with mock.patch.object(
            http_exchanges.Connection, "on_body", count_chunk
        ):
            long_answer = _HEAD + crowds.build_chunks(2 * _CHUNKS, 2)
            opened = [
                await self.open_exchange(long_answer)
                for _ in range(_CONNECTIONS)
            ]
            opened.append(await self.open_exchange(_SHORT))
            for _, target, answer in opened:
                self.assertEqual(target.send(answer), len(answer))
            quick = opened[-1][0]
            async with asyncio.timeout(30):
                while not quick.complete:
                    await quick.wait_for_progress()
        self.assertEqual(quick.read_available(), b"ok")
        # A connection parses the first of its bytes as they come.
        self.assertLess(
            parsed_count, (_CONNECTIONS + _MAX_TURNS) * _CHUNKS_AT_ONCE
        )
