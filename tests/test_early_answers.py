"""Tests the turns of connections whose bodies nobody reads."""

import asyncio
from collections import abc
import unittest
from unittest import mock

from mothpass.adapters import http_listener
from mothpass.adapters import loop_turns
from mothpass.daemon import answers
from tests import crowds
from tests import scripted_listeners

_REQUESTS = 40
_CHUNKS = 3_000
_REQUEST = (
    crowds.build_head("/unknown", {"Transfer-Encoding": "chunked"})
    + crowds.build_chunks(2 * _CHUNKS, 2)
    + b"0\r\n\r\n"
)


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers requests before their bodies in small chunks are parsed."""

    async def test_a_connection_waits_for_one_turn_at_a_time(self) -> None:
        """Guards against a connection that takes the turns of others."""
        limits = http_listener.ListenerLimits(
            header_limit_bytes=2000,
            max_connections=2,
            held_limit_bytes=1 << 24,
            encode_refusal=answers.encode_refusal_without_id,
        )
        listener = await scripted_listeners.open_listener(self, _answer, limits)
        add = loop_turns.LoopTurns.add
        waiting_count = 0
        most_waiting = 0

        def add_counted(
            turns: loop_turns.LoopTurns, call: abc.Callable[[], None]
        ) -> None:
            nonlocal waiting_count, most_waiting

            def run() -> None:
                nonlocal waiting_count
                waiting_count -= 1
                call()

            waiting_count += 1
            most_waiting = max(most_waiting, waiting_count)
            add(turns, run)

        with mock.patch.object(loop_turns.LoopTurns, "add", add_counted):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port
            )
            self.addCleanup(writer.close)
            writer.write(_REQUESTS * _REQUEST)
            received = b""
            async with asyncio.timeout(30):
                while received.count(b"200 OK") < _REQUESTS:
                    part = await reader.read(65_536)
                    self.assertTrue(part)
                    received += part
        self.assertEqual(most_waiting, 1)


async def _answer(
    scope: scripted_listeners.Message,
    receive: scripted_listeners.Receive,
    send: scripted_listeners.Send,
) -> None:
    """Answers without the body, as to an unknown path."""
    del scope, receive
    headers = [(b"content-length", b"0")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b""})
