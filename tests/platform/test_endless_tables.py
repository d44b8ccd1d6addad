"""Tests of a daemon beside a peer whose tables have no end."""

import asyncio
import tracemalloc
from unittest import mock
import zlib

from tests.platform import fleet
from tests.platform import wire

_PAGE_BYTES = 300_000_000
_MEMORY_BOUND_BYTES = 100_000_000


class CompressedTableTest(fleet.FleetTest):
    """A peer that sends little which becomes much."""

    async def test_compressed_table_without_end_is_bounded(self) -> None:
        """Guards against a table that takes all memory once it is unpacked."""
        page = zlib.compress(bytes(_PAGE_BYTES), level=1)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await wire.read_request(reader)
            wire.write_answer(writer, 200, {}, page)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        peer = mock.Mock(
            address=f"127.0.0.1:{port}",
            message=mock.Mock(id="front-2"),
        )
        sync = self.services[0].fleet_sync
        [replica, *_] = sync._replicas.values()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertFalse(await sync._fetch_from(peer, replica, 0))
        _, peak = tracemalloc.get_traced_memory()
        self.assertLessEqual(peak, _MEMORY_BOUND_BYTES)
        answer = await self.send_request("GET", "/read/1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))
