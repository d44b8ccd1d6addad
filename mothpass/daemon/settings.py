"""Settings of the daemon, validated in full before it starts.

docs/SETTINGS.md describes each field; a test compares it with these structs.
"""

import typing

import msgspec

from mothpass.core import catalogue
from mothpass.core import documents

Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
Url = typing.Annotated[
    str, msgspec.Meta(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
Secret = typing.Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1024, le=1 << 30)]


class Instance(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Identity of this daemon.

    Attributes:
        id: Name of the instance, never reused.
        region: Region that it serves.
        availability_zone: Availability zone that it runs in.
        slot: Index of this daemon in the fleet of the region, unique among
            the running instances of the region.
        slots: Number of slots in the fleet of the region, equal for all its
            daemons; ``slot`` is below it.
    """

    id: catalogue.Name
    region: catalogue.Name
    availability_zone: catalogue.Name
    slot: typing.Annotated[int, msgspec.Meta(ge=0, le=4095)]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)]

    def __post_init__(self) -> None:
        """Checks that the slot is below the number of slots."""
        if self.slot >= self.slots:
            raise ValueError("slot must be below slots")


class Callers(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The listener for clients.

    Attributes:
        address: ``ip:port`` to listen on.
        body_limit_bytes: Maximum size of a body; larger ones get 413.
        header_limit_bytes: Maximum size of all headers; larger ones get 431.
        connections: Maximum number of open connections; at most half of the
            descriptors that the process may open are used for them.
        held_bytes: Most bytes of requests, from their first byte to their end,
            and of unread responses that all clients together make the daemon
            hold; at least twice ``body_limit_bytes`` is used. Above it, the
            largest bodies that aren't whole get 503.
    """

    address: Address
    body_limit_bytes: Bytes = 4_194_304
    header_limit_bytes: Bytes = 32_768
    connections: typing.Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 4096
    held_bytes: Bytes = 67_108_864


class Operators(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The listener for operators.

    Attributes:
        address: ``ip:port`` to listen on.
        token_sha256: SHA-256 in hex of each accepted token.
    """

    address: Address
    token_sha256: typing.Annotated[
        list[catalogue.Sha256], msgspec.Meta(min_length=1, max_length=16)
    ]


class Peers(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Exchange with the other daemons of the region.

    Attributes:
        address: ``ip:port`` to listen on, published in the membership list.
        key: Secret shared by all daemons.
        tick_ms: Interval of the control loop.
    """

    address: Address
    key: Secret
    tick_ms: typing.Annotated[int, msgspec.Meta(ge=50, le=5000)] = 250


class Platform(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The platform's services.

    Attributes:
        tables_url: Base URL of the table service.
        objects_url: Base URL of the object store.
        members_url: Base URL of the membership list.
        timeout_ms: Time without a byte after which an answer counts as lost.
        reads_per_s: Maximum store reads per second of the whole fleet.
        writes_per_s: Maximum store writes per second of the whole fleet.
    """

    tables_url: Url
    objects_url: Url
    members_url: Url
    timeout_ms: catalogue.Milliseconds = 1000
    reads_per_s: catalogue.Count = 2000
    writes_per_s: catalogue.Count = 300


class Targets(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Connections to targets.

    Attributes:
        connect_timeout_ms: Timeout for opening a connection.
        silence_ms: Time without progress after which a stream is probed over
            a new connection.
        load_poll_ms: Interval between reads of a target's load report.
    """

    connect_timeout_ms: catalogue.Milliseconds = 500
    silence_ms: catalogue.Milliseconds = 2000
    load_poll_ms: catalogue.Milliseconds = 1000


class Telemetry(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Logs and metrics.

    Attributes:
        log_level: Minimum level that is logged.
        statsd_address: ``ip:port`` of a statsd server; None sends no metrics.
    """

    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    statsd_address: Address | None = None


class Shutdown(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Graceful shutdown after SIGTERM.

    Attributes:
        announce_ms: Time during which the daemon reports not ready but still
            serves new requests, so that the load balancer stops sending them.
        drain_ms: Maximum time after that for requests in flight to finish.
    """

    announce_ms: catalogue.Milliseconds = 1000
    drain_ms: catalogue.Milliseconds = 30_000


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All settings of one daemon."""

    instance: Instance
    callers: Callers
    operators: Operators
    peers: Peers
    platform: Platform
    targets: Targets = Targets()
    telemetry: Telemetry = Telemetry()
    shutdown: Shutdown = Shutdown()


def decode_settings(data: bytes) -> Settings:
    """Decodes and validates settings in full.

    Args:
        data: UTF-8 JSON.

    Returns:
        The settings.

    Raises:
        errors.DocumentError: Lists every problem found, each with its path.
    """
    return documents.decode_document(data, Settings)
