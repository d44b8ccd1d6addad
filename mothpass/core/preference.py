"""Order of targets for a chat, the same at each daemon without talking.

A chat ranks the targets that follow it on a ring by rendezvous hashing. Up
to ``WINDOW`` targets the window holds all of them, which is plain rendezvous
hashing; above that it bounds the cost of a decision.
"""

import bisect
from collections import abc

import xxhash

WINDOW = 32


def hash_name(name: str) -> int:
    """Returns a 64-bit hash of a name that is the same in each process."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rank_names(key: bytes, names: abc.Iterable[str]) -> list[str]:
    """Ranks a few names for a key by rendezvous hashing, best first."""
    scores = [(xxhash.xxh3_64_intdigest(key, hash_name(n)), n) for n in names]
    scores.sort(reverse=True)
    return [name for _, name in scores]


class HashRing:
    """Targets on a ring, for one set of targets.

    Attributes:
        ids: Ids of the targets, in order of their place on the ring.
    """

    __slots__ = ("_places", "_seeds", "ids")

    def __init__(self, *, ids: abc.Iterable[str]) -> None:
        """Places each target by the hash of its id."""
        placed = sorted((hash_name(item), item) for item in set(ids))
        self.ids = [item for _, item in placed]
        self._places = [place for place, _ in placed]
        self._seeds = {item: place for place, item in placed}

    def rank(self, chat: int) -> list[str]:
        """Returns target ids in the order in which the chat prefers them.

        Args:
            chat: 64-bit hash of the chat.

        Returns:
            At most ``WINDOW`` ids, best first.
        """
        key = chat.to_bytes(8, "little")
        digest = xxhash.xxh3_64_intdigest
        seeds = self._seeds
        window = self._list_window(digest(key))
        scores = [(digest(key, seeds[item]), item) for item in window]
        scores.sort(reverse=True)
        return [item for _, item in scores]

    def _list_window(self, place: int) -> list[str]:
        if len(self.ids) <= WINDOW:
            return self.ids
        first = bisect.bisect_left(self._places, place)
        window = self.ids[first : first + WINDOW]
        return window + self.ids[: WINDOW - len(window)]
