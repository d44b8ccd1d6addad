"""Simulates an engine's cache of prompt prefixes with bounded memory.

A prompt is a list of messages. Each message with all before it is one block;
a chat that returns with more messages hits the blocks of its earlier ones.
"""

import collections
from collections import abc

import msgspec
import xxhash

from mothpass.standin import answers

_CHARACTERS_PER_TOKEN = 4


class Block(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a prompt, identified together with all before it.

    Attributes:
        key: Hash of the message and all before it.
        tokens: Tokens of the message alone.
    """

    key: int
    tokens: int


def split_prompt(messages: abc.Sequence[answers.Message]) -> list[Block]:
    """Returns the blocks of a prompt."""
    blocks: list[Block] = []
    for message in messages:
        blocks.append(_build_block(blocks, message))
    return blocks


def extend_prompt(blocks: list[Block], answer: str) -> list[Block]:
    """Returns the blocks of a prompt followed by its answer."""
    message = answers.Message(role="assistant", content=answer)
    return [*blocks, _build_block(blocks, message)]


def _build_block(before: list[Block], message: answers.Message) -> Block:
    parent_key = before[-1].key if before else 0
    text = f"{parent_key:x}\0{message.role}\0{message.content}"
    return Block(
        key=xxhash.xxh3_64_intdigest(text.encode()),
        tokens=len(message.content) // _CHARACTERS_PER_TOKEN + 1,
    )


class PrefixCache:
    """LRU cache of blocks.

    Attributes:
        tokens: Number of cached tokens.
    """

    __slots__ = ("_blocks", "_capacity_tokens", "tokens")

    def __init__(self, *, capacity_tokens: int) -> None:
        """Initializes an empty cache.

        Args:
            capacity_tokens: Maximum number of cached tokens.
        """
        self._blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._capacity_tokens = capacity_tokens
        self.tokens = 0

    def count_cached(self, blocks: abc.Sequence[Block]) -> int:
        """Returns the length of the cached prefix of a prompt, in tokens."""
        cached_tokens = 0
        for block in blocks:
            if block.key not in self._blocks:
                break
            cached_tokens += block.tokens
        return cached_tokens

    def store(self, blocks: abc.Sequence[Block]) -> list[int]:
        """Stores a prompt's blocks and returns the keys that were evicted."""
        for block in blocks:
            if block.key not in self._blocks:
                self._blocks[block.key] = block.tokens
                self.tokens += block.tokens
        # The first block is touched last, so that the end of a prompt is
        # evicted before its start, without which the end can't be used.
        for block in reversed(blocks):
            self._blocks.move_to_end(block.key)
        return self._evict()

    def clear(self) -> None:
        """Removes all blocks."""
        self._blocks.clear()
        self.tokens = 0

    def _evict(self) -> list[int]:
        evicted = []
        while self.tokens > self._capacity_tokens:
            key, tokens = self._blocks.popitem(last=False)
            self.tokens -= tokens
            evicted.append(key)
        return evicted
