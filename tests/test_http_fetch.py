"""Tests of reading whole responses."""

import asyncio
import contextlib
import unittest

from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.core import errors

_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
_SIZE = 4096


class FetchTest(unittest.IsolatedAsyncioTestCase):
    """One response of a server."""

    async def asyncSetUp(self) -> None:
        self.size = _SIZE
        self.piece_bytes = _SIZE
        self.pause_s = 0.0
        server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.pool = http_pool.ConnectionPool(connect_timeout_ms=1000)
        self.addCleanup(self.pool.close)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % self.size
        )
        with contextlib.suppress(OSError, asyncio.CancelledError):
            for _ in range(0, self.size, self.piece_bytes):
                writer.write(b"x" * self.piece_bytes)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        writer.close()

    async def fetch(self) -> bytes:
        """Fetches with a deadline that passes while the body arrives."""
        deadline = asyncio.get_running_loop().time() + 0.2
        reply = await http_fetch.fetch(
            self.pool, self.address, _REQUEST, deadline=deadline
        )
        return reply.body

    async def test_response_that_goes_on_is_read_past_the_deadline(
        self,
    ) -> None:
        self.piece_bytes, self.pause_s = _SIZE // 8, 0.08
        self.assertEqual(len(await self.fetch()), _SIZE)

    async def test_call_after_a_silent_one_opens_a_connection(self) -> None:
        """Guards against one silent connection after the other."""
        accepted = 0
        is_silent = False

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal accepted
            accepted += 1
            with contextlib.suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    if is_silent:
                        await asyncio.sleep(3600)
                    writer.write(
                        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                    )
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        await asyncio.gather(self.fetch(), self.fetch())
        self.assertEqual(accepted, 2)
        is_silent = True
        with self.assertRaises(errors.TargetAnswerLostError):
            await self.fetch()
        is_silent = False
        await self.fetch()
        self.assertEqual(accepted, 3)

    async def test_response_that_trickles_is_abandoned(self) -> None:
        self.piece_bytes, self.pause_s = 1, 0.05
        with self.assertRaises(errors.TargetAnswerLostError):
            async with asyncio.timeout(5.0):
                await self.fetch()

    async def test_large_response_that_trickles_is_abandoned_as_soon(
        self,
    ) -> None:
        """Guards against a peer that drips and keeps a daemon from a change."""
        self.size, self.piece_bytes, self.pause_s = 65_536, 64, 0.05
        with self.assertRaises(errors.TargetAnswerLostError):
            async with asyncio.timeout(2.0):
                await self.fetch()

    async def test_large_response_on_a_slow_link_is_read(self) -> None:
        """Guards against sound responses cut for their size."""
        self.size, self.piece_bytes, self.pause_s = 65_536, 2048, 0.1
        self.assertEqual(len(await self.fetch()), self.size)
