"""gRPC options and traffic counters shared by peer links and server."""

import typing

import msgspec

KEY_HEADER = "x-mothpass-key"
KEEPALIVE_INTERVAL_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 2000
MAX_RECONNECT_BACKOFF_MS = 1000
MAX_MESSAGE_BYTES = 4 << 20
# HTTP/2 framing and gRPC prefix of one message.
FRAMING_BYTES = 14

GRPC_OPTIONS: list[tuple[str, typing.Any]] = [
    ("grpc.enable_http_proxy", 0),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1000),
    ("grpc.http2.min_ping_interval_without_data_ms", 1000),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
    ("grpc.initial_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS // 4),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
]


class PeerTraffic(msgspec.Struct, kw_only=True):
    """Counters of bytes and messages exchanged with peers since the start.

    Attributes:
        sent_bytes: Sizes of the messages sent, framing included.
        received_bytes: Sizes of the messages received, framing included.
        sent: Messages sent.
        received: Messages received.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    sent: int = 0
    received: int = 0

    def count_sent(
        self, size: int, *, framing_bytes: int = FRAMING_BYTES
    ) -> None:
        """Counts one sent message."""
        self.sent += 1
        self.sent_bytes += size + framing_bytes

    def count_received(
        self, size: int, *, framing_bytes: int = FRAMING_BYTES
    ) -> None:
        """Counts one received message."""
        self.received += 1
        self.received_bytes += size + framing_bytes
