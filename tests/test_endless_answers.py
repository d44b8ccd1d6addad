"""Tests of answers whose heads or trailers never end."""

import asyncio
from collections import abc
import contextlib
import unittest

from mothpass.adapters import http_exchanges
from mothpass.adapters import http_fetch
from mothpass.adapters import http_pool
from mothpass.core import errors

_DEADLINE_S = 3.0
# An answer that can't become one is given up long before its deadline.
_GIVE_UP_S = 1.0
# What the server sends at most, should nothing stop it.
_MAX_SENT_BYTES = 40_000_000
# What the sockets between the two hold, beside what the client has read.
_SOCKET_BYTES = 8_000_000

_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
# What comes first, and what then comes without end.
_ENDLESS = {
    "header lines": (_HEAD, b"x-name: value\r\n" * 400),
    "one header": (_HEAD + b"x-name: ", b"v" * 6000),
    "trailers": (_CHUNKED, b"x-name: value\r\n" * 400),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
    "chunk extension": (_CHUNKED[:-3] + b"1;", b"e" * 6000),
}


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A server that sends something without end."""

    async def open_server(
        self, first: bytes, rest: bytes, pause_s: float = 0.0
    ) -> str:
        """Starts it; returns its address."""
        self.sent_bytes = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while self.sent_bytes < _MAX_SENT_BYTES:
                    writer.write(rest)
                    self.sent_bytes += len(rest)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def give_up(
        self, fetch: abc.Callable[[float], abc.Awaitable[object]]
    ) -> float:
        """Returns the seconds after which a fetch fails."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with self.assertRaises(errors.TargetAnswerLostError):
            await fetch(started_at + _DEADLINE_S)
        return loop.time() - started_at

    async def test_answer_without_end_is_given_up_in_bounded_memory(
        self,
    ) -> None:
        """Guards against a target that makes a daemon hold what it sends."""
        for name, (first, rest) in _ENDLESS.items():
            with self.subTest(name):
                pool = http_pool.ConnectionPool(connect_timeout_ms=500)
                address = await self.open_server(first, rest)

                async def fetch(
                    deadline: float,
                    pool: http_pool.ConnectionPool = pool,
                    address: str = address,
                ) -> object:
                    return await http_fetch.fetch(
                        pool, address, _REQUEST, deadline=deadline
                    )

                self.assertLess(await self.give_up(fetch), _GIVE_UP_S)
                limit = http_exchanges.MAX_OVERHEAD_BYTES + _SOCKET_BYTES
                self.assertLess(self.sent_bytes, limit)

    async def test_head_that_drips_is_as_good_as_silence(self) -> None:
        """Guards against a target that holds a request by a byte at a time."""
        pool = http_pool.ConnectionPool(connect_timeout_ms=500)
        address = await self.open_server(_HEAD, b"x", pause_s=0.05)

        async def fetch(deadline: float) -> None:
            connection = await pool.acquire(address, fresh=True)
            exchange = connection.send(
                _REQUEST, silence_ms=400, deadline=deadline
            )
            try:
                while not exchange.status:
                    await exchange.wait_for_progress()
            finally:
                connection.close()

        self.assertLess(await self.give_up(fetch), _GIVE_UP_S)

    async def test_many_small_chunks_are_no_overhead(self) -> None:
        """Guards against a bound that cuts sound streams."""
        chunks = b"".join(b"1\r\nx\r\n" for _ in range(100_000))
        answer = (
            _HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunks
        ) + b"0\r\n\r\n"

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = http_pool.ConnectionPool(connect_timeout_ms=500)
        reply = await http_fetch.fetch(
            pool,
            f"127.0.0.1:{port}",
            _REQUEST,
            deadline=asyncio.get_running_loop().time() + _DEADLINE_S,
        )
        self.assertEqual(len(reply.body), 100_000)


if __name__ == "__main__":
    unittest.main()
