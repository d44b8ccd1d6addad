"""Tests of silent or reset connections and of early answers."""

import asyncio
import contextlib

from tests.platform import fleet
from tests.platform import target_standin


class ReusedConnectionsTest(fleet.FleetTest):
    """Requests over reused connections to targets."""

    async def use_connections(self) -> None:
        """Makes requests so that connections to all targets are pooled."""
        for number in range(6):
            await self.send_request("GET", f"/read/{number}")

    async def test_read_on_a_reset_connection_is_retried(self) -> None:
        await self.use_connections()
        for target in self.plain:
            target.on_reused_connection = target_standin.reset
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_read_on_a_silent_connection_is_retried(self) -> None:
        await self.use_connections()
        for target in self.plain:
            target.on_reused_connection = target_standin.stay_silent
        loop = asyncio.get_running_loop()
        start = loop.time()
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertLess(loop.time() - start, 1.5)

    async def test_payment_uses_no_reused_connection(self) -> None:
        await self.use_connections()
        for target in self.plain:
            target.on_reused_connection = target_standin.reset
        for _ in range(4):
            answer = await self.send_request("POST", "/pay/1", body=b"x")
            self.assertEqual(answer.status, 200)
        runs = [run for target in self.plain for run in target.runs]
        self.assertEqual(len(runs), len(set(runs)))


class EarlyAnswersTest(fleet.FleetTest):
    """A target that answers before it has read a long body.

    The unread rest of the body must not be parsed as a request.
    """

    async def test_rest_of_the_body_is_not_parsed_as_a_request(self) -> None:
        seen: list[bytes] = []

        async def read_head(reader: asyncio.StreamReader) -> bytes:
            with contextlib.suppress(
                asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                return await reader.readuntil(b"\r\n\r\n")
            return b""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while head := await read_head(reader):
                if b"/pay/" in head:
                    answer = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n"
                    writer.write(answer)
                    await asyncio.sleep(0.05)
                    seen.append(await reader.readexactly(9000))
                    continue
                seen.append(head.split(b" ", 2)[1])
                request_id = head.lower().split(b"attempt-id: ")[1][:16]
                writer.write(
                    b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
                    b"Content-Length: 2\r\n\r\nok" % request_id
                )
            writer.close()

        for target in self.plain:
            self.store.remove("servers", target.id)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        entry = self.plain[0].encode_entry("plain", addr=f"127.0.0.1:{port}")
        self.store.put("servers", "i-early", entry)
        targets = self.services[0].state.targets.targets
        await self.wait_for(lambda: "i-early" in targets, 8.0)
        await self.wait_for(
            lambda: not any(item.id in targets for item in self.plain), 8.0
        )
        body = b"GET /read/smuggled HTTP/1.1\r\n\r\n".ljust(9000, b"x")
        await self.send_request("POST", "/pay/1", body=body)
        await self.send_request("GET", "/read/after")
        self.assertEqual(seen, [body, b"/read/after"])
