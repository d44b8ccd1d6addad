"""Serves this daemon's replicas of the tables to its peers."""

import asyncio
from collections import abc
import zlib

import msgspec

from mothpass.adapters import relay_listener
from mothpass.core import buckets
from mothpass.ports import relay
from mothpass.relay import replicas as replicas_module

PATH = "/tables/"
# Transfers of tables to peers at a time. A rejected peer fetches from another,
# so that a change spreads in rounds over links of 5 Mbit/s.
MAX_CONCURRENT_TRANSFERS = 4
# Leaves a part of a 5 Mbit/s link to clients and gossip. Answers that fit into
# a socket's buffer end at once, so that only their size bounds them.
TRANSFER_BYTES_PER_S = 500_000.0
TRANSFER_BURST_BYTES = 100_000.0


class TableServer:
    """Sends pages of the tables, as many as a slow link bears."""

    __slots__ = ("_pages", "_replicas", "_transfer_bytes", "_transfers")

    def __init__(
        self, *, replicas: abc.Mapping[str, replicas_module.Replica]
    ) -> None:
        """Starts without transfers.

        Args:
            replicas: Replicas by the names of their tables.
        """
        self._replicas = replicas
        self._transfers = 0
        self._transfer_bytes = buckets.TokenBucket(
            rate=TRANSFER_BYTES_PER_S, burst=TRANSFER_BURST_BYTES, now=0.0
        )
        # By table, the last encoded page and the versions that it is for.
        self._pages: dict[str, tuple[tuple[int, int], bytes]] = {}

    async def answer(
        self, head: relay.ClientHead, client: relay_listener.ClientConnection
    ) -> None:
        """Answers a request for the changes of a table since a version."""
        path, _, after = head.url.decode("latin-1").partition("?")
        replica = self._replicas.get(path.removeprefix(PATH))
        if replica is None or not after.isdigit():
            client.write_response(404, (), b"")
            return
        if self._transfers >= MAX_CONCURRENT_TRANSFERS:
            client.write_response(503, (), b"")
            return
        page = self._encode_page(replica, int(after))
        now = asyncio.get_running_loop().time()
        if not self._transfer_bytes.try_take(now, len(page)):
            client.write_response(503, (), b"")
            return
        self._transfers += 1
        try:
            client.write_response(200, (), page)
            # A slow link occupies its transfer until the answer is sent.
            await client.wait_until_sent()
        finally:
            self._transfers -= 1

    def _encode_page(
        self, replica: replicas_module.Replica, after: int
    ) -> bytes:
        """Returns the changes since a version; many peers ask for the same."""
        versions = (replica.content_version, after)
        known, page = self._pages.get(replica.name, (None, b""))
        # Rows that are kept through a restore change without a version.
        if known != versions or replica.has_holds:
            page = zlib.compress(
                msgspec.msgpack.encode(replica.make_page(after)), level=1
            )
            self._pages[replica.name] = (versions, page)
        return page
