"""Composes the answers of the stand-in engine from what it was sent.

An answer is a function of the messages and of the number of tokens alone, so
that whoever sent the messages can tell a whole answer of its own from one
that is cut, crossed with another or out of order.
"""

from collections import abc
import hashlib

import msgspec

_WORDS = (
    "barrel",
    "cellar",
    "chair",
    "clause",
    "deposit",
    "keg",
    "landlord",
    "lease",
    "notice",
    "reading",
    "renewal",
    "rent",
    "room",
    "shop",
    "tap",
    "week",
)
_FRAME_TOKENS = 2
DEFAULT_MAX_TOKENS = 32


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat.

    Attributes:
        role: Who wrote it, as in ``user``.
        content: Its text.
    """

    role: str
    content: str


def digest_messages(messages: abc.Sequence[Message]) -> str:
    """Returns a digest of the messages, 16 hex digits."""
    return hashlib.sha256(msgspec.json.encode(messages)).hexdigest()[:16]


def compose_answer(
    messages: abc.Sequence[Message], max_tokens: int = DEFAULT_MAX_TOKENS
) -> list[str]:
    """Composes the answer to some messages.

    Args:
        messages: All messages of the request.
        max_tokens: Tokens of the answer; at least two are given, the digest
            at its start and the mark at its end.

    Returns:
        The tokens; joined without a separator they are the text.
    """
    digest = digest_messages(messages)
    count = max(max_tokens, _FRAME_TOKENS)
    middle = [
        f"{index}:{_pick_word(digest, index)} "
        for index in range(1, count - _FRAME_TOKENS + 1)
    ]
    return [f"[{digest}] ", *middle, f"[end {count} {digest}]"]


def is_whole_answer(
    text: str,
    messages: abc.Sequence[Message],
    max_tokens: int = DEFAULT_MAX_TOKENS,
) -> bool:
    """Tells whether a text is the whole answer to just these messages."""
    return text == "".join(compose_answer(messages, max_tokens))


def _pick_word(digest: str, index: int) -> str:
    return _WORDS[(int(digest, 16) + index * index) % len(_WORDS)]
