"""Tests that requests with many header lines leave time for others."""

import asyncio
import socket
import unittest
from unittest import mock

from mothpass.adapters import http_listener
from mothpass.adapters import relay_listener
from mothpass.core import client_memory
from mothpass.core import route_table
from mothpass.daemon import answers
from mothpass.ports import relay
from tests import crowds
from tests import scripted_listeners

_CONNECTIONS = 40
_HEADER_LIMIT_BYTES = 16_384
_LINES = 3_900
_REQUESTS = 4
# Turns of the event loop in which a request is accepted, read and answered.
_MAX_TURNS = 20
# Turns that a target takes to answer.
_ANSWER_TURNS = 8
_REQUEST = b"GET /crowd HTTP/1.1\r\nHost: d\r\n" + b"a:\r\n" * _LINES + b"\r\n"
_QUICK = crowds.build_head("/quick", {"Connection": "close"}, method="GET")


class HeaderCrowdTest(unittest.IsolatedAsyncioTestCase):
    """Sends requests of thousands of header lines, inside the limit."""

    port: int

    def send(self, data: bytes) -> socket.socket:
        """Sends bytes that the listener reads once its event loop runs."""
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.setblocking(False)
        self.assertEqual(client.send(data), len(data))
        return client

    async def check_request(self, protocol: type[asyncio.Protocol]) -> None:
        """Checks how many lines of others are parsed before an answer.

        Args:
            protocol: Protocol of the listener's connections.
        """
        on_header = protocol.on_header  # type: ignore[attr-defined]
        parsed_count = 0

        def count_header(
            connection: asyncio.Protocol, name: bytes, value: bytes
        ) -> None:
            nonlocal parsed_count
            parsed_count += 1
            on_header(connection, name, value)

        with mock.patch.object(protocol, "on_header", count_header):
            for _ in range(_CONNECTIONS):
                self.send(_REQUESTS * _REQUEST)
            client = self.send(_QUICK)
            async with asyncio.timeout(60):
                answer = await asyncio.get_running_loop().sock_recv(client, 99)
        self.assertIn(b"200 OK", answer)
        # A connection parses the first of its bytes as they come.
        self.assertLess(parsed_count, (_CONNECTIONS + _MAX_TURNS) * _LINES)


class DaemonHeaderCrowdTest(HeaderCrowdTest):
    """Tests the listener of mothpassd."""

    async def asyncSetUp(self) -> None:
        listener = await scripted_listeners.open_listener(
            self,
            _answer,
            http_listener.ListenerLimits(
                header_limit_bytes=_HEADER_LIMIT_BYTES,
                max_connections=_CONNECTIONS + 1,
                held_limit_bytes=1 << 24,
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )
        self.port = listener.port

    async def test_header_lines_of_others_do_not_hold_up_a_request(
        self,
    ) -> None:
        """Guards against a crowd whose headers all others must wait for."""
        await self.check_request(http_listener.BoundedProtocol)


class RelayHeaderCrowdTest(HeaderCrowdTest):
    """Tests the listener of the relay."""

    async def asyncSetUp(self) -> None:
        limits = route_table.RequestLimits(
            header_bytes=_HEADER_LIMIT_BYTES,
            body_bytes=1 << 20,
            header_timeout_s=30,
            idle_timeout_s=30,
        )
        state = relay_listener.ListenerState(
            handle=_handle,
            find_limits=lambda: limits,
            memory=client_memory.ClientMemory(limit_bytes=1 << 27),
            max_connections=_CONNECTIONS + 1,
        )
        server = await relay_listener.open_listener(state, "127.0.0.1:0")
        self.addCleanup(state.abort)
        self.addCleanup(server.close)
        assert isinstance(server, asyncio.Server)
        self.port = server.sockets[0].getsockname()[1]

    async def test_header_lines_of_others_do_not_hold_up_a_request(
        self,
    ) -> None:
        """Guards against a crowd whose headers all others must wait for."""
        await self.check_request(relay_listener.ClientConnection)


async def _handle(
    head: relay.ClientHead,
    body: bytes,
    client: relay_listener.ClientConnection,
) -> None:
    del body
    if head.url == b"/quick":
        await _wait_for_target()
    client.write_response(200, (), b"")


async def _answer(
    scope: scripted_listeners.Message,
    receive: scripted_listeners.Receive,
    send: scripted_listeners.Send,
) -> None:
    del receive
    if scope["path"] == "/quick":
        await _wait_for_target()
    headers = [(b"content-length", b"0")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b""})


async def _wait_for_target() -> None:
    for _ in range(_ANSWER_TURNS):
        await asyncio.sleep(0)
