"""Scans the claims table by key prefix for rows whose retention has ended.

The key of a deleted row may be claimed anew, and the new row goes through the
same versions. A delete must therefore not arrive late, and two daemons must
not delete at the same time: rows are deleted only under a lease on the prefix
of their keys.
"""

from collections import abc

import msgspec

from mothpass.core import claims
from mothpass.core import decoding
from mothpass.ports import tables

LEASE_TABLE = "claims_pruning"
LEASE_DURATION_MS = 30_000
# Hexadecimal digits of the key prefix that one lease covers.
LEASE_PREFIX_DIGITS = 2
MAX_SCAN_ROWS = 100
_HEX_DIGITS = "0123456789abcdef"


class PruneLease(msgspec.Struct, frozen=True, kw_only=True):
    """Lease under which one daemon at a time deletes rows of a prefix.

    Attributes:
        until_ms: Wall time in milliseconds since the epoch after which the
            holder deletes nothing.
    """

    until_ms: int


def plan_lease(
    prefix: str, found: tables.Row | None, *, wall_ms: int
) -> tables.Write | None:
    """Plans the write that takes the lease of a key prefix.

    Args:
        prefix: First ``LEASE_PREFIX_DIGITS`` digits of the keys.
        found: The lease's row as read, None if there is none.
        wall_ms: Wall time now.

    Returns:
        The write; None while deletes of an earlier holder may still arrive.
    """
    if found is not None:
        lease = decoding.decode_json(found.value, PruneLease)
        if wall_ms <= lease.until_ms + claims.MAX_CLOCK_SKEW_MS:
            return None
    lease = PruneLease(until_ms=wall_ms + LEASE_DURATION_MS)
    return tables.Write(
        table=LEASE_TABLE,
        key=prefix,
        expected_version=found.version if found else 0,
        value=msgspec.Raw(msgspec.json.encode(lease)),
    )


class PruneScan:
    """Cursor of a repeated scan: the key prefix to read next.

    The key space is divided into one share per slot of the fleet. A daemon
    moves on to the next share with each pass, so that the shares of slots
    without a running daemon are scanned as well. A prefix with more rows than
    one read returns is divided.
    """

    __slots__ = ("_pass_count", "_pending", "_slot", "_slots")

    def __init__(self, *, slot: int, slots: int) -> None:
        """Starts before the first prefix.

        Args:
            slot: Slot of this daemon in the fleet, from 0.
            slots: Number of slots of the fleet.
        """
        self._slot = slot
        self._slots = slots
        self._pass_count = 0
        self._pending: list[str] = []

    def next_prefix(self) -> str:
        """Returns the prefix to read now."""
        if not self._pending:
            share = (self._slot + self._pass_count) % self._slots
            self._pending = list(_list_prefixes(share, self._slots))
            self._pass_count += 1
        return self._pending.pop()

    def record(self, prefix: str, rows: int) -> None:
        """Records how many rows a read of a prefix returned.

        Args:
            prefix: A result of ``next_prefix``.
            rows: Rows read; at ``MAX_SCAN_ROWS`` there may be more.
        """
        if rows >= MAX_SCAN_ROWS:
            self._pending.extend(prefix + digit for digit in _HEX_DIGITS)


def _list_prefixes(share: int, shares: int) -> abc.Iterator[str]:
    """Yields the prefixes of one share, all of the same length."""
    length = 0
    while 16**length < shares:
        length += 1
    count = 16**length
    for number in range(count):
        if number * shares // count == share:
            yield f"{number:0{length}x}" if length else ""
