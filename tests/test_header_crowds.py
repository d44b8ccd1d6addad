"""Tests that requests with many header lines leave time for others."""

import asyncio

from mothpass.adapters import http_listener
from mothpass.adapters import relay_listener
from mothpass.ports import relay
from tests import listener_crowds
from tests import scripted_listeners

_HEADER_LIMIT_BYTES = 16_384
_LINES = 3_900
_REQUESTS = 4
# Turns that a target takes to answer.
_ANSWER_TURNS = 8
_REQUEST = b"GET /crowd HTTP/1.1\r\nHost: d\r\n" + b"a:\r\n" * _LINES + b"\r\n"


class DaemonHeaderCrowdTest(listener_crowds.ListenerTest):
    """Tests the listener of mothpassd."""

    async def asyncSetUp(self) -> None:
        await self.open_daemon_listener(
            _answer, header_limit_bytes=_HEADER_LIMIT_BYTES
        )

    async def test_header_lines_of_others_do_not_hold_up_a_request(
        self,
    ) -> None:
        """Guards against a crowd whose headers all others must wait for."""
        await self.check_quick_request(
            http_listener.BoundedProtocol,
            "on_header",
            _REQUESTS * _REQUEST,
            parts_at_once=_LINES,
            timeout_s=60,
        )


class RelayHeaderCrowdTest(listener_crowds.ListenerTest):
    """Tests the listener of the relay."""

    async def asyncSetUp(self) -> None:
        await self.open_relay_listener(
            _handle,
            header_limit_bytes=_HEADER_LIMIT_BYTES,
            memory_limit_bytes=1 << 27,
        )

    async def test_header_lines_of_others_do_not_hold_up_a_request(
        self,
    ) -> None:
        """Guards against a crowd whose headers all others must wait for."""
        await self.check_quick_request(
            relay_listener.ClientConnection,
            "on_header",
            _REQUESTS * _REQUEST,
            parts_at_once=_LINES,
            timeout_s=60,
        )


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
