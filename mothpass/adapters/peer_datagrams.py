"""Exchanges count reports and batches between daemons as signed datagrams.

The newest datagram of a kind replaces all earlier ones, and the contents of a
lost one are sent again, so no datagram is acknowledged. A datagram takes a
tenth of the processor time of a gRPC message.

Format, big-endian: 8 bytes of keyed BLAKE2b over the rest, a byte for the kind,
4 bytes of the sender's wall clock in milliseconds, then the body. The body is
either the version of the sender's list of targets in 4 bytes, followed by the
counts of core/count_reports.py, or a protobuf batch. The sender is identified
by its source address, which is its address in the membership list.
"""

import asyncio
from collections import abc
import contextlib
import functools
import hashlib
import hmac
import logging
import struct
import typing

from google.protobuf import message

from mothpass.adapters import peer_transport
from mothpass.adapters import peers_pb2
from mothpass.core import count_reports
from mothpass.core import socket_addresses

_HEADER = struct.Struct(">BI")
_NAMES_VERSION = struct.Struct(">I")
_KIND_COUNTS = 1
_KIND_BATCH = 2
# Larger datagrams would be fragmented at the usual MTU of 1,500 bytes.
MAX_DATAGRAM_BYTES = 1400
_MAC_BYTES = 8
_UINT32 = 0xFFFFFFFF
_HALF_UINT32 = 1 << 31
_MAX_PARSED_ADDRESSES = 4096
_logger = logging.getLogger("mothpass.datagrams")

# Accepts a count report from an address.
AcceptCounts = abc.Callable[[str, count_reports.CountReport], None]

# Accepts a batch from an address.
AcceptBatch = abc.Callable[[str, peers_pb2.Batch], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """UDP endpoint for count reports and batches.

    Attributes:
        rejected: Datagrams dropped for a wrong signature, format or order.
    """

    __slots__ = (
        "_accept_batch",
        "_accept_counts",
        "_key",
        "_newest_sent_ms",
        "_traffic",
        "_transport",
        "_wall_ms",
        "rejected",
    )

    def __init__(
        self,
        *,
        key: str,
        accept_counts: AcceptCounts,
        accept_batch: AcceptBatch,
        traffic: peer_transport.PeerTraffic,
        wall_ms: abc.Callable[[], int],
    ) -> None:
        """Initializes the endpoint; ``open_datagrams`` binds it.

        Args:
            key: Secret that all daemons share.
            accept_counts: Accepts count reports.
            accept_batch: Accepts batches.
            traffic: Counters to update.
            wall_ms: Returns milliseconds since the epoch; orders datagrams.
        """
        self._key = hashlib.sha256(key.encode()).digest()
        self._accept_counts = accept_counts
        self._accept_batch = accept_batch
        self._traffic = traffic
        self._wall_ms = wall_ms
        self._transport: asyncio.DatagramTransport | None = None
        self._newest_sent_ms: dict[tuple[str, int], int] = {}
        self.rejected = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport for sending."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Verifies a datagram and passes on its body."""
        self._traffic.count_received(len(data), framing_bytes=0)
        body = data[_MAC_BYTES:]
        is_authentic = hmac.compare_digest(data[:_MAC_BYTES], self._sign(body))
        if not is_authentic or len(body) < _HEADER.size:
            self.rejected += 1
            return
        kind, sent_ms = _HEADER.unpack_from(body)
        address = f"{addr[0]}:{addr[1]}"
        if not self._is_in_order((address, kind), sent_ms):
            self.rejected += 1
            return
        self._newest_sent_ms[address, kind] = sent_ms
        if not self._handle_body(address, kind, body[_HEADER.size :]):
            self.rejected += 1

    def error_received(self, exc: Exception) -> None:
        """Logs a send error; later datagrams may succeed."""
        _logger.debug("datagram not sent: %s", exc)

    def send_counts(
        self, addresses: abc.Iterable[str], report: count_reports.CountReport
    ) -> None:
        """Sends a count report to peers, given as ``ip:port``."""
        head = _NAMES_VERSION.pack(report.names_version & _UINT32)
        self._send(addresses, _KIND_COUNTS, head + report.counts)

    def send_batch(self, address: str, batch: peers_pb2.Batch) -> bool:
        """Sends a batch if it fits into a datagram.

        Returns:
            Whether it fits.
        """
        data = batch.SerializeToString()
        if len(data) > MAX_DATAGRAM_BYTES - _MAC_BYTES - _HEADER.size:
            return False
        self._send([address], _KIND_BATCH, data)
        return True

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def retain(self, addresses: abc.Iterable[str]) -> None:
        """Drops the state of senders other than these addresses."""
        retained = set(addresses)
        self._newest_sent_ms = {
            source: sent_ms
            for source, sent_ms in self._newest_sent_ms.items()
            if source[0] in retained
        }

    def _handle_body(self, address: str, kind: int, body: bytes) -> bool:
        """Passes on a decoded body; returns False if it can't be decoded."""
        if kind == _KIND_COUNTS and len(body) >= _NAMES_VERSION.size:
            (version,) = _NAMES_VERSION.unpack_from(body)
            report = count_reports.CountReport(
                names_version=version,
                names=None,
                counts=body[_NAMES_VERSION.size :],
            )
            self._accept_counts(address, report)
            return True
        if kind == _KIND_BATCH:
            try:
                batch = peers_pb2.Batch.FromString(body)
            except message.DecodeError:
                return False
            self._accept_batch(address, batch)
            return True
        return False

    def _send(
        self, addresses: abc.Iterable[str], kind: int, body: bytes
    ) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        payload = _HEADER.pack(kind, self._wall_ms() & _UINT32) + body
        data = self._sign(payload) + payload
        for address in addresses:
            destination = _parse_address(address)
            if destination is None:
                continue
            with contextlib.suppress(OSError):
                transport.sendto(data, destination)
            self._traffic.count_sent(len(data), framing_bytes=0)

    def _sign(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, key=self._key, digest_size=_MAC_BYTES
        ).digest()

    def _is_in_order(self, source: tuple[str, int], sent_ms: int) -> bool:
        """Returns whether a datagram isn't older than the last of its kind.

        The difference is computed modulo 2**32, because the timestamp wraps.
        """
        newest_ms = self._newest_sent_ms.get(source)
        if newest_ms is None:
            return True
        return (sent_ms - newest_ms) & _UINT32 < _HALF_UINT32


@functools.lru_cache(maxsize=_MAX_PARSED_ADDRESSES)
def _parse_address(address: str) -> tuple[str, int] | None:
    """Returns host and port; logs an address that can't be sent to once.

    A transport raises for such an address, or closes for good.
    """
    destination = socket_addresses.parse_address(address)
    if destination is None:
        _logger.warning("can't send to the peer address %.60r", address)
    return destination


async def open_datagrams(address: str, endpoint: DatagramEndpoint) -> None:
    """Binds an endpoint to ``ip:port``.

    Raises:
        OSError: If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: endpoint, local_addr=(host, int(port))
    )
