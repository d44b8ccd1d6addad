"""Tests of the time and the room that one client may take."""

import asyncio
import socket

from tests.platform import fleet
from tests.platform import target_standin
from tests.platform import wire


class ClientLimitTest(fleet.FleetTest):
    """Clients that stop in the middle of a request or of an answer.

    The document lets a connection idle for 2 s, and its routes answer within
    3 s.
    """

    async def start_body(self) -> wire.Client:
        """Returns the connection of a client that has begun a body."""
        client = await wire.Client.connect(self.addresses[0])
        self.addCleanup(client.close)
        headers = self.make_headers(Transfer_Encoding="chunked")
        client.send("POST", "/pay/1", headers)
        client.write(b"2\r\nhi\r\n")
        return client

    async def check_turned_away(self, client: wire.Client) -> None:
        """Checks that a request is rejected and its connection closed."""
        answer = await client.read()
        self.assertEqual(answer.status, 503)
        self.assertIn(b'"ran":"no"', answer.body)
        self.assertTrue(await client.is_closed())
        self.assertEqual([item.runs for item in self.plain], [[], []])

    async def test_body_at_rest_is_turned_away(self) -> None:
        """Guards against unfinished bodies that stay for good."""
        client = await self.start_body()
        await self.check_turned_away(client)

    async def test_body_that_drips_is_turned_away(self) -> None:
        """Guards against a byte now and then that keeps a body alive."""
        client = await self.start_body()
        for _ in range(6):
            await asyncio.sleep(0.4)
            client.write(b"1\r\nx\r\n")
        await self.check_turned_away(client)

    async def test_client_that_reads_no_answer_is_disconnected(self) -> None:
        """Guards against answers that are held for good."""
        for target in self.plain:
            # More than the sockets between hold.
            target.answer = target_standin.answer_largely(12_000_000)
        loop = asyncio.get_running_loop()
        host, _, port = self.addresses[0].rpartition(":")
        with socket.socket() as client:
            client.setblocking(False)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await loop.sock_connect(client, (host, int(port)))
            lines = [f"{k}: {v}" for k, v in self.make_headers().items()]
            head = "\r\n".join(["GET /read/1 HTTP/1.1", *lines, "", ""])
            await loop.sock_sendall(client, head.encode())
            [service] = self.services
            connections = service._clients.connections
            await self.wait_for(
                lambda: any(item._unsent_bytes for item in connections)
            )
            await self.wait_for(lambda: not connections)
        self.assertEqual(service._client_memory.held_bytes, 0)

    async def test_requests_in_a_row_are_all_answered(self) -> None:
        """Guards against requests that are lost behind one in service."""
        client = await wire.Client.connect(self.addresses[0])
        self.addCleanup(client.close)
        for _ in range(100):
            client.send("POST", "/read/1", self.make_headers(), b"x" * 3000)
        for _ in range(100):
            answer = await client.read()
            self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_requests_in_a_row_are_read_as_they_are_answered(
        self,
    ) -> None:
        """Guards against a burst that is held whole before its turn."""
        client = await wire.Client.connect(self.addresses[0])
        self.addCleanup(client.close)
        request = b"GET / HTTP/1.1\r\nHost: x\r\nFiller: %s\r\n\r\n" % (
            b"x" * 900
        )
        count = 4000
        client.write(request * count)
        memory = self.services[0]._client_memory
        most_bytes = 0
        for _ in range(count):
            answer = await client.read()
            self.assertEqual(answer.status, 404)
            most_bytes = max(most_bytes, memory.held_bytes)
        self.assertLess(most_bytes, len(request) * count / 4)
