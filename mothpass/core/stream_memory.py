"""What the fleet leaves in the store of the streams that began at it.

Daemons tell each other which software version began which stream, which is lost
when all of them end at once. So a few daemons keep a row each with the versions
that have served of late and, while a service has several, with the streams
themselves. A daemon that has just started takes these rows for its own memory.
"""

from collections import abc
import itertools

import msgspec

from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import stream_origins

# Newest streams in a row, so that it stays within 64 KiB.
MAX_STREAMS = 6000
_STREAM_BYTES = 8


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The content of a row.

    Attributes:
        versions: Fingerprints of the versions that have served each service
            within the lifetime of a stream, in order.
        streams: Fingerprints of the streams that each version began, joined.
    """

    versions: dict[str, list[int]]
    streams: dict[int, bytes]

    @property
    def has_several_versions(self) -> bool:
        """Whether a stream of some service may have begun at either of two."""
        return any(len(known) > 1 for known in self.versions.values())


def make_snapshot(
    versions: abc.Mapping[str, stream_origins.Versions],
    origins: abc.Iterable[stream_origins.Origin],
) -> Snapshot:
    """Returns the content of a daemon's row.

    Args:
        versions: Versions that have served each service of late.
        origins: Streams that began of late, the newest first.
    """
    known = {service: sorted(item.known) for service, item in versions.items()}
    ambiguous = set(
        itertools.chain.from_iterable(
            fingerprints
            for fingerprints in known.values()
            if len(fingerprints) > 1
        )
    )
    streams: dict[int, list[bytes]] = {}
    for origin in itertools.islice(
        (item for item in origins if item.version in ambiguous), MAX_STREAMS
    ):
        encoded = origin.stream.to_bytes(_STREAM_BYTES)
        streams.setdefault(origin.version, []).append(encoded)
    return Snapshot(
        versions=known,
        streams={
            version: b"".join(encoded) for version, encoded in streams.items()
        },
    )


def encode(snapshot: Snapshot) -> bytes:
    """Returns the value of a row."""
    return msgspec.msgpack.encode(snapshot)


def decode(value: bytes) -> Snapshot:
    """Returns the content of a row.

    Raises:
        errors.DocumentError: If it can't be read.
    """
    try:
        return decoding.decode_msgpack(value, Snapshot)
    except errors.MalformedInputError as error:
        problem = errors.Problem(path="", message=str(error))
        raise errors.DocumentError([problem]) from error


def list_versions(snapshots: abc.Iterable[Snapshot]) -> dict[str, list[int]]:
    """Returns the versions that served last.

    The newest row that names a service decides. Older ones may be of daemons
    that ended long ago.

    Args:
        snapshots: The rows, the newest first.
    """
    versions: dict[str, list[int]] = {}
    for snapshot in snapshots:
        for service, known in snapshot.versions.items():
            versions.setdefault(service, known)
    return versions


def list_origins(
    snapshots: abc.Iterable[Snapshot],
) -> list[stream_origins.Origin]:
    """Returns the streams of all rows, without those that rows contradict."""
    found: dict[int, set[int]] = {}
    for snapshot in snapshots:
        for version, encoded in snapshot.streams.items():
            for start in range(0, len(encoded), _STREAM_BYTES):
                stream = int.from_bytes(encoded[start : start + _STREAM_BYTES])
                found.setdefault(stream, set()).add(version)
    return [
        stream_origins.Origin(stream, versions.pop())
        for stream, versions in found.items()
        if len(versions) == 1
    ]
