"""Walks the claims table in parts to find rows whose time is over."""

from collections import abc

SCAN_LIMIT_ROWS = 100
_HEX = "0123456789abcdef"


class PruneWalk:
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
            rows: Rows read; at SCAN_LIMIT_ROWS there may be more.
        """
        if rows >= SCAN_LIMIT_ROWS:
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
