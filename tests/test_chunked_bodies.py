"""Tests that bodies in many small chunks leave time for other requests."""

import asyncio
from unittest import mock

from uvicorn.protocols.http import httptools_impl

from mothpass.adapters import http_listener
from mothpass.adapters import relay_listener
from mothpass.ports import relay
from tests import crowds
from tests import listener_crowds
from tests import scripted_listeners

_CHUNKS = 9_000
# Chunks of two bytes in what is parsed without a break.
_CHUNKS_AT_ONCE = 1_200
_BODY = crowds.build_head(
    "/body", {"Transfer-Encoding": "chunked", "Connection": "close"}
)
_QUICK = crowds.build_head("/quick", {"Connection": "close"}, method="GET")


class DaemonListenerTest(listener_crowds.ListenerTest):
    """Tests the listener of mothpassd."""

    async def asyncSetUp(self) -> None:
        await self.open_daemon_listener(_answer, header_limit_bytes=2000)

    async def test_small_chunks_of_others_do_not_hold_up_a_request(
        self,
    ) -> None:
        """Guards against a crowd whose chunks all others must wait for."""
        await self.check_quick_request(
            http_listener.BoundedProtocol,
            "on_body",
            _BODY + crowds.build_chunks(2 * _CHUNKS, 2),
            parts_at_once=_CHUNKS_AT_ONCE,
            timeout_s=30,
        )

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


class RelayListenerTest(listener_crowds.ListenerTest):
    """Tests the listener of the relay."""

    async def asyncSetUp(self) -> None:
        self.sizes: list[int] = []
        await self.open_relay_listener(
            self._handle, header_limit_bytes=2000, memory_limit_bytes=1 << 24
        )

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
        await self.check_quick_request(
            relay_listener.ClientConnection,
            "on_body",
            _BODY + crowds.build_chunks(2 * _CHUNKS, 2),
            parts_at_once=_CHUNKS_AT_ONCE,
            timeout_s=30,
        )

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
