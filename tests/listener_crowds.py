"""Crowds at a listener in the process of a test."""

import asyncio
import socket
import unittest
from unittest import mock

from mothpass.adapters import http_listener
from mothpass.adapters import relay_listener
from mothpass.core import client_memory
from mothpass.core import route_table
from mothpass.daemon import answers
from tests import crowds
from tests import scripted_listeners

CONNECTIONS = 40
# Turns of the event loop in which a request is accepted, read and answered.
_MAX_TURNS = 20
_QUICK = crowds.build_head("/quick", {"Connection": "close"}, method="GET")


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Opens a listener and sends it more than it parses in a turn.

    Attributes:
        port: Port of the listener.
    """

    port: int

    async def open_daemon_listener(
        self,
        application: scripted_listeners.Application,
        *,
        header_limit_bytes: int,
    ) -> None:
        """Opens a listener of mothpassd."""
        listener = await scripted_listeners.open_listener(
            self,
            application,
            http_listener.ListenerLimits(
                header_limit_bytes=header_limit_bytes,
                max_connections=CONNECTIONS + 1,
                held_limit_bytes=1 << 24,
                encode_refusal=answers.encode_refusal_without_id,
            ),
        )
        self.port = listener.port

    async def open_relay_listener(
        self,
        handle: relay_listener.Handle,
        *,
        header_limit_bytes: int,
        memory_limit_bytes: int,
    ) -> None:
        """Opens a listener of the relay."""
        limits = route_table.RequestLimits(
            header_bytes=header_limit_bytes,
            body_bytes=1 << 20,
            header_timeout_s=30,
            idle_timeout_s=30,
        )
        state = relay_listener.ListenerState(
            handle=handle,
            find_limits=lambda: limits,
            memory=client_memory.ClientMemory(limit_bytes=memory_limit_bytes),
            max_connections=CONNECTIONS + 1,
        )
        server = await relay_listener.open_listener(state, "127.0.0.1:0")
        self.addCleanup(state.abort)
        self.addCleanup(server.close)
        assert isinstance(server, asyncio.Server)
        self.port = server.sockets[0].getsockname()[1]

    def send(self, data: bytes) -> socket.socket:
        """Sends bytes that the listener reads once its event loop runs."""
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.setblocking(False)
        self.assertEqual(client.send(data), len(data))
        return client

    async def check_quick_request(
        self,
        protocol: type[asyncio.Protocol],
        callback: str,
        data: bytes,
        *,
        parts_at_once: int,
        timeout_s: float,
    ) -> None:
        """Checks how many parts of others are parsed before an answer.

        Args:
            protocol: Protocol of the listener's connections.
            callback: Name of its method that is called with each part.
            data: What each connection of the crowd sends.
            parts_at_once: Most parts that are parsed without a break.
            timeout_s: Time limit for the answer.
        """
        parsed = mock.Mock(wraps=getattr(protocol, callback))
        with mock.patch.object(
            protocol, callback, lambda *arguments: parsed(*arguments)
        ):
            for _ in range(CONNECTIONS):
                self.send(data)
            client = self.send(_QUICK)
            async with asyncio.timeout(timeout_s):
                answer = await asyncio.get_running_loop().sock_recv(client, 99)
        self.assertIn(b"200 OK", answer)
        # A connection parses the first of its bytes as they come.
        self.assertLess(
            parsed.call_count, (CONNECTIONS + _MAX_TURNS) * parts_at_once
        )
