"""Index of the prompts that targets probably hold in their caches.

Requests share the first parts of their prompts. The last part belongs to one
request or chat. The part before it ends the longest prefix that other requests
share, so its id is the key by which requests are routed to the same target.
"""

import collections
from collections import abc

import msgspec

# Keys in the index of one daemon; a key takes about 300 bytes.
MAX_KEYS = 4096
# A cached prompt is announced again after this time, as peers expire it and
# datagrams are lost.
ANNOUNCEMENT_INTERVAL_S = 8.0
# Gossip messages that carry an announcement, as some datagrams are lost.
MESSAGES_PER_ANNOUNCEMENT = 2
# A shorter prefix is prefilled again sooner than peers learn of it.
MIN_ANNOUNCED_TOKENS = 2000
# Announcements waiting to be sent; one datagram carries fewer.
MAX_PENDING_ANNOUNCEMENTS = 256


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a prompt.

    Attributes:
        id: Identifies the content of this part and of all parts before it.
        tokens: Length of the part in tokens.
    """

    id: str
    tokens: int


def find_shared_key(parts: tuple[Part, ...]) -> str | None:
    """Returns the id of the last part that other requests may share.

    None if the prompt has no parts.
    """
    if not parts:
        return None
    return parts[-2].id if len(parts) > 1 else parts[0].id


def count_tokens(
    parts: tuple[Part, ...], prompt_tokens: int
) -> tuple[int, int]:
    """Returns the numbers of shared and unshared tokens of a prompt.

    Args:
        parts: Parts of the prompt; the last one is not shared.
        prompt_tokens: Tokens of the whole prompt, as stated by the client.
    """
    shared_tokens = sum(part.tokens for part in parts[:-1])
    own_tokens = parts[-1].tokens if parts else 0
    return shared_tokens, max(own_tokens, prompt_tokens - shared_tokens)


class CachedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a target holds in its cache.

    Attributes:
        key: Key of the prompt.
        target_id: Id of the target.
    """

    key: str
    target_id: str


class PromptCacheIndex:
    """Index of the targets that recently got the prompt of a key.

    Daemons announce to each other the prompts that their requests put into
    the caches of targets, so that all daemons know where a prompt can be
    fetched from.
    """

    __slots__ = ("_announced_at", "_holders", "_lifetime_s", "_pending")

    def __init__(self, *, lifetime_s: float) -> None:
        """Initializes an empty index.

        Args:
            lifetime_s: Time after which a target is assumed to have evicted a
                prompt that was not used again.
        """
        self._lifetime_s = lifetime_s
        self._holders: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        # When each prompt was last announced, by this daemon or a peer.
        self._announced_at: dict[CachedPrompt, float] = {}
        # Each with the number of messages that are still to carry it; those
        # that were sent least often come first.
        self._pending: collections.deque[tuple[int, CachedPrompt]] = (
            collections.deque(maxlen=MAX_PENDING_ANNOUNCEMENTS)
        )

    def record(
        self, key: str, target_id: str, now: float, *, tokens: int
    ) -> None:
        """Records that a request of this daemon fills the cache of a target.

        Args:
            key: Key of its prompt.
            target_id: Id of the target.
            now: Monotonic seconds.
            tokens: Length of the shared prefix in tokens.
        """
        cached = CachedPrompt(key, target_id)
        self._add(cached, now)
        if tokens < MIN_ANNOUNCED_TOKENS:
            return
        if (
            now - self._announced_at.get(cached, float("-inf"))
            >= ANNOUNCEMENT_INTERVAL_S
        ):
            self._announced_at[cached] = now
            self._pending.appendleft((MESSAGES_PER_ANNOUNCEMENT, cached))

    def merge(self, announced: abc.Iterable[CachedPrompt], now: float) -> None:
        """Merges the announcements of other daemons."""
        for cached in announced:
            self._add(cached, now)
            self._announced_at[cached] = now

    def take_announcements(self, limit: int) -> list[CachedPrompt]:
        """Returns the announcements that the next gossip message carries.

        Args:
            limit: Maximum number of announcements.
        """
        taken = []
        for _ in range(min(limit, len(self._pending))):
            messages_left, cached = self._pending.popleft()
            taken.append(cached)
            if messages_left > 1:
                self._pending.append((messages_left - 1, cached))
        return taken

    def list_holders(self, key: str, now: float) -> list[str]:
        """Returns ids of targets that probably hold a prompt, newest first."""
        holders = self._holders.get(key)
        if not holders:
            return []
        expired_at = now - self._lifetime_s
        unexpired = [item for item in holders.items() if item[1] > expired_at]
        unexpired.sort(key=lambda item: -item[1])
        return [target_id for target_id, _ in unexpired]

    def remove_target(self, target_id: str) -> None:
        """Removes a target that has lost its prompt cache."""
        for key, holders in self._holders.items():
            if holders.pop(target_id, None) is not None:
                self._announced_at.pop(CachedPrompt(key, target_id), None)

    def _add(self, cached: CachedPrompt, now: float) -> None:
        self._holders.setdefault(cached.key, {})[cached.target_id] = now
        self._holders.move_to_end(cached.key)
        while len(self._holders) > MAX_KEYS:
            key, holders = self._holders.popitem(last=False)
            for target_id in holders:
                self._announced_at.pop(CachedPrompt(key, target_id), None)
