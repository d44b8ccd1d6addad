"""Tests for the deadlines of mothpass.adapters.targets_http."""

import asyncio
import unittest

from mothpass.adapters import http_pool
from mothpass.adapters import targets_http
from mothpass.core import errors
from mothpass.ports import targets


class HttpTargetsTest(unittest.IsolatedAsyncioTestCase):
    """Sends attempts to a server that records the bytes it receives."""

    async def asyncSetUp(self) -> None:
        self.received: list[bytes] = []
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.pool = http_pool.ConnectionPool(connect_timeout_ms=1000)
        self.targets = targets_http.HttpTargets(pool=self.pool, silence_ms=1000)

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()
        await self.server.wait_closed()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.received.append(await reader.read(65_536))
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
        writer.close()

    def build_attempt(self, deadline_s: float) -> targets.Attempt:
        host, port = self.server.sockets[0].getsockname()
        return targets.Attempt(
            id="a1",
            target_id="s1",
            address=f"{host}:{port}",
            path="/v1/call/payment",
            body=b"{}",
            priority=0,
            idempotency_key="k",
            deadline=asyncio.get_running_loop().time() + deadline_s,
        )

    async def test_attempt_within_its_deadline_is_sent(self) -> None:
        answer = await self.targets.call(self.build_attempt(5.0))
        self.assertEqual(answer.body, b"{}")
        self.assertEqual(len(self.received), 1)

    async def test_attempt_past_its_deadline_sends_no_byte(self) -> None:
        with self.assertRaises(errors.TargetUnreachableError):
            await self.targets.call(self.build_attempt(-0.001))
        self.pool.close()
        await asyncio.sleep(0.05)
        self.assertEqual(b"".join(self.received), b"")


if __name__ == "__main__":
    unittest.main()
