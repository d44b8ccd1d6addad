"""Bounds the bytes that all clients of a listener make the daemon hold."""

from collections import abc

# Bytes up to which a request is small. The last quarter of the limit is kept
# for small ones, so that large ones don't keep them from being served.
SMALL_BYTES = 65_536
_LARGE_SHARE = 0.75


class Holding:
    """Bytes that are held for one request or one connection."""

    __slots__ = ("_budget", "_owners", "size")

    def __init__(self, *, budget: "HeldBytes") -> None:
        """Starts with no bytes and one owner."""
        self._budget = budget
        self._owners = 1
        self.size = 0

    def grow(self, count: int) -> None:
        """Adds bytes; evicts holdings, perhaps this one, above the limit."""
        if self._owners:
            self._budget.change(self, count)

    def settle(self) -> None:
        """Keeps the holding from being evicted from now on."""
        self._budget.settle(self)

    def add_owner(self) -> None:
        """Keeps the bytes counted until one more call of ``release``."""
        self._owners += 1

    def release(self, _ended: object = None) -> None:
        """Counts the bytes no more once the last owner releases them."""
        if self._owners == 0:
            return
        self._owners -= 1
        if self._owners == 0:
            self._budget.forget(self)

    def drop(self) -> None:
        """Counts the bytes no more, whoever owns them."""
        self._owners = 0
        self._budget.forget(self)


class HeldBytes:
    """Sum of all holdings; evicts the largest unsettled ones above a limit.

    Attributes:
        total: Bytes of all holdings.
    """

    __slots__ = ("_evictions", "_limit_bytes", "total")

    def __init__(self, *, limit_bytes: int) -> None:
        """Starts with no holdings.

        Args:
            limit_bytes: Most bytes of all holdings together.
        """
        self._limit_bytes = limit_bytes
        self._evictions: dict[Holding, abc.Callable[[], None]] = {}
        self.total = 0

    def open_holding(self, evict: abc.Callable[[], None]) -> Holding:
        """Returns a new holding.

        Args:
            evict: Called when its bytes must be given up, at most once; they
                are counted no more by then.
        """
        holding = Holding(budget=self)
        self._evictions[holding] = evict
        return holding

    def change(self, holding: Holding, count: int) -> None:
        """Adds bytes to a holding; evicts the largest above the limit."""
        holding.size += count
        self.total += count
        limit = self._limit_bytes
        if holding.size > SMALL_BYTES:
            limit = int(limit * _LARGE_SHARE)
        largest: Holding | None = None
        while self.total > limit and self._evictions and largest is not holding:
            largest = max(self._evictions, key=lambda item: item.size)
            evict = self._evictions[largest]
            largest.drop()
            evict()

    def settle(self, holding: Holding) -> None:
        """Keeps a holding from being evicted."""
        self._evictions.pop(holding, None)

    def forget(self, holding: Holding) -> None:
        """Takes a holding out of the sum."""
        self._evictions.pop(holding, None)
        self.total -= holding.size
        holding.size = 0
