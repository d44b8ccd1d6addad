"""Tests of short questions to a peer whose answer has no end."""

import asyncio
import contextlib
import unittest

from mothpass.adapters import http_pool
from mothpass.core import errors
from mothpass.core import stream_origins
from mothpass.relay import peer_questions
from tests.platform import wire

_TIMEOUT_S = 0.25
# For a machine that is busy.
_GIVE_UP_S = 2.0
_LIMIT_BYTES = 2_000_000
# What the sockets between the two hold, beside what the daemon has read.
_SOCKET_BYTES = 8_000_000
_MAX_SENT_BYTES = 40_000_000


class EndlessQuestionTest(unittest.IsolatedAsyncioTestCase):
    """A peer that sends without end, fast or slowly."""

    async def ask(self, piece: bytes, pause_s: float) -> None:
        """Asks a peer that sends pieces; checks that it is given up."""
        sent_bytes = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sent_bytes
            await wire.read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            with contextlib.suppress(OSError):
                while sent_bytes < _MAX_SENT_BYTES:
                    writer.write(piece)
                    sent_bytes += len(piece)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = http_pool.ConnectionPool(connect_timeout_ms=500)
        async with asyncio.timeout(_GIVE_UP_S):
            with self.assertRaises(errors.MothpassError):
                await peer_questions.ask(
                    pool,
                    f"127.0.0.1:{port}",
                    "/streams/1?models",
                    stream_origins.Answer,
                    timeout_s=_TIMEOUT_S,
                )
        self.assertLessEqual(sent_bytes, _LIMIT_BYTES + _SOCKET_BYTES)

    async def test_fast_answer_without_end_is_given_up(self) -> None:
        """Guards against peers that make a daemon hold what they send."""
        await self.ask(b"x" * 65_536, 0.0)

    async def test_slow_answer_without_end_is_given_up(self) -> None:
        """Guards against clients that wait for a peer that sends on."""
        await self.ask(b"x" * 4096, 0.02)


if __name__ == "__main__":
    unittest.main()
