"""Settings of the daemon, checked in full before anything starts.

docs/SETTINGS.md describes each field; a test holds that page against these
structs.
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
    """Who this daemon is.

    Attributes:
        id: Name of the instance, unique over time.
        region: Region that it serves.
        availability_zone: Zone that it runs in.
        slot: Number of its place in the fleet of the region. No two running
            instances of a region have the same.
        slots: Places in the fleet of the region; slot is below it. The same
            for all daemons of the region.
    """

    id: catalogue.Name
    region: catalogue.Name
    availability_zone: catalogue.Name
    slot: typing.Annotated[int, msgspec.Meta(ge=0, le=4095)]
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)]

    def __post_init__(self) -> None:
        """Checks that the slot is one of the slots."""
        if self.slot >= self.slots:
            raise ValueError("slot must be below slots")


class Callers(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The listener for callers.

    Attributes:
        address: ``ip:port`` to listen at.
        body_limit_bytes: Larger bodies get 413.
        header_limit_bytes: Larger sets of headers get 431.
        connections: Connections open at once.
    """

    address: Address
    body_limit_bytes: Bytes = 4_194_304
    header_limit_bytes: Bytes = 32_768
    connections: typing.Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 4096


class Operators(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The listener for operators.

    Attributes:
        address: ``ip:port`` to listen at.
        token_sha256: SHA-256, in hex, of each token that is accepted.
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
        address: ``ip:port`` to listen at; the membership list shows it.
        key: Secret that all daemons share.
        tick_ms: Time between two batches of control messages.
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
        timeout_ms: Time after which an answer counts as lost.
        reads_per_s: Reads a second that the whole fleet may make.
        writes_per_s: Writes a second that the whole fleet may make.
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
    """How targets are called.

    Attributes:
        connect_timeout_ms: Time to open a connection.
        silence_ms: Time without progress after which a stream is probed over
            a new connection.
        load_poll_ms: Time between two reads of a target's load report.
    """

    connect_timeout_ms: catalogue.Milliseconds = 500
    silence_ms: catalogue.Milliseconds = 2000
    load_poll_ms: catalogue.Milliseconds = 1000


class Telemetry(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Logs and metrics.

    Attributes:
        log_level: Lowest level that is logged.
        statsd_address: ``ip:port`` of a statsd server, None for no metrics.
    """

    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    statsd_address: Address | None = None


class Shutdown(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Graceful shutdown after SIGTERM.

    Attributes:
        announce_ms: Time during which readiness is denied while new requests
            are still served, so that the balancer sees it.
        drain_ms: Time that running requests have to finish after that.
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
    """Decodes and checks settings in full.

    Args:
        data: UTF-8 JSON.

    Returns:
        The settings.

    Raises:
        errors.DocumentError: With every fault found, each with its path.
    """
    return documents.decode_document(data, Settings)
