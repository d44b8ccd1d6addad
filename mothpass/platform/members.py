"""Decodes the entries under which targets register themselves."""

import msgspec

from mothpass.core import decoding
from mothpass.core import errors
from mothpass.core import target_table

# Table of the entries, keyed by target id.
TABLE = "servers"

_READY = "ready"
_DRAINING = "draining"


class _Entry(msgspec.Struct, kw_only=True, rename="camel"):
    """An entry as a target writes it."""

    service: str
    addr: str
    zone: str
    state: str
    version: str = ""
    slots: int = 0
    cold_left_ms: float = 0.0
    born: int | None = None
    seq: int | None = None


def decode_entry(key: str, raw: bytes) -> target_table.Registration:
    """Decodes a target's entry.

    Raises:
        errors.MalformedInputError: If the entry is incomplete or invalid.
    """
    entry = decoding.decode_json(raw, _Entry)
    if entry.state not in (_READY, _DRAINING):
        raise errors.MalformedInputError(f"unknown state {entry.state!r}")
    host, _, port = entry.addr.rpartition(":")
    if not host or not port.isdigit():
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
