"""Walks the claims table in parts to find rows whose time is over.

A deleted row's key may be claimed anew, and the new row goes through the same
versions. So a delete must not arrive late, and no two daemons may delete at
once: a part of the table is deleted from under a lease only.
"""

from collections import abc

import msgspec

from mothpass.core import claims
from mothpass.ports import tables

LEASE_TABLE = "claims_pruning"
LEASE_DURATION_MS = 30_000
LEASE_PREFIX_DIGITS = 2
MAX_SCAN_ROWS = 100
_HEX = "0123456789abcdef"


class PruneLease(msgspec.Struct, frozen=True, kw_only=True):
    """Row by which one daemon at a time deletes from a part.

    Attributes:
        until_ms: Wall time, milliseconds since the epoch, after which its
            holder deletes nothing.
    """

    until_ms: int


def plan_lease(
    part: str, found: tables.Row | None, *, wall_ms: int
) -> tables.Write | None:
    """Decides the write that takes the lease of a part.

    Args:
        part: First digits of the keys in the part.
        found: The lease's row as read.
        wall_ms: Wall time now.

    Returns:
        The write; None while another holder's deletes may still arrive.
    """
    if found is not None:
        lease = msgspec.json.decode(found.value, type=PruneLease)
        if wall_ms <= lease.until_ms + claims.MAX_CLOCK_SKEW_MS:
            return None
    lease = PruneLease(until_ms=wall_ms + LEASE_DURATION_MS)
    return tables.Write(
        table=LEASE_TABLE,
        key=part,
        expected_version=found.version if found else 0,
        value=msgspec.Raw(msgspec.json.encode(lease)),
    )


class PruneScan:
    """Which prefix of the row keys to read next.

    The fleet's daemons share the keys by slot, each a part; the parts move on
    by one with each walk, so that rows of a slot that isn't running are
    reached as well. A prefix with more rows than one read gives is divided.
    """

    __slots__ = ("_pending", "_round", "_slot", "_slots")

    def __init__(self, *, slot: int, slots: int) -> None:
        """Starts before the first prefix.

        Args:
            slot: Place of this daemon in the fleet, from 0.
            slots: Places in the fleet.
        """
        self._slot = slot
        self._slots = slots
        self._round = 0
        self._pending: list[str] = []

    def next_prefix(self) -> str:
        """Returns the prefix to read now."""
        if not self._pending:
            part = (self._slot + self._round) % self._slots
            self._pending = list(_list_prefixes(part, self._slots))
            self._round += 1
        return self._pending.pop()

    def record(self, prefix: str, rows: int) -> None:
        """Records how many rows a read of a prefix gave.

        Args:
            prefix: What ``next_prefix`` gave.
            rows: Rows read; at MAX_SCAN_ROWS there may be more.
        """
        if rows >= MAX_SCAN_ROWS:
            self._pending.extend(prefix + digit for digit in _HEX)


def _list_prefixes(part: int, parts: int) -> abc.Iterator[str]:
    """Yields the prefixes of one part, all of the same length."""
    length = 0
    while 16**length < parts:
        length += 1
    count = 16**length
    for number in range(count):
        if number * parts // count == part:
            yield f"{number:0{length}x}" if length else ""
