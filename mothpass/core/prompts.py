"""What targets probably still hold of prompts that come again.

Requests share the first parts of their prompts. The last part belongs to one
request or chat; the part before it is the longest that others share, and so
the key by which requests are gathered at one target.
"""

import collections

import msgspec

# Keys remembered by one daemon; a key takes some 200 bytes.
MOST_KEYS = 4096


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a prompt.

    Attributes:
        id: Names its content and all parts before it.
        tokens: Length of the part.
    """

    id: str
    tokens: int


def find_key(parts: tuple[Part, ...]) -> str | None:
    """Returns the id of the last part that other requests may share."""
    if not parts:
        return None
    return parts[-2].id if len(parts) > 1 else parts[0].id


class PromptMemory:
    """Which targets have lately read the prompt of a key."""

    __slots__ = ("_holders", "_lifetime_s")

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

    def record(self, key: str, target_id: str, now: float) -> None:
        """Notes that a target reads the prompt of a key."""
        holders = self._holders.setdefault(key, {})
        holders[target_id] = now
        self._holders.move_to_end(key)
        while len(self._holders) > MOST_KEYS:
            self._holders.popitem(last=False)

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
        for holders in self._holders.values():
            holders.pop(target_id, None)
