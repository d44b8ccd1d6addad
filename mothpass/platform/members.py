"""Decodes the entries under which targets register themselves."""

import typing

import msgspec

from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import target_table

# Table of the entries, keyed by target id.
TABLE = "servers"

_READY = "ready"
_DRAINING = "draining"


_MAX_PORT = 65_535
# Numbers that daemons also pass on to each other have 64 bits there.
_MAX_COUNT = 2**31 - 1
_MAX_MS = 2**53

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_MS)]


class _Entry(msgspec.Struct, kw_only=True, rename="camel"):
    """An entry as a target writes it."""

    service: str
    addr: str
    zone: str
    state: str
    version: str = ""
    slots: _Count = 0
    cold_left_ms: typing.Annotated[float, msgspec.Meta(le=_MAX_MS)] = 0.0
    born: _Milliseconds | None = None
    seq: int | None = None


def decode_entry(key: str, raw: bytes) -> target_table.Registration:
    """Decodes a target's entry.

    Raises:
        errors.MalformedInputError: If the entry is incomplete or invalid.
    """
    entry = decoding.decode_json(raw, _Entry)
    if entry.state not in (_READY, _DRAINING):
        raise errors.MalformedInputError(f"unknown state {entry.state!r}")
    if not _is_token(key):
        raise errors.MalformedInputError(f"invalid id {key!r}")
    if not _is_address(entry.addr):
        raise errors.MalformedInputError(f"invalid address {entry.addr!r}")
    return target_table.Registration(
        id=key,
        service=entry.service,
        address=entry.addr,
        availability_zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == _DRAINING,
        cold_left_s=max(0.0, entry.cold_left_ms / 1000),
        started_at_ms=entry.born,
        software_version=entry.version,
    )


def _is_token(text: str) -> bool:
    """Returns whether a text can stand in a header as it is."""
    return (
        bool(text) and text.isascii() and text.isprintable() and " " not in text
    )


def _is_address(text: str) -> bool:
    """Returns whether a text is a host and a port to connect to."""
    host, _, port = text.rpartition(":")
    if not host or not _is_token(text) or not port.isdigit():
        return False
    return len(port) <= len(str(_MAX_PORT)) and 0 < int(port) <= _MAX_PORT


def compare_values(key: str, first: bytes, second: bytes) -> int:
    """Compares entries of a target; see ``replicas.CompareValues``.

    Its start comes first, then its own count, which starts anew with it.
    """
    del key
    try:
        entries = [decoding.decode_json(raw, _Entry) for raw in (first, second)]
    except errors.MalformedInputError:
        return 0
    known, other = ((item.born, item.seq) for item in entries)
    if known[0] is None or other[0] is None:
        return 0
    if known[0] != other[0]:
        return known[0] - other[0]
    return (known[1] or 0) - (other[1] or 0)
