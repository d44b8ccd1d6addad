"""Tests of the proxy that the soak puts between processes."""

import asyncio
import contextlib
import os
import socket
import unittest

from tests.soak import owners
from tests.soak import proxy

_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"
_BODY = b"body"
_ANSWER_TIMEOUT_S = 0.3


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Connections that lose bytes."""

    async def asyncSetUp(self) -> None:
        self.server_writer: asyncio.Future[asyncio.StreamWriter] = (
            asyncio.get_running_loop().create_future()
        )

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            del reader
            self.server_writer.set_result(writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        self.proxy = proxy.Proxy(f"{host}:{port}")
        await self.proxy.open("127.0.0.1")
        self.addCleanup(self.proxy.close)

    async def test_connection_that_lost_bytes_delivers_none_after_them(
        self,
    ) -> None:
        """Guards against clients that read the body without its head."""
        host, _, port = self.proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        server = await self.server_writer
        self.proxy.mode = proxy.Mode.DROP_ANSWERS
        server.write(_HEAD)
        await asyncio.sleep(_ANSWER_TIMEOUT_S)
        self.proxy.mode = proxy.Mode.PASS
        server.write(_BODY)
        received = b""
        with contextlib.suppress(TimeoutError, ConnectionResetError):
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                received = await reader.read(len(_HEAD) + len(_BODY))
        self.assertEqual(received, b"")
        server.close()
        with self.assertRaises(ConnectionResetError):
            await reader.read(1)

    async def test_link_of_one_process_is_cut(self) -> None:
        """Guards against cuts that hit no daemon, or all of them."""
        host, _, port = self.proxy.address.rpartition(":")
        own = os.getpid()
        cut: set[int] = set()

        def find_mode(
            client: proxy.Address, own_end: proxy.Address
        ) -> proxy.Mode:
            is_cut = owners.find_owner(client, own_end, cut) is not None
            return proxy.Mode.RESET if is_cut else proxy.Mode.PASS

        self.proxy.find_mode = find_mode
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        server = await self.server_writer
        server.write(_BODY)
        self.assertEqual(await reader.readexactly(len(_BODY)), _BODY)
        cut.add(os.getppid())
        self.proxy.update_links()
        server.write(_BODY)
        self.assertEqual(await reader.readexactly(len(_BODY)), _BODY)
        cut.add(own)
        self.proxy.update_links()
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await reader.read()


class OwnersTest(unittest.TestCase):
    """Processes at the other end of connections."""

    def test_descriptor_that_is_gone_hides_no_later_one(self) -> None:
        """Guards against cuts that miss a process which closes something."""
        lower = os.open(os.devnull, os.O_RDONLY)
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
            with socket.create_connection(address) as client:
                # The listing of descriptors takes this one's number.
                os.close(lower)
                owner = owners.find_owner(
                    client.getsockname(), address, [os.getpid()]
                )
        self.assertEqual(owner, os.getpid())


if __name__ == "__main__":
    unittest.main()
