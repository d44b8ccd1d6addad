"""What targets probably still hold of prompts that come again.

Requests share the first parts of their prompts. The last part belongs to one
request or chat; the part before it is the longest that others share, and so
the key by which requests are gathered at one target.
"""

import collections
from collections import abc

import msgspec

# Keys remembered by one daemon; a key takes some 300 bytes.
MOST_KEYS = 4096
# A read is told again after this time, as others forget it and datagrams are
# lost.
RETELL_S = 8.0
# Rounds of datagrams that carry a read, as some are lost.
TELLS = 2
# Shorter prompts are read again sooner than daemons tell each other of them.
LEAST_TOLD_TOKENS = 2000
# Reads kept to be told; one datagram carries fewer.
MOST_NEWS = 256


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a prompt.

    Attributes:
        id: Names its content and all parts before it.
        tokens: Length of the part.
    """

    id: str
    tokens: int


def find_shared_key(parts: tuple[Part, ...]) -> str | None:
    """Returns the id of the last part that other requests may share."""
    if not parts:
        return None
    return parts[-2].id if len(parts) > 1 else parts[0].id


def count_tokens(
    parts: tuple[Part, ...], prompt_tokens: int
) -> tuple[int, int]:
    """Returns the tokens of a prompt that others share, and its own ones.

    Args:
        parts: Parts of the prompt; the last one is its own.
        prompt_tokens: Tokens of the whole prompt, as its client says.
    """
    shared = sum(part.tokens for part in parts[:-1])
    own = parts[-1].tokens if parts else 0
    return shared, max(own, prompt_tokens - shared)


class CachedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A target has read the prompt of a key.

    Attributes:
        key: Key of the prompt.
        target_id: Id of the target.
    """

    key: str
    target_id: str


class PromptCacheIndex:
    """Which targets have lately read the prompt of a key.

    Daemons tell each other what their requests made targets read, so that all
    know from where the prompt of a key can be fetched.
    """

    __slots__ = ("_holders", "_lifetime_s", "_news", "_told_at")

    def __init__(self, *, lifetime_s: float) -> None:
        """Knows nothing.

        Args:
            lifetime_s: Time after which a target is taken to have dropped a
                part that was not used again.
        """
        self._lifetime_s = lifetime_s
        self._holders: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        # When each read was last told, by this daemon or another.
        self._told_at: dict[CachedPrompt, float] = {}
        # With the times that each is still to be told, those that were told
        # least at the beginning.
        self._news: collections.deque[tuple[int, CachedPrompt]] = (
            collections.deque(maxlen=MOST_NEWS)
        )

    def record(
        self, key: str, target_id: str, now: float, *, tokens: int
    ) -> None:
        """Notes that a request of this daemon is read by a target.

        Args:
            key: Key of its prompt.
            target_id: The target.
            now: Monotonic seconds.
            tokens: Length of what others share of the prompt.
        """
        read = CachedPrompt(key, target_id)
        self._put(read, now)
        if tokens < LEAST_TOLD_TOKENS:
            return
        if now - self._told_at.get(read, float("-inf")) >= RETELL_S:
            self._told_at[read] = now
            self._news.appendleft((TELLS, read))

    def merge(self, reads: abc.Iterable[CachedPrompt], now: float) -> None:
        """Takes in what other daemons tell."""
        for read in reads:
            self._put(read, now)
            self._told_at[read] = now

    def take_announcements(self, most: int) -> list[CachedPrompt]:
        """Returns the own reads that are to be told next."""
        told = []
        for _ in range(min(most, len(self._news))):
            tells, read = self._news.popleft()
            told.append(read)
            if tells > 1:
                self._news.append((tells - 1, read))
        return told

    def list_holders(self, key: str, now: float) -> list[str]:
        """Returns the targets that probably hold a key, newest first."""
        holders = self._holders.get(key)
        if not holders:
            return []
        since = now - self._lifetime_s
        fresh = [item for item in holders.items() if item[1] > since]
        fresh.sort(key=lambda item: -item[1])
        return [target_id for target_id, _ in fresh]

    def forget_target(self, target_id: str) -> None:
        """Drops a target that has lost its memory."""
        for key, holders in self._holders.items():
            if holders.pop(target_id, None) is not None:
                self._told_at.pop(CachedPrompt(key, target_id), None)

    def _put(self, read: CachedPrompt, now: float) -> None:
        self._holders.setdefault(read.key, {})[read.target_id] = now
        self._holders.move_to_end(read.key)
        while len(self._holders) > MOST_KEYS:
            key, holders = self._holders.popitem(last=False)
            for target_id in holders:
                self._told_at.pop(CachedPrompt(key, target_id), None)
