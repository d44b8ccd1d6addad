"""Tests of what counts as silence of a target, and as late."""

import asyncio
import socket
import threading
import time
import unittest

import uvloop

from mothpass.adapters import http_exchanges
from mothpass.adapters import http_pool
from mothpass.core import errors

_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"


async def _fetch_beside_busy_loop() -> str:
    """Returns how an answer ends that comes while the loop is busy."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listening:

        def answer() -> None:
            accepted, _ = listening.accept()
            with accepted:
                accepted.recv(1024)
                time.sleep(0.1)
                accepted.sendall(_HEAD + b"abcdefgh")
                accepted.recv(1024)

        answering = threading.Thread(target=answer)
        answering.start()
        port = listening.getsockname()[1]
        pool = http_pool.ConnectionPool(connect_timeout_ms=300)
        connection = await pool.acquire(f"127.0.0.1:{port}", fresh=True)
        exchange = connection.send(
            b"GET / HTTP/1.1\r\n\r\n",
            silence_ms=200,
            deadline=loop.time() + 9,
        )
        sending, receiving = socket.socketpair()
        with sending, receiving:
            sending.send(b"x")

            def handle_other_bytes() -> None:
                receiving.recv(1)
                time.sleep(0.4)

            loop.add_reader(receiving, handle_other_bytes)
            try:
                while not exchange.complete:
                    await exchange.wait_for_progress()
                return "whole"
            except errors.MothpassError as error:
                return str(error)
            finally:
                loop.remove_reader(receiving)
                connection.close()
                await loop.run_in_executor(None, answering.join)


class BusyLoopTest(unittest.TestCase):
    """Answers that wait in the kernel while the loop is busy."""

    def test_late_loop_is_no_silence_of_a_target(self) -> None:
        """Guards against targets that are given up for others' bytes."""
        for run in (asyncio.run, uvloop.run):
            with self.subTest(run.__module__):
                self.assertEqual(run(_fetch_beside_busy_loop()), "whole")


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Answers whose reader is slow or has left."""

    async def open_exchange(
        self, answer: bytes, *, silence_ms: int, deadline_s: float
    ) -> http_exchanges.Exchange:
        """Sends a request to a target that answers and stays connected."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await reader.read()
            writer.close()
            self.is_left.set()

        self.is_left = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = http_pool.ConnectionPool(connect_timeout_ms=300)
        self.connection = await self.pool.acquire(self.address, fresh=True)
        self.addAsyncCleanup(self.close)
        return self.connection.send(
            b"GET / HTTP/1.1\r\n\r\n",
            silence_ms=silence_ms,
            deadline=asyncio.get_running_loop().time() + deadline_s,
        )

    async def close(self) -> None:
        """Closes the connection; waits until the target has noticed."""
        self.connection.close()
        await self.is_left.wait()

    async def test_slow_reader_is_no_silence_of_the_target(self) -> None:
        """Guards against whole answers that fail as their reader is slow."""
        body = b"x" * 2_000_000
        exchange = await self.open_exchange(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + body,
            silence_ms=100,
            deadline_s=30,
        )
        received = b""
        while not exchange.complete:
            await exchange.wait_for_progress()
            received += exchange.read_available()
            await asyncio.sleep(0.2)
        self.assertEqual(len(received + exchange.read_available()), len(body))

    async def test_message_end_that_never_comes_is_not_awaited(self) -> None:
        """Guards against connections that stay open beyond their deadline."""
        exchange = await self.open_exchange(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"4\r\nlast\r\n",
            silence_ms=200,
            deadline_s=0.5,
        )
        while not exchange.body_bytes:
            await exchange.wait_for_progress()
        exchange.read_available()
        exchange.content_ended = True
        self.pool.release(self.address, self.connection)
        await asyncio.sleep(1.5)
        self.assertFalse(self.connection.is_open())


if __name__ == "__main__":
    unittest.main()
