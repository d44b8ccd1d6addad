"""Ranks targets for a chat, equally at each daemon without coordination.

A window of the targets that follow the chat on a hash ring is ranked by
rendezvous hashing. Up to ``MAX_RANKED_TARGETS`` targets the window holds all
of them, which is plain rendezvous hashing; above that it bounds the cost of
a placement.
"""

import bisect
from collections import abc

import xxhash

MAX_RANKED_TARGETS = 32


def hash_name(name: str) -> int:
    """Returns a 64-bit hash of a name, equal in every process."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rank_names(key: bytes, names: abc.Iterable[str]) -> list[str]:
    """Ranks names for a key by rendezvous hashing, best first."""
    scores = [(xxhash.xxh3_64_intdigest(key, hash_name(n)), n) for n in names]
    scores.sort(reverse=True)
    return [name for _, name in scores]


class HashRing:
    """Hash ring of a set of targets.

    Attributes:
        ids: Ids of the targets, in order of their position on the ring.
    """

    __slots__ = ("_hashes", "_positions", "ids")

    def __init__(self, *, ids: abc.Iterable[str]) -> None:
        """Positions each target by the hash of its id."""
        positioned = sorted((hash_name(item), item) for item in set(ids))
        self.ids = [item for _, item in positioned]
        self._positions = [position for position, _ in positioned]
        self._hashes = {item: position for position, item in positioned}

    def rank(self, chat: int) -> list[str]:
        """Returns target ids in the chat's order of preference.

        Args:
            chat: 64-bit hash of the chat.

        Returns:
            At most ``MAX_RANKED_TARGETS`` ids, best first.
        """
        key = chat.to_bytes(8, "little")
        digest = xxhash.xxh3_64_intdigest
        hashes = self._hashes
        window = self._list_window(digest(key))
        scores = [(digest(key, hashes[item]), item) for item in window]
        scores.sort(reverse=True)
        return [item for _, item in scores]

    def _list_window(self, position: int) -> list[str]:
        if len(self.ids) <= MAX_RANKED_TARGETS:
            return self.ids
        first = bisect.bisect_left(self._positions, position)
        window = self.ids[first : first + MAX_RANKED_TARGETS]
        return window + self.ids[: MAX_RANKED_TARGETS - len(window)]
