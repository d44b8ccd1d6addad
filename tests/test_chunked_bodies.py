"""Tests that bodies in many small chunks leave time for other requests."""

import asyncio
import socket
import unittest
from unittest import mock

from uvicorn.protocols.http import httptools_impl

from mothpass.adapters import http_listener
from mothpass.adapters import relay_listener
from mothpass.core import client_memory
from mothpass.core import route_table
from mothpass.daemon import answers
from mothpass.ports import relay
from tests import crowds
from tests import scripted_listeners

_CONNECTIONS = 40
_CHUNKS = 9_000
# Turns of the event loop in which a request is accepted, read and answered.
_MAX_TURNS = 20
# Chunks of two bytes in what is parsed without a break.
_CHUNKS_AT_ONCE = 1_200
_BODY = crowds.build_head(
    "/body", {"Transfer-Encoding": "chunked", "Connection": "close"}
)
_QUICK = crowds.build_head("/quick", {"Connection": "close"}, method="GET")


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Sends bodies in chunks of two bytes to a listener in this process."""

    port: int

    def send(self, data: bytes) -> socket.socket:
        """Sends bytes that the listener reads once its event loop runs."""
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.setblocking(False)
        self.assertEqual(client.send(data), len(data))
        return client

    async def check_request(self, protocol: type[asyncio.Protocol]) -> None:
        """Checks how many chunks of others are parsed before an answer.

        Args:
            protocol: Protocol of the listener's connections.
        """
        on_body = protocol.on_body  # type: ignore[attr-defined]
        parsed = mock.Mock(wraps=on_body)
        chunks = crowds.build_chunks(2 * _CHUNKS, 2)
        with mock.patch.object(
            protocol,
            "on_body",
            lambda connection, body: parsed(connection, body),
        ):
            for _ in range(_CONNECTIONS):
                self.send(_BODY + chunks)
            client = self.send(_QUICK)
            async with asyncio.timeout(30):
                answer = await asyncio.get_running_loop().sock_recv(client, 99)
        self.assertIn(b"200 OK", answer)
        # A connection parses the first of its bytes as they come.
        self.assertLess(
            parsed.call_count, (_CONNECTIONS + _MAX_TURNS) * _CHUNKS_AT_ONCE
        )


class DaemonListenerTest(ListenerTest):
    """Tests the listener of mothpassd."""

    async def asyncSetUp(self) -> None:
        listener = await scripted_listeners.open_listener(
            self,
            _answer,
            http_listener.ListenerLimits(
                header_limit_bytes=2000,
                max_connections=_CONNECTIONS + 1,
                held_limit_bytes=1 << 24,
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )
        self.port = listener.port

    async def test_small_chunks_of_others_do_not_hold_up_a_request(
        self,
    ) -> None:
        """Guards against a crowd whose chunks all others must wait for."""
        await self.check_request(http_listener.BoundedProtocol)

    async def test_small_chunks_are_handed_over_together(self) -> None:
        """Guards against a body that is copied again for each chunk."""
        received = mock.Mock(wraps=httptools_impl.HttpToolsProtocol.on_body)
        with mock.patch.object(
            httptools_impl.HttpToolsProtocol,
            "on_body",
            lambda connection, body: received(connection, body),
        ):
            chunks = crowds.build_chunks(2 * _CHUNKS, 2)
            client = self.send(_BODY + chunks + b"0\r\n\r\n")
            reader, _ = await asyncio.open_connection(sock=client)
            async with asyncio.timeout(30):
                answer = await reader.read()
        self.assertTrue(answer.endswith(b"\r\n\r\n%d" % (2 * _CHUNKS)), answer)
        sizes = [len(call.args[1]) for call in received.call_args_list]
        self.assertEqual(sum(sizes), 2 * _CHUNKS)
        self.assertLess(len(sizes), _CHUNKS / 100)


class RelayListenerTest(ListenerTest):
    """Tests the listener of the relay."""

    async def asyncSetUp(self) -> None:
        limits = route_table.RequestLimits(
            header_bytes=2000,
            body_bytes=1 << 20,
            header_timeout_s=30,
            idle_timeout_s=30,
        )
        self.sizes: list[int] = []
        state = relay_listener.ListenerState(
            handle=self._handle,
            find_limits=lambda: limits,
            memory=client_memory.ClientMemory(limit_bytes=1 << 24),
            max_connections=_CONNECTIONS + 1,
        )
        server = await relay_listener.open_listener(state, "127.0.0.1:0")
        self.addCleanup(state.abort)
        self.addCleanup(server.close)
        assert isinstance(server, asyncio.Server)
        self.port = server.sockets[0].getsockname()[1]

    async def _handle(
        self,
        head: relay.ClientHead,
        body: bytes,
        client: relay_listener.ClientConnection,
    ) -> None:
        del head
        self.sizes.append(len(body))
        client.write_response(200, (), b"")

    async def test_small_chunks_of_others_do_not_hold_up_a_request(
        self,
    ) -> None:
        """Guards against a crowd whose chunks all others must wait for."""
        await self.check_request(relay_listener.ClientConnection)

    async def test_body_is_whole_after_several_turns(self) -> None:
        """Guards against bytes lost or mixed up between two turns."""
        chunks = crowds.build_chunks(2 * _CHUNKS, 2) + b"0\r\n\r\n"
        head = crowds.build_head("/body", {"Transfer-Encoding": "chunked"})
        client = self.send(2 * (head + chunks) + _QUICK)
        reader, _ = await asyncio.open_connection(sock=client)
        async with asyncio.timeout(30):
            answers = await reader.read()
        self.assertEqual(answers.count(b"HTTP/1.1 200 OK"), 3)
        self.assertEqual(self.sizes, [2 * _CHUNKS, 2 * _CHUNKS, 0])


async def _answer(
    scope: scripted_listeners.Message,
    receive: scripted_listeners.Receive,
    send: scripted_listeners.Send,
) -> None:
    """Answers with the size of the body, once it is whole."""
    size = 0
    is_whole = scope["path"] == "/quick"
    while not is_whole:
        message = await receive()
        size += len(message.get("body", b""))
        is_whole = not message.get("more_body", False)
    headers = [(b"content-length", b"%d" % len(str(size)))]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": str(size).encode()})
