"""Tests for mothpass.adapters.peer_datagrams over loopback."""

import asyncio
import logging
import unittest

from mothpass.adapters import peer_datagrams
from mothpass.adapters import peer_transport
from mothpass.adapters import peers_pb2
from mothpass.core import count_reports

_KEY = "key-of-the-tests"
_REPORT = count_reports.CountReport(
    names_version=2**32 - 1, names=None, counts=b"\x01\x7f"
)


class DatagramEndpointTest(unittest.IsolatedAsyncioTestCase):
    """Checks which datagrams a daemon accepts from another."""

    async def asyncSetUp(self) -> None:
        self.reports: asyncio.Queue[tuple[str, count_reports.CountReport]] = (
            asyncio.Queue()
        )
        self.batches: asyncio.Queue[tuple[str, peers_pb2.Batch]] = (
            asyncio.Queue()
        )
        self.now_ms = 2**32 + 1000
        self.receiver = await self._open(_KEY)
        self.sender = await self._open(_KEY)

    async def _open(self, key: str) -> peer_datagrams.DatagramEndpoint:
        endpoint = peer_datagrams.DatagramEndpoint(
            key=key,
            accept_counts=lambda address, report: self.reports.put_nowait(
                (address, report)
            ),
            accept_batch=lambda address, batch: self.batches.put_nowait(
                (address, batch)
            ),
            traffic=peer_transport.PeerTraffic(),
            wall_ms=lambda: self.now_ms,
        )
        await peer_datagrams.open_datagrams("127.0.0.1:0", endpoint)
        self.addCleanup(endpoint.close)
        return endpoint

    def _address_of(self, endpoint: peer_datagrams.DatagramEndpoint) -> str:
        transport = endpoint._transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")
        return f"{host}:{port}"

    async def _wait_rejected(self, count: int) -> None:
        for _ in range(1000):
            if self.receiver.rejected >= count:
                return
            await asyncio.sleep(0.01)
        self.fail(f"{self.receiver.rejected} rejected instead of {count}")

    async def test_counts_arrive_with_address_of_sender(self) -> None:
        self.sender.send_counts([self._address_of(self.receiver)], _REPORT)
        async with asyncio.timeout(10.0):
            address, report = await self.reports.get()
        self.assertEqual(address, self._address_of(self.sender))
        self.assertEqual(report, _REPORT)

    async def test_batch_arrives_unchanged(self) -> None:
        batch = peers_pb2.Batch(sender="d1", catalogue_version=7)
        address = self._address_of(self.receiver)
        self.assertTrue(self.sender.send_batch(address, batch))
        async with asyncio.timeout(10.0):
            sender, received = await self.batches.get()
        self.assertEqual(sender, self._address_of(self.sender))
        self.assertEqual(received, batch)

    async def test_address_that_cannot_be_sent_to_holds_up_no_other(
        self,
    ) -> None:
        """Guards against one spoiled entry that ends ticks and requests."""
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        good = self._address_of(self.receiver)
        for bad in ("", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "a b:1"):
            with self.subTest(address=bad):
                await self._check_skipped(bad, good)
        for port in ("0", "-1", "70000", "9" * 400, "9" * 5000):
            with self.subTest(port=port[:5]):
                await self._check_skipped(f"127.0.0.1:{port}", good)

    async def _check_skipped(self, bad: str, good: str) -> None:
        """Sends to both addresses; checks what the second one receives."""
        batch = peers_pb2.Batch(sender="d1")
        self.now_ms += 1
        self.sender.send_counts([bad, good], _REPORT)
        self.sender.send_batch(bad, batch)
        self.sender.send_batch(good, batch)
        async with asyncio.timeout(5.0):
            await self.reports.get()
            await self.batches.get()

    async def test_oversized_batch_is_not_sent(self) -> None:
        batch = peers_pb2.Batch(
            changes=[b"x" * peer_datagrams.MAX_DATAGRAM_BYTES]
        )
        address = self._address_of(self.receiver)
        self.assertFalse(self.sender.send_batch(address, batch))

    async def test_wrong_key_is_rejected(self) -> None:
        stranger = await self._open("another-key-here")
        stranger.send_counts([self._address_of(self.receiver)], _REPORT)
        await self._wait_rejected(1)
        self.assertTrue(self.reports.empty())

    async def test_malformed_datagram_is_rejected(self) -> None:
        transport = self.sender._transport
        assert transport is not None
        host, port = self._address_of(self.receiver).split(":")
        for data in (b"\0", b"\0" * 8, b"\0" * 40):
            transport.sendto(data, (host, int(port)))
        await self._wait_rejected(3)
        self.assertTrue(self.reports.empty())

    async def test_older_datagram_is_rejected(self) -> None:
        address = self._address_of(self.receiver)
        self.sender.send_counts([address], _REPORT)
        async with asyncio.timeout(10.0):
            await self.reports.get()
        self.now_ms -= 500
        self.sender.send_counts([address], _REPORT)
        await self._wait_rejected(1)
        self.assertTrue(self.reports.empty())

    async def test_order_holds_when_timestamp_wraps(
        self,
    ) -> None:
        address = self._address_of(self.receiver)
        self.now_ms = 2**32 - 10
        self.sender.send_counts([address], _REPORT)
        self.now_ms = 2**32 + 10
        self.sender.send_counts([address], _REPORT)
        async with asyncio.timeout(10.0):
            for _ in range(2):
                await self.reports.get()
        self.assertEqual(self.receiver.rejected, 0)


if __name__ == "__main__":
    unittest.main()
