"""Bounds the memory that all connections hold for their clients.

A limit for each connection can't do that: it has to admit the largest request,
and many clients may send one at a time. So all connections share a budget, and
the largest unfinished request gives way once it is exceeded.
"""

import typing

# Holdings up to this size are kept: they are what most requests need, and
# the limit on connections bounds their sum.
SMALL_BYTES = 32_768


class Holder(typing.Protocol):
    """A connection, as far as its memory is concerned."""

    @property
    def reclaimable_bytes(self) -> int:
        """Bytes that ``reclaim`` frees."""

    def reclaim(self) -> None:
        """Gives up what isn't in service."""


class ClientMemory:
    """Memory that all connections of a daemon hold.

    Attributes:
        limit_bytes: Limit above which memory is reclaimed.
        held_bytes: Bytes held now, as the connections report them.
        reclaim_count: Number of times that a connection gave up memory.
    """

    __slots__ = ("_large", "held_bytes", "limit_bytes", "reclaim_count")

    def __init__(self, *, limit_bytes: int) -> None:
        """Starts with nothing held."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.reclaim_count = 0
        # Holders of more than SMALL_BYTES that can be reclaimed.
        self._large: set[Holder] = set()

    def update(self, holder: Holder, change: int) -> None:
        """Records that a holder's memory has changed.

        May call ``reclaim`` of any holder, also of this one.

        Args:
            holder: The connection.
            change: Bytes that it holds more than before.
        """
        self.held_bytes += change
        if holder.reclaimable_bytes > SMALL_BYTES:
            self._large.add(holder)
        else:
            self._large.discard(holder)
        if change <= 0:
            return
        while self.held_bytes > self.limit_bytes and self._large:
            largest = max(self._large, key=lambda item: item.reclaimable_bytes)
            self._large.discard(largest)
            self.reclaim_count += 1
            largest.reclaim()
